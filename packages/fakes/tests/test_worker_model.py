"""The fake worker's model: what it promises of copies, memory, loads, cores, drains and cold starts."""

from __future__ import annotations

from dataclasses import replace

from walnutpost.fakes import FunctionSpec, WorkerModel, WorkerSpec
from walnutpost.fakes.reactions import (
    CallEnded,
    CallOutcome,
    CallStarted,
    FetchPackage,
    LoadOrderEnded,
    LoadOrderOutcome,
    Reaction,
)
from walnutpost.interface import Warmth

SECOND = 1_000_000
MS = 1_000
F = FunctionSpec("f", 400.0, 2, 100 * MS, 0, 0.0, 500 * MS, 0.6)
G = replace(F, name="g")
SPEC = WorkerSpec("w", 2, 1.0, 1000.0, 2, 4, 10 * SECOND)


class Rig:
    """A worker whose store answers after each fetch's usual time."""

    def __init__(self, spec: WorkerSpec = SPEC) -> None:
        self.now = SECOND
        self.model = WorkerModel(spec, {"f": F, "g": G}, 1, self.now)
        self.reactions: list[tuple[int, Reaction]] = []
        self.fetches: list[tuple[int, int]] = []
        self.last_id = 0

    def take(self, reactions: list[Reaction]) -> None:
        for reaction in reactions:
            self.reactions.append((self.now, reaction))
            if isinstance(reaction, FetchPackage):
                self.fetches.append((self.now + reaction.usual_us, reaction.copy))

    def run_until(self, end: int) -> None:
        while True:
            due = self.model.next_due_us()
            times = [t for t, _ in self.fetches] + ([due] if due is not None else [])
            if not times or min(times) > end:
                break
            self.now = max(self.now, min(times))
            ready = [f for f in self.fetches if f[0] <= self.now]
            self.fetches = [f for f in self.fetches if f[0] > self.now]
            for _, copy in ready:
                self.take(self.model.on_fetched(self.now, copy, True))
            self.take(self.model.advance(self.now))
        self.now = end

    def call(self, function: str = "f") -> int:
        self.last_id += 1
        self.take(self.model.call(self.now, self.last_id, function))
        return self.last_id

    def order_load(self, copies: int, function: str = "f") -> int:
        self.last_id += 1
        self.take(self.model.order_load(self.now, self.last_id, function, copies))
        return self.last_id

    def answer(self, request_id: int) -> tuple[int, CallOutcome | LoadOrderOutcome] | None:
        found = [
            (time, reaction.outcome)
            for time, reaction in self.reactions
            if isinstance(reaction, CallEnded | LoadOrderEnded) and reaction.request_id == request_id
        ]
        assert len(found) <= 1
        return found[0] if found else None


def test_load_takes_fetch_and_start_and_then_calls_share_the_cores() -> None:
    rig = Rig()
    order = rig.order_load(1)
    rig.run_until(2 * SECOND)
    assert rig.answer(order) == (SECOND + 500 * MS, LoadOrderOutcome.OK)
    calls = [rig.call() for _ in range(3)]  # two slots; the third waits for one, while another copy loads
    rig.run_until(10 * SECOND)
    times = [rig.answer(c) for c in calls]
    assert times[:2] == [(2 * SECOND + 100 * MS, CallOutcome.OK)] * 2
    assert times[2] == (2 * SECOND + 200 * MS, CallOutcome.OK)
    runs = [r.run for _, r in rig.reactions if isinstance(r, CallStarted)]
    assert runs == [1, 2, 3]


def test_call_when_no_copy_is_there_is_a_miss_or_a_load_as_configured() -> None:
    rig = Rig()
    assert rig.answer(rig.call()) == (SECOND, CallOutcome.MISS)
    rig = Rig(replace(SPEC, loads_when_absent=True))
    call = rig.call()
    rig.run_until(3 * SECOND)
    assert rig.answer(call) == (SECOND + 600 * MS, CallOutcome.OK)
    assert [r.warmth for _, r in rig.reactions if isinstance(r, CallEnded)] == [Warmth.STARTED_LOAD]


def test_loads_stay_within_memory_and_idle_copies_are_evicted_and_expire() -> None:
    rig = Rig()
    rig.order_load(2)
    rig.run_until(2 * SECOND)
    too_many = rig.order_load(3)
    assert rig.answer(too_many) == (2 * SECOND, LoadOrderOutcome.FULL)
    rig.order_load(1, "g")  # takes the place of an idle copy of f
    rig.run_until(3 * SECOND)
    assert (rig.model.ready_count("f"), rig.model.ready_count("g")) == (1, 1)
    rig.run_until(14 * SECOND)
    assert (rig.model.ready_count("f"), rig.model.ready_count("g")) == (0, 0)


def test_load_when_it_fails_ends_what_waited_for_it() -> None:
    rig = Rig(replace(SPEC, loads_when_absent=True))
    rig.model.faults.fail_loads = 1
    call, order = rig.call(), rig.order_load(1)
    rig.run_until(3 * SECOND)
    assert rig.answer(call) == (SECOND + 300 * MS, CallOutcome.LOAD_FAILED)
    assert rig.answer(order) == (SECOND + 300 * MS, LoadOrderOutcome.ERROR)


def test_calls_when_the_queue_is_full_or_the_worker_drains_are_rejected_without_running() -> None:
    rig = Rig()
    rig.order_load(1)
    rig.run_until(2 * SECOND)
    calls = [rig.call() for _ in range(7)]
    assert [rig.answer(c) for c in calls] == [None] * 6 + [(2 * SECOND, CallOutcome.FULL)]
    rig.model.is_draining = True
    assert rig.answer(rig.call()) == (2 * SECOND, CallOutcome.FULL)
    assert rig.answer(rig.order_load(1)) == (2 * SECOND, LoadOrderOutcome.FULL)
    rig.run_until(5 * SECOND)
    assert all(rig.answer(c) for c in calls)


def test_restart_loses_all_copies_and_starts_cold() -> None:
    rig = Rig(replace(SPEC, warm_up_us=10 * SECOND, start_capacity=0.2))
    rig.order_load(1)
    rig.run_until(2 * SECOND)
    rig.model.restart(rig.now)
    assert rig.model.ready_count("f") == 0
    assert rig.model.capacity_ratio() == 0.2
    rig.order_load(1)
    rig.run_until(rig.now + SECOND)
    call, began = rig.call(), rig.now
    rig.run_until(rig.now + 2 * SECOND)
    answered = rig.answer(call)
    # 100 ms of work at 0.28 of its capacity and a little more: the first second has warmed it.
    assert answered is not None
    assert 300 * MS < answered[0] - began < 360 * MS


def test_worker_that_warms_up_collapses_under_more_than_it_bears() -> None:
    spec = replace(
        SPEC, warm_up_us=10 * SECOND, start_capacity=0.2, overload_factor=2.0, overload_window_us=SECOND
    )
    rig = Rig(spec)
    rig.model.restart(rig.now)
    limit = int(2 * 0.2 * 2.0 * SECOND / F.work_us)  # cores, capacity, factor, window
    for _ in range(limit):
        rig.call()
    assert not rig.model.has_collapsed
    rig.call()
    assert rig.model.has_collapsed


def test_invalidated_copies_are_removed_but_busy_ones_first_end_their_work() -> None:
    rig = Rig()
    rig.order_load(2)
    rig.run_until(2 * SECOND)
    call = rig.call()
    rig.take(rig.model.invalidate(rig.now, {"f"}))
    assert rig.model.ready_count("f") == 1
    rig.run_until(3 * SECOND)
    assert rig.answer(call) == (2 * SECOND + 100 * MS, CallOutcome.OK)


def test_load_reports_are_late_or_wrong_on_command() -> None:
    rig = Rig()
    rig.order_load(1)
    rig.run_until(2 * SECOND)
    rig.model.faults.reports_by = SECOND
    idle = rig.model.report()
    rig.call()
    assert rig.model.report() == idle
    rig.model.faults.reports_by = 0
    assert rig.model.report()["cpu_utilization"] == 0.5
    rig.model.faults.reports = {"cpu_utilization": 0.01}
    assert rig.model.report() == {"cpu_utilization": 0.01}
