"""The `site` section: what is the same for every front end and worker.

Durations end in `_ms` and are milliseconds; memory is in MB.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints, model_validator

from walnutpost.config.base import Milliseconds, Name, Ratio, StrictModel

MAX_CLASSES = 64
MAX_CONCURRENCY = 1024
RESERVED_TENANT = "-"  # stands for calls without a tenant


class CallClass(StrictModel):
    """A class of calls.

    An answer within `latency_objective_ms` counts with the full priority weight, a later one with the late
    one; after `deadline_ms` the caller has left. For `repeat_window_ms` workers remember an idempotency key.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    latency_objective_ms: Milliseconds = Field(alias="aim_ms")
    deadline_ms: Milliseconds
    priority_weight: float = Field(1.0, alias="worth", ge=0)
    late_priority_weight: Ratio = Field(0.0, alias="late_worth")
    group: Literal["all", "zone", "cell"] = "all"
    repeat_window_ms: Milliseconds = Field(0.0, alias="window_ms")

    @model_validator(mode="after")
    def _check_durations(self) -> CallClass:
        if not 0 < self.latency_objective_ms <= self.deadline_ms:
            raise ValueError("0 < aim_ms <= deadline_ms")
        if self.effect == "keyed" and not self.repeat_window_ms:
            raise ValueError("window_ms above 0 where effect is keyed")
        return self


class FunctionConfig(StrictModel):
    """A function: memory and concurrency (key `lanes`) of one copy, hints for the first choices."""

    class_: Name = Field(alias="class")
    memory_mb: float = Field(gt=0)
    concurrency: int = Field(1, alias="lanes", ge=1, le=MAX_CONCURRENCY)
    load_time_ms: Milliseconds = Field(0.0, alias="load_ms")
    cost_hint_ms: float | None = Field(None, alias="cost_ms", gt=0)
    version: Annotated[str, StringConstraints(pattern=r"^[0-9]{1,18}$")] = "1"


class TenantConfig(StrictModel):
    """A tenant's share of what is served, and its quota in requests per second (0: none)."""

    share: Ratio = 1.0
    quota_per_s: float = Field(0.0, ge=0)


class WorkerKindConfig(StrictModel):
    """A kind of worker, by its memory."""

    memory_mb: float = Field(gt=0)


class RulesConfig(StrictModel):
    """The figures of the five rules; 0 for one that is not set."""

    answer_slack_ms: Milliseconds = 16.0
    drain_grace_ms: Milliseconds = 2000.0
    warm_up_ms: Milliseconds = Field(0.0, alias="cold_ms")
    start_capacity: Ratio = 1.0
    overload_factor: float = Field(1.0, ge=0)
    overload_window_ms: Milliseconds = Field(0.0, alias="overload_for_ms")
    load_order_window_ms: Milliseconds = Field(0.0, alias="load_window_ms")
    free_load_orders: float = Field(0.0, alias="free_loads", ge=0)
    load_orders_per_request: float = Field(0.0, alias="load_share", ge=0)


class LimitsConfig(StrictModel):
    """What may be done for a call: attempts, hedged requests, Retry-After."""

    max_attempts: int = Field(5, ge=1, le=100)
    may_run_parallel_attempts: bool = Field(True, alias="parallel_tries")
    may_send_retry_after: bool = Field(True, alias="retry_after")
    max_retry_after_ms: Milliseconds = 2000.0


class Site(StrictModel):
    """The section itself. The order of classes, tenants, zones and kinds gives them their numbers."""

    classes: dict[Name, CallClass] = Field(min_length=1, max_length=MAX_CLASSES)
    functions: dict[Name, FunctionConfig] = Field(min_length=1)
    tenants: dict[Name, TenantConfig] = {}
    default_tenant: Name | None = None
    zones: list[Name] = ["here"]
    kinds: dict[Name, WorkerKindConfig] = {}
    rules: RulesConfig = RulesConfig()
    limits: LimitsConfig = LimitsConfig()
    keep_alive_ms: Milliseconds = 10_000.0
    load_order_timeout_ms: Milliseconds = Field(10_000.0, alias="order_timeout_ms")
    on_absence: Literal["miss", "load"] = "miss"
    report_fields: list[Literal["busy", "memory_tied", "queue", "loads"]] = Field(["busy"], alias="reports")
    over_share_weight: Ratio = Field(0.1, alias="over_share_worth")

    @model_validator(mode="after")
    def _check_names(self) -> Site:
        if RESERVED_TENANT in self.tenants:
            raise ValueError("tenants by names other than '-', which stands for nobody")
        unknown = sorted({each.class_ for each in self.functions.values()} - set(self.classes))
        if unknown:
            raise ValueError(
                f"functions of a known class; {', '.join(unknown)} is none of {', '.join(self.classes)}"
            )
        if self.default_tenant is not None and self.default_tenant not in self.tenants:
            raise ValueError(f"a default_tenant that is one of the tenants, not {self.default_tenant!r}")
        return self
