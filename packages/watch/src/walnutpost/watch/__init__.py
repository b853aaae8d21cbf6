"""Long-held watches of the agreed table over HTTP: the serving side and the following side."""

from walnutpost.watch.client import Watcher
from walnutpost.watch.serving import HELD_HEADER, WatchServer

__all__ = ["HELD_HEADER", "WatchServer", "Watcher"]
