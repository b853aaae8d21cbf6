"""Inputs and effects of the Gateway. Times and durations are whole microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutpost.interface import ListKind, Outcome, Warmth, WorkerState


class Failure(Enum):
    """Why a call failed. Only FUNCTION is the function's own answer."""

    FUNCTION = "function"  # the function ran and raised
    DEADLINE = "deadline"  # no answer in the time its caller gave it
    WORKER = "worker"  # a worker or the way to it failed, and the call may have run
    STOPPED = "stopped"  # its owner stopped it
    RESTART = "restart"  # the front end restarted while an unsafe call may have been running


@dataclass(frozen=True, slots=True)
class Served:
    payload: bytes
    worker: str
    version: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Trying again does no harm; not before `retry_after`, where that is above zero."""

    reason: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Failed:
    """No promise whether the call took effect; `payload` is the function's own error, if it gave one."""

    failure: Failure
    message: str
    payload: bytes | None = None


Final = Served | Refused | Failed


# Inputs


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller asks. `ticket` is the embedding program's own number for this asking, not used before; exactly
    one Answered comes for it, unless CallerLeft does. Where `repeat_key` isn't empty, another asking with the
    same key, tenant, function and payload is the same call."""

    ticket: int
    function: str
    payload: bytes
    time_left: int
    tenant: str | None = None
    repeat_key: str = ""
    repeat: bool = False  # marked as a repeat by the client
    durable: bool = False  # a Start of it must be on disk before it is carried out, if it is unsafe
    stays: bool = False  # goes on without a caller: deferred calls


@dataclass(frozen=True, slots=True)
class CallerLeft:
    ticket: int


@dataclass(frozen=True, slots=True)
class CallStopped:
    """Ends the call of this ticket as failed, whoever else waits for it."""

    ticket: int


@dataclass(frozen=True, slots=True)
class AttemptDone:
    """How the attempt of a Start ended; one for each, also after Abandon. `payload` is the answer of an OK,
    or the function's own error where `by_function`."""

    call: int
    attempt: int
    outcome: Outcome
    latency: int
    payload: bytes = b""
    by_function: bool = False
    warmth: Warmth = Warmth.UNTOLD
    crowd: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class HoldDone:
    """The answer to one Order."""

    worker: str
    function: str
    outcome: Outcome
    latency: int
    copies: int


@dataclass(frozen=True, slots=True)
class PingDone:
    worker: str
    outcome: Outcome
    latency: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerTold:
    """A line of a worker list; `started_at` is 0 where long ago or not known."""

    name: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_at: int = 0


@dataclass(frozen=True, slots=True)
class WorkersTold:
    kind: ListKind
    version: int
    workers: tuple[WorkerTold, ...]


@dataclass(frozen=True, slots=True)
class Due:
    token: int


Input = CallArrived | CallerLeft | CallStopped | AttemptDone | HoldDone | PingDone | WorkersTold | Due


# Effects


@dataclass(frozen=True, slots=True)
class Answered:
    """The one final answer for a ticket."""

    ticket: int
    final: Final


@dataclass(frozen=True, slots=True)
class Start:
    """Send the call to the worker; give up after `timeout`. Where `intent_first`, the store must hold that
    it is being sent before the first byte leaves."""

    call: int
    attempt: int
    worker: str
    function: str
    tenant: str | None
    payload: bytes
    timeout: int
    ticket: int
    intent_first: bool


@dataclass(frozen=True, slots=True)
class Abandon:
    """Wait no longer for the attempt; its AttemptDone is CANCELLED, unless another outcome is on its way."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Order:
    """Have the worker hold at least so many copies; with none, ask how many stand."""

    worker: str
    function: str
    copies: int


@dataclass(frozen=True, slots=True)
class Discard:
    """Unload the idle copies."""

    worker: str
    function: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe the worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class CloseIdle:
    worker: str


@dataclass(frozen=True, slots=True)
class Arm:
    """A Due with this token is wanted after `delay`; there is no taking back."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class AskList:
    """Read the worker list once, or (un)follow it."""

    follow: bool | None = None


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Effect = Answered | Start | Abandon | Order | Discard | Ping | CloseIdle | Arm | AskList | Note
