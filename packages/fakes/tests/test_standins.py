"""The stand-in worker's model: what it promises of copies, memory, loads, cores, drains and cold starts."""

from __future__ import annotations

from dataclasses import replace

from walnutpost.fakes.model import (
    Answer,
    Fetch,
    FunctionSpec,
    Held,
    Ran,
    Reaction,
    WorkerModel,
    WorkerSpec,
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
        self.said: list[tuple[int, Reaction]] = []
        self.fetches: list[tuple[int, int]] = []
        self.refs = 0

    def take(self, reactions: list[Reaction]) -> None:
        for r in reactions:
            self.said.append((self.now, r))
            if isinstance(r, Fetch):
                self.fetches.append((self.now + r.usual, r.load))

    def until(self, end: int) -> None:
        while True:
            due = self.model.next_due()
            times = [t for t, _ in self.fetches] + ([due] if due is not None else [])
            if not times or min(times) > end:
                break
            self.now = max(self.now, min(times))
            ready = [f for f in self.fetches if f[0] <= self.now]
            self.fetches = [f for f in self.fetches if f[0] > self.now]
            for _, load in ready:
                self.take(self.model.fetched(self.now, load, True))
            self.take(self.model.due(self.now))
        self.now = end

    def call(self, function: str = "f") -> int:
        self.refs += 1
        self.take(self.model.call(self.now, self.refs, function))
        return self.refs

    def hold(self, copies: int, function: str = "f") -> int:
        self.refs += 1
        self.take(self.model.hold(self.now, self.refs, function, copies))
        return self.refs

    def answer(self, ref: int) -> tuple[int, str] | None:
        found = [(t, r.kind) for t, r in self.said if isinstance(r, Answer | Held) and r.ref == ref]
        assert len(found) <= 1
        return found[0] if found else None


def test_a_load_takes_fetch_and_start_and_then_lanes_share_the_cores() -> None:
    rig = Rig()
    held = rig.hold(1)
    rig.until(2 * SECOND)
    assert rig.answer(held) == (SECOND + 500 * MS, "ok")
    calls = [rig.call() for _ in range(3)]  # two lanes; the third waits for one, while another copy loads
    rig.until(10 * SECOND)
    times = [rig.answer(c) for c in calls]
    assert times[:2] == [(2 * SECOND + 100 * MS, "ok")] * 2
    assert times[2] == (2 * SECOND + 200 * MS, "ok")
    runs = [r.run for _, r in rig.said if isinstance(r, Ran)]
    assert runs == [1, 2, 3]


def test_absence_is_a_miss_or_a_load_as_configured() -> None:
    rig = Rig()
    assert rig.answer(rig.call()) == (SECOND, "miss")
    rig = Rig(replace(SPEC, loads_on_absence=True))
    ref = rig.call()
    rig.until(3 * SECOND)
    assert rig.answer(ref) == (SECOND + 600 * MS, "ok")
    assert [r.warmth for _, r in rig.said if isinstance(r, Answer)] == [Warmth.STARTED_LOAD]


def test_memory_is_kept_idle_copies_give_way_and_lapse() -> None:
    rig = Rig()
    rig.hold(2)
    rig.until(2 * SECOND)
    full = rig.hold(3)
    assert rig.answer(full) == (2 * SECOND, "full")
    rig.hold(1, "g")  # takes the place of an idle copy of f
    rig.until(3 * SECOND)
    assert (rig.model.standing("f"), rig.model.standing("g")) == (1, 1)
    rig.until(14 * SECOND)
    assert (rig.model.standing("f"), rig.model.standing("g")) == (0, 0)


def test_a_failed_load_ends_what_waited_for_it() -> None:
    rig = Rig(replace(SPEC, loads_on_absence=True))
    rig.model.faults.fail_loads = 1
    ref, held = rig.call(), rig.hold(1)
    rig.until(3 * SECOND)
    assert rig.answer(ref) == (SECOND + 300 * MS, "load_failed")
    assert rig.answer(held) == (SECOND + 300 * MS, "error")


def test_a_full_queue_and_a_drain_refuse_without_running() -> None:
    rig = Rig()
    rig.hold(1)
    rig.until(2 * SECOND)
    calls = [rig.call() for _ in range(7)]
    assert [rig.answer(c) for c in calls] == [None] * 6 + [(2 * SECOND, "full")]
    rig.model.draining = True
    assert rig.answer(rig.call()) == (2 * SECOND, "full")
    assert rig.answer(rig.hold(1)) == (2 * SECOND, "full")
    rig.until(5 * SECOND)
    assert all(rig.answer(c) for c in calls)


def test_a_restart_loses_all_and_starts_cold() -> None:
    rig = Rig(replace(SPEC, cold_for=10 * SECOND, start_capacity=0.2))
    rig.hold(1)
    rig.until(2 * SECOND)
    rig.model.restart(rig.now)
    assert rig.model.standing("f") == 0 and rig.model.strength() == 0.2
    rig.hold(1)
    rig.until(rig.now + SECOND)
    ref, began = rig.call(), rig.now
    rig.until(rig.now + 2 * SECOND)
    answered = rig.answer(ref)
    # 100 ms of work at 0.28 of its strength and a little more: the first second has warmed it.
    assert answered is not None and 300 * MS < answered[0] - began < 360 * MS


def test_too_much_for_a_cold_worker_fells_it() -> None:
    spec = replace(SPEC, cold_for=10 * SECOND, start_capacity=0.2, overload_factor=2.0, overload_for=SECOND)
    rig = Rig(spec)
    rig.model.restart(rig.now)
    bears = int(2 * 0.2 * 2.0 * SECOND / F.work)  # cores, strength, factor, span
    for _ in range(bears):
        rig.call()
    assert not rig.model.fallen
    rig.call()
    assert rig.model.fallen


def test_released_copies_go_but_those_at_work_first_end() -> None:
    rig = Rig()
    rig.hold(2)
    rig.until(2 * SECOND)
    ref = rig.call()
    rig.take(rig.model.void(rig.now, {"f"}))
    assert rig.model.standing("f") == 1
    rig.until(3 * SECOND)
    assert rig.answer(ref) == (2 * SECOND + 100 * MS, "ok")


def test_reports_can_be_late_or_lies() -> None:
    rig = Rig()
    rig.hold(1)
    rig.until(2 * SECOND)
    rig.model.faults.reports_by = SECOND
    idle = rig.model.report()
    rig.call()
    assert rig.model.report() == idle
    rig.model.faults.reports_by = 0
    assert rig.model.report()["cpu_utilization"] == 0.5
    rig.model.faults.reports = {"cpu_utilization": 0.01}
    assert rig.model.report() == {"cpu_utilization": 0.01}
