"""Memory-time by tenant from workers' own records of their copies' lives, apart from what they report.

Shares no code with the books: each copy's events are walked in exact fractions.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from fractions import Fraction
from pathlib import Path

from walnutpost.standins.model import Lived
from walnutpost.trials.capture import read
from walnutpost.trials.facts import SUFFIX

Truth = dict[tuple[str, str], Fraction]  # by tenant and function, MB-microseconds
NOBODY = "-"


def true_usage(events: Iterable[Lived], until: int) -> Truth:
    """One worker's record, in order. What stands at `until` is counted to then. Idle time is its last
    user's, loading and unused time its first user's."""
    out: Truth = defaultdict(Fraction)
    standing: dict[int, list[Lived]] = defaultdict(list)
    for event in events:
        if event.what == "died":
            for life in standing.values():
                _copy(life, event.at, out)
            standing.clear()
        else:
            standing[event.copy].append(event)
            if event.what == "gone":
                _copy(standing.pop(event.copy), event.at, out)
    for life in standing.values():
        _copy(life, until, out)
    return dict(out)


def _copy(life: list[Lived], end: int, out: Truth) -> None:
    function, memory = life[0].function, life[0].memory_mb
    users = [e.tenant for e in life if e.what == "ran"]
    first = users[0] if users else NOBODY
    running: list[str] = []
    last: str | None = None
    for event, at in zip(life, [*(e.at for e in life[1:]), end], strict=True):
        if event.what == "ran":
            running.append(event.tenant)
        elif event.what == "rested":
            running.remove(event.tenant)
            last = event.tenant
        time = Fraction(at - event.at)
        for tenant in running or [last if last is not None else first]:
            out[tenant, function] += memory * time / max(1, len(running))


def true_usage_of(folder: Path, ends: dict[str, list[int]], until: int) -> Truth:
    """From the captures of a trial's workers; `ends` says when each was killed, which it can't record."""
    out: Truth = defaultdict(Fraction)
    for path in sorted(folder.glob(f"*{SUFFIX}")):
        events: list[Lived] = []
        kills: Iterator[int] = iter(())
        for at, what, *rest in read(path):
            if what == "begin":
                if rest[0] != "worker":
                    break
                if events:  # another process, after the kill of the last one
                    events.append(Lived(next(kills, at), "died"))
                else:
                    kills = iter(ends.get(rest[1], ()))
            elif what == "lived":
                events.append(Lived(*rest))
        for account, amount in true_usage(events, until).items():
            out[account] += amount
    return dict(out)
