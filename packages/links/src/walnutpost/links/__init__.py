"""The client's side of the worker protocol."""

from walnutpost.links.links import Links
from walnutpost.links.settings import LinkSettings

__all__ = ["LinkSettings", "Links"]
