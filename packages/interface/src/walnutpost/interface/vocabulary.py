"""Enumerations of the interface. Their values appear on the wire or in settings; their names do not."""

from __future__ import annotations

from enum import Enum, IntEnum


class Effect(Enum):
    """The effect of running a request of the class a second time."""

    SAFE = "safe"
    """No effect: the request is idempotent."""
    KEYED = "keyed"
    """No effect as long as the workers remember the request's idempotency key."""
    UNSAFE = "unsafe"
    """The request takes effect again."""


class DedupScope(Enum):
    """The set of workers that share idempotency keys and so drop duplicates of a keyed request."""

    ALL = "all"
    """All workers."""
    ZONE = "zone"
    """The workers of a zone (`Worker.zone`)."""
    CELL = "cell"
    """The workers of a cell (`Worker.cell`)."""


class Outcome(Enum):
    """The result of an attempt, a probe or a load order."""

    OK = "ok"
    """The worker answered without an error."""
    ERROR = "error"
    """The worker answered with an error."""
    FULL = "full"
    """The worker rejected it for lack of capacity; nothing ran."""
    TIMEOUT = "timeout"
    """No answer came in time; it may have run."""
    CONNECT_FAILED = "connect_failed"
    """The connection could not be established; nothing was sent."""
    RESET = "reset"
    """The connection broke; it may have run."""
    CANCELLED = "cancelled"
    """It was cancelled; it may have run."""
    EXPIRED = "moot"
    """It did not begin in time (`Send.begin_within_us`), so it must not begin any more; nothing ran."""
    MISS = "miss"
    """The worker has no copy of the function; nothing ran."""


class WorkerState(Enum):
    """The state of a worker in the endpoint list."""

    GONE = "gone"
    """The worker has left."""
    DRAINING = "draining"
    """The worker finishes its requests and should get no new ones."""
    READY = "ready"
    """The worker accepts requests."""


class ListKind(Enum):
    """The kind of an endpoint list update."""

    FAILED = "failed"
    """The list could not be fetched; the update has no workers."""
    CACHED = "cached"
    """A complete list that may be out of date."""
    DELTA = "delta"
    """Only the workers that changed."""
    FULL = "full"
    """A complete, current list."""


class Warmth(IntEnum):
    """The state in which a request found the copy that served it, as the worker's answer reports it."""

    UNREPORTED = 0
    """The answer does not report it."""
    WARM = 1
    """The copy was already loaded."""
    STARTED_LOAD = 2
    """The request started the load of the copy."""
    JOINED_LOAD = 3
    """The request waited for a load that was already in progress."""
    LOAD_FAILED = 4
    """The load of the copy failed."""
