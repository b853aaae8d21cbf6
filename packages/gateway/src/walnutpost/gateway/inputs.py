"""Inputs: the events that the embedder reports to the Gateway.

An input with the name of an event of `walnutpost.interface` has the same meaning, with the names of workers
and functions in place of their numbers. `TimerDue` and `ShuttingDown` are the interface's own classes. Times
are in microseconds.
"""

from __future__ import annotations

from walnutpost.gateway.catalogue import Function
from walnutpost.gateway.messages import Message, Rejected
from walnutpost.interface import ListKind, Outcome, ShuttingDown, TimerDue, Warmth, WorkerState


class CallArrived(Message, frozen=True):
    """A caller sent a call.

    The embedder chooses `caller_id`: a number above 0 that it has not used before. The caller gets exactly
    one AnswerCaller, unless a CallerLeft for it comes first or `Gateway.handle` raises UnknownNameError.

    `time_left_us` is the time until the call's deadline, counted from now. `waited_us` is the longest time
    that the request may have waited before it was read.

    `tenant` is None if the caller names none. If `idempotency_key` is not empty, calls with the same key,
    tenant, function and payload are repeats of one call. `definition` is the configuration of the function if
    the call carries it; if None, the function is looked up in the catalogue.
    """

    caller_id: int
    function: str
    payload: bytes
    time_left_us: int
    tenant: str | None = None
    idempotency_key: str = ""
    is_repeat: bool = False  # the client marked the request as a repeat
    is_durable: bool = False  # unless the call is safe, the intent of a Send must be durable first
    outlives_callers: bool = False  # deferred calls: continue when no caller is left
    rejection: Rejected | None = None  # the answer, unless the call repeats a known one
    definition: Function | None = None
    waited_us: int = 0


class CallerLeft(Message, frozen=True):
    """The caller is gone and gets no answer any more."""

    caller_id: int


class CallStopped(Message, frozen=True):
    """The owner of a call stopped it. The call fails with `Failure.STOPPED` for all its callers.

    `caller_id` is that of any caller that waits for the call.
    """

    caller_id: int


class AttemptEnded(Message, frozen=True):
    """An attempt ended. Each Send has exactly one AttemptEnded, also after a Cancel.

    `latency_us` is the time from the Send to the end.
    `payload` is the function's answer if the outcome is OK, or its own error if `is_function_error`.
    `warmth` is the state of the copy that ran the call. `crowd` is the number of requests at the worker, 0 if
    not reported. `report` has the worker's values of `Settings.report_fields`, empty if not reported.
    """

    call: int
    attempt: int
    outcome: Outcome
    latency_us: int
    payload: bytes = b""
    is_function_error: bool = False
    warmth: Warmth = Warmth.UNREPORTED
    crowd: int = 0
    report: tuple[float, ...] = ()


class LoadOrderEnded(Message, frozen=True):
    """A load order ended; `copies` is the number of copies that the worker reported.

    `ordered_copies` repeats `LoadOrder.copies`; `interface.LoadOrderEnded` describes the outcomes.
    """

    worker: str
    function: str
    outcome: Outcome
    latency_us: int
    copies: int
    ordered_copies: int = 0


class ProbeEnded(Message, frozen=True):
    """A health check ended. `report` as in AttemptEnded."""

    worker: str
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()


class ListedWorker(Message, frozen=True):
    """A worker in the endpoint list.

    `zone` and `cell` are the numbers of its zone and cell. `kind` is an index into
    `Settings.memory_mb_by_kind`. `weight` is its share of the load relative to the other workers, used if
    `Settings.has_endpoint_weights`. `started_at_us` is the time of its start, 0 if that is long ago or
    unknown.
    """

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_at_us: int = 0


class WorkersListed(Message, frozen=True):
    """An update of the endpoint list.

    `kind` says whether `workers` is the complete list or only the entries that changed. `version` is the
    version of the list.
    """

    kind: ListKind
    version: int
    workers: tuple[ListedWorker, ...]


Input = (
    CallArrived
    | CallerLeft
    | CallStopped
    | AttemptEnded
    | LoadOrderEnded
    | ProbeEnded
    | WorkersListed
    | TimerDue
    | ShuttingDown
)
