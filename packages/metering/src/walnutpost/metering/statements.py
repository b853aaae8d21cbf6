"""The statement of an hour: its amounts by account, as a function of the facts."""

from __future__ import annotations

from walnutpost.metering.amounts import Account, Amount, Cause, Statement, add_to
from walnutpost.metering.facts import LedgerFacts
from walnutpost.metering.ledger_records import WorkerIncarnation
from walnutpost.metering.records import UNATTRIBUTED
from walnutpost.metering.units import HOUR_US

NO_FUNCTION = ""


def build_statement(facts: LedgerFacts, max_silence_us: int, hour_us: int, now_us: int) -> Statement:
    """Return the statement of an hour as of `now_us`. Accounts without an amount are left out."""
    statement: Statement = {}
    _add_counted(statement, facts, hour_us)
    _add_gaps(statement, facts, hour_us)
    _add_samples(statement, facts, hour_us)
    for incarnation in facts.incarnations.values():
        _subtract_excess(statement, facts, incarnation, hour_us)
        silent_us = _silent_us(facts, incarnation, max_silence_us, hour_us, now_us)
        upper_bound_mb_us = incarnation.memory_mb * silent_us
        _add_unattributed(statement, Cause.SILENT, Amount(0, 0, upper_bound_mb_us))
    return statement


def _add_unattributed(statement: Statement, cause: str, amount: Amount) -> None:
    if amount:
        add_to(statement, Account(UNATTRIBUTED, NO_FUNCTION, cause), amount)


def _add_counted(statement: Statement, facts: LedgerFacts, hour_us: int) -> None:
    """Add what workers counted. For contradictory reports, the lower bound is 0."""
    for account, mb_us in facts.slices.totals(hour_us).items():
        lower_bound = 0 if account.cause == Cause.CONTRADICTION else mb_us
        if mb_us:
            add_to(statement, account, Amount(mb_us, lower_bound, mb_us))


def _add_gaps(statement: Statement, facts: LedgerFacts, hour_us: int) -> None:
    for gap in facts.gaps.values():
        if gap.hour_us == hour_us:
            _add_unattributed(statement, gap.cause, Amount(0, 0, gap.upper_bound_mb_us))


def _add_samples(statement: Statement, facts: LedgerFacts, hour_us: int) -> None:
    """Add the estimates for workers without an incarnation that started by the end of the hour."""
    end_us = hour_us + HOUR_US
    first_starts_us = _first_starts_us(facts)
    for sample in facts.samples.values():
        reports_usage = first_starts_us.get(sample.worker, end_us) < end_us
        if sample.hour_us == hour_us and not reports_usage and sample.amount:
            add_to(statement, Account(sample.tenant, sample.function, Cause.ESTIMATED), sample.amount)


def _first_starts_us(facts: LedgerFacts) -> dict[str, int]:
    """Return when the first known incarnation of each worker started."""
    starts_us: dict[str, int] = {}
    for incarnation in facts.incarnations.values():
        known_us = starts_us.get(incarnation.worker, incarnation.started_us)
        starts_us[incarnation.worker] = min(incarnation.started_us, known_us)
    return starts_us


def _subtract_excess(
    statement: Statement, facts: LedgerFacts, incarnation: WorkerIncarnation, hour_us: int
) -> None:
    """Reduce the lower bound by the memory-time that a worker's copies used beyond its memory."""
    time_us = min(hour_us + HOUR_US, incarnation.last_heard_us) - max(hour_us, incarnation.started_us)
    capacity_mb_us = incarnation.memory_mb * max(0, time_us)
    excess_mb_us = facts.slices.memory_time(incarnation.key, hour_us) - capacity_mb_us
    if excess_mb_us > 0:
        _add_unattributed(statement, Cause.OVER_CAPACITY, Amount(0, -excess_mb_us, 0))


def _silent_us(
    facts: LedgerFacts, incarnation: WorkerIncarnation, max_silence_us: int, hour_us: int, now_us: int
) -> int:
    """Return for how much of an hour a worker may have used memory after its last report."""
    end_us = hour_us + HOUR_US
    last_heard_us = incarnation.last_heard_us
    silence_ends_us = last_heard_us + max_silence_us
    if end_us <= last_heard_us or silence_ends_us <= hour_us:
        return 0
    if incarnation.is_draining and not facts.slices.has_loaded(incarnation.key):
        return 0
    next_start_us = _next_start_us(facts, incarnation)
    may_still_report = end_us > now_us and next_start_us is None and silence_ends_us > now_us
    if may_still_report:
        return 0
    until_us = min(end_us, now_us, silence_ends_us)
    if next_start_us is not None:
        until_us = min(until_us, next_start_us)
    return max(0, until_us - max(hour_us, last_heard_us))


def _next_start_us(facts: LedgerFacts, incarnation: WorkerIncarnation) -> int | None:
    """Return when the worker's next incarnation started, or None if this is the latest."""
    return min(
        (
            other.started_us
            for other in facts.incarnations.values()
            if other.worker == incarnation.worker and other.started_us > incarnation.started_us
        ),
        default=None,
    )
