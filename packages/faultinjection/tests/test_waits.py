"""Waits for a cluster end by themselves, with the reason."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from walnutpost.config import Config, load
from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.eventloop import Loop
from walnutpost.eventloop.clock import VirtualClock
from walnutpost.faultinjection.config_cluster import ConfigCluster
from walnutpost.faultinjection.errors import ClusterError
from walnutpost.faultinjection.fleet_cluster import FleetCluster
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.faultinjection.waits import wait_for_quorum

EXAMPLES = Path(__file__).parents[3] / "examples"
BOUND_US = 10 * 60 * 1_000_000


def error_of(loop: Loop, wait: Callable[[], object]) -> str:
    """The error that a wait ends with; it is to end by itself."""

    def bounded() -> object:
        with loop.timeout(BOUND_US):
            return wait()

    with pytest.raises(ClusterError) as caught:
        loop.run(bounded)
    return str(caught.value)


def test_wait_for_a_quorum_that_never_answers_ends_with_the_last_answer_and_who_ended(tmp_path: Path) -> None:
    loop = Loop(VirtualClock())

    def ask() -> str:
        raise ControlPlaneUnavailableError("k2: nobody leads")

    error = error_of(loop, lambda: wait_for_quorum(loop, ask, tmp_path, lambda: "k1 ended with 1"))
    assert "a quorum's answer: k2: nobody leads; k1 ended with 1" in error
    assert str(tmp_path) in error


def test_wait_for_a_quorum_goes_on_over_errors_that_pass(tmp_path: Path) -> None:
    loop, answers = Loop(VirtualClock()), ["state", "", ""]

    def ask() -> str:
        answer = answers.pop()
        if not answer:
            raise ControlPlaneUnavailableError("k2: nobody leads")
        return answer

    assert loop.run(lambda: wait_for_quorum(loop, ask, tmp_path)) == "state"


def _fleet_cluster(loop: Loop, folder: Path) -> FleetCluster:
    scenario = FleetScenario.model_validate(
        {
            "config": "-",
            "duration_s": 1.0,
            "budgets": [{"kind": "worker", "most": 1}],
            "traffic": {"rate_per_s": 1.0, "functions": {"x": 1.0}},
        }
    )
    return FleetCluster(loop, load(EXAMPLES / "kilbride.json5", Config), scenario, folder)


@pytest.mark.parametrize("ask", [FleetCluster.state, FleetCluster.leader])
def test_fleet_cluster_without_a_quorum_ends_its_waits_and_names_who_ended(
    tmp_path: Path, ask: Callable[[FleetCluster], object]
) -> None:
    loop = Loop(VirtualClock())

    def wait() -> None:
        cluster = _fleet_cluster(loop, tmp_path)
        process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(1)"])
        process.wait()
        cluster.processes["k1"], cluster.starts["k1"] = process, 1
        ask(cluster)

    error = error_of(loop, wait)
    assert "a quorum's answer: nobody was asked; k1 ended with 1" in error


@pytest.mark.parametrize("cluster_of", [_fleet_cluster, ConfigCluster])
def test_wait_when_a_process_has_ended_shows_the_end_of_its_log(
    tmp_path: Path, cluster_of: Callable[[Loop, Path], FleetCluster | ConfigCluster]
) -> None:
    loop = Loop(VirtualClock())

    def wait() -> None:
        cluster = cluster_of(loop, tmp_path)
        (tmp_path / "f2.1.log").write_text("listening\nOSError: no space left\n")
        process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(1)"])
        process.wait()
        cluster.processes["f2"], cluster.starts["f2"] = process, 1
        cluster.wait_until(lambda: False, "front ends")

    assert "front ends: f2 ended with 1 (listening\nOSError: no space left)" in error_of(loop, wait)


def test_config_cluster_without_a_quorum_ends_its_waits(tmp_path: Path) -> None:
    loop = Loop(VirtualClock())
    asks: list[Callable[[ConfigCluster], object]] = [
        ConfigCluster.status,
        ConfigCluster.leader,
        ConfigCluster.followers,
        lambda cluster: cluster.change(()),
    ]
    for ask in asks:
        error = error_of(loop, lambda ask=ask: ask(ConfigCluster(loop, tmp_path)))  # type: ignore[misc]
        assert "a quorum's answer: nobody was asked" in error


def test_operators_command_that_hangs_ends_with_its_arguments(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("walnutpost.faultinjection.fleet_cluster.OPERATOR_TIMEOUT_S", 0.001)
    loop = Loop()
    error = error_of(loop, lambda: _fleet_cluster(loop, tmp_path).operator("status"))
    assert "fleet" in error
    assert "status" in error
    assert "timed out" in error
