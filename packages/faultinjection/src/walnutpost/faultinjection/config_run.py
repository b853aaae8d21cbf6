"""Plays a scenario of the configuration store: changes and calls all along, faults, and what was observed."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from walnutpost.configstore import PropagationStatus
from walnutpost.eventloop import Loop, Task, WaitTimeoutError
from walnutpost.faultinjection.config_cluster import ConfigCluster
from walnutpost.faultinjection.config_faults import ConfigFault, ConfigFaultInjector, random_fault
from walnutpost.faultinjection.config_topology import FRONT_ENDS, FUNCTIONS, twin_mutations
from walnutpost.faultinjection.simulated_members import MemberFault
from walnutpost.http import Connection, HttpMessageError

SECOND_US = 1_000_000
CALL_INTERVAL_US = 60_000
CALL_TIMEOUT_US = 25 * SECOND_US
WARM_UP_ROUNDS = 3
QUIET_DELAY_US = 2 * SECOND_US  # after which requests that waited at the last change have been sent again
MIN_CONCURRENCY = 2
CONCURRENCY_VARIANTS = 50
MAX_SHOWN_BYTES = 200


@dataclass(frozen=True, slots=True)
class ConfigScenario:
    """Faults, one after the other, while settings change every `change_interval_s`.

    `member_faults`: rules that simulated members break on purpose. `quiet_s`: without changes at the end.
    """

    faults: tuple[ConfigFault, ...]
    simulated_members: int = 40
    padding: int = 0
    change_interval_s: float = 0.4
    quiet_s: float = 0.0
    member_faults: dict[str, MemberFault] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Recovery:
    """The seconds from a fault's end until all agreed on by then was reported as applied everywhere."""

    fault: str
    seconds: float


@dataclass(slots=True)
class ConfigOutcome:
    """What came of a scenario.

    `status_checks`: how often what was reported as applied was checked against members' own logs.
    `quiet_requests`: the watch requests of a simulated member within `quiet_s` seconds by its clock.
    """

    changes: int = 0
    calls: int = 0
    lost_calls: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    recoveries: list[Recovery] = field(default_factory=list)
    status_checks: int = 0
    status: PropagationStatus | None = None
    quiet_requests: float = 0.0
    quiet_s: float = 0.0


def random_config_scenario(seed: int, faults: int = 4) -> ConfigScenario:
    """Draw a scenario."""
    rng = Random(seed)
    drawn = tuple(random_fault(rng) for _ in range(faults))
    padding = rng.choice((0, 0, 1500))
    return ConfigScenario(drawn, padding=padding, change_interval_s=rng.choice((0.1, 0.4)))


def play_config(scenario: ConfigScenario, folder: Path) -> ConfigOutcome:
    """Play a scenario in real time; logs stay in `folder`.

    Raises ClusterError where a process does not start, or what was agreed on never is applied everywhere.
    """
    loop = Loop()
    cluster = ConfigCluster(
        loop, folder, scenario.simulated_members, scenario.padding, dict(scenario.member_faults)
    )
    run = _Run(cluster, scenario)
    try:
        loop.run(run.play)
    finally:
        cluster.stop()
    run.outcome.violations = sorted(set(cluster.observer.violations))
    run.outcome.status_checks = cluster.observer.status_checks
    return run.outcome


class _Run:
    """One run of a scenario."""

    def __init__(self, cluster: ConfigCluster, scenario: ConfigScenario) -> None:
        self.outcome = ConfigOutcome()
        self._cluster = cluster
        self._scenario = scenario
        self._is_under_load = True

    def play(self) -> None:
        cluster = self._cluster
        cluster.start()
        self._load_copies()
        tasks: list[Task[None]] = [
            cluster.loop.spawn(self._change, name="changes"),
            *(cluster.loop.spawn(self._call_repeatedly, name, name="calls") for name in FRONT_ENDS),
        ]
        self._inject_faults()
        self._is_under_load = False
        for task in tasks:
            task.join()
        cluster.wait_until_applied()
        if self._scenario.quiet_s:
            self._count_quiet_requests()
        self.outcome.status = cluster.status()
        cluster.finish()

    def _load_copies(self) -> None:
        """Let no later call wait for a load, for which a change is then blamed."""
        for _ in range(WARM_UP_ROUNDS):
            for name in FRONT_ENDS:
                for function in FUNCTIONS:
                    self._call(name, function)

    def _inject_faults(self) -> None:
        cluster = self._cluster
        injector = ConfigFaultInjector(cluster)
        for fault in self._scenario.faults:
            cluster.loop.sleep(round(fault.at_s * SECOND_US))
            injector.inject(fault)
            revision = cluster.status().revision
            seconds = round(cluster.wait_until_applied(revision) / SECOND_US, 2)
            self.outcome.recoveries.append(Recovery(fault.description, seconds))

    def _change(self) -> None:
        while self._is_under_load:
            self.outcome.changes += 1
            self._cluster.change(
                twin_mutations(MIN_CONCURRENCY + self.outcome.changes % CONCURRENCY_VARIANTS)
            )
            self._cluster.loop.sleep(round(self._scenario.change_interval_s * SECOND_US))

    def _call_repeatedly(self, name: str) -> None:
        """Call one front end; none is ever killed here, so each call is to be served."""
        while self._is_under_load:
            function = FUNCTIONS[self.outcome.calls % len(FUNCTIONS)]
            self.outcome.calls += 1
            error = self._call(name, function)
            if error:
                self.outcome.lost_calls.append(f"{name} {function}: {error}")
            self._cluster.loop.sleep(CALL_INTERVAL_US)

    def _call(self, name: str, function: str) -> str:
        """Return why a call was not served; empty where it was."""
        address = self._cluster.find_address(name)
        assert address is not None
        try:
            with self._cluster.loop.timeout(CALL_TIMEOUT_US):
                connection = Connection.open(self._cluster.loop, address)
                try:
                    target = f"/2015-03-31/functions/{function}/invocations"
                    response = connection.request("POST", target, {}, b"{}")
                finally:
                    connection.close()
        except (OSError, WaitTimeoutError, HttpMessageError) as error:
            return f"{type(error).__name__} {error}"
        has_failed = "x-amz-function-error" in response.headers
        if response.status == 200 and not has_failed:
            return ""
        return f"{response.status} {response.body[:MAX_SHOWN_BYTES]!r}"

    def _count_quiet_requests(self) -> None:
        cluster = self._cluster
        cluster.loop.sleep(QUIET_DELAY_US)
        before = cluster.request_count()
        cluster.loop.sleep(round(self._scenario.quiet_s * SECOND_US))
        after = cluster.request_count()
        self.outcome.quiet_requests = (after.requests - before.requests) / cluster.simulated_members
        self.outcome.quiet_s = (after.at_us - before.at_us) / SECOND_US
