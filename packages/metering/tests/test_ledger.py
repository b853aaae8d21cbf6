"""Metering's decisions: counting, joining, closing, correcting, estimating, budgets."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import replace as with_
from decimal import Decimal
from fractions import Fraction
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.eventloop import Loop
from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.faultinjection.usage import true_usage
from walnutpost.metering import (
    HOUR,
    UNATTRIBUTED,
    Account,
    Action,
    Amount,
    Book,
    Budget,
    Budgets,
    Gap,
    Ledger,
    Policy,
    Report,
    Rule,
    Saved,
    Seen,
    Sight,
    Size,
    Slice,
    Standing,
    Statement,
    added,
    charge,
    exactly,
    join,
    split,
)
from walnutpost.metering.records import DAY
from walnutpost.metering.reports import Kept, compared, figures, grouped, invoice, parts, proof
from walnutpost.store import UsageStore, read_ledger
from walnutpost.store.usage import LedgerRun, write_batch

SECOND, MINUTE = 1_000_000, 60_000_000
START = 1000 * HOUR + 17 * MINUTE
TENANTS = ("tills", "trade", "website")
POLICY = Policy()


class Worker:
    """A book and a record of its own, driven at random: copies that load, serve up to three lanes, go."""

    def __init__(self, rng: Random, name: str = "w", started: int = START, kept: int = 20_000) -> None:
        self.rng, self.now, self.book = rng, started, Book(name, started, 4096, kept)
        self.lived: list[CopyEvent] = []
        self.copies: dict[int, list[str]] = {}
        self.ready: set[int] = set()
        self.count = 0

    def note(self, what: str, copy: int, tenant: str = "") -> None:
        kind = CopyEventKind(what)
        self.lived.append(CopyEvent(self.now, kind, copy, f"f{copy % 3}", 100 + copy % 3, tenant))

    def step(self) -> None:
        self.now += self.rng.choice((0, 1, 7 * SECOND, 3 * MINUTE, 20 * MINUTE)) + self.rng.randrange(100)
        copy = self.rng.choice([*self.copies, 0])
        if not copy:
            if len(self.copies) < 6:
                self.count += 1
                self.copies[self.count] = []
                self.book.begin(self.now, self.count, f"f{self.count % 3}", 100 + self.count % 3)
                self.note("begun", self.count)
            return
        running = self.copies[copy]
        if copy not in self.ready:
            self.ready.add(copy)
            self.book.ready(self.now, copy)
            self.note("ready", copy)
        elif len(running) < 3 and self.rng.random() < 0.6:
            running.append(self.rng.choice(TENANTS))
            self.book.ran(self.now, copy, running[-1])
            self.note("ran", copy, running[-1])
        elif running:
            tenant = running.pop(self.rng.randrange(len(running)))
            self.book.rested(self.now, copy, tenant)
            self.note("rested", copy, tenant)
        else:
            del self.copies[copy]
            self.book.gone(self.now, copy)
            self.note("gone", copy)

    def reports(self, steps: int, share: float = 0.2) -> list[Report]:
        out = []
        for _ in range(steps):
            self.step()
            if self.rng.random() < share:
                out.append(self.book.report(self.now))
        return [*out, self.book.report(self.now)]


def ledger(now: int = START, saved: Saved | None = None, policy: Policy = POLICY) -> Ledger:
    return Ledger(policy, saved or Saved(), now)


def whole(of: Ledger, until: int) -> Statement:
    hours = range(START // HOUR * HOUR, until + HOUR, HOUR)
    return added(of.statement(hour, until) for hour in hours)


def close(of: Ledger, now: int) -> list[Any]:
    batch = of.batch(now)
    if batch is None:
        return []
    of.written(batch)
    return batch.lines


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_a_books_totals_are_its_workers_own_record(seed: int) -> None:
    worker = Worker(Random(seed))
    reports = worker.reports(120)
    known = ledger()
    for report in reports:
        assert known.take(report, "w", worker.now) == []
    got, true = whole(known, worker.now), true_usage(worker.lived, worker.now)
    assert sum(a.best for a in got.values()) == sum(true.values())
    for account, amount in got.items():
        assert amount == exactly(amount.best)
        # Shares are whole microseconds: each stretch with several lanes may be off by one of them.
        assert abs(amount.best - true[account.tenant, account.function]) <= 102 * (120 + len(reports)) * 6


@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_order_repeats_and_ways_of_reports_do_not_show(seed: int, shuffled: Any) -> None:
    worker = Worker(Random(seed))
    reports = worker.reports(80)
    late = worker.now + 2 * HOUR
    once = ledger()
    for report in reports:
        once.take(report, "w", late)
    more = [*reports, *shuffled.sample(reports, len(reports) // 2)]
    shuffled.shuffle(more)
    one, other = ledger(), ledger()
    lines = []
    for number, report in enumerate(more):
        (one if number % 3 else other).take(report, "w", late)
        if number % 5 == 0:
            lines += close(one, START + number * 10 * MINUTE)
    for report in more:
        one.take(report, "w", late)
    lines += close(one, late) + close(one, late)
    assert whole(one, late) == whole(once, late)
    # What was booked, closings and corrections together, is the statement of the closed hours.
    booked = added({line.account: line.amount} for line in lines)
    assert {a: m for a, m in booked.items() if m} == whole(once, late)
    # Two front ends that read some each are together what one knows that read all.
    for report in reports[::2]:
        other.take(report, "w", late)
    both = [Kept(saved_of(each)) for each in (other, once)]
    got = grouped(figures(both, POLICY, late, START - HOUR, late), ["tenant", "function", "cause"], {})
    exact = {(a.tenant, a.function, a.cause): m for a, m in whole(once, late).items() if not a.cause}
    assert {key: m for key, m in got.items() if not key[2]} == exact


def saved_of(known: Ledger) -> Saved:
    return Saved(
        list(known._slices.values()),
        list(known._lives.values()),
        list(known._gaps.values()),
        list(known._seen.values()),
        {hour: dict(s) for hour, s in known._booked.items()},
        known.closed_to,
    )


COUNTS = st.integers(0, 50)
SLICES = st.builds(
    lambda heard, ended, loading, unused, runs, after, first, mb: Slice(
        "w", START, 1, START // HOUR * HOUR, "f", mb, heard, ended, loading, unused, runs, after, first
    ),
    st.integers(START, START + 9),
    st.booleans(),
    COUNTS,
    COUNTS,
    st.dictionaries(st.sampled_from(TENANTS), COUNTS, max_size=3),
    st.dictionaries(st.sampled_from(TENANTS), COUNTS, max_size=3),
    st.sampled_from((None, *TENANTS)),
    st.sampled_from((100, 100, 200)),
)


def counted(s: Slice) -> Slice:
    """Without what was noticed on the way."""
    return msgspec.structs.replace(s, doubts=frozenset())


@given(SLICES, SLICES, SLICES)
def test_joining_is_idempotent_commutative_associative(a: Slice, b: Slice, c: Slice) -> None:
    assert join(a, a) == a
    assert join(a, b) == join(b, a)
    assert counted(join(join(a, b), c)) == counted(join(a, join(b, c)))
    assert join(a, join(a, b)).doubts == join(a, b).doubts


@given(SLICES)
def test_parts_of_a_stretch_add_up_under_each_rule(s: Slice) -> None:
    for rule in Rule:
        assert sum(charge(s, rule).values()) == s.whole


@given(st.integers(0, 10**20), st.dictionaries(st.text(max_size=3), st.integers(0, 99), min_size=1))
def test_a_split_adds_up_and_is_near_the_proportion(total: int, weights: dict[str, int]) -> None:
    if not sum(weights.values()):
        return
    parts = split(total, weights)
    assert sum(parts.values()) == total
    for name, part in parts.items():
        assert abs(part - Fraction(total * weights[name], sum(weights.values()))) < 1


def test_one_copy_that_serves_three_tenants_past_its_lanes() -> None:
    book = Book("w", START, 1000)
    book.begin(START, 1, "f", 100)
    book.ready(START + 10, 1)
    for at, tenant in ((20, "a"), (30, "b"), (30, "c"), (30, "c")):
        book.ran(START + at, 1, tenant)
    for at, tenant in ((50, "a"), (50, "b"), (50, "c"), (60, "c")):
        book.rested(START + at, 1, tenant)
    book.gone(START + 100, 1)
    (s,) = book.report(START + 200).slices
    assert (s.loading, s.unused, s.ended) == (10, 10, True)
    assert s.runs == {"a": 10 + 5, "b": 5, "c": 10 + 10} and s.after == {"c": 40}
    assert charge(s) == {"a": 100 * (20 + 15), "b": 500, "c": 100 * 60}
    assert charge(s, Rule.FIRST) == {"a": 100 * (20 + 15 + 40), "b": 500, "c": 2000}
    assert charge(s, Rule.SHARE) == {"a": 1500 + 2300, "b": 500 + 700, "c": 2000 + 3000}


def test_an_unused_load_is_nobodys_until_somebody_comes_even_in_a_later_hour() -> None:
    book, known = Book("w", START, 1000), ledger()
    book.begin(START, 1, "f", 100)
    book.ready(START + MINUTE, 1)
    now = START + HOUR
    known.take(book.report(now), "w", now)
    (line,) = [x for x in close(known, now) if x.kind == "closed"]
    assert line.account == Account(UNATTRIBUTED, "f") and line.amount == exactly(100 * 43 * MINUTE)
    book.ran(now, 1, "a")
    known.take(book.report(now + MINUTE), "w", now + MINUTE)
    lines = close(known, now + MINUTE)
    assert {(x.kind, x.account.tenant, x.amount.best) for x in lines} == {
        ("correction", UNATTRIBUTED, -100 * 43 * MINUTE),
        ("correction", "a", 100 * 43 * MINUTE),
    }


def slice_of(**more: Any) -> Slice:
    told = {"worker": "w", "started": START, "copy": 1, "hour": START // HOUR * HOUR, "function": "f"}
    return Slice(**{**told, "memory_mb": 100, "heard": START + MINUTE, "loading": 5, **more})


def report_of(*slices: Slice, **more: Any) -> Report:
    told = {"worker": "w", "started": START, "at": START + MINUTE, "change": 1, "memory_mb": 1000}
    return Report(**{**told, "slices": list(slices), **more})


REFUSED: dict[str, tuple[Report, str]] = {
    "another's report": (report_of(worker="v"), "found a report of 'v'"),
    "before its start": (report_of(at=START - 1), "wanted start <= time"),
    "far ahead of our time": (report_of(at=START + HOUR), "wanted start <= time"),
    "no memory": (report_of(memory_mb=0), "found memory of 0 MB"),
    "changes backwards": (report_of(forgotten=2), "wanted 0 <= forgotten <= change"),
    "another's copy": (report_of(slice_of(worker="v")), "wanted one of the reporter's"),
    "a negative run time": (report_of(slice_of(runs={"a": -1})), "found a count of -1 us"),
    "nobody as a tenant": (report_of(slice_of(runs={"-": 1})), "found a tenant '-'"),
    "more time than there was": (report_of(slice_of(loading=MINUTE + 1)), "wanted no more"),
    "more memory than the worker's": (report_of(slice_of(memory_mb=1001)), "found 1001 MB"),
    "not a full hour": (report_of(slice_of(hour=START)), "wanted a full hour"),
    "heard beyond the report": (report_of(slice_of(heard=START + 2 * MINUTE)), "wanted a full hour"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_what_is_not_believed_is_said_and_counts_as_a_gap_at_most(name: str) -> None:
    report, complaint = REFUSED[name]
    known = ledger()
    notes = known.take(report, "w", START + MINUTE)
    assert len(notes) == 1 and complaint in notes[0]
    for amount in whole(known, START + MINUTE).values():
        assert amount.best == amount.least == 0
        assert amount.most == (1000 * MINUTE if report.slices else 0)


CONTRADICTIONS: dict[str, tuple[list[Report], str]] = {
    "a counter that went down": (
        [
            report_of(slice_of(loading=9)),
            report_of(slice_of(heard=START + 2 * MINUTE), at=START + 2 * MINUTE),
        ],
        "a counter went down",
    ),
    "one copy of two functions": (
        [report_of(slice_of()), report_of(slice_of(function="g"))],
        "two functions or sizes for one copy",
    ),
    "time that runs back": (
        [report_of(slice_of(), at=START + 2 * MINUTE), report_of(slice_of(), change=2)],
        "its time ran back",
    ),
}


@pytest.mark.parametrize("name", CONTRADICTIONS)
def test_a_contradiction_is_noticed_and_the_greater_kept(name: str) -> None:
    reports, complaint = CONTRADICTIONS[name]
    known = ledger()
    notes = [n for r in reports for n in known.take(r, "w", START + 2 * MINUTE)]
    assert len(notes) == 1 and complaint in notes[0]
    amounts = list(whole(known, START + MINUTE).values())
    assert sum(a.best for a in amounts) == 100 * max(s.loading for r in reports for s in r.slices)


def test_more_copies_than_memory_lower_the_least() -> None:
    known = ledger()
    copies = [slice_of(copy=n, loading=MINUTE, memory_mb=600) for n in (1, 2)]
    assert known.take(report_of(*copies), "w", START + MINUTE) == []
    total = added([{Account("", ""): a} for a in whole(known, START + MINUTE).values()])[Account("", "")]
    assert total == Amount(1200 * MINUTE, 1000 * MINUTE, 1200 * MINUTE)


def test_a_worker_that_dies_before_reporting_is_a_gap_until_its_next_start() -> None:
    known, book = ledger(), Book("w", START, 1000)
    book.begin(START, 1, "f", 100)
    known.take(book.report(START + MINUTE), "w", START + MINUTE)
    closing = START // HOUR * HOUR + HOUR + POLICY.close_after
    gap = Account(UNATTRIBUTED, "", "silent")
    lines = {x.account: x for x in close(known, closing)}
    assert lines[gap].amount == Amount(0, 0, 1000 * POLICY.silent_most)
    # It comes back under the same name: what was before ended two minutes after it was last heard.
    again = Book("w", START + 3 * MINUTE, 1000)
    known.take(again.report(closing), "w", closing)
    (line,) = [x for x in close(known, closing) if x.account == gap]
    assert line.kind == "correction" and line.amount.most == 1000 * (2 * MINUTE - POLICY.silent_most)
    assert whole(known, closing)[Account(UNATTRIBUTED, "f")] == exactly(100 * MINUTE)


def test_a_drained_worker_that_has_unloaded_all_leaves_no_gap() -> None:
    for draining in (True, False):
        known, book = ledger(), Book("w", START, 1000)
        known.take(book.report(START + MINUTE, draining=draining), "w", START + MINUTE)
        assert bool(close(known, START + 2 * HOUR)) is not draining


def test_a_reader_that_comes_too_late_knows_how_much_it_missed() -> None:
    worker = Worker(Random(3), kept=5)
    known = ledger()
    known.take(worker.book.report(worker.now), "w", worker.now)
    for _ in range(200):
        worker.step()
    notes = known.take(worker.book.report(worker.now), "w", worker.now)
    assert len(notes) == 1 and "before they were read" in notes[0]
    total = added([{Account("", ""): a} for a in whole(known, worker.now).values()])[Account("", "")]
    true = sum(true_usage(worker.lived, worker.now).values())
    assert total.least < true == total.most


def test_a_reader_that_keeps_up_misses_nothing_and_one_of_another_start_is_told_all() -> None:
    worker, known = Worker(Random(3), kept=20), ledger()
    for _ in range(200):
        worker.step()
        started, after = known.cursor("w")
        assert known.take(worker.book.report(worker.now, after, started or None), "w", worker.now) == []
    total = added([{Account("", ""): a} for a in whole(known, worker.now).values()])[Account("", "")]
    assert total == exactly(int(sum(true_usage(worker.lived, worker.now).values())))
    started, after = known.cursor("w")
    finished = [sum(s.ended for s in worker.book.report(worker.now, after, at).slices) for at in (started, 7)]
    assert finished == [0, 20]


def test_a_book_whose_clock_steps_back_counts_no_time_twice() -> None:
    book = Book("w", START, 1000)
    book.begin(START + 10, 1, "f", 100)
    book.report(START + 60)
    book.ready(START + 30, 1)
    book.ran(START + 40, 1, "a")
    book.rested(START + 80, 1, "a")
    book.gone(START + 80, 1)
    (s,) = book.report(START + 90).slices
    assert (s.loading, s.runs, s.standing) == (50, {"a": 20}, 70)


def test_a_clock_that_steps_closes_nothing_twice() -> None:
    worker = Worker(Random(5))
    known = ledger()
    for report in worker.reports(60):
        known.take(report, "w", worker.now + HOUR)
    late = worker.now + 2 * HOUR
    assert close(known, late)
    closed = known.closed_to
    for now in (START - DAY, START, late, late + 1):
        assert close(known, now) == [] and known.closed_to == closed
    close(
        known, late + 400 * DAY
    )  # years ahead: some hours at a time, and the dropped ones are not closed anew
    assert closed < known.closed_to


def test_late_facts_of_dropped_hours_are_a_gap_once() -> None:
    policy = with_(POLICY, keep_slices=HOUR)
    known = ledger(policy=policy)
    s = slice_of(ended=True)
    now = START + 6 * HOUR
    while close(known, now):
        pass
    for _ in range(2):
        notes = known.take(report_of(s, at=now), "w", now)
        assert "whose records are dropped" in notes[0]
    assert list(saved_of(known).gaps) == [Gap(s.hour, f"w/{START}/1", "too late", s.whole)]


# On disk


def store_of(path: Path) -> tuple[UsageStore, Saved]:
    store = UsageStore(Loop(), path)
    return store, store.load()[0]


class Dying:
    """A connection that dies before its nth statement."""

    def __init__(self, db: sqlite3.Connection, left: int) -> None:
        self.db, self.left = db, left

    def _run(self, call: Callable[..., Any], *told: Any) -> Any:
        self.left -= 1
        if self.left < 0:
            raise KeyboardInterrupt
        return call(*told)

    def execute(self, *told: Any) -> Any:
        return self._run(self.db.execute, *told)

    def executemany(self, *told: Any) -> Any:
        return self._run(self.db.executemany, *told)


def test_a_crash_at_each_write_loses_and_doubles_nothing(tmp_path: Path) -> None:
    worker = Worker(Random(11))
    reports = worker.reports(60, 0.1)
    late = worker.now + 2 * HOUR
    wanted = ledger()
    for report in reports:
        wanted.take(report, "w", late)
    store, saved = store_of(tmp_path / "usage.db")
    died, now = 0, START
    for number in range(len(reports) + 20):
        now = min(late, max(now, reports[min(number, len(reports) - 1)].at) + 10 * MINUTE)
        for left in range(10_000):  # the process dies before each statement in turn, then gets through
            known = ledger(saved=saved)
            for report in reports[: number + 1]:
                known.take(report, "w", now)
            batch = known.batch(now)
            if batch is None:
                break
            store._db.execute("begin immediate")
            try:
                write_batch(Dying(store._db, left), batch, LedgerRun())  # type: ignore[arg-type]
                store._db.execute("commit")
                break
            except KeyboardInterrupt:
                died += 1
                store._db.execute("rollback")
                assert store.load()[0] == saved
        saved = store.load()[0]
        kept = read_ledger(tmp_path / "usage.db", 0, late)
        assert proof(kept, POLICY, now) == []
    assert died > 100 and whole(ledger(saved=saved), late) == whole(wanted, late)
    assert added(saved.booked.values()) == {a: m for a, m in whole(wanted, late).items() if m}
    assert compared(kept, [reports[-1]], late) == []
    store.close()


def test_two_processes_on_one_file_book_nothing_twice(tmp_path: Path) -> None:
    store, saved = store_of(tmp_path / "usage.db")
    one, other = ledger(saved=saved), ledger(saved=saved)
    for known in (one, other):
        known.take(report_of(slice_of()), "w", START + MINUTE)
        batch = known.batch(START + 2 * HOUR)
        assert batch is not None
        if known is one:
            write_batch(store._db, batch, LedgerRun())
            known.written(batch)
        else:
            with pytest.raises(sqlite3.DatabaseError, match="found batch 1 in the ledger, wanted 0"):
                write_batch(store._db, batch, LedgerRun())
    assert added(store.load()[0].booked.values()) == whole(one, START + 2 * HOUR)
    store.close()


def test_old_lines_are_folded_into_days_and_nothing_of_them_is_lost(tmp_path: Path) -> None:
    policy = Policy(keep_slices=2 * HOUR, keep_hours=DAY, keep_days=30 * DAY)
    store, saved = store_of(tmp_path / "usage.db")
    known, total = ledger(saved=saved, policy=policy), 0
    for day in range(6):
        at = START + MINUTE + day * DAY
        s = Slice("w", START, day + 1, at // HOUR * HOUR, "f", 10, at, True, 5)
        total += s.whole
        known.take(report_of(s, at=at, change=day + 1, started=START), "w", at)
        for now in range(at, at + DAY, HOUR):
            batch = known.batch(now)
            if batch is not None:
                store._db.execute("begin")
                write_batch(store._db, batch, LedgerRun())
                store._db.execute("commit")
                known.written(batch)
    kept = read_ledger(tmp_path / "usage.db", 0, START + 9 * DAY)
    assert len(kept.days) >= 4 and not kept.saved.slices
    lines = [x.amount.best for x in kept.lines + kept.days if not x.account.cause]
    assert sum(lines) == total
    store.close()


def test_verify_finds_a_line_that_was_changed_and_a_copy_that_is_missing(tmp_path: Path) -> None:
    worker = Worker(Random(2))
    report = worker.reports(60)[-1]
    late = worker.now + 2 * HOUR
    known = ledger()
    known.take(report, "w", late)
    lines = close(known, late)
    kept = Kept(saved_of(known), lines)
    assert proof(kept, POLICY, late) == [] and compared(kept, [report], late) == []
    changed = msgspec.structs.replace(lines[0], amount=lines[0].amount + exactly(1))
    assert "booked" in proof(Kept(kept.saved, [changed, *lines[1:]]), POLICY, late)[0]
    gone = next(s for s in kept.saved.slices if s.ended)
    kept.saved.slices.remove(gone)
    assert "none in the ledger" in compared(kept, [report], late)[0]
    only = parts([kept], POLICY, late, lambda tenant, s: tenant == "trade")
    assert {p.tenant for p in only} == {"trade"} and only == sorted(only, key=lambda p: -p.amount)


# A front end's own sight


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_the_truth_lies_within_the_bounds_of_an_estimate(seed: int) -> None:
    """Two front ends send half of the calls each to workers that keep no book."""
    rng, keep, load, lanes = Random(seed), 10 * SECOND, SECOND, 2
    sizes = {"f": Size(100, lanes, load)}
    sights = [Sight(n, sizes, keep) for n in (1, 2)]
    ledgers = [ledger(), ledger()]
    lived: list[CopyEvent] = []
    copies: dict[int, tuple[list[str], int]] = {}  # running, and idle since
    out: list[tuple[int, int, Sight, str]] = []
    now, count = START, 0

    def note(what: str, copy: int, tenant: str = "", at: int = 0) -> None:
        lived.append(CopyEvent(at or now, CopyEventKind(what), copy, "f", 100, tenant))

    for turn in range(150):
        now += rng.choice(
            (1, SECOND // 3, 2 * SECOND, 2 * SECOND, 15 * SECOND, 4 * MINUTE if turn % 9 else 0)
        )
        for copy, (running, since) in list(copies.items()):
            if not running and since + keep <= now:
                del copies[copy]
                note("gone", copy, at=since + keep)
        if out and rng.random() < 0.5:
            copy, _, sight, tenant = out.pop(rng.randrange(len(out)))
            copies[copy][0].remove(tenant)
            copies[copy] = (copies[copy][0], now)
            note("rested", copy, tenant)
            sight.ended(now, "w", "f", tenant)
        elif len(out) < 5:
            tenant, sight = rng.choice(TENANTS), rng.choice(sights)
            free = [c for c, (running, _) in copies.items() if len(running) < lanes]
            if not free:
                count += 1
                free, copies[count] = [count], ([], now)
                note("begun", count, at=now - load)
                note("ready", count)
            copies[free[0]][0].append(tenant)
            note("ran", free[0], tenant)
            out.append((free[0], now, sight, tenant))
            sight.began(now, "w", "f", tenant)
        if rng.random() < 0.2:
            for sight, known in zip(sights, ledgers, strict=True):
                known.saw(sight.take(now))
    lived.sort(key=lambda e: e.at_us)
    for sight, known in zip(sights, ledgers, strict=True):
        known.saw(sight.take(now))
    true = true_usage(lived, now)
    total = added([{Account("", "", ""): a} for k in ledgers for a in whole(k, now).values()])
    amount = total[Account("", "", "")]
    assert amount.least <= sum(true.values()) <= amount.most
    assert {a.cause for k in ledgers for a in whole(k, now)} == {"estimated"}
    both = grouped(
        figures([Kept(saved_of(k)) for k in ledgers], POLICY, now, START - HOUR, now), ["cause"], {}
    )
    assert both == {("estimated",): amount}


def test_a_workers_own_book_takes_the_place_of_estimates() -> None:
    known = ledger()
    hour = START // HOUR * HOUR
    known.saw([Seen(1, hour, name, "f", "a", Amount(5, 1, 9)) for name in ("w", "v")])
    close(known, START + 2 * HOUR)
    known.take(report_of(slice_of()), "w", START + MINUTE)
    lines = {(x.account.tenant, x.account.cause): x.amount for x in close(known, START + 2 * HOUR)}
    assert lines["a", "estimated"] == Amount(-5, -1, -9)
    assert whole(known, START + MINUTE)[Account("a", "f", "estimated")] == Amount(5, 1, 9)


# Budgets

B = Budget("a", 1000, HOUR, 0.8, 0.1, Action.REFUSE)
LOOKS: list[tuple[int, int, Standing]] = [  # minutes, used, where it stands then
    (0, 700, Standing.WITHIN),
    (1, 800, Standing.NEAR),
    (2, 701, Standing.NEAR),  # a correction: not below what it was entered at, less a tenth
    (3, 699, Standing.WITHIN),
    (4, 1000, Standing.PAST),
    (5, 901, Standing.PAST),
    (6, 899, Standing.NEAR),
    (7, 2000, Standing.PAST),
    (60, 750, Standing.WITHIN),  # a new period
    (61, 1000, Standing.PAST),
    (59, 950, Standing.PAST),  # the clock steps back: no new period
]


def test_budgets_have_entry_and_exit_apart_and_leave_others_alone() -> None:
    budgets = Budgets(
        [B, with_(B, tenant="b", action=Action.NO_AHEAD), with_(B, tenant="c", action=Action.NOTE)]
    )
    begin = 1000 * HOUR
    for minutes, used, standing in LOOKS:
        budgets.look(begin + minutes * MINUTE, {HOUR: dict.fromkeys("abc", used)})
        assert budgets.standing("a") is standing, minutes
    assert not budgets.look(begin + 61 * MINUTE, {HOUR: dict.fromkeys("abc", 1000)})
    lets = {(t, stands): budgets.lets_in(t, stands) for t in "abcd" for stands in (True, False)}
    assert [k for k, let in lets.items() if not let] == [("a", False)]
    orders = [("a",), ("b",), ("a", "b"), ("c",), ("d",), ("a", "d"), ()]
    assert [o for o in orders if not budgets.lets_order(o, True)] == [("a",), ("b",), ("a", "b")]
    assert all(budgets.lets_order(o, False) for o in orders)
    assert budgets.ends("a", begin + 59 * MINUTE) == MINUTE and budgets.ends("d", begin) == 0


@given(st.dictionaries(st.text(max_size=4), st.integers(0, 10**17), max_size=9), st.integers(0, 6))
def test_an_invoices_lines_add_up_to_its_total(amounts: dict[str, int], digits: int) -> None:
    bill = invoice("a", {f: exactly(n) for f, n in amounts.items()}, Decimal("0.0213"), digits)
    assert sum((money for _, money in bill.lines), Decimal(0)) == bill.total
    exact = Fraction(sum(amounts.values()), 1024 * HOUR) * Fraction("0.0213")
    assert abs(Fraction(bill.total) - exact) <= Fraction(1, 2 * 10**digits)
    assert bill.least == bill.total == bill.most


def test_a_renamed_tenant_stands_under_its_new_name() -> None:
    known = ledger()
    known.take(report_of(slice_of(loading=0, runs={"old": 7, "new": 5, "": 1})), "w", START + MINUTE)
    kept = [Kept(saved_of(known))]
    got = figures(kept, POLICY, START + MINUTE, START - HOUR, START + HOUR)
    assert grouped(got, ["tenant"], {"old": "new"}, "tills") == {
        ("new",): exactly(1200),
        ("tills",): exactly(100),
    }
