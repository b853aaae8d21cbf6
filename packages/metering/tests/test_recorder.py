"""Tests of a worker's recorder: totals, evicted records, clocks that step back."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.faultinjection.usage import true_usage
from walnutpost.metering import AllocationRule, UsageRecorder, allocate_slice, exact_amount, sum_amounts
from walnutpost.testsupport.metering.fixtures import START_US, RandomWorker, make_ledger, total_statement


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_recorded_totals_equal_those_of_the_worker_events(seed: int) -> None:
    worker = RandomWorker(Random(seed))
    reports = worker.random_reports(120)
    ledger = make_ledger()
    for report in reports:
        assert ledger.add_report(report, "w", worker.now_us) == []
    metered = total_statement(ledger, worker.now_us)
    true_mb_us = true_usage(worker.events, worker.now_us)
    assert sum(amount.best for amount in metered.values()) == sum(true_mb_us.values())
    for account, amount in metered.items():
        assert amount == exact_amount(amount.best)
        # Shares are whole microseconds, so each span with several running calls may be off by 1 us.
        assert (
            abs(amount.best - true_mb_us[account.tenant, account.function]) <= 102 * (120 + len(reports)) * 6
        )


def test_running_time_of_a_copy_is_shared_among_tenants_by_slots_in_use() -> None:
    recorder = UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US, 1, "f", 100)
    recorder.mark_ready(START_US + 10, 1)
    for offset_us, tenant in ((20, "a"), (30, "b"), (30, "c"), (30, "c")):
        recorder.start_call(START_US + offset_us, 1, tenant)
    for offset_us, tenant in ((50, "a"), (50, "b"), (50, "c"), (60, "c")):
        recorder.end_call(START_US + offset_us, 1, tenant)
    recorder.remove_copy(START_US + 100, 1)
    (usage,) = recorder.build_report(START_US + 200).slices
    assert (usage.loading_us, usage.unused_us, usage.is_final) == (10, 10, True)
    assert usage.running_us == {"a": 10 + 5, "b": 5, "c": 10 + 10}
    assert usage.idle_us == {"c": 40}
    assert allocate_slice(usage) == {"a": 100 * (20 + 15), "b": 500, "c": 100 * 60}
    assert allocate_slice(usage, AllocationRule.FIRST_USER) == {
        "a": 100 * (20 + 15 + 40),
        "b": 500,
        "c": 2000,
    }
    assert allocate_slice(usage, AllocationRule.RUN_TIME) == {
        "a": 1500 + 2300,
        "b": 500 + 700,
        "c": 2000 + 3000,
    }


def test_a_current_reader_misses_nothing_and_a_reader_of_another_incarnation_gets_everything() -> None:
    worker = RandomWorker(Random(3), max_final_slices=20)
    ledger = make_ledger()
    for _ in range(200):
        worker.step()
        started_us, after_change = ledger.cursor("w")
        report = worker.recorder.build_report(worker.now_us, after_change, started_us or None)
        assert ledger.add_report(report, "w", worker.now_us) == []
    total = sum_amounts(total_statement(ledger, worker.now_us).values())
    assert total == exact_amount(int(sum(true_usage(worker.events, worker.now_us).values())))
    started_us, after_change = ledger.cursor("w")
    final_counts = [
        sum(
            usage.is_final
            for usage in worker.recorder.build_report(worker.now_us, after_change, reader_started_us).slices
        )
        for reader_started_us in (started_us, 7)
    ]
    assert final_counts == [0, 20]


def test_a_clock_that_steps_back_counts_no_time_twice() -> None:
    recorder = UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US + 10, 1, "f", 100)
    recorder.build_report(START_US + 60)
    recorder.mark_ready(START_US + 30, 1)
    recorder.start_call(START_US + 40, 1, "a")
    recorder.end_call(START_US + 80, 1, "a")
    recorder.remove_copy(START_US + 80, 1)
    (usage,) = recorder.build_report(START_US + 90).slices
    assert (usage.loading_us, usage.running_us, usage.total_us) == (50, {"a": 20}, 70)
