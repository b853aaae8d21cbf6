"""Inputs of the Gateway. `TimerDue` and `ShuttingDown` are the interface's own.

Where a name is that of an event of `walnutpost.interface`, it is the same thing with names of workers and
functions in place of numbers.
"""

from __future__ import annotations

from walnutpost.gateway.catalogue import Function
from walnutpost.gateway.messages import Message, Rejected
from walnutpost.interface import ListKind, Outcome, ShuttingDown, TimerDue, Warmth, WorkerState


class CallArrived(Message, frozen=True):
    """A caller sends a call.

    `caller_id` is the embedding program's own number for this, not used before; exactly one AnswerCaller
    comes for it, unless CallerLeft does. If `idempotency_key` isn't empty, another call with the same
    key, tenant, function and payload is the same call. `definition` is the function's, if each call
    brings its own; else the catalogue has it. `waited_us` is the longest time for which the request may
    have been there before it was read; `time_left_us` counts from now.
    """

    caller_id: int
    function: str
    payload: bytes
    time_left_us: int
    tenant: str | None = None
    idempotency_key: str = ""
    is_repeat: bool = False  # marked so by the client
    is_durable: bool = False  # if unsafe, its Send must be on disk before it is carried out
    outlives_callers: bool = False  # continues without a caller: deferred calls
    rejection: Rejected | None = None  # the answer, unless a call with its key is known already
    definition: Function | None = None
    waited_us: int = 0


class CallerLeft(Message, frozen=True):
    """The caller no longer wants an answer."""

    caller_id: int


class CallStopped(Message, frozen=True):
    """Ends the call of this caller as failed, for all other callers too."""

    caller_id: int


class AttemptEnded(Message, frozen=True):
    """How the attempt of a Send ended: exactly one for each Send, also after Cancel.

    `payload` is the answer of an OK, or the function's own error if `is_function_error`.
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
    """How one LoadOrder ended; `ordered_copies` repeats its copies (`interface.LoadOrderEnded`)."""

    worker: str
    function: str
    outcome: Outcome
    latency_us: int
    copies: int
    ordered_copies: int = 0


class ProbeEnded(Message, frozen=True):
    """How one Probe ended."""

    worker: str
    outcome: Outcome
    latency_us: int
    report: tuple[float, ...] = ()


class ListedWorker(Message, frozen=True):
    """An entry of the endpoint list; `started_at_us` is 0 if long ago or not known."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_at_us: int = 0


class WorkersListed(Message, frozen=True):
    """An update of the endpoint list."""

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
