"""Builds the usage metering of a front end from the `metering` section."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.config.conversion import build_budgets, build_metering_policy, ms_to_us
from walnutpost.daemon.environment import Environment
from walnutpost.daemon.ledger_writer import LedgerWriter
from walnutpost.daemon.metering import BudgetMonitor, UsageMetering, record_crash_gap
from walnutpost.daemon.usage_collector import UsageCollector
from walnutpost.daemon.usage_observer import FunctionSizes, UsageObserver
from walnutpost.gateway import Catalogue
from walnutpost.metering import Budgets, Ledger, UsageSampler
from walnutpost.store import UsageStore
from walnutpost.workerclient import WorkerClient


@dataclass(frozen=True, slots=True)
class MeteringParts:
    """The usage metering, and its observer of the dispatcher's calls."""

    metering: UsageMetering
    observer: UsageObserver


def build_metering(
    environment: Environment, catalogue: Catalogue, worker_client: WorkerClient
) -> MeteringParts | None:
    """Open the ledger and build the metering; return None without a `metering` section."""
    section = environment.config.metering
    if section is None:
        return None
    loop, site, log = environment.loop, environment.config.site, environment.log
    now = loop.now()
    store = UsageStore(loop, environment.base / section.file)
    saved, last_run = store.load()
    ledger = Ledger(build_metering_policy(section), saved, now)
    keep_alive_us, write_interval_us = ms_to_us(site.keep_alive_ms), ms_to_us(section.write_interval_ms)
    sampler = UsageSampler(now, FunctionSizes(catalogue.functions), keep_alive_us)
    max_deadline_us = max(ms_to_us(each.deadline_ms) for each in site.classes.values())
    record_crash_gap(ledger, last_run, write_interval_us + max_deadline_us + keep_alive_us, log)
    budgets = Budgets(build_budgets(section))
    metering = UsageMetering(
        loop,
        ledger,
        UsageCollector(loop, worker_client, ledger, sampler, log),
        BudgetMonitor(ledger, budgets, log),
        LedgerWriter(loop, store, ledger, sampler, write_interval_us, log),
        ms_to_us(section.fetch_interval_ms),
    )
    return MeteringParts(metering, UsageObserver(loop, sampler, budgets, site.default_tenant))
