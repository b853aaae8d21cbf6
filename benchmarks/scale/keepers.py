"""Three keepers as processes on loopback: what a message costs the leader, HTTP and connection included."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.scale import made
from benchmarks.scale.axes import Reading, Readings
from benchmarks.scale.machine import ROOT, process_cpu, process_rss
from walnutpost.config import Config, load
from walnutpost.controlplane.wire import Report
from walnutpost.eventloop import Loop, TaskGroup
from walnutpost.faultinjection.fleet_cluster import FleetCluster
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.fleet import FRONT_END, RegisterMember, StoreVersion

SECOND = 1_000_000
ASKERS, REPORTS, LOOKS, KEEPS = 32, 2_000, 100, 5


class Keepers:
    """A group of keepers, a client of theirs, and the leader's processor time around a piece of work."""

    def __init__(self, loop: Loop, folder: Path) -> None:
        self.loop = loop
        script = FleetScenario.model_validate(
            {
                "config": "-",
                "duration_s": 1.0,
                "keepers": 3,
                "budgets": [{"kind": "worker", "most": 1}],
                "traffic": {"rate_per_s": 1.0, "functions": {"x": 1.0}},
            }
        )
        config = load(ROOT / "examples" / "kilbride.json5", Config)
        self.cluster = FleetCluster(loop, config, script, folder)
        for name in self.cluster.replicas:
            self.cluster.start_replica(name, "--found")
        self.cluster.wait_until(
            lambda: all(map(self.cluster.replica_address, self.cluster.replicas)), "keepers"
        )
        self.client = self.cluster.client(20 * SECOND)
        self.leader = self.cluster.leader()
        self.pid = self.cluster.processes[self.leader].pid

    def cpu(self, work: Callable[[], object]) -> float:
        before = process_cpu(self.pid)
        work()
        return process_cpu(self.pid) - before

    def by_many(self, count: int, one: Callable[[int], object]) -> None:
        def some(first: int) -> None:
            for n in range(first, count, ASKERS):
                one(n)

        with TaskGroup(self.loop) as tasks:
            for first in range(ASKERS):
                tasks.spawn(some, first)


def with_keepers(work: Callable[[Keepers], Readings]) -> Readings:
    loop = Loop(on_error=lambda name, error: print(name, repr(error)))

    def run() -> Readings:
        with tempfile.TemporaryDirectory(prefix="scale-") as folder:
            keepers = Keepers(loop, Path(folder))
            try:
                return work(keepers)
            finally:
                keepers.cluster.stop()

    return loop.run(run)


def reports(size: int) -> Readings:
    """So many front ends, entered one by one, that then report."""

    def work(keepers: Keepers) -> Readings:
        client, out = keepers.client, Readings()
        began = time.monotonic()

        def enter(n: int) -> None:
            zone = made.ZONES[n % len(made.ZONES)]
            client.command(
                f"e{n}", RegisterMember(made.front_name(n), FRONT_END, zone, f"{n:012x}", "v", True)
            )

        cpu = keepers.cpu(lambda: keepers.by_many(size, enter))
        out["commands agreed a second"] = Reading("1/s", [size / (time.monotonic() - began)])
        out["leader for a command"] = Reading("us", [cpu / size * 1e6])

        def report(n: int) -> None:
            name = made.front_name(n % size)
            client.report(Report(name, f"{n % size:012x}", applied_index=10_000, call_counts=(n, 0, 0, n)))

        cpu = keepers.cpu(lambda: keepers.by_many(REPORTS, report))
        out["leader for a report over HTTP"] = Reading("us", [cpu / REPORTS * 1e6])
        cpu = keepers.cpu(lambda: keepers.by_many(LOOKS, lambda n: client.local_status(keepers.leader)))
        out["keeper for a look of an agent"] = Reading("us", [cpu / LOOKS * 1e6])
        out["leader's memory"] = Reading("MB", [process_rss(keepers.pid) / 1e6])
        return out

    return with_keepers(work)


def files(size: int) -> Readings:
    """Whole files of so many functions, agreed on one after another."""

    def work(keepers: Keepers) -> Readings:
        text, client = made.config_text(size).encode(), keepers.client
        took: list[float] = []
        before = process_cpu(keepers.pid)
        for n in range(KEEPS):
            began = time.monotonic()
            client.command(f"k{n}", StoreVersion("v0", text + b" " * n))
            took.append((time.monotonic() - began) * 1e3)
        cpu = process_cpu(keepers.pid) - before
        return {
            "until a whole file is agreed on": Reading("ms wall", took),
            "leader for a whole file": Reading("ms", [cpu / KEEPS * 1e3]),
            "leader's memory after five files": Reading("MB", [process_rss(keepers.pid) / 1e6]),
        }

    return with_keepers(work)
