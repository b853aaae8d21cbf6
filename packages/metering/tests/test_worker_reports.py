"""Reports of workers in the ledger: order, invalid ones, contradictions, gaps."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.faultinjection.usage import true_usage
from walnutpost.metering import (
    DAY_US,
    HOUR_US,
    UNATTRIBUTED,
    Account,
    Amount,
    LedgerExtract,
    UsageGap,
    UsageRecorder,
    UsageReport,
    collect_figures,
    exact_amount,
    group_figures,
    sum_amounts,
    sum_statements,
)
from walnutpost.testsupport.metering.fixtures import (
    MINUTE_US,
    POLICY,
    START_US,
    RandomWorker,
    make_ledger,
    make_report,
    make_slice,
    state_of,
    sum_hours,
    write_batch_of,
)


@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_reports_in_any_order_repeated_or_by_two_readers_give_the_same_statement(
    seed: int, shuffled: Any
) -> None:
    worker = RandomWorker(Random(seed))
    reports = worker.reports(80)
    late = worker.now + 2 * HOUR_US
    once = make_ledger()
    for report in reports:
        once.add_report(report, "w", late)
    more = [*reports, *shuffled.sample(reports, len(reports) // 2)]
    shuffled.shuffle(more)
    one, other = make_ledger(), make_ledger()
    lines = []
    for number, report in enumerate(more):
        (one if number % 3 else other).add_report(report, "w", late)
        if number % 5 == 0:
            lines += write_batch_of(one, START_US + number * 10 * MINUTE_US)
    for report in more:
        one.add_report(report, "w", late)
    lines += write_batch_of(one, late) + write_batch_of(one, late)
    assert sum_hours(one, late) == sum_hours(once, late)
    # What was booked, closings and corrections together, is the statement of the closed hours.
    booked = sum_statements({line.account: line.amount} for line in lines)
    assert {a: m for a, m in booked.items() if m} == sum_hours(once, late)
    # Two front ends that read some each are together what one knows that read all.
    for report in reports[::2]:
        other.add_report(report, "w", late)
    both = [LedgerExtract(state_of(each)) for each in (other, once)]
    got = group_figures(
        collect_figures(both, POLICY, late, START_US - HOUR_US, late), ["tenant", "function", "cause"], {}
    )
    exact = {(a.tenant, a.function, a.cause): m for a, m in sum_hours(once, late).items() if not a.cause}
    assert {key: m for key, m in got.items() if not key[2]} == exact


def test_an_unused_copy_is_unattributed_until_a_first_call_even_in_a_later_hour() -> None:
    recorder, ledger = UsageRecorder("w", START_US, 1000), make_ledger()
    recorder.start_copy(START_US, 1, "f", 100)
    recorder.mark_ready(START_US + MINUTE_US, 1)
    now = START_US + HOUR_US
    ledger.add_report(recorder.build_report(now), "w", now)
    (line,) = [x for x in write_batch_of(ledger, now) if x.kind == "closed"]
    assert line.account == Account(UNATTRIBUTED, "f")
    assert line.amount == exact_amount(100 * 43 * MINUTE_US)
    recorder.start_call(now, 1, "a")
    ledger.add_report(recorder.build_report(now + MINUTE_US), "w", now + MINUTE_US)
    lines = write_batch_of(ledger, now + MINUTE_US)
    assert {(x.kind, x.account.tenant, x.amount.best) for x in lines} == {
        ("correction", UNATTRIBUTED, -100 * 43 * MINUTE_US),
        ("correction", "a", 100 * 43 * MINUTE_US),
    }


INVALID_REPORTS: dict[str, tuple[UsageReport, str]] = {
    "another's report": (make_report(worker="v"), "found a report of 'v'"),
    "before its start": (make_report(reported_us=START_US - 1), "wanted start <= time"),
    "far ahead of our time": (make_report(reported_us=START_US + HOUR_US), "wanted start <= time"),
    "no memory": (make_report(memory_mb=0), "found memory of 0 MB"),
    "changes backwards": (make_report(last_evicted_change=2), "wanted 0 <= forgotten <= change"),
    "another's copy": (make_report(make_slice(worker="v")), "wanted a copy of the reporting worker process"),
    "a negative run time": (make_report(make_slice(running_us={"a": -1})), "found a count of -1 us"),
    "nobody as a tenant": (make_report(make_slice(running_us={"-": 1})), "found a tenant '-'"),
    "more time than there was": (
        make_report(make_slice(loading_us=MINUTE_US + 1)),
        "wanted at most the elapsed time",
    ),
    "more memory than the worker's": (make_report(make_slice(memory_mb=1001)), "found 1001 MB"),
    "not a full hour": (make_report(make_slice(hour_us=START_US)), "wanted a full hour"),
    "heard beyond the report": (
        make_report(make_slice(counted_until_us=START_US + 2 * MINUTE_US)),
        "wanted a full hour",
    ),
}


@pytest.mark.parametrize("name", INVALID_REPORTS)
def test_an_invalid_report_is_described_and_is_at_most_a_gap(name: str) -> None:
    report, expected = INVALID_REPORTS[name]
    ledger = make_ledger()
    inconsistencies = ledger.add_report(report, "w", START_US + MINUTE_US)
    assert len(inconsistencies) == 1
    assert expected in inconsistencies[0]
    for amount in sum_hours(ledger, START_US + MINUTE_US).values():
        assert amount.best == amount.lower_bound == 0
        assert amount.upper_bound == (1000 * MINUTE_US if report.slices else 0)


CONTRADICTIONS: dict[str, tuple[list[UsageReport], str]] = {
    "a counter that went down": (
        [
            make_report(make_slice(loading_us=9)),
            make_report(
                make_slice(counted_until_us=START_US + 2 * MINUTE_US), reported_us=START_US + 2 * MINUTE_US
            ),
        ],
        "a counter went down",
    ),
    "one copy of two functions": (
        [make_report(make_slice()), make_report(make_slice(function="g"))],
        "two functions or sizes for one copy",
    ),
    "time that runs back": (
        [
            make_report(make_slice(), reported_us=START_US + 2 * MINUTE_US),
            make_report(make_slice(), change=2),
        ],
        "report time went back",
    ),
}


@pytest.mark.parametrize("name", CONTRADICTIONS)
def test_a_contradiction_is_described_and_the_greater_count_is_booked(name: str) -> None:
    reports, expected = CONTRADICTIONS[name]
    ledger = make_ledger()
    inconsistencies = [n for r in reports for n in ledger.add_report(r, "w", START_US + 2 * MINUTE_US)]
    assert len(inconsistencies) == 1
    assert expected in inconsistencies[0]
    amounts = list(sum_hours(ledger, START_US + MINUTE_US).values())
    assert sum(a.best for a in amounts) == 100 * max(s.loading_us for r in reports for s in r.slices)


def test_more_copies_than_memory_lower_the_lower_bound() -> None:
    ledger = make_ledger()
    copies = [make_slice(copy=n, loading_us=MINUTE_US, memory_mb=600) for n in (1, 2)]
    assert ledger.add_report(make_report(*copies), "w", START_US + MINUTE_US) == []
    total = sum_amounts(sum_hours(ledger, START_US + MINUTE_US).values())
    assert total == Amount(1200 * MINUTE_US, 1000 * MINUTE_US, 1200 * MINUTE_US)


def test_a_worker_that_dies_before_reporting_leaves_a_gap_until_its_next_start() -> None:
    ledger, recorder = make_ledger(), UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US, 1, "f", 100)
    ledger.add_report(recorder.build_report(START_US + MINUTE_US), "w", START_US + MINUTE_US)
    closing = START_US // HOUR_US * HOUR_US + HOUR_US + POLICY.close_delay_us
    gap = Account(UNATTRIBUTED, "", "silent")
    lines = {x.account: x for x in write_batch_of(ledger, closing)}
    assert lines[gap].amount == Amount(0, 0, 1000 * POLICY.max_silence_us)
    # It comes back under the same name: what was before ended two minutes after it was last heard.
    again = UsageRecorder("w", START_US + 3 * MINUTE_US, 1000)
    ledger.add_report(again.build_report(closing), "w", closing)
    (line,) = [x for x in write_batch_of(ledger, closing) if x.account == gap]
    assert line.kind == "correction"
    assert line.amount.upper_bound == 1000 * (2 * MINUTE_US - POLICY.max_silence_us)
    assert sum_hours(ledger, closing)[Account(UNATTRIBUTED, "f")] == exact_amount(100 * MINUTE_US)


def test_a_drained_worker_without_loaded_copies_leaves_no_gap() -> None:
    for is_draining in (True, False):
        ledger, recorder = make_ledger(), UsageRecorder("w", START_US, 1000)
        ledger.add_report(
            recorder.build_report(START_US + MINUTE_US, is_draining=is_draining), "w", START_US + MINUTE_US
        )
        assert bool(write_batch_of(ledger, START_US + 2 * HOUR_US)) is not is_draining


def test_a_reader_that_comes_too_late_has_an_upper_bound_of_what_it_missed() -> None:
    worker = RandomWorker(Random(3), max_final_slices=5)
    ledger = make_ledger()
    ledger.add_report(worker.recorder.build_report(worker.now), "w", worker.now)
    for _ in range(200):
        worker.step()
    inconsistencies = ledger.add_report(worker.recorder.build_report(worker.now), "w", worker.now)
    assert len(inconsistencies) == 1
    assert "before they were read" in inconsistencies[0]
    total = sum_amounts(sum_hours(ledger, worker.now).values())
    true = sum(true_usage(worker.events, worker.now).values())
    assert total.lower_bound < true == total.upper_bound


def test_a_late_report_of_a_dropped_hour_is_one_gap() -> None:
    policy = replace(POLICY, slice_retention_us=HOUR_US)
    ledger = make_ledger(policy=policy)
    s = make_slice(is_final=True)
    now = START_US + 6 * HOUR_US
    while write_batch_of(ledger, now):
        pass
    for _ in range(2):
        inconsistencies = ledger.add_report(make_report(s, reported_us=now), "w", now)
        assert "whose records are dropped" in inconsistencies[0]
    assert list(state_of(ledger).gaps) == [UsageGap(s.hour_us, f"w/{START_US}/1", "too late", s.memory_time)]


def test_a_clock_that_steps_closes_no_hour_twice() -> None:
    worker = RandomWorker(Random(5))
    ledger = make_ledger()
    for report in worker.reports(60):
        ledger.add_report(report, "w", worker.now + HOUR_US)
    late = worker.now + 2 * HOUR_US
    assert write_batch_of(ledger, late)
    closed = ledger.closed_to_us
    for now in (START_US - DAY_US, START_US, late, late + 1):
        assert write_batch_of(ledger, now) == []
        assert ledger.closed_to_us == closed
    write_batch_of(
        ledger, late + 400 * DAY_US
    )  # years ahead: some hours at a time, and the dropped ones are not closed anew
    assert closed < ledger.closed_to_us
