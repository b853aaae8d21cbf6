"""Events: the inputs of the policy."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.interface.vocabulary import ListKind, Outcome, Warmth, WorkerState


@dataclass(frozen=True, slots=True)
class Worker:
    """An entry of the endpoint list; `started_at_us` is 0 if long ago or not known."""

    id: int
    zone: int
    kind: int
    cell: int
    state: WorkerState
    weight: float
    started_at_us: int


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """An update of the endpoint list."""

    kind: ListKind
    version: int
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read.

    `waited_us` is the longest time for which it may have been there before it was read; `time_left_us` counts
    from now. `cost_hint_us` is on a standard core.
    """

    request: int
    class_index: int
    tenant: int
    function: int
    time_left_us: int
    cost_hint_us: int | None
    memory_mb: float
    concurrency: float
    load_time_us: int
    is_repeat: bool
    waited_us: int = 0


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The first part of a streamed answer came; it is the request's answer from now on."""

    request: int
    attempt: int
    worker: int
    latency_us: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; `is_finished` if the client has its final answer with it.

    `crowd` counts the requests at the worker, if it reports them; `report` has the values of
    `Settings.report_fields`.
    """

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    latency_us: int
    is_finished: bool
    warmth: Warmth
    crowd: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client has left or has cancelled the request."""

    request: int


@dataclass(frozen=True, slots=True)
class LoadOrderEnded:
    """How a load order ended.

    MOOT and CONNECT_FAILED: it never reaches the worker complete. RESET and TIMEOUT: it may have, or still
    may (a paused worker later reads the data in its kernel, also after a reset). Any other outcome: the
    worker has answered it. `copies` is how many are there. `ordered_copies` repeats the order's copies; it is
    0 for a query and if the transport does not say.
    """

    worker: int
    function: int
    outcome: Outcome
    latency_us: int
    copies: int
    ordered_copies: int = 0


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """How a probe ended."""

    worker: int
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The timer of a `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """Every request, also a later one, must get its final answer within `within_us`."""

    within_us: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another front end."""

    peer: int
    data: bytes


Event = (
    WorkersListed
    | RequestArrived
    | AnswerStarted
    | AttemptEnded
    | RequestCancelled
    | LoadOrderEnded
    | ProbeEnded
    | TimerDue
    | PeerMessage
    | ShuttingDown
)
