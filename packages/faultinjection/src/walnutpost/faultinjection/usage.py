"""Memory-time by tenant from workers' own records of their copies' lives, apart from what they report.

Shares no code with the books: each copy's events are walked in exact fractions.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from fractions import Fraction
from pathlib import Path

from walnutpost.config import Config
from walnutpost.config.conversion import build_metering_policy
from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.faultinjection.capture import read
from walnutpost.faultinjection.facts import SUFFIX
from walnutpost.metering import collect_figures, group_figures, list_charges
from walnutpost.store import read_ledger

Truth = dict[tuple[str, str], Fraction]  # by tenant and function, MB-microseconds
NOBODY = "-"


def true_usage(events: Iterable[CopyEvent], until: int) -> Truth:
    """One worker's record, in order. What stands at `until` is counted to then. Idle time is its last
    user's, loading and unused time its first user's."""
    out: Truth = defaultdict(Fraction)
    standing: dict[int, list[CopyEvent]] = defaultdict(list)
    for event in events:
        if event.kind is CopyEventKind.DIED:
            for life in standing.values():
                _copy(life, event.at_us, out)
            standing.clear()
        else:
            standing[event.copy].append(event)
            if event.kind is CopyEventKind.REMOVED:
                _copy(standing.pop(event.copy), event.at_us, out)
    for life in standing.values():
        _copy(life, until, out)
    return dict(out)


def _copy(life: list[CopyEvent], end: int, out: Truth) -> None:
    function, memory = life[0].function, life[0].memory_mb
    users = [e.tenant for e in life if e.kind is CopyEventKind.CALL_STARTED]
    first = users[0] if users else NOBODY
    running: list[str] = []
    last: str | None = None
    for event, at in zip(life, [*(e.at_us for e in life[1:]), end], strict=True):
        if event.kind is CopyEventKind.CALL_STARTED:
            running.append(event.tenant)
        elif event.kind is CopyEventKind.CALL_ENDED:
            running.remove(event.tenant)
            last = event.tenant
        time = Fraction(at - event.at_us)
        for tenant in running or [last if last is not None else first]:
            out[tenant, function] += memory * time / max(1, len(running))


def true_usage_of(folder: Path, ends: dict[str, list[int]], until: int) -> dict[str, Truth]:
    """By worker, from the captures of a trial; `ends` says when each was killed, which it can't record."""
    out: dict[str, Truth] = {}
    for path in sorted(folder.glob(f"*{SUFFIX}")):
        events: list[CopyEvent] = []
        name = ""
        kills: Iterator[int] = iter(())
        for at, what, *rest in read(path):
            if what == "begin":
                if rest[0] != "worker":
                    break
                if name:  # another process, after the kill of the last one
                    events.append(CopyEvent(next(kills, at), CopyEventKind.DIED))
                else:
                    name = rest[1]
                    kills = iter(ends.get(name, ()))
            elif what == "lived":
                kind = CopyEventKind(rest[1])
                events.append(CopyEvent(rest[0], kind, *rest[2:]))
        if name:
            out[name] = true_usage(events, until)
    return out


@dataclass(frozen=True, slots=True)
class Compared:
    """MB-microseconds of one tenant: what workers recorded, and what the ledgers say. `gaps` is the most of
    what ledgers can't attribute, the same for all tenants."""

    tenant: str
    true: int
    best: int
    estimated: int
    gaps: int

    @property
    def off(self) -> float:
        """Share of the truth by which the figure differs."""
        return (self.best - self.true) / max(1, self.true)

    @property
    def covered(self) -> bool:
        """No more than the truth, and no less than it by more than the gaps."""
        slack = max(10_000_000, self.true // 1_000_000)  # shares are whole microseconds
        return self.estimated > 0 or self.best - slack <= self.true <= self.best + self.gaps + slack


def compare(
    folder: Path, ledgers: Sequence[Path], config: Config, ends: dict[str, list[int]], until: int
) -> list[Compared]:
    """Of a trial that has ended; raises StoreError."""
    assert config.metering is not None
    by_worker = true_usage_of(folder, ends, until)
    true: dict[str, Fraction] = defaultdict(Fraction)
    for usage in by_worker.values():
        for (tenant, _), amount in usage.items():
            true[tenant] += amount
    since = until - 24 * 3_600_000_000
    kept = [read_ledger(path, since, until) for path in ledgers]
    policy = build_metering_policy(config.metering)
    told = group_figures(collect_figures(kept, policy, until, since, until), ["tenant", "cause"], {})
    gaps = sum(
        amount.upper_bound - amount.best for (_, cause), amount in told.items() if cause != "estimated"
    )
    out = []
    for tenant in sorted({*true, *(t for t, _ in told)}):
        best = sum(amount.best for (t, _), amount in told.items() if t == tenant)
        estimated = sum(amount.best for (t, c), amount in told.items() if t == tenant and c == "estimated")
        out.append(Compared(tenant, round(true[tenant]), best, estimated, gaps))
    best, estimated = sum(c.best for c in out), sum(c.estimated for c in out)
    out.append(Compared("all", sum(c.true for c in out), best, estimated, gaps))
    alive = {worker for worker in by_worker if not ends.get(worker)}
    recorded = sum(amount for w in alive for amount in by_worker[w].values())
    metered = sum(
        charge.mb_us for charge in list_charges(kept, policy, until, lambda _, usage: usage.worker in alive)
    )
    out.append(Compared(f"{len(alive)} workers that did not die", round(recorded), metered, 0, 0))
    return out
