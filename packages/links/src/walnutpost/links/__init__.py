"""The client's side of the worker protocol."""

from walnutpost.links.links import Links, LinkSettings

__all__ = ["LinkSettings", "Links"]
