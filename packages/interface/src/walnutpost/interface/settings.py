"""The settings of one front end: request classes, tenants, limits, guards and prices."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.interface.vocabulary import DedupScope, Effect


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The latency objective, deadline, priority weights and idempotency of a class of requests."""

    latency_objective_us: int
    """The latency that an answer should not exceed."""
    deadline_us: int
    """The time after which the client no longer waits for an answer."""
    priority_weight: float
    """The weight of an answer that meets the latency objective."""
    late_priority_weight: float
    """The weight of an answer that misses the latency objective."""
    effect: Effect
    """The effect of running a request of this class a second time."""
    dedup_scope: DedupScope
    """The workers that drop duplicates of a KEYED request together; meaningless for other effects."""
    repeat_window_us: int
    """How long workers remember an idempotency key."""
    is_stream: bool
    """Whether answers are streamed; the policy does not cancel attempts of such requests."""
    objective_stretch: float
    """The factor that extends the latency objective; 0 if not set."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of the capacity and its quota."""

    share: float
    """The part of the served requests that the tenant is entitled to, from 0 to 1."""
    quota_per_s: float
    """The tenant's quota in requests per second; 0 means no quota."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the policy may do to serve a request."""

    may_cancel: bool
    """Whether attempts may be cancelled."""
    may_probe: bool
    """Whether workers may be probed."""
    may_run_parallel_attempts: bool
    """Whether several attempts of a request may be in flight at the same time."""
    may_send_retry_after: bool
    """Whether a rejection may tell the client how long to wait before it retries."""
    max_attempts: int
    """The maximum number of attempts of a request."""
    max_retry_after_us: int
    """The longest wait that a rejection may advise."""


@dataclass(frozen=True, slots=True)
class Guards:
    """The parameters of the rules that the policy must not break; a zero means that the rule is not set."""

    answer_slack_us: int
    """How long after its deadline a request may still be answered."""
    drain_grace_us: int
    """How long attempts and load orders may still begin at a worker after it starts to drain."""
    warm_up_us: int
    """How long after its start a worker is warming up."""
    start_capacity: float
    """The fraction of its capacity that a worker has at its start; it grows to 1 during the warm-up."""
    overload_factor: float
    """The load that a worker tolerates in `overload_window_us`, as a multiple of the mean load per worker."""
    overload_window_us: int
    """The window in which the load of a worker is measured."""
    watch_within_us: int
    """The time within which the endpoint list must be requested."""
    free_load_orders: float
    """How many load orders a window allows regardless of the requests in it."""
    load_orders_per_request: float
    """How many more load orders a window allows for each request in it."""
    load_order_window_us: int
    """The length of the sliding window in which load orders and requests are counted."""


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs of the policy's decisions, in units of the priority weight of one served request.

    Only `probe`, the cost of a health check, influences the policy.
    """

    cross_zone: float
    waste: float
    probe: float
    fetch: float
    late_failure: float
    idle_copies: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete configuration of the policy."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    guards: Guards
    prices: Prices
    zone: int
    """The number of the front end's own zone."""
    front_ends: int
    """The number of front ends that share the workers, including this one."""
    index: int
    """The index of this front end among them, from 0."""
    tick_us: int
    """The resolution of the clock."""
    keep_alive_us: int
    """How long a worker keeps an unused copy; 0 if unknown."""
    load_order_timeout_us: int
    """The time after which an unanswered load order ends as TIMEOUT."""
    may_order_loads: bool
    """Whether the policy may send load orders."""
    loads_on_miss: bool
    """Whether a worker without a copy loads one for a request; if not, the attempt ends as MISS."""
    reports_warmth: bool
    """Whether workers report `AttemptEnded.warmth`."""
    reports_crowd: bool
    """Whether workers report `AttemptEnded.crowd`."""
    must_watch_endpoints: bool
    """Whether the endpoint list arrives only after a `WatchEndpoints` action."""
    has_endpoint_weights: bool
    """Whether the endpoint list has weights; if not, a worker's weight follows from its memory."""
    weighs_priority_by_work: bool
    """Whether priority is weighted by the work of a request."""
    over_share_weight: float
    """The factor on the priority of requests beyond their tenant's share."""
    report_fields: tuple[str, ...]
    """The names of the values in a load report, in order; "busy" and "queue" are examples."""
    memory_mb_by_kind: tuple[float, ...]
    """The memory of a worker in megabytes, by `Worker.kind`."""
    is_ideal_network: bool = False
    """Whether each load order reaches its worker at once and each request is genuine, as in the simulator.

    On a real network, load orders may arrive much later, and clients may duplicate or forge requests.
    """
    may_miss_restarts: bool = False
    """Whether a previous process of the same name may have ended just before this start without any trace."""
