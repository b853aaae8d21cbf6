"""Inputs and effects of the Gateway. Times and durations are whole microseconds."""

from __future__ import annotations

from enum import Enum

import msgspec

from walnutpost.gateway.catalogue import Function
from walnutpost.interface import ListKind, Outcome, Warmth, WorkerState


class Message(msgspec.Struct, frozen=True):
    """A frozen value. A frozen dataclass takes five times as long to make, and each call makes a dozen."""


class Failure(Enum):
    """Why a call failed. Only FUNCTION is the function's own answer."""

    FUNCTION = "function"  # the function ran and raised
    DEADLINE = "deadline"  # no answer in the time its caller gave it
    WORKER = "worker"  # a worker or the way to it failed, and the call may have run
    STOPPED = "stopped"  # its owner stopped it
    RESTART = "restart"  # the front end restarted while an unsafe call may have been running


class Served(Message, frozen=True):
    payload: bytes
    worker: str
    version: str


class Refused(Message, frozen=True):
    """Trying again does no harm; not before `retry_after`, where that is above zero."""

    reason: str
    retry_after: int = 0


class Failed(Message, frozen=True):
    """No promise whether the call took effect; `payload` is the function's own error, if it gave one."""

    failure: Failure
    message: str
    payload: bytes | None = None


Final = Served | Refused | Failed


# Inputs


class CallArrived(Message, frozen=True):
    """A caller asks. `ticket` is the embedding program's own number for this asking, not used before;
    exactly one Answered comes for it, unless CallerLeft does. Where `repeat_key` isn't empty, another
    asking with the same key, tenant, function and payload is the same call. `of` tells the function's
    figures where each call brings its own; else the catalogue knows them. `waited` is the longest time for
    which the request may have been there before it was read; `time_left` counts from now."""

    ticket: int
    function: str
    payload: bytes
    time_left: int
    tenant: str | None = None
    repeat_key: str = ""
    repeat: bool = False  # marked as a repeat by the client
    durable: bool = False  # a Start of it must be on disk before it is carried out, if it is unsafe
    stays: bool = False  # goes on without a caller: deferred calls
    barred: Refused | None = None  # the answer, unless the call is in already under its repeat key
    of: Function | None = None
    waited: int = 0


class CallerLeft(Message, frozen=True):
    ticket: int


class CallStopped(Message, frozen=True):
    """Ends the call of this ticket as failed, whoever else waits for it."""

    ticket: int


class AttemptDone(Message, frozen=True):
    """How the attempt of a Start ended; one for each, also after Abandon. `payload` is the answer of an
    OK, or the function's own error where `by_function`."""

    call: int
    attempt: int
    outcome: Outcome
    latency: int
    payload: bytes = b""
    by_function: bool = False
    warmth: Warmth = Warmth.UNTOLD
    crowd: int = 0
    report: tuple[float, ...] = ()


class HoldDone(Message, frozen=True):
    """How one Order ended; `wanted` repeats its copies (outcomes as in `interface.HoldEnded`)."""

    worker: str
    function: str
    outcome: Outcome
    latency: int
    copies: int
    wanted: int = 0


class PingDone(Message, frozen=True):
    worker: str
    outcome: Outcome
    latency: int
    report: tuple[float, ...] = ()


class WorkerTold(Message, frozen=True):
    """A line of a worker list; `started_at` is 0 where long ago or not known."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_at: int = 0


class WorkersTold(Message, frozen=True):
    kind: ListKind
    version: int
    workers: tuple[WorkerTold, ...]


class Due(Message, frozen=True):
    token: int


class ShuttingDown(Message, frozen=True):
    """Every call, also one that arrives later, gets its final answer within so long."""

    within: int


Input = (
    CallArrived
    | CallerLeft
    | CallStopped
    | AttemptDone
    | HoldDone
    | PingDone
    | WorkersTold
    | Due
    | ShuttingDown
)


# Effects


class Answered(Message, frozen=True):
    """The one final answer for a ticket."""

    ticket: int
    final: Final


class Start(Message, frozen=True):
    """Send the call to the worker; give up after `timeout`. Where `intent_first`, the store must hold
    that it is being sent before the first byte leaves. Where that has not left within `latest` (0: at any
    time), it must not begin any more, and the attempt ends as MOOT."""

    call: int
    attempt: int
    worker: str
    function: str
    tenant: str | None
    payload: bytes
    timeout: int
    ticket: int
    intent_first: bool
    latest: int = 0


class Abandon(Message, frozen=True):
    """Wait no longer for the attempt; its AttemptDone is CANCELLED, unless another outcome is on its way."""

    call: int
    attempt: int


class Order(Message, frozen=True):
    """Have the worker hold at least so many copies; with none, ask how many stand. `latest` as in Start."""

    worker: str
    function: str
    copies: int
    latest: int = 0


class Discard(Message, frozen=True):
    """Unload the idle copies."""

    worker: str
    function: str


class Ping(Message, frozen=True):
    """Probe the worker."""

    worker: str


class CloseIdle(Message, frozen=True):
    worker: str


class Arm(Message, frozen=True):
    """A Due with this token is wanted after `delay`; there is no taking back."""

    delay: int
    token: int


class AskList(Message, frozen=True):
    """Read the worker list once, or (un)follow it."""

    follow: bool | None = None


class Note(Message, frozen=True):
    """A line for the log."""

    text: str


Effect = Answered | Start | Abandon | Order | Discard | Ping | CloseIdle | Arm | AskList | Note
