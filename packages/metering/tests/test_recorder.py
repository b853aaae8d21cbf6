"""The recorder of a worker: its totals, evicted records, clocks that step back."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.faultinjection.usage import true_usage
from walnutpost.metering import AllocationRule, UsageRecorder, allocate_slice, exact_amount, sum_amounts
from walnutpost.testsupport.metering.fixtures import START_US, RandomWorker, make_ledger, sum_hours


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_totals_of_a_recorder_are_those_of_the_worker_s_events(seed: int) -> None:
    worker = RandomWorker(Random(seed))
    reports = worker.reports(120)
    ledger = make_ledger()
    for report in reports:
        assert ledger.add_report(report, "w", worker.now) == []
    metered = sum_hours(ledger, worker.now)
    true = true_usage(worker.events, worker.now)
    assert sum(amount.best for amount in metered.values()) == sum(true.values())
    for account, amount in metered.items():
        assert amount == exact_amount(amount.best)
        # Shares are whole microseconds: each span with several slots may be off by one of them.
        assert abs(amount.best - true[account.tenant, account.function]) <= 102 * (120 + len(reports)) * 6


def test_a_copy_that_serves_three_tenants_beyond_its_concurrency_is_shared_by_slots_in_use() -> None:
    recorder = UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US, 1, "f", 100)
    recorder.mark_ready(START_US + 10, 1)
    for at, tenant in ((20, "a"), (30, "b"), (30, "c"), (30, "c")):
        recorder.start_call(START_US + at, 1, tenant)
    for at, tenant in ((50, "a"), (50, "b"), (50, "c"), (60, "c")):
        recorder.end_call(START_US + at, 1, tenant)
    recorder.remove_copy(START_US + 100, 1)
    (s,) = recorder.build_report(START_US + 200).slices
    assert (s.loading_us, s.unused_us, s.is_final) == (10, 10, True)
    assert s.running_us == {"a": 10 + 5, "b": 5, "c": 10 + 10}
    assert s.idle_us == {"c": 40}
    assert allocate_slice(s) == {"a": 100 * (20 + 15), "b": 500, "c": 100 * 60}
    assert allocate_slice(s, AllocationRule.FIRST_USER) == {"a": 100 * (20 + 15 + 40), "b": 500, "c": 2000}
    assert allocate_slice(s, AllocationRule.RUN_TIME) == {"a": 1500 + 2300, "b": 500 + 700, "c": 2000 + 3000}


def test_a_reader_that_keeps_up_misses_nothing_and_one_of_another_start_is_sent_everything() -> None:
    worker = RandomWorker(Random(3), max_final_slices=20)
    ledger = make_ledger()
    for _ in range(200):
        worker.step()
        started, after = ledger.cursor("w")
        report = worker.recorder.build_report(worker.now, after, started or None)
        assert ledger.add_report(report, "w", worker.now) == []
    total = sum_amounts(sum_hours(ledger, worker.now).values())
    assert total == exact_amount(int(sum(true_usage(worker.events, worker.now).values())))
    started, after = ledger.cursor("w")
    finished = [
        sum(s.is_final for s in worker.recorder.build_report(worker.now, after, at).slices)
        for at in (started, 7)
    ]
    assert finished == [0, 20]


def test_a_clock_that_steps_back_counts_no_time_twice() -> None:
    recorder = UsageRecorder("w", START_US, 1000)
    recorder.start_copy(START_US + 10, 1, "f", 100)
    recorder.build_report(START_US + 60)
    recorder.mark_ready(START_US + 30, 1)
    recorder.start_call(START_US + 40, 1, "a")
    recorder.end_call(START_US + 80, 1, "a")
    recorder.remove_copy(START_US + 80, 1)
    (s,) = recorder.build_report(START_US + 90).slices
    assert (s.loading_us, s.running_us, s.total_us) == (50, {"a": 20}, 70)
