"""Tests of workers' reports in the ledger: order, invalid reports, contradictions and gaps."""

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
    persisted_state,
    total_statement,
    write_next_batch,
)


@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_the_statement_is_independent_of_report_order_repetition_and_reader(seed: int, random: Any) -> None:
    worker = RandomWorker(Random(seed))
    reports = worker.random_reports(80)
    after_closing_us = worker.now_us + 2 * HOUR_US
    full_ledger = make_ledger()
    for report in reports:
        full_ledger.add_report(report, "w", after_closing_us)
    shuffled_reports = [*reports, *random.sample(reports, len(reports) // 2)]
    random.shuffle(shuffled_reports)
    first, second = make_ledger(), make_ledger()
    lines = []
    for number, report in enumerate(shuffled_reports):
        (first if number % 3 else second).add_report(report, "w", after_closing_us)
        if number % 5 == 0:
            lines += write_next_batch(first, START_US + number * 10 * MINUTE_US)
    for report in shuffled_reports:
        first.add_report(report, "w", after_closing_us)
    lines += write_next_batch(first, after_closing_us) + write_next_batch(first, after_closing_us)
    assert total_statement(first, after_closing_us) == total_statement(full_ledger, after_closing_us)
    # The lines of closings and corrections add up to the statements of the closed hours.
    booked = sum_statements({line.account: line.amount} for line in lines)
    assert {account: amount for account, amount in booked.items() if amount} == total_statement(
        full_ledger, after_closing_us
    )
    # The ledgers of two front ends, merged, equal the ledger of a front end that read all reports.
    for report in reports[::2]:
        second.add_report(report, "w", after_closing_us)
    extracts = [LedgerExtract(persisted_state(each)) for each in (second, full_ledger)]
    sums = group_figures(
        collect_figures(extracts, POLICY, after_closing_us, START_US - HOUR_US, after_closing_us),
        ["tenant", "function", "cause"],
        {},
    )
    expected = {
        (account.tenant, account.function, account.cause): amount
        for account, amount in total_statement(full_ledger, after_closing_us).items()
        if not account.cause
    }
    assert {key: amount for key, amount in sums.items() if not key[2]} == expected


def test_unused_time_is_unattributed_until_the_first_call_even_in_a_later_hour() -> None:
    recorder, ledger = UsageRecorder("w", START_US, 1000), make_ledger()
    recorder.start_copy(START_US, 1, "f", 100)
    recorder.mark_ready(START_US + MINUTE_US, 1)
    now_us = START_US + HOUR_US
    ledger.add_report(recorder.build_report(now_us), "w", now_us)
    (line,) = [line for line in write_next_batch(ledger, now_us) if line.kind == "closed"]
    assert line.account == Account(UNATTRIBUTED, "f")
    assert line.amount == exact_amount(100 * 43 * MINUTE_US)
    recorder.start_call(now_us, 1, "a")
    ledger.add_report(recorder.build_report(now_us + MINUTE_US), "w", now_us + MINUTE_US)
    lines = write_next_batch(ledger, now_us + MINUTE_US)
    assert {(line.kind, line.account.tenant, line.amount.best) for line in lines} == {
        ("correction", UNATTRIBUTED, -100 * 43 * MINUTE_US),
        ("correction", "a", 100 * 43 * MINUTE_US),
    }


INVALID_REPORTS: dict[str, tuple[UsageReport, str]] = {
    "report of another worker": (make_report(worker="v"), "found a report of 'v'"),
    "report before the worker's start": (make_report(reported_us=START_US - 1), "wanted start <= time"),
    "report time far ahead of the clock": (
        make_report(reported_us=START_US + HOUR_US),
        "wanted start <= time",
    ),
    "worker without memory": (make_report(memory_mb=0), "found memory of 0 MB"),
    "evicted change after the latest change": (
        make_report(last_evicted_change=2),
        "wanted 0 <= forgotten <= change",
    ),
    "copy of another worker": (
        make_report(make_slice(worker="v")),
        "wanted a copy of the reporting worker process",
    ),
    "negative running time": (make_report(make_slice(running_us={"a": -1})), "found a count of -1 us"),
    "reserved tenant name": (make_report(make_slice(running_us={"-": 1})), "found a tenant '-'"),
    "more time than has elapsed": (
        make_report(make_slice(loading_us=MINUTE_US + 1)),
        "wanted at most the elapsed time",
    ),
    "copy larger than the worker's memory": (make_report(make_slice(memory_mb=1001)), "found 1001 MB"),
    "hour that does not start at a full hour": (
        make_report(make_slice(hour_us=START_US)),
        "wanted a full hour",
    ),
    "counted beyond the report time": (
        make_report(make_slice(counted_until_us=START_US + 2 * MINUTE_US)),
        "wanted a full hour",
    ),
}


@pytest.mark.parametrize("name", INVALID_REPORTS)
def test_an_invalid_report_returns_the_reason_and_adds_at_most_a_gap(name: str) -> None:
    report, expected = INVALID_REPORTS[name]
    ledger = make_ledger()
    inconsistencies = ledger.add_report(report, "w", START_US + MINUTE_US)
    assert len(inconsistencies) == 1
    assert expected in inconsistencies[0]
    for amount in total_statement(ledger, START_US + MINUTE_US).values():
        assert amount.best == amount.lower_bound == 0
        assert amount.upper_bound == (1000 * MINUTE_US if report.slices else 0)


CONTRADICTIONS: dict[str, tuple[list[UsageReport], str]] = {
    "decreasing counter": (
        [
            make_report(make_slice(loading_us=9)),
            make_report(
                make_slice(counted_until_us=START_US + 2 * MINUTE_US), reported_us=START_US + 2 * MINUTE_US
            ),
        ],
        "a counter went down",
    ),
    "one copy with two functions": (
        [make_report(make_slice()), make_report(make_slice(function="g"))],
        "two functions or sizes for one copy",
    ),
    "report time that goes back": (
        [
            make_report(make_slice(), reported_us=START_US + 2 * MINUTE_US),
            make_report(make_slice(), change=2),
        ],
        "report time went back",
    ),
}


@pytest.mark.parametrize("name", CONTRADICTIONS)
def test_a_contradiction_is_returned_and_the_greater_count_is_booked(name: str) -> None:
    reports, expected = CONTRADICTIONS[name]
    ledger = make_ledger()
    inconsistencies = [
        text for report in reports for text in ledger.add_report(report, "w", START_US + 2 * MINUTE_US)
    ]
    assert len(inconsistencies) == 1
    assert expected in inconsistencies[0]
    amounts = list(total_statement(ledger, START_US + MINUTE_US).values())
    assert sum(amount.best for amount in amounts) == 100 * max(
        usage.loading_us for report in reports for usage in report.slices
    )


def test_copies_beyond_the_memory_of_a_worker_reduce_the_lower_bound() -> None:
    ledger = make_ledger()
    copies = [make_slice(copy=number, loading_us=MINUTE_US, memory_mb=600) for number in (1, 2)]
    assert ledger.add_report(make_report(*copies), "w", START_US + MINUTE_US) == []
    total = sum_amounts(total_statement(ledger, START_US + MINUTE_US).values())
    assert total == Amount(1200 * MINUTE_US, 1000 * MINUTE_US, 1200 * MINUTE_US)


def test_a_worker_that_dies_before_reporting_leaves_a_gap_until_its_next_start() -> None:
    ledger, recorder = make_ledger(), UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US, 1, "f", 100)
    ledger.add_report(recorder.build_report(START_US + MINUTE_US), "w", START_US + MINUTE_US)
    closing_us = START_US // HOUR_US * HOUR_US + HOUR_US + POLICY.close_delay_us
    gap = Account(UNATTRIBUTED, "", "silent")
    lines = {line.account: line for line in write_next_batch(ledger, closing_us)}
    assert lines[gap].amount == Amount(0, 0, 1000 * POLICY.max_silence_us)
    # The worker restarts under its name, so its previous incarnation ended two minutes after its last report.
    restarted = UsageRecorder("w", START_US + 3 * MINUTE_US, 1000)
    ledger.add_report(restarted.build_report(closing_us), "w", closing_us)
    (line,) = [line for line in write_next_batch(ledger, closing_us) if line.account == gap]
    assert line.kind == "correction"
    assert line.amount.upper_bound == 1000 * (2 * MINUTE_US - POLICY.max_silence_us)
    assert total_statement(ledger, closing_us)[Account(UNATTRIBUTED, "f")] == exact_amount(100 * MINUTE_US)


def test_a_drained_worker_without_loaded_copies_leaves_no_gap() -> None:
    for is_draining in (True, False):
        ledger, recorder = make_ledger(), UsageRecorder("w", START_US, 1000)
        ledger.add_report(
            recorder.build_report(START_US + MINUTE_US, is_draining=is_draining), "w", START_US + MINUTE_US
        )
        assert bool(write_next_batch(ledger, START_US + 2 * HOUR_US)) is not is_draining


def test_a_late_reader_gets_an_upper_bound_of_the_evicted_usage() -> None:
    worker = RandomWorker(Random(3), max_final_slices=5)
    ledger = make_ledger()
    ledger.add_report(worker.recorder.build_report(worker.now_us), "w", worker.now_us)
    for _ in range(200):
        worker.step()
    inconsistencies = ledger.add_report(worker.recorder.build_report(worker.now_us), "w", worker.now_us)
    assert len(inconsistencies) == 1
    assert "before they were read" in inconsistencies[0]
    total = sum_amounts(total_statement(ledger, worker.now_us).values())
    true_mb_us = sum(true_usage(worker.events, worker.now_us).values())
    assert total.lower_bound < true_mb_us == total.upper_bound


def test_a_late_report_of_a_dropped_hour_adds_one_gap() -> None:
    policy = replace(POLICY, slice_retention_us=HOUR_US)
    ledger = make_ledger(policy=policy)
    usage = make_slice(is_final=True)
    now_us = START_US + 6 * HOUR_US
    while write_next_batch(ledger, now_us):
        pass
    for _ in range(2):
        inconsistencies = ledger.add_report(make_report(usage, reported_us=now_us), "w", now_us)
        assert "whose records are dropped" in inconsistencies[0]
    assert list(persisted_state(ledger).gaps) == [
        UsageGap(usage.hour_us, f"w/{START_US}/1", "too late", usage.memory_time)
    ]


def test_a_clock_step_closes_no_hour_twice() -> None:
    worker = RandomWorker(Random(5))
    ledger = make_ledger()
    for report in worker.random_reports(60):
        ledger.add_report(report, "w", worker.now_us + HOUR_US)
    after_closing_us = worker.now_us + 2 * HOUR_US
    assert write_next_batch(ledger, after_closing_us)
    closed_to_us = ledger.closed_to_us
    for now_us in (START_US - DAY_US, START_US, after_closing_us, after_closing_us + 1):
        assert write_next_batch(ledger, now_us) == []
        assert ledger.closed_to_us == closed_to_us
    # More than a year later, a batch closes a limited number of hours, and no dropped hour again.
    write_next_batch(ledger, after_closing_us + 400 * DAY_US)
    assert closed_to_us < ledger.closed_to_us
