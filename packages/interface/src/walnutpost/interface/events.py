"""Events: the inputs of the policy.

Fields named `request`, `function` and `worker` are numbers from `RequestArrived` and `Worker.id`; `attempt`
is the index of an attempt, as in `Cancel`.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.interface.vocabulary import ListKind, Outcome, Warmth, WorkerState


@dataclass(frozen=True, slots=True)
class Worker:
    """An entry of the endpoint list."""

    id: int
    """The number of the worker, by which events and actions refer to it."""
    zone: int
    """The number of the worker's zone."""
    kind: int
    """The number of the worker's kind: an index into `Settings.memory_mb_by_kind`."""
    cell: int
    """The number of the worker's cell: a group of workers that share idempotency keys (`DedupScope.CELL`)."""
    state: WorkerState
    weight: float
    """The worker's weight in load balancing, used only if `Settings.has_endpoint_weights`."""
    started_at_us: int
    """When the worker started; 0 if that is unknown or long ago."""


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """An update of the endpoint list."""

    kind: ListKind
    version: int
    """The version of the endpoint list."""
    workers: tuple[Worker, ...]
    """All workers, or only those that changed if `kind` is DELTA; empty if it is FAILED."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read from a client."""

    request: int
    """The number of the request, by which later events and actions refer to it."""
    class_index: int
    """An index into `Settings.classes`; one beyond its end means the last class."""
    tenant: int
    """An index into `Settings.tenants`; one beyond its end means no configured tenant."""
    function: int
    """The number of the function that the request calls."""
    time_left_us: int
    """The time from now to the request's deadline."""
    cost_hint_us: int | None
    """The expected execution time on a standard core; None if unknown."""
    memory_mb: float
    """The memory of one copy of the function, in megabytes."""
    concurrency: float
    """How many requests one copy of the function serves at a time."""
    load_time_us: int
    """How long a worker takes to load a copy of the function; 0 if unknown."""
    is_repeat: bool
    """Whether the client marked the request as a retry."""
    waited_us: int = 0
    """The longest time for which the request may have waited before it was read."""


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The first part of a streamed answer arrived; from now on this is the request's answer."""

    request: int
    attempt: int
    worker: int
    latency_us: int
    """The time from the start of the attempt to this part."""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended."""

    request: int
    attempt: int
    worker: int
    outcome: Outcome
    latency_us: int
    """The time from the start of the attempt to its end."""
    is_request_finished: bool
    """Whether the client now has its final answer to the request."""
    warmth: Warmth
    """The state in which the request found its copy of the function."""
    crowd: int
    """The number of requests at the worker; 0 if the worker does not report it."""
    report: tuple[float, ...]
    """The load report: the values of `Settings.report_fields` in that order; empty if there is none."""


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client disconnected or cancelled the request."""

    request: int


@dataclass(frozen=True, slots=True)
class LoadOrderEnded:
    """A load order ended.

    The outcome tells whether the order reached the worker:

    - EXPIRED and CONNECT_FAILED: the worker never receives the complete order.
    - RESET and TIMEOUT: the worker may have received it or may still receive it. A paused worker later reads
      the data that its kernel has buffered, even after a reset.
    - Any other outcome: the worker answered the order.
    """

    worker: int
    function: int
    outcome: Outcome
    latency_us: int
    """The time from the order to its end."""
    copies: int
    """The number of copies of the function at the worker."""
    ordered_copies: int = 0
    """`LoadOrder.copies` of this order; 0 if it was a query or if the transport does not report it."""


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe ended."""

    worker: int
    outcome: Outcome
    latency_us: int
    """The time from the start of the probe to its end."""
    report: tuple[float, ...]
    """The load report, as in `AttemptEnded`."""


@dataclass(frozen=True, slots=True)
class TimerDue:
    """The timer of a `SetTimer` action expired."""

    token: int
    """The token of that `SetTimer`."""


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """The front end is shutting down."""

    within_us: int
    """The time within which each request, including those still to come, must get its final answer."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another front end."""

    peer: int
    """The number of the front end that sent the message."""
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
