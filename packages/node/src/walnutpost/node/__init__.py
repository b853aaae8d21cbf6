"""The platform's front end: the gateway with its protocols to clients, workers and the name server.

The policy makes all decisions on load and health. This package only manages the node's own resources: memory,
file descriptors, connections and message sizes.
"""
