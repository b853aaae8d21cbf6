"""The faults of a scenario, each from its time to its end."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from walnutpost.eventloop import Logger
from walnutpost.faultinjection.cluster import Cluster, front_end_name
from walnutpost.faultinjection.scenario import (
    AgeingWorkers,
    AnyFault,
    FrontEndKill,
    FunctionsReleased,
    HeavyCalls,
    LateReports,
    OneOffCalls,
    SilentWorkers,
    SlowStore,
    SlowWorkers,
    TrafficBurst,
    WorkerDrain,
    WorkerRestarts,
)

SECOND_US = 1_000_000
AGEING_STEPS = 8


class FaultInjector:
    """One fault; machines that it does not name are chosen by `rng`."""

    def __init__(self, cluster: Cluster, fault: AnyFault, rng: Random, log: Logger) -> None:
        self._cluster = cluster
        self._fault = fault
        self._rng = rng
        self._log = log
        self._workers = [worker.name for worker in cluster.fleet.workers]

    def run(self) -> None:
        """Wait for the fault's time, inject it, and end it; raises ClusterError."""
        self._sleep(self._fault.at_s)
        self._log.info("fault_injected", **self._fault.model_dump())
        match self._fault:
            case TrafficBurst() | OneOffCalls():
                pass  # the clients see to these
            case FunctionsReleased():
                self._release_functions(self._fault)
            case SlowStore():
                self._slow_store_down(self._fault)
            case HeavyCalls():
                self._make_calls_heavy(self._fault)
            case FrontEndKill():
                self._kill_front_ends(self._fault)
            case _:
                self._run_on_workers(self._fault)

    def _run_on_workers(
        self,
        fault: SilentWorkers | WorkerRestarts | SlowWorkers | AgeingWorkers | LateReports | WorkerDrain,
    ) -> None:
        names = self._choose(fault.workers)
        match fault:
            case SilentWorkers():
                for name in names:
                    self._cluster.pause(name)
                self._sleep(fault.for_s)
                self._restart(names)
            case WorkerRestarts():
                for name in names:
                    self._restart([name])
                    self._sleep(fault.for_s / len(names))
            case SlowWorkers():
                self._slow_workers(names, fault)
            case AgeingWorkers():
                self._age(names, fault)
            case LateReports():
                self._cluster.command(names, {"reports_by": round(fault.by_s * SECOND_US)})
                self._sleep(fault.for_s)
                self._cluster.command(names, {"reports_by": 0})
            case WorkerDrain():
                self._drain(names, fault)

    def _choose(self, count: int) -> list[str]:
        if self._fault.on is not None:
            return [self._workers[place % len(self._workers)] for place in self._fault.on]
        return self._rng.sample(self._workers, min(count, len(self._workers)))

    def _sleep(self, seconds: float) -> None:
        self._cluster.loop.sleep(round(seconds * SECOND_US))

    def _release_functions(self, fault: FunctionsReleased) -> None:
        names = list(self._cluster.config.site.functions)
        released = self._rng.sample(names, round(fault.share * len(names)))
        self._cluster.command(self._workers, {"void": released})

    def _slow_store_down(self, fault: SlowStore) -> None:
        self._cluster.slow_store_down(fault.factor)
        self._sleep(fault.for_s)
        self._cluster.slow_store_down(1.0)

    def _make_calls_heavy(self, fault: HeavyCalls) -> None:
        heavy = {"heavy_share": fault.share, "heavy_factor": fault.factor}
        self._cluster.command(self._workers, heavy)
        self._sleep(fault.for_s)
        self._cluster.command(self._workers, {"heavy_share": 0.0})

    def _kill_front_ends(self, fault: FrontEndKill) -> None:
        indexes = fault.on
        if indexes is None:
            indexes = self._rng.sample(range(self._cluster.scenario.front_ends), fault.fronts)
        for index in indexes:
            self._cluster.kill(front_end_name(index))
        self._sleep(fault.for_s)
        for index in indexes:
            self._cluster.restart_front_end(index)

    def _slow_workers(self, names: list[str], fault: SlowWorkers) -> None:
        def set_slow(is_slow: bool) -> None:
            self._cluster.command(names, {"slow": fault.factor if is_slow else 1.0})

        self._alternate(fault.for_s, fault.every_s or fault.for_s, set_slow)

    def _alternate(self, for_s: float, period_s: float, switch: Callable[[bool], None]) -> None:
        """Switch something on and off by turns, first on, and off at the end."""
        loop = self._cluster.loop
        end_us = loop.now() + round(for_s * SECOND_US)
        is_on = True
        while loop.now() < end_us:
            switch(is_on)
            loop.sleep(min(round(period_s * SECOND_US), max(1, end_us - loop.now())))
            is_on = not is_on
        switch(False)

    def _age(self, names: list[str], fault: AgeingWorkers) -> None:
        for step in range(1, AGEING_STEPS + 1):
            self._cluster.command(names, {"slow": 1 + (fault.factor - 1) * step / AGEING_STEPS})
            self._sleep(fault.for_s / AGEING_STEPS)
        self._restart(names)

    def _drain(self, names: list[str], fault: WorkerDrain) -> None:
        for name in names:
            self._cluster.listed[name].state = "draining"
        self._cluster.publish_list_later()
        self._sleep(fault.for_s)
        for name in names:
            self._cluster.command([name], {"drain": True})
            self._cluster.listed.pop(name)
        self._cluster.publish_list_later()
        self._sleep(fault.for_s)
        self._restart(names)

    def _restart(self, names: list[str]) -> None:
        """Kill workers and start them again, cold."""
        for name in names:
            self._cluster.kill(name)
        for name in names:
            self._cluster.restart_worker(name)
