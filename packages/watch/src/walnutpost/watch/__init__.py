"""Watches of the configuration store over HTTP: `serving` is the server, `client` the watching side."""

from walnutpost.watch.client import ServerPool, Watcher, WatchSettings
from walnutpost.watch.errors import UnusableServerError, WatchError
from walnutpost.watch.serving import WAITED_HEADER, WatchServer

__all__ = [
    "WAITED_HEADER",
    "ServerPool",
    "UnusableServerError",
    "WatchError",
    "WatchServer",
    "WatchSettings",
    "Watcher",
]
