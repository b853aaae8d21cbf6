"""The base of the errors that the node raises by itself."""


class NodeError(Exception):
    """An input of the node that can't be used: its configuration, an endpoint list, a peer's bytes."""
