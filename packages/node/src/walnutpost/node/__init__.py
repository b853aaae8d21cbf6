"""The platform's front end: its protocols towards clients, workers and the name server, round the gateway.

Decisions on load and health are the Router's. What is decided here concerns the node's own means alone:
memory, descriptors, connections, sizes of messages.
"""
