"""What goes into and comes out of the decision module: settings, events and actions.

Types only; every decision lives in policy. Times and durations are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """What a second run of a request of the class would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which workers drop repeats of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt, a probe or a hold order ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"


class WorkerState(Enum):
    GONE = "gone"
    DRAINING = "draining"
    READY = "ready"


class ListKind(Enum):
    FAILED = "failed"
    CACHED = "cached"
    DELTA = "delta"
    FULL = "full"


class Warmth(IntEnum):
    """What an answer told of the copy that served it."""

    UNTOLD = 0
    STOOD = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim: int
    deadline: int
    worth: float
    late_worth: float
    effect: Effect
    group: Group
    window: int
    stream: bool
    aim_stretch: float


@dataclass(frozen=True, slots=True)
class Tenant:
    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Limits:
    cancel: bool
    probes: bool
    parallel_tries: bool
    retry_after: bool
    max_attempts: int
    max_retry_after: int


@dataclass(frozen=True, slots=True)
class Guards:
    """The figures of the rules; a zero says that the rule is not set."""

    answer_slack: int
    drain_grace: int
    cold_for: int
    start_capacity: float
    overload_factor: float
    overload_for: int
    ask_within: int
    free_loads: float
    load_share: float
    load_window: int


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float
    waste: float
    probe: float
    fetch: float
    late_fail: float
    idle_copies: float


@dataclass(frozen=True, slots=True)
class Settings:
    """`ideal_network`: a hold order reaches its worker as it is given and each request is genuine, as in the
    simulator. On a real one orders may arrive much later, and clients may copy or invent requests.
    `restarts_unseen`: an earlier life under the same name may have ended just before this one began, and
    nothing tells of it."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    guards: Guards
    prices: Prices
    zone: int
    front_ends: int
    index: int
    tick: int
    keep_alive: int
    order_timeout: int
    may_load: bool
    loads_on_miss: bool
    tells_warmth: bool
    tells_crowd: bool
    must_ask_list: bool
    weighted: bool
    worth_by_work: bool
    over_share_worth: float
    report_fields: tuple[str, ...]
    memory_by_kind: tuple[float, ...]
    ideal_network: bool = False
    restarts_unseen: bool = False


@dataclass(frozen=True, slots=True)
class Worker:
    id: int
    zone: int
    kind: int
    cell: int
    state: WorkerState
    weight: float
    started_at: int


@dataclass(frozen=True, slots=True)
class WorkersListed:
    kind: ListKind
    version: int
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """`waited` is the longest time for which the request may have been there before it was read; `time_left`
    counts from now."""

    request: int
    class_index: int
    tenant: int
    function: int
    time_left: int
    cost_hint: int | None
    memory_mb: float
    lanes: float
    load_time: int
    repeat: bool
    waited: int = 0


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    request: int
    attempt: int
    worker: int
    latency: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    worker: int
    outcome: Outcome
    latency: int
    finished: bool
    warmth: Warmth
    crowd: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class RequestGone:
    request: int


@dataclass(frozen=True, slots=True)
class HoldEnded:
    """How a hold order ended. MOOT and CONNECT_FAILED: it never reaches the worker whole. RESET and TIMEOUT:
    it may have, or may still (a stopped worker reads what its kernel holds, also after a reset). Any other
    outcome: the worker has answered it. `wanted` repeats the order's copies, and is 0 where it only asked or
    where the transport does not tell."""

    worker: int
    function: int
    outcome: Outcome
    latency: int
    copies: int
    wanted: int = 0


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    worker: int
    outcome: Outcome
    latency: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class TimerDue:
    token: int


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """Every request, also one that comes later, gets its final answer within so long."""

    within: int


@dataclass(frozen=True, slots=True)
class PeerSaid:
    peer: int
    data: bytes


Event = (
    WorkersListed
    | RequestArrived
    | AnswerStarted
    | AttemptEnded
    | RequestGone
    | HoldEnded
    | ProbeEnded
    | TimerDue
    | PeerSaid
    | ShuttingDown
)


@dataclass(frozen=True, slots=True)
class Send:
    """`latest`: for how long the decision holds, 0 for ever. Where the first byte has not left by then, the
    attempt must not begin any more and ends as MOOT."""

    request: int
    worker: int
    timeout: int
    latest: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    request: int
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Hold:
    """A hold order; zero copies only asks how many stand. `latest` as in `Send`."""

    worker: int
    function: int
    copies: int
    latest: int = 0


@dataclass(frozen=True, slots=True)
class Unload:
    worker: int
    function: int


@dataclass(frozen=True, slots=True)
class Probe:
    worker: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    worker: int


@dataclass(frozen=True, slots=True)
class FollowList:
    on: bool


@dataclass(frozen=True, slots=True)
class ReadList:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send | Refuse | Fail | Cancel | SetTimer | Hold | Unload | Probe | CloseIdle | FollowList | ReadList | Log
)
