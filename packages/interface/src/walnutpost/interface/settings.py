"""The settings of one front end: classes of requests, limits, guards and prices."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.interface.vocabulary import Effect, Group


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Objectives, deadline, weights and repeat semantics of a class of requests."""

    latency_objective_us: int  # the latency that an answer should meet
    deadline_us: int
    priority_weight: float
    late_priority_weight: float  # of an answer after the objective
    effect: Effect
    group: Group
    repeat_window_us: int  # for which workers remember an idempotency key
    is_stream: bool
    objective_stretch: float


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's share of the served requests, from 0 to 1, and its quota in requests per second."""

    share: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Limits:
    """What the policy may do with a request."""

    may_cancel: bool
    may_probe: bool
    may_run_parallel_attempts: bool
    may_send_retry_after: bool
    max_attempts: int
    max_retry_after_us: int


@dataclass(frozen=True, slots=True)
class Guards:
    """The figures of the rules; a zero means that the rule is not set."""

    answer_slack_us: int
    drain_grace_us: int  # after a worker began to drain, in which sends may still begin there
    warm_up_us: int  # after a worker's start
    start_capacity: float  # the part of its capacity that a worker starts with
    overload_factor: float  # times its mean load that a worker bears ...
    overload_window_us: int  # ... within this window
    watch_within_us: int  # in which the endpoint list must be fetched
    free_load_orders: float  # in a window, independent of the requests in it
    load_orders_per_request: float
    load_order_window_us: int


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs in the weight of one served request."""

    cross_zone: float
    waste: float
    probe: float
    fetch: float
    late_failure: float
    idle_copies: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that the policy is configured with.

    `is_ideal_network`: a load order reaches its worker as it is given and each request is genuine, as in the
    simulator. On a real one orders may arrive much later, and clients may copy or invent requests.
    `are_restarts_unseen`: an earlier process under the same name may have ended just before this one began,
    without any trace of it.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    limits: Limits
    guards: Guards
    prices: Prices
    zone: int
    front_ends: int  # how many share the workers, with this one
    index: int  # of this one among them
    tick_us: int  # the resolution of the clock
    keep_alive_us: int  # for which a worker keeps an unused copy
    load_order_timeout_us: int
    may_order_loads: bool
    loads_on_miss: bool  # a request without a copy loads one; else it ends as MISS
    reports_warmth: bool
    reports_crowd: bool
    must_watch_endpoints: bool  # the endpoint list comes only on request
    has_weights: bool
    weighs_priority_by_work: bool
    over_share_weight: float  # factor on the priority of what a tenant asks beyond its share
    report_fields: tuple[str, ...]
    memory_mb_by_kind: tuple[float, ...]
    is_ideal_network: bool = False
    are_restarts_unseen: bool = False
