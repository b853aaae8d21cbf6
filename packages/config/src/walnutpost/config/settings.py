"""From a checked configuration to what the gateway is given."""

from __future__ import annotations

import json
from collections.abc import Sequence

from walnutpost import interface as api
from walnutpost.config.base import address_of
from walnutpost.config.model import Config, FunctionLine, Metering, Site, WorkerLine
from walnutpost.cron import MissedPolicy, OverlapPolicy, Schedule, select_owner
from walnutpost.gateway import Catalogue, Function, ListedWorker
from walnutpost.metering import HOUR, Action, Budget, Policy


def us(ms: float) -> int:
    return round(ms * 1000)


def function(name: str, line: FunctionLine, classes: Sequence[str]) -> Function:
    """`classes`: in the order of the Router's settings. Raises ValueError where it lacks the line's."""
    return Function(
        name,
        classes.index(line.class_),
        line.memory_mb,
        float(line.lanes),
        us(line.load_ms),
        us(line.cost_ms) if line.cost_ms is not None else None,
        line.version,
    )


def catalogue(site: Site) -> Catalogue:
    classes = list(site.classes)
    functions = {name: function(name, f, classes) for name, f in site.functions.items()}
    return Catalogue(functions, tuple(site.tenants), site.default_tenant)


def router_settings(config: Config) -> api.Settings:
    site, front = config.site, config.front
    rules, limits = site.rules, site.limits
    return api.Settings(
        classes=tuple(
            api.RequestClass(
                us(c.aim_ms),
                us(c.deadline_ms),
                c.worth,
                c.late_worth,
                api.Effect(c.effect),
                api.Group(c.group),
                us(c.window_ms),
                False,
                0.0,
            )
            for c in site.classes.values()
        ),
        tenants=tuple(api.Tenant(t.share, t.quota_per_s) for t in site.tenants.values()),
        limits=api.Limits(
            True,
            True,
            limits.parallel_tries,
            limits.retry_after,
            limits.max_attempts,
            us(limits.max_retry_after_ms),
        ),
        guards=api.Guards(
            us(rules.answer_slack_ms),
            us(rules.drain_grace_ms),
            us(rules.cold_ms),
            rules.start_capacity,
            rules.overload_factor,
            us(rules.overload_for_ms),
            0,
            rules.free_loads,
            rules.load_share,
            us(rules.load_window_ms),
        ),
        prices=api.Prices(0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
        zone=site.zones.index(front.zone) if front.zone else 0,
        front_ends=front.front_ends,
        index=front.index,
        tick_us=us(front.tick_ms),
        keep_alive_us=us(site.keep_alive_ms),
        load_order_timeout_us=us(site.order_timeout_ms),
        may_order_loads=True,
        loads_on_miss=site.on_absence == "load",
        reports_warmth=True,
        reports_crowd=True,
        must_watch_endpoints=False,
        has_weights=False,
        weighs_priority_by_work=False,
        over_share_weight=site.over_share_worth,
        report_fields=tuple(site.reports),
        memory_mb_by_kind=tuple(k.memory_mb for k in site.kinds.values()),
    )


def schedules(config: Config) -> list[Schedule]:
    """All schedules of the configuration, whoever's they are."""
    site = config.site
    out = []
    for name, line in config.schedules.items():
        effect = site.classes[site.functions[line.function].class_].effect
        out.append(
            Schedule(
                name,
                line.cron,
                line.zone,
                line.function,
                line.tenant,
                json.dumps(line.payload).encode(),
                us(line.deadline_ms),
                us(line.jitter_ms),
                MissedPolicy(line.missed),
                us(line.missed_age_ms),
                OverlapPolicy(line.overlap),
                line.pause,
                line.owner,
                effect != "safe",
            )
        )
    return out


def own_schedules(config: Config) -> list[Schedule]:
    """Those that this front end fires."""
    front = config.front
    return [s for s in schedules(config) if select_owner(s, front.front_ends) == front.index]


def meter_policy(line: Metering) -> Policy:
    hours = line.keep_slices_h * HOUR
    days = (24 * line.keep_hours_d * HOUR, 24 * line.keep_days_d * HOUR)
    return Policy(us(line.close_after_ms), hours, *days, us(line.silent_ms))


def budgets(line: Metering) -> list[Budget]:
    return [
        Budget(
            tenant,
            round(b.mb_s * 1_000_000),
            HOUR if b.period == "hour" else 24 * HOUR,
            b.near,
            b.back,
            Action(b.action),
        )
        for tenant, b in line.budgets.items()
    ]


def worker_lines(
    site: Site, lines: Sequence[WorkerLine]
) -> tuple[tuple[ListedWorker, ...], dict[str, tuple[str, int]], set[str]]:
    """What the gateway is told, the addresses, and which workers are leaving."""
    kinds = list(site.kinds)
    told = tuple(
        ListedWorker(
            w.name,
            site.zones.index(w.zone) if w.zone in site.zones else 0,
            kinds.index(w.kind) if w.kind in kinds else 0,
            w.cell,
            api.WorkerState(w.state),
            w.weight,
            round(w.started_at * 1_000_000),
        )
        for w in lines
    )
    addresses = {w.name: address_of(w.address) for w in lines}
    return told, addresses, {w.name for w in lines if w.state == "draining"}
