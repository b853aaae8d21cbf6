"""The client's side of the worker protocol."""

from walnutpost.workerclient.links import Links
from walnutpost.workerclient.settings import LinkSettings

__all__ = ["LinkSettings", "Links"]
