"""Turns a checked configuration into what the gateway, the cron planner and metering are given."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass

from walnutpost import interface as api
from walnutpost.config.base import parse_address
from walnutpost.config.front_end import WorkerConfig
from walnutpost.config.metering import HOURS_PER_DAY, MeteringConfig, UsageBudgetConfig
from walnutpost.config.root import Config
from walnutpost.config.schedules import ScheduleConfig
from walnutpost.config.site import CallClass, FunctionConfig, LimitsConfig, RulesConfig, Site
from walnutpost.cron import MissedPolicy, OverlapPolicy, Schedule, select_owner
from walnutpost.gateway import Catalogue, Function, ListedWorker
from walnutpost.metering import HOUR_US, Budget, BudgetAction, MeteringPolicy

US_PER_MS = 1000
US_PER_S = 1_000_000
FREE_OF_CHARGE = api.Prices(
    cross_zone=0.0,
    waste=0.0,
    probe=0.0,
    fetch=0.0,
    late_failure=0.0,
    idle_copies=0.0,
)


def ms_to_us(duration_ms: float) -> int:
    """Convert milliseconds to whole microseconds."""
    return round(duration_ms * US_PER_MS)


# Functions and tenants


def build_function(name: str, function: FunctionConfig, classes: Sequence[str]) -> Function:
    """Build a function. `classes`: in the order of the policy's settings.

    Raises ValueError if the function's class is none of them.
    """
    return Function(
        name,
        class_index=classes.index(function.class_),
        memory_mb=function.memory_mb,
        concurrency=float(function.concurrency),
        load_time_us=ms_to_us(function.load_time_ms),
        cost_hint_us=ms_to_us(function.cost_hint_ms) if function.cost_hint_ms is not None else None,
        version=function.version,
    )


def build_catalogue(site: Site) -> Catalogue:
    """Build the functions and tenants that can be named."""
    classes = list(site.classes)
    functions = {name: build_function(name, each, classes) for name, each in site.functions.items()}
    return Catalogue(functions, tuple(site.tenants), site.default_tenant)


# Settings of the policy


def build_router_settings(config: Config) -> api.Settings:
    """Build the settings of a front end's policy."""
    site, front = config.site, config.front
    return api.Settings(
        classes=tuple(_build_class(each) for each in site.classes.values()),
        tenants=tuple(api.Tenant(each.share, each.quota_per_s) for each in site.tenants.values()),
        limits=_build_limits(site.limits),
        guards=_build_guards(site.rules),
        prices=FREE_OF_CHARGE,
        zone=site.zones.index(front.zone) if front.zone else 0,
        front_ends=front.front_ends,
        index=front.index,
        tick_us=ms_to_us(front.tick_ms),
        keep_alive_us=ms_to_us(site.keep_alive_ms),
        load_order_timeout_us=ms_to_us(site.load_order_timeout_ms),
        may_order_loads=True,
        loads_on_miss=site.on_absence == "load",
        reports_warmth=True,
        reports_crowd=True,
        must_watch_endpoints=False,
        has_endpoint_weights=False,
        weighs_priority_by_work=False,
        over_share_weight=site.over_share_weight,
        report_fields=tuple(site.report_fields),
        memory_mb_by_kind=tuple(kind.memory_mb for kind in site.kinds.values()),
    )


def _build_class(call_class: CallClass) -> api.RequestClass:
    return api.RequestClass(
        latency_objective_us=ms_to_us(call_class.latency_objective_ms),
        deadline_us=ms_to_us(call_class.deadline_ms),
        priority_weight=call_class.priority_weight,
        late_priority_weight=call_class.late_priority_weight,
        effect=api.Effect(call_class.effect),
        dedup_scope=api.DedupScope(call_class.group),
        repeat_window_us=ms_to_us(call_class.repeat_window_ms),
        is_stream=False,
        objective_stretch=0.0,
    )


def _build_limits(limits: LimitsConfig) -> api.Limits:
    return api.Limits(
        may_cancel=True,
        may_probe=True,
        may_run_parallel_attempts=limits.may_run_parallel_attempts,
        may_send_retry_after=limits.may_send_retry_after,
        max_attempts=limits.max_attempts,
        max_retry_after_us=ms_to_us(limits.max_retry_after_ms),
    )


def _build_guards(rules: RulesConfig) -> api.Guards:
    return api.Guards(
        answer_slack_us=ms_to_us(rules.answer_slack_ms),
        drain_grace_us=ms_to_us(rules.drain_grace_ms),
        warm_up_us=ms_to_us(rules.warm_up_ms),
        start_capacity=rules.start_capacity,
        overload_factor=rules.overload_factor,
        overload_window_us=ms_to_us(rules.overload_window_ms),
        watch_within_us=0,
        free_load_orders=rules.free_load_orders,
        load_orders_per_request=rules.load_orders_per_request,
        load_order_window_us=ms_to_us(rules.load_order_window_ms),
    )


# Schedules


def build_schedules(config: Config) -> list[Schedule]:
    """Build all schedules of the configuration, whichever front end fires them."""
    return [_build_schedule(name, each, config.site) for name, each in config.schedules.items()]


def build_own_schedules(config: Config) -> list[Schedule]:
    """Build the schedules that this front end fires."""
    front = config.front
    return [each for each in build_schedules(config) if select_owner(each, front.front_ends) == front.index]


def _build_schedule(name: str, schedule: ScheduleConfig, site: Site) -> Schedule:
    effect = site.classes[site.functions[schedule.function].class_].effect
    return Schedule(
        name,
        cron=schedule.cron,
        zone=schedule.zone,
        function=schedule.function,
        tenant=schedule.tenant,
        payload=json.dumps(schedule.payload).encode(),
        deadline_us=ms_to_us(schedule.deadline_ms),
        jitter_us=ms_to_us(schedule.jitter_ms),
        missed_policy=MissedPolicy(schedule.missed),
        max_missed_age_us=ms_to_us(schedule.missed_age_ms),
        overlap_policy=OverlapPolicy(schedule.overlap),
        is_paused=schedule.is_paused,
        owner_index=schedule.owner,
        is_unsafe=effect != "safe",
    )


# Metering


def build_metering_policy(metering: MeteringConfig) -> MeteringPolicy:
    """Build the policy by which a ledger closes hours and drops old records."""
    return MeteringPolicy(
        ms_to_us(metering.close_after_ms),
        metering.slice_retention_hours * HOUR_US,
        HOURS_PER_DAY * metering.hour_retention_days * HOUR_US,
        HOURS_PER_DAY * metering.day_retention_days * HOUR_US,
        ms_to_us(metering.max_silence_ms),
    )


def build_budgets(metering: MeteringConfig) -> list[Budget]:
    """Build the tenants' budgets of memory-time."""
    return [_build_budget(tenant, each) for tenant, each in metering.budgets.items()]


def _build_budget(tenant: str, budget: UsageBudgetConfig) -> Budget:
    return Budget(
        tenant,
        round(budget.mb_s * US_PER_S),
        HOUR_US if budget.period == "hour" else HOURS_PER_DAY * HOUR_US,
        budget.warning_ratio,
        budget.hysteresis_ratio,
        BudgetAction(budget.action),
    )


# Workers


@dataclass(frozen=True, slots=True)
class EndpointList:
    """Listed workers for the gateway; the addresses and the draining ones by name for the connections."""

    workers: tuple[ListedWorker, ...]
    addresses: dict[str, tuple[str, int]]
    draining: set[str]


def build_endpoint_list(site: Site, workers: Sequence[WorkerConfig]) -> EndpointList:
    """Build the endpoint list; a zone or kind that the site does not name counts as its first."""
    return EndpointList(
        workers=tuple(_build_listed_worker(site, worker) for worker in workers),
        addresses={worker.name: parse_address(worker.address) for worker in workers},
        draining={worker.name for worker in workers if worker.state == "draining"},
    )


def _build_listed_worker(site: Site, worker: WorkerConfig) -> ListedWorker:
    kinds = list(site.kinds)
    return ListedWorker(
        worker.name,
        zone=site.zones.index(worker.zone) if worker.zone in site.zones else 0,
        kind=kinds.index(worker.kind) if worker.kind in kinds else 0,
        cell=worker.cell,
        state=api.WorkerState(worker.state),
        weight=worker.weight,
        started_at_us=round(worker.started_at * US_PER_S),
    )
