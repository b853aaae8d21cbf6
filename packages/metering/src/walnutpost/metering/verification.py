"""Verification of ledgers: bookings against slices, and slices against workers' exports. No I/O.

Differences are returned as the texts that `walnutpost usage verify` prints.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from walnutpost.metering.allocation import allocate_slice
from walnutpost.metering.amounts import ZERO, Account, Amount, Statement, add_to
from walnutpost.metering.errors import InvalidReportError, InvalidSliceError
from walnutpost.metering.ledger import Ledger
from walnutpost.metering.persistence import LedgerExtract
from walnutpost.metering.policy import MeteringPolicy
from walnutpost.metering.records import SliceKey, UsageReport, UsageSlice
from walnutpost.metering.validation import check_report, check_slice


def verify_bookings(extract: LedgerExtract, policy: MeteringPolicy, now_us: int) -> list[str]:
    """Recompute the statements of closed hours, and return the differences from the bookings.

    The bookings of each closed hour whose slices are retained must equal its statement, and the charges of
    each slice must add up to its memory-time.
    """
    state = extract.state
    ledger = Ledger(policy, state, now_us)
    booked: dict[int, Statement] = defaultdict(dict)
    for line in extract.hour_lines:
        add_to(booked[line.hour_us], line.account, line.amount)
    differences = []
    for hour_us in sorted({usage.hour_us for usage in state.slices} | set(booked)):
        if state.drop_before_us <= hour_us < state.closed_to_us:
            differences += _compare_hour(hour_us, ledger.statement(hour_us, now_us), booked[hour_us])
    for usage in state.slices:
        differences += _check_charges(usage)
    return differences


def _compare_hour(hour_us: int, statement: Statement, booked: Statement) -> list[str]:
    differences = []
    for account in sorted({*statement, *booked}):
        expected = statement.get(account, ZERO)
        found = booked.get(account, ZERO)
        if expected != found:
            figures = f"booked {_format_amount(found)}, wanted {_format_amount(expected)}"
            differences.append(f"hour {hour_us}, {_format_account(account)}: {figures}")
    return differences


def _check_charges(usage: UsageSlice) -> list[str]:
    charged = sum(allocate_slice(usage).values())
    if charged == usage.memory_time:
        return []
    key = _format_key(usage.key)
    return [f"copy {key}: its parts add up to {charged}, wanted {usage.memory_time}"]


def compare_with_reports(extract: LedgerExtract, reports: Iterable[UsageReport], now_us: int) -> list[str]:
    """Return the differences between a ledger's slices and those in workers' exported reports.

    Hours that are dropped, or that were open at the time of the export, are skipped.
    """
    ledger_slices = {usage.key: usage for usage in extract.state.slices}
    differences = []
    for report in reports:
        try:
            check_report(report, report.worker, now_us)
        except InvalidReportError as error:
            differences.append(f"export of {report.worker}: {error}")
            continue
        for usage in report.slices:
            if usage.is_final and usage.hour_us >= extract.state.drop_before_us:
                differences += _compare_slice(usage, report, ledger_slices.get(usage.key))
    return differences


def _compare_slice(usage: UsageSlice, report: UsageReport, stored: UsageSlice | None) -> list[str]:
    try:
        check_slice(usage, report)
    except InvalidSliceError as error:
        return [f"export of {report.worker}: copy {usage.copy}: {error}"]
    exported = f"copy {_format_key(usage.key)}: {usage.memory_time} MB-us in the export"
    if stored is None:
        return [f"{exported}, none in the ledger"]
    ledger_values = (stored.memory_time, stored.running_us, stored.idle_us)
    if ledger_values != (usage.memory_time, usage.running_us, usage.idle_us):
        return [f"{exported}, {stored.memory_time} in the ledger"]
    return []


# The text formats are those of earlier versions.


def _format_key(key: SliceKey) -> str:
    return repr(tuple(key))


def _format_account(account: Account) -> str:
    names = f"tenant={account.tenant!r}, function={account.function!r}, cause={str(account.cause)!r}"
    return f"Account({names})"


def _format_amount(amount: Amount) -> str:
    return f"Amount(best={amount.best}, least={amount.lower_bound}, most={amount.upper_bound})"
