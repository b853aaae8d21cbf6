"""Watches of the configuration store over HTTP: `serving` is the server, `client` the watching side."""

from walnutpost.watch.client import ServerPool, Watcher, WatcherSettings
from walnutpost.watch.errors import UnusableServerError, WatchError
from walnutpost.watch.member_connections import MemberObserver
from walnutpost.watch.serving import WAITED_HEADER, WatchServer

__all__ = [
    "WAITED_HEADER",
    "MemberObserver",
    "ServerPool",
    "UnusableServerError",
    "WatchError",
    "WatchServer",
    "Watcher",
    "WatcherSettings",
]
