"""Enumerations of the interface. Values are on the wire or in settings; names are not."""

from __future__ import annotations

from enum import Enum, IntEnum


class Effect(Enum):
    """Effect of a second run of a request of the class."""

    SAFE = "safe"  # nothing: it is idempotent
    KEYED = "keyed"  # nothing, as long as workers know its idempotency key
    UNSAFE = "unsafe"  # it takes effect again


class Group(Enum):
    """Which workers drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, a probe or a load order ended."""

    OK = "ok"
    ERROR = "error"  # the worker answered with an error
    FULL = "full"  # the worker rejected it for want of capacity; nothing ran
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"  # nothing was sent
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"
    MOOT = "moot"  # it did not begin within its time, so it must not begin any more
    MISS = "miss"  # the worker has no copy of the function; nothing ran


class WorkerState(Enum):
    """The state of a worker in the endpoint list."""

    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"


class ListKind(Enum):
    """Kind of an update of the endpoint list."""

    FAILED = "failed"  # no list came
    CACHED = "cached"  # a complete list that may be old
    DELTA = "delta"  # changes alone
    FULL = "full"  # a complete list


class Warmth(IntEnum):
    """State of the serving copy, as an answer reports it."""

    UNREPORTED = 0
    WARM = 1
    STARTED_LOAD = 2  # the request began the copy's load
    JOINED_LOAD = 3  # the request waited for a load under way
    LOAD_FAILED = 4
