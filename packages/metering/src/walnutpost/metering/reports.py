"""Reading ledgers: figures by any grouping, several front ends' ledgers as one, proofs, invoices. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from decimal import Decimal
from fractions import Fraction

from walnutpost.metering.charge import charge, split
from walnutpost.metering.ledger import (
    ESTIMATED,
    NOTHING,
    Account,
    Amount,
    Ledger,
    Line,
    Policy,
    Saved,
    Statement,
    added,
)
from walnutpost.metering.records import DAY, HOUR, Report, Slice, flaw, wrong

GB_HOUR = 1024 * HOUR  # MB-microseconds
FIELDS = ("tenant", "function", "cause", "kind", "hour", "day")
OPEN = "open"


@dataclass(slots=True)
class Kept:
    """A ledger as read from a file, for a span of time. `lines` are by the hour; `days` are lines whose
    `hour` is the begin of a day, for hours that were folded."""

    saved: Saved = field(default_factory=Saved)
    lines: list[Line] = field(default_factory=list)
    days: list[Line] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Figure:
    """`at`: begin of the hour, or of the day where `folded`. `kind` is closed, correction or open."""

    at: int
    folded: bool
    account: Account
    kind: str
    amount: Amount


def figures(kept: Sequence[Kept], policy: Policy, now: int, since: int, until: int) -> list[Figure]:
    """What one front end's ledger says, or several of one site say together. Where workers' records are
    kept, those of all are joined, so each copy counts once; from lines alone, the greatest of each account
    is taken, and estimates, which are each front end's own calls, are added."""
    if len(kept) == 1:
        only = kept[0]
        out = [Figure(x.hour, False, x.account, x.kind, x.amount) for x in only.lines]
        out += [Figure(x.hour, True, x.account, x.kind, x.amount) for x in only.days]
        ledger = Ledger(policy, only.saved, now)
        first = max(since, only.saved.closed_to) // HOUR * HOUR
        for hour in range(first, min(until, now + 1), HOUR):
            out += [Figure(hour, False, a, OPEN, m) for a, m in ledger.statement(hour, now).items()]
        return out
    ledger = _joined(kept, policy, now)
    kept_since = max((k.saved.drop_before for k in kept), default=0)
    out = []
    for folded, lists in ((False, [k.lines for k in kept]), (True, [k.days for k in kept])):
        old: dict[tuple[int, Account], list[Amount]] = defaultdict(list)
        for lines in lists:
            sums: dict[tuple[int, Account], Amount] = {}
            for x in lines:
                if folded or x.hour < kept_since:
                    sums[x.hour, x.account] = sums.get((x.hour, x.account), NOTHING) + x.amount
            for key, amount in sums.items():
                old[key].append(amount)
        for (at, account), amounts in old.items():
            out.append(Figure(at, folded, account, "closed", _one_of(account, amounts)))
    closed = min((k.saved.closed_to for k in kept), default=0)
    for hour in range(max(since, kept_since) // HOUR * HOUR, min(until, now + 1), HOUR):
        kind = "closed" if hour < closed else OPEN
        out += [Figure(hour, False, a, kind, m) for a, m in ledger.statement(hour, now).items()]
    return out


def _one_of(account: Account, amounts: list[Amount]) -> Amount:
    if account.cause == ESTIMATED:
        return added([{account: a} for a in amounts])[account]
    return max(amounts, key=lambda a: (a.best, a.least, a.most))


def _joined(kept: Iterable[Kept], policy: Policy, now: int) -> Ledger:
    out = Ledger(policy, Saved(), now)
    for each in kept:
        out.absorb(each.saved)
    return out


def grouped(
    figures: Iterable[Figure], by: Sequence[str], renamed: Mapping[str, str], default_tenant: str = ""
) -> dict[tuple[str, ...], Amount]:
    """Sums by some of FIELDS, in their order. A renamed tenant stands under its new name; the
    ledger keeps the old one. Hours of folded days stand under their day."""
    out: dict[tuple[str, ...], Amount] = {}
    for figure in figures:
        a = figure.account
        tenant = a.tenant or default_tenant
        named = {
            "tenant": renamed.get(tenant, tenant),
            "function": a.function,
            "cause": a.cause,
            "kind": figure.kind,
            "hour": str(figure.at),
            "day": str(figure.at // DAY * DAY),
        }
        key = tuple(named[field] for field in by)
        out[key] = out.get(key, NOTHING) + figure.amount
    return dict(sorted(out.items()))


@dataclass(frozen=True, slots=True)
class Part:
    """What one copy's hour adds to a figure."""

    slice: Slice
    tenant: str
    amount: int


def parts(kept: Sequence[Kept], policy: Policy, now: int, wanted: Callable[[str, Slice], bool]) -> list[Part]:
    """The copies and stretches that make a figure, greatest first; as far back as slices are kept."""
    out = []
    for s in _joined(kept, policy, now).slices:
        out += [Part(s, tenant, amount) for tenant, amount in charge(s).items() if wanted(tenant, s)]
    return sorted(out, key=lambda p: (-p.amount, p.slice.key, p.tenant))


def proof(kept: Kept, policy: Policy, now: int) -> list[str]:
    """Re-adds everything: each closed hour whose records are kept must be booked as its statement says,
    and each copy's parts must add up to the whole. Returns what is wrong."""
    out = []
    ledger = Ledger(policy, kept.saved, now)
    booked: dict[int, Statement] = defaultdict(dict)
    for line in kept.lines:
        sums = booked[line.hour]
        sums[line.account] = sums.get(line.account, NOTHING) + line.amount
    hours = {s.hour for s in kept.saved.slices} | set(booked)
    for hour in sorted(hours):
        if kept.saved.drop_before <= hour < kept.saved.closed_to:
            stated = ledger.statement(hour, now)
            for account in sorted({*stated, *booked[hour]}):
                wanted, found = stated.get(account, NOTHING), booked[hour].get(account, NOTHING)
                if wanted != found:
                    out.append(f"hour {hour}, {account}: booked {found}, wanted {wanted}")
    for s in kept.saved.slices:
        if sum(charge(s).values()) != s.whole:
            out.append(f"copy {s.key}: its parts add up to {sum(charge(s).values())}, wanted {s.whole}")
    return out


def compared(kept: Kept, reports: Iterable[Report], now: int) -> list[str]:
    """Differences between the ledger's records and an export of the workers'. Hours that are dropped, or
    open at the time of the export, are left out."""
    known = {s.key: s for s in kept.saved.slices}
    out = []
    for report in reports:
        complaint = wrong(report, report.worker, now)
        if complaint:
            out.append(f"export of {report.worker}: {complaint}")
            continue
        for s in report.slices:
            if not s.ended or s.hour < kept.saved.drop_before:
                continue
            ours = known.get(s.key)
            why = flaw(s, report)
            if why:
                out.append(f"export of {report.worker}: copy {s.copy}: {why}")
            elif ours is None:
                out.append(f"copy {s.key}: {s.whole} MB-us in the export, none in the ledger")
            elif (ours.whole, ours.runs, ours.after) != (s.whole, s.runs, s.after):
                out.append(f"copy {s.key}: {s.whole} MB-us in the export, {ours.whole} in the ledger")
    return out


@dataclass(frozen=True, slots=True)
class Invoice:
    """`lines` add up to `total`, to the last digit."""

    tenant: str
    gb_hours: Decimal
    total: Decimal
    lines: list[tuple[str, Decimal]]
    least: Decimal
    most: Decimal


def invoice(tenant: str, functions: Mapping[str, Amount], price: Decimal, digits: int = 2) -> Invoice:
    """From MB-microseconds by function. The total is rounded once, half to even, and then divided."""
    unit = Decimal(1).scaleb(-digits)

    def money(amount: int) -> int:
        return round(Fraction(amount * 10**digits, GB_HOUR) * Fraction(price))

    sums = added([{Account(tenant, ""): a} for a in functions.values()]).get(Account(tenant, ""), NOTHING)
    total = money(sums.best)
    weights = {name: amount.best for name, amount in functions.items() if amount.best > 0}
    shares = split(total, weights) if weights else {}
    return Invoice(
        tenant,
        Decimal(round(Fraction(sums.best, GB_HOUR) * 10**6)).scaleb(-6),
        total * unit,
        [(name, shares[name] * unit) for name in sorted(shares)],
        money(sums.least) * unit,
        money(sums.most) * unit,
    )
