"""Base class of the errors that the node package raises."""


class NodeError(Exception):
    """Invalid input to the node: its configuration, an endpoint list, or bytes from a peer."""
