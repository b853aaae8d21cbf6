"""Usage figures of one ledger, or of several front ends' ledgers combined, in any grouping. No I/O.

Times are microseconds since the epoch.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from walnutpost.metering.allocation import allocate_slice
from walnutpost.metering.amounts import ZERO, Account, Amount, Cause, sum_amounts
from walnutpost.metering.ledger import Ledger
from walnutpost.metering.ledger_records import LedgerLine, LineKind
from walnutpost.metering.persistence import LedgerExtract, LedgerState
from walnutpost.metering.policy import MeteringPolicy
from walnutpost.metering.records import UsageSlice
from walnutpost.metering.units import HOUR_US, day_start_us, hour_start_us

# Fields by which figures can be grouped. The names are those of options and columns.
GROUP_FIELDS = ("tenant", "function", "cause", "kind", "hour", "day")


@dataclass(frozen=True, slots=True)
class UsageFigure:
    """An amount of the hour that starts at `start_us`, or of the day if `is_day`."""

    start_us: int
    is_day: bool
    account: Account
    kind: str
    amount: Amount


@dataclass(frozen=True, slots=True)
class _LineKey:
    start_us: int
    account: Account


def collect_figures(
    extracts: Sequence[LedgerExtract], policy: MeteringPolicy, now_us: int, since_us: int, until_us: int
) -> list[UsageFigure]:
    """Return the figures of one front end's ledger, or the combined figures of several ledgers of a site.

    For hours whose slices are retained, the slices of all ledgers are merged, so each copy counts once.
    Earlier hours have booked lines only: for each account, the greatest amount of any ledger is taken.
    Estimates are added up, since each front end estimates its own calls only.
    """
    if len(extracts) == 1:
        return _figures_of_single_ledger(extracts[0], policy, now_us, since_us, until_us)
    return _figures_of_ledgers(extracts, policy, now_us, since_us, until_us)


def _figures_of_single_ledger(
    extract: LedgerExtract, policy: MeteringPolicy, now_us: int, since_us: int, until_us: int
) -> list[UsageFigure]:
    figures = [_figure_of(line, is_day=False) for line in extract.hour_lines]
    figures += [_figure_of(line, is_day=True) for line in extract.day_lines]
    ledger = Ledger(policy, extract.state, now_us)
    first_open_us = hour_start_us(max(since_us, extract.state.closed_to_us))
    for hour_us in range(first_open_us, min(until_us, now_us + 1), HOUR_US):
        figures += _figures_of_hour(ledger, hour_us, LineKind.OPEN, now_us)
    return figures


def _figures_of_ledgers(
    extracts: Sequence[LedgerExtract], policy: MeteringPolicy, now_us: int, since_us: int, until_us: int
) -> list[UsageFigure]:
    records_since_us = max((extract.state.drop_before_us for extract in extracts), default=0)
    hour_lines = [
        [line for line in extract.hour_lines if line.hour_us < records_since_us] for extract in extracts
    ]
    figures = _combine_lines(hour_lines, is_day=False)
    figures += _combine_lines([extract.day_lines for extract in extracts], is_day=True)
    ledger = _merge_ledgers(extracts, policy, now_us)
    closed_to_us = min((extract.state.closed_to_us for extract in extracts), default=0)
    first_us = hour_start_us(max(since_us, records_since_us))
    for hour_us in range(first_us, min(until_us, now_us + 1), HOUR_US):
        kind = LineKind.CLOSED if hour_us < closed_to_us else LineKind.OPEN
        figures += _figures_of_hour(ledger, hour_us, kind, now_us)
    return figures


def _figure_of(line: LedgerLine, *, is_day: bool) -> UsageFigure:
    return UsageFigure(line.hour_us, is_day, line.account, line.kind, line.amount)


def _figures_of_hour(ledger: Ledger, hour_us: int, kind: LineKind, now_us: int) -> list[UsageFigure]:
    statement = ledger.statement(hour_us, now_us)
    return [UsageFigure(hour_us, False, account, kind, amount) for account, amount in statement.items()]


def _combine_lines(ledgers: Iterable[Iterable[LedgerLine]], *, is_day: bool) -> list[UsageFigure]:
    """Combine the lines of several ledgers into one figure for each account and hour or day."""
    by_key: dict[_LineKey, list[Amount]] = defaultdict(list)
    for lines in ledgers:
        sums: dict[_LineKey, Amount] = {}
        for line in lines:
            key = _LineKey(line.hour_us, line.account)
            sums[key] = sums.get(key, ZERO) + line.amount
        for key, amount in sums.items():
            by_key[key].append(amount)
    return [
        UsageFigure(
            key.start_us, is_day, key.account, LineKind.CLOSED, _combine_amounts(key.account, amounts)
        )
        for key, amounts in by_key.items()
    ]


def _combine_amounts(account: Account, amounts: Sequence[Amount]) -> Amount:
    if account.cause == Cause.ESTIMATED:
        return sum_amounts(amounts)
    return max(amounts, key=lambda amount: (amount.best, amount.lower_bound, amount.upper_bound))


def _merge_ledgers(extracts: Iterable[LedgerExtract], policy: MeteringPolicy, now_us: int) -> Ledger:
    ledger = Ledger(policy, LedgerState(), now_us)
    for extract in extracts:
        ledger.merge(extract.state)
    return ledger


def group_figures(
    figures: Iterable[UsageFigure],
    by: Sequence[str],
    renamed_tenants: Mapping[str, str],
    default_tenant: str = "",
) -> dict[tuple[str, ...], Amount]:
    """Sum figures by the fields `by`, which are some of GROUP_FIELDS. Keys have the order of `by`.

    A renamed tenant appears under its new name, although the ledger keeps the old one. A figure of a day
    counts as one of its first hour.
    """
    sums: dict[tuple[str, ...], Amount] = {}
    for figure in figures:
        account = figure.account
        tenant = account.tenant or default_tenant
        values = {
            "tenant": renamed_tenants.get(tenant, tenant),
            "function": account.function,
            "cause": account.cause,
            "kind": figure.kind,
            "hour": str(figure.start_us),
            "day": str(day_start_us(figure.start_us)),
        }
        key = tuple(values[field] for field in by)
        sums[key] = sums.get(key, ZERO) + figure.amount
    return dict(sorted(sums.items()))


@dataclass(frozen=True, slots=True)
class SliceCharge:
    """The memory-time of one slice that is charged to one tenant."""

    slice: UsageSlice
    tenant: str
    mb_us: int


def list_charges(
    extracts: Sequence[LedgerExtract],
    policy: MeteringPolicy,
    now_us: int,
    is_wanted: Callable[[str, UsageSlice], bool],
) -> list[SliceCharge]:
    """Return the charges of retained slices that `is_wanted` selects, greatest first."""
    charges = [
        SliceCharge(usage, tenant, mb_us)
        for usage in _merge_ledgers(extracts, policy, now_us).slices
        for tenant, mb_us in allocate_slice(usage).items()
        if is_wanted(tenant, usage)
    ]
    return sorted(charges, key=lambda charge: (-charge.mb_us, charge.slice.key, charge.tenant))
