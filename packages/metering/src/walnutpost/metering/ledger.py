"""The ledger: what each hour's memory-time is booked to, closed once, corrected in the open. No I/O.

State is what `take` and `saw` joined, and only grows. The statement of an hour is a function of it, so the
order in which facts came can't show. What is booked for a closed hour is its statement: when it closes, and
by a correcting line each time that the statement changes later.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from walnutpost.metering.charge import charge
from walnutpost.metering.records import DAY, HOUR, UNATTRIBUTED, Key, Report, Slice, flaw, join, wrong

CLOSE_MOST = 200  # hours closed in one batch
CONTRADICTION, REFUSED, SILENT, FORGOTTEN = "contradiction", "refused", "silent", "forgotten"
OVERFULL, ESTIMATED, TOO_LATE, DOWN = "more than memory", "estimated", "too late", "front end down"


class Amount(msgspec.Struct, frozen=True):
    """MB-microseconds: the figure, and the least and most that the truth may be."""

    best: int = 0
    least: int = 0
    most: int = 0

    def __add__(self, other: Amount) -> Amount:
        return Amount(self.best + other.best, self.least + other.least, self.most + other.most)

    def __sub__(self, other: Amount) -> Amount:
        return Amount(self.best - other.best, self.least - other.least, self.most - other.most)

    def __bool__(self) -> bool:
        return bool(self.best or self.least or self.most)


NOTHING = Amount()


def exactly(amount: int) -> Amount:
    return Amount(amount, amount, amount)


class Account(msgspec.Struct, frozen=True, order=True):
    """`cause` is empty for what workers counted; else why the figure is none, or not sure."""

    tenant: str
    function: str
    cause: str = ""


Statement = dict[Account, Amount]


class Line(msgspec.Struct, frozen=True):
    """One booking. `kind` is `closed` or `correction`."""

    hour: int
    account: Account
    kind: str
    amount: Amount
    at: int


class Life(msgspec.Struct, frozen=True):
    """What is known of one start of a worker. `change` is the cursor of its reports."""

    worker: str
    started: int
    heard: int
    memory_mb: int
    change: int = 0
    forgotten_mb_us: int = 0
    draining: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.worker, self.started


def joined_lives(a: Life, b: Life) -> Life:
    """What two readings tell of one start."""
    return Life(
        *a.key,
        max(a.heard, b.heard),
        max(a.memory_mb, b.memory_mb),
        max(a.change, b.change),
        max(a.forgotten_mb_us, b.forgotten_mb_us),
        max((a.heard, a.draining), (b.heard, b.draining))[1],
    )


class Gap(msgspec.Struct, frozen=True):
    """Memory-time of which it is known only that there is no more than `most`. The same gap told again
    counts once, by its greatest."""

    hour: int
    source: str  # which worker and start, or front end
    cause: str
    most: int

    @property
    def key(self) -> tuple[int, str, str]:
        return self.hour, self.source, self.cause


class Seen(msgspec.Struct, frozen=True):
    """A front end's own sight of a worker's function within an hour, for one tenant; numbers only grow."""

    run: int  # start of the front end
    hour: int
    worker: str
    function: str
    tenant: str
    amount: Amount

    @property
    def key(self) -> tuple[int, int, str, str, str]:
        return self.run, self.hour, self.worker, self.function, self.tenant


@dataclass(frozen=True, slots=True)
class Policy:
    """Times in microseconds. `close_after` the hour's end, what is known then is booked. Slices are kept
    `keep_slices` after their hour, lines by the hour `keep_hours`, by the day `keep_days`. A worker that is
    not heard of is taken to have held memory no longer than `silent_most`."""

    close_after: int = HOUR // 12
    keep_slices: int = DAY
    keep_hours: int = 35 * DAY
    keep_days: int = 400 * DAY
    silent_most: int = HOUR // 6


@dataclass(slots=True)
class Saved:
    """A ledger as it lies on disk. `closed_to`: all hours before it are closed; 0 for a new ledger."""

    slices: list[Slice] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    gaps: list[Gap] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    booked: dict[int, Statement] = field(default_factory=dict)  # of the hours whose slices are kept
    closed_to: int = 0
    drop_before: int = 0
    serial: int = 0  # of the last batch


@dataclass(slots=True)
class Batch:
    """What one commit must hold, all or nothing, on top of the batch before it: `serial` goes up by one.
    Slices, gaps and sights of hours before `drop_before` go; lines before `fold_before` become lines by the
    day, days before `end_before` go."""

    slices: list[Slice]
    lives: list[Life]
    gaps: list[Gap]
    seen: list[Seen]
    lines: list[Line]
    closed_to: int
    drop_before: int
    fold_before: int
    end_before: int
    serial: int


class Ledger:
    def __init__(self, policy: Policy, saved: Saved, now: int) -> None:
        self._policy = policy
        self._slices: dict[Key, Slice] = {}
        self._totals: dict[int, dict[Account, int]] = defaultdict(dict)  # of slices, by hour
        self._held: dict[tuple[str, int, int], int] = defaultdict(int)  # of slices, by life and hour
        self._open: dict[tuple[str, int], set[Key]] = defaultdict(set)
        self._used: dict[int, dict[str, int]] = {}  # by tenant, of closed hours
        self._booked = {hour: dict(statement) for hour, statement in saved.booked.items()}
        self.closed_to = saved.closed_to or now // HOUR * HOUR
        self._drop_before = saved.drop_before
        self._stale: set[int] = set()  # closed hours whose statement may have changed
        self._dirty: set[Key] = set()
        self._dirty_lives: set[tuple[str, int]] = set()
        self._dirty_gaps: set[tuple[int, str, str]] = set()
        self._dirty_seen: set[tuple[int, int, str, str, str]] = set()
        self._lives: dict[tuple[str, int], Life] = {}
        self._gaps: dict[tuple[int, str, str], Gap] = {}
        self._seen: dict[tuple[int, int, str, str, str], Seen] = {}
        self.absorb(saved)
        # It is on disk, and booked.
        for marks in (self._stale, self._dirty, self._dirty_lives, self._dirty_gaps, self._dirty_seen):
            marks.clear()
        self._fresh = saved.closed_to == 0
        self._now = now
        self._serial = saved.serial

    # Facts

    def cursor(self, worker: str) -> tuple[int, int]:
        """The start of the worker that was heard of last, and the change read; 0, 0 where none was."""
        lives = [life for (name, _), life in self._lives.items() if name == worker]
        latest = max(lives, key=lambda life: life.started, default=None)
        return (latest.started, latest.change) if latest else (0, 0)

    def reports(self, worker: str) -> bool:
        return any(name == worker for name, _ in self._lives)

    def take(self, report: Report, worker: str, now: int) -> list[str]:
        """Joins a worker's report. What is not believed is said, and where it can be bounded is a gap."""
        complaint = wrong(report, worker, now)
        if complaint:
            return [complaint]
        notes = []
        ident = (report.worker, report.started)
        known = self._lives.get(ident) or Life(*ident, 0, report.memory_mb)
        if report.at < known.heard and report.change > known.change:
            notes.append(f"its time ran back from {known.heard} to {report.at}")
        if report.forgotten > known.change:
            most = max(0, report.forgotten_mb_us - known.forgotten_mb_us)
            notes.append(f"forgot changes {known.change + 1} to {report.forgotten} before they were read")
            self.gap(Gap(report.at // HOUR * HOUR, f"{_source(report)} {report.forgotten}", FORGOTTEN, most))
        for s in report.slices:
            self._slice(s, report, notes)
        told = (report.at, report.memory_mb, report.change, report.forgotten_mb_us)
        self._live(joined_lives(known, Life(*ident, *told, report.draining)))
        return notes

    def absorb(self, saved: Saved) -> None:
        """Joins what another ledger of the same site knows, but for its bookings."""
        for life in saved.lives:
            self._live(joined_lives(self._lives.get(life.key, life), life))
        for s in saved.slices:
            self._join(s)
        for gap in saved.gaps:
            self.gap(gap)
        self.saw(saved.seen)

    def _slice(self, s: Slice, report: Report, notes: list[str]) -> None:
        why = flaw(s, report)
        if why:
            notes.append(f"copy {s.copy}: {why}")
            hour = s.hour if not s.hour % HOUR and 0 <= s.hour <= report.at else report.at // HOUR * HOUR
            most = report.memory_mb * max(0, min(hour + HOUR, report.at) - max(hour, report.started))
            self.gap(Gap(hour, _source(report), REFUSED, most))
        elif s.hour < self._drop_before:
            notes.append(f"copy {s.copy}: a report of an hour whose records are dropped")
            self.gap(Gap(s.hour, f"{_source(report)}/{s.copy}", TOO_LATE, s.whole))
        else:
            doubts = self._join(s)
            if doubts:
                notes.append(f"copy {s.copy}: {', '.join(sorted(doubts))}")

    def _join(self, s: Slice) -> frozenset[str]:
        """Returns the contradictions that this brought to light."""
        old = self._slices.get(s.key)
        joined = s if old is None else join(old, s)
        if joined != old:
            self._put(joined)
            self._settle(joined)
        return joined.doubts - old.doubts if old is not None else frozenset()

    def _settle(self, s: Slice) -> None:
        """Who used a copy first is known from the hour of the first call on, and holds for those before."""
        if s.first is None:
            later = self._slices.get((s.worker, s.started, s.copy, s.hour + HOUR))
            if later is None or later.first is None:
                return
            s = msgspec.structs.replace(s, first=later.first)
            self._put(s)
        earlier = self._slices.get((s.worker, s.started, s.copy, s.hour - HOUR))
        if earlier is not None and earlier.first is None:
            earlier = msgspec.structs.replace(earlier, first=s.first)
            self._put(earlier)
            self._settle(earlier)

    def _put(self, s: Slice) -> None:
        """Takes the place of what is known of this slice; totals follow."""
        old = self._slices.get(s.key)
        totals, life = self._totals[s.hour], (s.worker, s.started)
        for sign, each in ((-1, old), (1, s)):
            if each is not None:
                cause = CONTRADICTION if each.doubts else ""
                for tenant, amount in charge(each).items():
                    account = Account(tenant, each.function, cause)
                    totals[account] = totals.get(account, 0) + sign * amount
                self._held[(*life, s.hour)] += sign * each.whole
        self._slices[s.key] = s
        if s.ended:
            self._open[life].discard(s.key)
        else:
            self._open[life].add(s.key)
        self._touch(s.hour)
        self._dirty.add(s.key)

    def _live(self, life: Life) -> None:
        old = self._lives.get(life.key)
        if life == old:
            return
        self._lives[life.key] = life
        self._dirty_lives.add(life.key)
        # A gap of silence may have closed: of this start, or of the one before it, which has ended now.
        since = (old.heard if old is not None else life.started) - self._policy.silent_most
        oldest = max(since, self.closed_to - self._policy.keep_slices) // HOUR * HOUR
        for hour in range(oldest, self.closed_to, HOUR):
            self._touch(hour)

    def gap(self, gap: Gap) -> None:
        """A gap, here or of the embedding program."""
        old = self._gaps.get(gap.key)
        if old is None or old.most < gap.most:
            self._gaps[gap.key] = gap
            self._dirty_gaps.add(gap.key)
            self._touch(gap.hour)

    def saw(self, seen: Iterable[Seen]) -> None:
        """This front end's own sight; each the whole of its hour so far."""
        for each in seen:
            if each.hour >= self._drop_before and self._seen.get(each.key) != each:
                self._seen[each.key] = each
                self._dirty_seen.add(each.key)
                self._touch(each.hour)

    def _touch(self, hour: int) -> None:
        if hour < self.closed_to:
            self._stale.add(hour)

    # Statements

    def statement(self, hour: int, now: int) -> Statement:
        """All that is known of the hour at `now`."""
        out: Statement = {}

        def add(tenant: str, function: str, cause: str, amount: Amount) -> None:
            if amount:
                account = Account(tenant, function, cause)
                out[account] = out.get(account, NOTHING) + amount

        for account, total in self._totals.get(hour, {}).items():
            doubtful = account.cause == CONTRADICTION
            add(
                account.tenant,
                account.function,
                account.cause,
                Amount(total, 0 if doubtful else total, total),
            )
        for gap in self._gaps.values():
            if gap.hour == hour:
                add(UNATTRIBUTED, "", gap.cause, Amount(0, 0, gap.most))
        exact = self._exact_from()
        for seen in self._seen.values():
            if seen.hour == hour and exact.get(seen.worker, hour + HOUR) >= hour + HOUR:
                add(seen.tenant, seen.function, ESTIMATED, seen.amount)
        for life in self._lives.values():
            span = min(hour + HOUR, life.heard) - max(hour, life.started)
            excess = self._held.get((life.worker, life.started, hour), 0) - life.memory_mb * max(0, span)
            if excess > 0:
                add(UNATTRIBUTED, "", OVERFULL, Amount(0, -excess, 0))
            add(UNATTRIBUTED, "", SILENT, Amount(0, 0, self._silence(life, hour, now)))
        return out

    def _exact_from(self) -> dict[str, int]:
        """Since when each worker that reports has counted."""
        out: dict[str, int] = {}
        for life in self._lives.values():
            out[life.worker] = min(life.started, out.get(life.worker, life.started))
        return out

    def _silence(self, life: Life, hour: int, now: int) -> int:
        """The most that the worker can have held in the hour after it was last heard of."""
        if hour + HOUR <= life.heard or life.heard + self._policy.silent_most <= hour:
            return 0
        if life.draining and not self._open.get((life.worker, life.started)):
            return 0
        next_start = min(
            (o.started for o in self._lives.values() if o.worker == life.worker and o.started > life.started),
            default=0,
        )
        if hour + HOUR > now and not next_start and life.heard + self._policy.silent_most > now:
            return 0  # it may still be heard of before the hour closes
        until = min(hour + HOUR, now, next_start or now, life.heard + self._policy.silent_most)
        return life.memory_mb * max(0, until - max(hour, life.heard))

    def used(self, since: int, now: int) -> dict[str, int]:
        """MB-microseconds by tenant from the hour `since` to now, as far as it is known: for budgets."""
        out: dict[str, int] = {}
        for hour in range(since // HOUR * HOUR, now // HOUR * HOUR + 1, HOUR):
            known = self._used.get(hour)
            if known is None or hour in self._stale:
                known = {}
                for account, amount in self.statement(hour, now).items():
                    known[account.tenant] = known.get(account.tenant, 0) + amount.best
                if hour < self.closed_to:
                    self._used[hour] = known
            for tenant, best in known.items():
                out[tenant] = out.get(tenant, 0) + best
        return out

    @property
    def slices(self) -> list[Slice]:
        """All that are kept."""
        return list(self._slices.values())

    # Booking

    def batch(self, now: int) -> Batch | None:
        """All that is not on disk yet, with the lines of the hours that close now; None where there is
        nothing. A batch that could not be written is simply asked for again."""
        policy, closed_to = self._policy, self.closed_to
        self._now = max(self._now, now)
        lines: list[Line] = []
        for _ in range(CLOSE_MOST):
            if closed_to + HOUR + policy.close_after > now:
                break
            lines += self._bookings(closed_to, "closed", now)
            closed_to += HOUR
        for hour in sorted(self._stale):
            lines += self._bookings(hour, "correction", now)
        drop = min(closed_to, (now - policy.keep_slices) // HOUR * HOUR)
        moved = closed_to != self.closed_to or drop > self._drop_before or self._fresh
        dirty = (self._dirty, self._dirty_lives, self._dirty_gaps, self._dirty_seen)
        if not (lines or moved or any(dirty)):
            return None
        return Batch(
            [self._slices[key] for key in self._dirty],
            [self._lives[key] for key in self._dirty_lives],
            [self._gaps[key] for key in self._dirty_gaps],
            [self._seen[key] for key in self._dirty_seen],
            lines,
            closed_to,
            drop,
            (now - policy.keep_hours) // DAY * DAY,
            (now - policy.keep_days) // DAY * DAY,
            self._serial + 1,
        )

    def _bookings(self, hour: int, kind: str, now: int) -> list[Line]:
        stated, booked = self.statement(hour, now), self._booked.get(hour, {})
        lines = []
        for account in sorted({*stated, *booked}):
            difference = stated.get(account, NOTHING) - booked.get(account, NOTHING)
            if difference:
                lines.append(Line(hour, account, kind, difference, now))
        return lines

    def written(self, batch: Batch) -> None:
        """The batch is on disk. What came since it was made stays to be written."""
        for line in batch.lines:
            booked = self._booked.setdefault(line.hour, {})
            amount = booked.get(line.account, NOTHING) + line.amount
            booked[line.account] = amount
            if not amount:
                del booked[line.account]
        self._dirty -= {s.key for s in batch.slices if self._slices.get(s.key) is s}
        self._dirty_lives -= {x.key for x in batch.lives if self._lives.get(x.key) is x}
        self._dirty_gaps -= {x.key for x in batch.gaps if self._gaps.get(x.key) is x}
        self._dirty_seen -= {x.key for x in batch.seen if self._seen.get(x.key) is x}
        self._serial = batch.serial
        before, self.closed_to, self._fresh = self.closed_to, batch.closed_to, False
        for hour in {*self._stale, *range(before, batch.closed_to, HOUR)}:
            self._used.pop(hour, None)
            if self.statement(hour, self._now) == self._booked.get(hour, {}):
                self._stale.discard(hour)
            else:
                self._stale.add(hour)
        self._drop(batch.drop_before)

    def _drop(self, before: int) -> None:
        if before <= self._drop_before:
            return
        self._drop_before = before
        old = [key for key in self._slices if key[3] < before]
        for key in old:
            s = self._slices.pop(key)
            self._open[key[0], key[1]].discard(key)
            self._held.pop((s.worker, s.started, s.hour), None)
        for life in [k for k, v in self._lives.items() if v.heard < before and not self._open.get(k)]:
            if self.cursor(life[0])[0] != life[1]:
                del self._lives[life]
                self._dirty_lives.discard(life)
        self._dirty -= set(old)
        for hour in {*self._totals, *self._booked, *self._used}:
            if hour < before:
                self._totals.pop(hour, None)
                self._booked.pop(hour, None)
                self._used.pop(hour, None)
        self._gaps = {k: v for k, v in self._gaps.items() if v.hour >= before}
        self._seen = {k: v for k, v in self._seen.items() if v.hour >= before}
        self._dirty_gaps &= set(self._gaps)
        self._dirty_seen &= set(self._seen)
        self._stale = {h for h in self._stale if h >= before}


def _source(report: Report) -> str:
    return f"{report.worker}/{report.started}"


def added(statements: Iterable[Mapping[Account, Amount]]) -> Statement:
    out: Statement = {}
    for statement in statements:
        for account, amount in statement.items():
            out[account] = out.get(account, NOTHING) + amount
    return out
