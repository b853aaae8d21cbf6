"""Memory-time by tenant from workers' own records of their copies, apart from what they report.

Shares no code with the books: each copy's events are walked in exact fractions.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path
from typing import Any

from walnutpost.config import Config
from walnutpost.config.conversion import build_metering_policy
from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX, RecordKind, read_records
from walnutpost.metering import collect_figures, group_figures, list_charges
from walnutpost.store import read_ledger

UsageByAccount = dict[tuple[str, str], Fraction]  # by tenant and function, MB-microseconds
NOBODY = "-"
ESTIMATED = "estimated"
ALL_TENANTS = "all"
LEDGER_SPAN_US = 24 * 3_600_000_000
MIN_SLACK_MB_US = 10_000_000  # shares are whole microseconds
SLACK_DIVISOR = 1_000_000


def true_usage(events: Iterable[CopyEvent], until_us: int) -> UsageByAccount:
    """Return the usage by one worker's record, in order; copies that are left count until `until_us`.

    Idle time is its last user's, loading and unused time its first user's.
    """
    usage: defaultdict[tuple[str, str], Fraction] = defaultdict(Fraction)
    present: defaultdict[int, list[CopyEvent]] = defaultdict(list)
    for event in events:
        if event.kind is CopyEventKind.DIED:
            for history in present.values():
                _add_copy(history, event.at_us, usage)
            present.clear()
        else:
            present[event.copy].append(event)
            if event.kind is CopyEventKind.REMOVED:
                _add_copy(present.pop(event.copy), event.at_us, usage)
    for history in present.values():
        _add_copy(history, until_us, usage)
    return dict(usage)


def _add_copy(history: list[CopyEvent], end_us: int, usage: UsageByAccount) -> None:
    """Add the usage of one copy, from its first event until `end_us`."""
    function = history[0].function
    memory_mb = history[0].memory_mb
    users = [event.tenant for event in history if event.kind is CopyEventKind.CALL_STARTED]
    idle_user = users[0] if users else NOBODY
    running: list[str] = []
    ends_us = [*(event.at_us for event in history[1:]), end_us]
    for event, next_us in zip(history, ends_us, strict=True):
        if event.kind is CopyEventKind.CALL_STARTED:
            running.append(event.tenant)
        elif event.kind is CopyEventKind.CALL_ENDED:
            running.remove(event.tenant)
            idle_user = event.tenant
        time_us = Fraction(next_us - event.at_us)
        for tenant in running or [idle_user]:
            usage[tenant, function] += memory_mb * time_us / max(1, len(running))


def true_usage_of(folder: Path, kills_us: dict[str, list[int]], until_us: int) -> dict[str, UsageByAccount]:
    """Return the usage by worker, from the captures of a scenario.

    `kills_us` has the times at which each worker was killed, which it can't record itself.
    """
    usage: dict[str, UsageByAccount] = {}
    for path in sorted(folder.glob(f"*{CAPTURE_SUFFIX}")):
        worker = _WorkerEvents(kills_us)
        for record in read_records(path):
            if not worker.add(record):
                break
        if worker.name:
            usage[worker.name] = true_usage(worker.events, until_us)
    return usage


class _WorkerEvents:
    """The copy events of one capture file, which may hold several incarnations of its worker."""

    def __init__(self, kills_us: dict[str, list[int]]) -> None:
        self.name = ""
        self.events: list[CopyEvent] = []
        self._kills_us = kills_us
        self._next_kill_us: Iterator[int] = iter(())

    def add(self, record: list[Any]) -> bool:
        """Take a record; False if this is no worker's file."""
        at_us, kind, *fields = record
        if kind == RecordKind.BEGIN:
            if fields[0] != "worker":
                return False
            self._begin(at_us, fields[1])
        elif kind == RecordKind.COPY_EVENT:
            self.events.append(CopyEvent(fields[0], CopyEventKind(fields[1]), *fields[2:]))
        return True

    def _begin(self, at_us: int, name: str) -> None:
        if self.name:  # another process, after the kill of the last one
            died_us = next(self._next_kill_us, at_us)
            self.events.append(CopyEvent(died_us, CopyEventKind.DIED))
        else:
            self.name = name
            self._next_kill_us = iter(self._kills_us.get(name, ()))


@dataclass(frozen=True, slots=True)
class UsageComparison:
    """MB-microseconds of one tenant: what workers recorded, and what the ledgers have.

    `gaps` is an upper bound of what ledgers can't attribute, the same for all tenants.
    """

    tenant: str
    recorded: int
    metered: int
    estimated: int
    gaps: int

    @property
    def error_ratio(self) -> float:
        """The part of the recorded usage by which the ledgers differ."""
        return (self.metered - self.recorded) / max(1, self.recorded)

    @property
    def is_covered(self) -> bool:
        """Whether the ledgers have no more than was recorded, and no less by more than the gaps."""
        slack = max(MIN_SLACK_MB_US, self.recorded // SLACK_DIVISOR)
        is_bounded = self.metered - slack <= self.recorded <= self.metered + self.gaps + slack
        return self.estimated > 0 or is_bounded


def compare_usage(
    folder: Path, ledgers: Sequence[Path], config: Config, kills_us: dict[str, list[int]], until_us: int
) -> list[UsageComparison]:
    """Compare records and ledgers of a scenario that has ended, by tenant and in sum; raises StoreError."""
    assert config.metering is not None
    policy = build_metering_policy(config.metering)
    by_worker = true_usage_of(folder, kills_us, until_us)
    since_us = until_us - LEDGER_SPAN_US
    read = [read_ledger(path, since_us, until_us) for path in ledgers]
    amounts = group_figures(
        collect_figures(read, policy, until_us, since_us, until_us), ["tenant", "cause"], {}
    )
    gaps = sum(
        amount.upper_bound - amount.best for (_, cause), amount in amounts.items() if cause != ESTIMATED
    )
    recorded = _by_tenant(by_worker)
    rows = []
    for tenant in sorted({*recorded, *(tenant for tenant, _ in amounts)}):
        causes = {cause: amount.best for (name, cause), amount in amounts.items() if name == tenant}
        metered = sum(causes.values())
        rows.append(UsageComparison(tenant, round(recorded[tenant]), metered, causes.get(ESTIMATED, 0), gaps))
    rows.append(_sum(rows, gaps))
    alive = {worker for worker in by_worker if not kills_us.get(worker)}
    alive_recorded = sum(amount for worker in alive for amount in by_worker[worker].values())
    alive_charges = list_charges(read, policy, until_us, lambda _, usage: usage.worker in alive)
    alive_metered = sum(charge.mb_us for charge in alive_charges)
    name = f"{len(alive)} workers that did not die"
    rows.append(UsageComparison(name, round(alive_recorded), alive_metered, 0, 0))
    return rows


def _by_tenant(by_worker: dict[str, UsageByAccount]) -> defaultdict[str, Fraction]:
    recorded: defaultdict[str, Fraction] = defaultdict(Fraction)
    for usage in by_worker.values():
        for (tenant, _), amount in usage.items():
            recorded[tenant] += amount
    return recorded


def _sum(rows: list[UsageComparison], gaps: int) -> UsageComparison:
    recorded = sum(row.recorded for row in rows)
    metered = sum(row.metered for row in rows)
    estimated = sum(row.estimated for row in rows)
    return UsageComparison(ALL_TENANTS, recorded, metered, estimated, gaps)
