"""Usage records: what a worker counts of each copy, and how two counts of the same become one.

A copy is known by its worker, that worker's start and a number that the worker gives once. Its life is cut
at full hours; each piece is a Slice, whose numbers only grow. Joining is by the greater of each number, so
that a record counts once however often, late or by whatever way it comes. Times are microseconds since the
epoch by the worker's clock, memory is whole MB, memory-time MB-microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

UNATTRIBUTED = "-"  # stands for nobody, so no tenant may be called so
SECOND = 1_000_000
HOUR = 3600 * SECOND
DAY = 24 * HOUR
AHEAD = 10 * SECOND  # by which a worker's clock may run before ours
DIGITS = 1 << 62  # no counter of an hour is near it; more than that would not fit the ledger's columns

Key = tuple[str, int, int, int]  # worker, its start, copy, hour


class Slice(msgspec.Struct, frozen=True):
    """One copy within the hour that begins at `hour`. Each microsecond that the copy held memory is counted
    in one place: `loading` until it was ready, `unused` from then to its first call ever, `runs` while
    calls ran, shared among their tenants by lanes in use, `after` while it was idle, to the tenant whose
    call ended last. A tenant without a name is the empty string."""

    worker: str
    started: int
    copy: int
    hour: int
    function: str
    memory_mb: int
    heard: int  # up to when the numbers hold
    ended: bool = False  # the copy is gone, or the hour over: the numbers are final
    loading: int = 0
    unused: int = 0
    runs: dict[str, int] = {}
    after: dict[str, int] = {}
    first: str | None = None  # tenant of the first call that ever ran on the copy
    doubts: frozenset[str] = frozenset()  # contradictions noticed while joining

    @property
    def key(self) -> Key:
        return self.worker, self.started, self.copy, self.hour

    @property
    def standing(self) -> int:
        return self.loading + self.unused + sum(self.runs.values()) + sum(self.after.values())

    @property
    def whole(self) -> int:
        """MB-microseconds."""
        return self.memory_mb * self.standing


class Report(msgspec.Struct, frozen=True):
    """What a worker tells a reader that has its changes up to some number already. `forgotten` is the
    last change that the worker keeps no more, `forgotten_mb_us` all memory-time it ever forgot."""

    worker: str
    started: int
    at: int
    change: int
    memory_mb: int
    slices: list[Slice] = []
    draining: bool = False
    forgotten: int = 0
    forgotten_mb_us: int = 0


def wrong(report: Report, worker: str, now: int) -> str:
    """Why a report as a whole is not believed; empty where it is."""
    if report.worker != worker:
        return f"found a report of {report.worker!r}, wanted one of {worker!r}"
    if not 0 < report.started <= report.at <= now + AHEAD:
        return f"found start {report.started} and time {report.at}, wanted start <= time <= {now}, now"
    if not (0 <= report.forgotten <= report.change < DIGITS and 0 <= report.forgotten_mb_us < DIGITS):
        return (
            f"found change {report.change} and forgotten {report.forgotten}, wanted 0 <= forgotten <= change"
        )
    if not 0 < report.memory_mb < 1 << 40:
        return f"found memory of {report.memory_mb} MB, wanted more than none"
    return ""


def flaw(s: Slice, report: Report) -> str:
    """Why a slice of a believed report is not taken; empty where it is."""
    counts = [s.loading, s.unused, *s.runs.values(), *s.after.values()]
    end = s.hour + HOUR
    if (s.worker, s.started) != (report.worker, report.started) or s.copy < 1:
        return f"found copy {s.copy} of {s.worker!r} started at {s.started}, wanted one of the reporter's"
    if s.hour % HOUR or end <= s.started or not s.hour <= s.heard <= min(end, report.at):
        return f"found hour {s.hour} counted to {s.heard}, wanted a full hour of this start, up to the report"
    if not 0 < s.memory_mb <= report.memory_mb:
        return f"found {s.memory_mb} MB, wanted 1 to the worker's {report.memory_mb}"
    if UNATTRIBUTED in {*s.runs, *s.after, s.first}:
        return f"found a tenant {UNATTRIBUTED!r}, wanted a tenant's name, or none"
    if min(counts) < 0:
        return f"found a count of {min(counts)} us, wanted none below 0"
    if s.standing > s.heard - max(s.hour, s.started):
        return f"found {s.standing} us in a stretch of {s.heard - max(s.hour, s.started)}, wanted no more"
    return ""


def join(a: Slice, b: Slice) -> Slice:
    """Both counts as one. Commutative, associative and idempotent; what does not fit together is noted in
    `doubts`, which only grows, and the greater is kept."""
    doubts = a.doubts | b.doubts
    if a.function != b.function or a.memory_mb != b.memory_mb:
        doubts |= {"two functions or sizes for one copy"}
    if a.first is not None and b.first is not None and a.first != b.first:
        doubts |= {"two first tenants for one copy"}
    older, newer = (a, b) if a.heard <= b.heard else (b, a)
    if not _within(older, newer) and not (a.heard == b.heard and _within(newer, older)):
        doubts |= {"a counter went down"}
    firsts = [f for f in (a.first, b.first) if f is not None]
    return Slice(
        *a.key,
        max(a.function, b.function),
        max(a.memory_mb, b.memory_mb),
        newer.heard,
        a.ended or b.ended,
        max(a.loading, b.loading),
        max(a.unused, b.unused),
        _greater(a.runs, b.runs),
        _greater(a.after, b.after),
        min(firsts, default=None),
        doubts,
    )


def _within(a: Slice, b: Slice) -> bool:
    return (
        a.loading <= b.loading
        and a.unused <= b.unused
        and (b.ended or not a.ended)
        and all(n <= b.runs.get(t, 0) for t, n in a.runs.items())
        and all(n <= b.after.get(t, 0) for t, n in a.after.items())
    )


def _greater(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    out = dict(a)
    for tenant, count in b.items():
        out[tenant] = max(count, out.get(tenant, 0))
    return out
