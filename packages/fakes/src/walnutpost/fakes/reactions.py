"""What a worker's model answers, starts and records: the outputs of WorkerModel."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum

from walnutpost.interface import Warmth


class CallOutcome(Enum):
    """How a call ended. FULL, MISS and LOAD_FAILED never ran."""

    OK = "ok"
    FULL = "full"
    MISS = "miss"
    LOAD_FAILED = "load_failed"
    ERROR = "error"


class LoadOrderOutcome(Enum):
    """How an order to load copies ended."""

    OK = "ok"
    FULL = "full"
    ERROR = "error"


class CopyEventKind(StrEnum):
    """What happened to a copy; the values are in captures. DIED ends all copies of the worker."""

    LOAD_BEGAN = "begun"
    READY = "ready"
    CALL_STARTED = "ran"
    CALL_ENDED = "rested"
    REMOVED = "gone"
    DIED = "died"


@dataclass(frozen=True, slots=True)
class CallStarted:
    """A call began to run as number `run` of its worker: from here on it has had its effect."""

    request_id: int
    run: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The answer to a call; `run` is 0 where it never ran, `crowd` counts the calls that it found there."""

    request_id: int
    outcome: CallOutcome
    run: int
    warmth: Warmth
    crowd: int


@dataclass(frozen=True, slots=True)
class LoadOrderEnded:
    """The answer to an order; `copies` are ready."""

    request_id: int
    outcome: LoadOrderOutcome
    copies: int


@dataclass(frozen=True, slots=True)
class FetchPackage:
    """Ask the store for the function's package, and report to `on_fetched` when it has answered."""

    copy: int
    function: str
    usual_us: int


@dataclass(frozen=True, slots=True)
class CopyEvent:
    """What happened to a copy at `at_us`, for the worker's own record, which is no part of its reports."""

    at_us: int
    kind: CopyEventKind
    copy: int = 0
    function: str = ""
    memory_mb: int = 0
    tenant: str = ""


Reaction = CallStarted | CallEnded | LoadOrderEnded | FetchPackage
