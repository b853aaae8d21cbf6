"""The platform's front end: its protocols towards clients, workers and the name server, round the gateway.

Decisions on load and health are the policy's. What is decided here concerns the node's own resources alone:
memory, descriptors, connections, sizes of messages.
"""
