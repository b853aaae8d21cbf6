"""A trial's waits end by themselves, and say why."""

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
from walnutpost.faultinjection.fleet_script import FleetScript
from walnutpost.faultinjection.fleet_stage import FleetStage, StageError, confirmed
from walnutpost.faultinjection.table_stage import TableStage

EXAMPLES = Path(__file__).parents[3] / "examples"
BOUND_US = 10 * 60 * 1_000_000


def waits(loop: Loop, wait: Callable[[], object]) -> str:
    """What the wait ends with; it is to end by itself."""

    def bounded() -> object:
        with loop.timeout(BOUND_US):
            return wait()

    with pytest.raises(StageError) as caught:
        loop.run(bounded)
    return str(caught.value)


def test_a_wait_for_a_quorum_ends_with_the_last_answer_and_who_ended(tmp_path: Path) -> None:
    loop = Loop(VirtualClock())

    def ask() -> str:
        raise ControlPlaneUnavailableError("k2: nobody leads")

    why = waits(loop, lambda: confirmed(loop, ask, tmp_path, lambda: "k1 ended with 1"))
    assert "a quorum's answer: k2: nobody leads; k1 ended with 1" in why and str(tmp_path) in why


def test_a_wait_for_a_quorum_goes_on_over_what_passes(tmp_path: Path) -> None:
    loop, answers = Loop(VirtualClock()), ["state", "", ""]

    def ask() -> str:
        answer = answers.pop()
        if not answer:
            raise ControlPlaneUnavailableError("k2: nobody leads")
        return answer

    assert loop.run(lambda: confirmed(loop, ask, tmp_path)) == "state"


def _fleet_stage(loop: Loop, folder: Path) -> FleetStage:
    script = FleetScript.model_validate(
        {
            "config": "-",
            "duration_s": 1.0,
            "budgets": [{"kind": "worker", "most": 1}],
            "traffic": {"rate_per_s": 1.0, "functions": {"x": 1.0}},
        }
    )
    return FleetStage(loop, load(EXAMPLES / "kilbride.json5", Config), script, folder)


@pytest.mark.parametrize("ask", [FleetStage.state, FleetStage.leader])
def test_a_fleets_trial_without_a_quorum_ends_and_names_who_ended(
    tmp_path: Path, ask: Callable[[FleetStage], object]
) -> None:
    loop = Loop(VirtualClock())

    def wait() -> None:
        stage = _fleet_stage(loop, tmp_path)
        process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(1)"])
        process.wait()
        stage.processes["k1"], stage.starts["k1"] = process, 1
        ask(stage)

    why = waits(loop, wait)
    assert "a quorum's answer: nobody was asked; k1 ended with 1" in why


@pytest.mark.parametrize("stage_of", [_fleet_stage, TableStage])
def test_a_wait_shows_the_end_of_the_log_of_a_process_that_ended(
    tmp_path: Path, stage_of: Callable[[Loop, Path], FleetStage | TableStage]
) -> None:
    loop = Loop(VirtualClock())

    def wait() -> None:
        stage = stage_of(loop, tmp_path)
        (tmp_path / "f2.1.log").write_text("listening\nOSError: no space left\n")
        process = subprocess.Popen([sys.executable, "-c", "raise SystemExit(1)"])
        process.wait()
        stage.processes["f2"], stage.starts["f2"] = process, 1
        stage.until(lambda: False, "front ends")

    assert "front ends: f2 ended with 1 (listening\nOSError: no space left)" in waits(loop, wait)


def test_a_trial_of_the_table_without_a_quorum_ends(tmp_path: Path) -> None:
    loop = Loop(VirtualClock())
    asks: list[Callable[[TableStage], object]] = [
        TableStage.status,
        TableStage.leader,
        TableStage.agreed,
        lambda stage: stage.change(()),
    ]
    for ask in asks:
        why = waits(loop, lambda ask=ask: ask(TableStage(loop, tmp_path)))  # type: ignore[misc]
        assert "a quorum's answer: nobody was asked" in why


def test_an_operators_command_that_hangs_ends_with_its_words(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("walnutpost.faultinjection.fleet_stage.OPERATOR_TIMEOUT_S", 0.001)
    loop = Loop()
    why = waits(loop, lambda: _fleet_stage(loop, tmp_path).operator("status"))
    assert "fleet" in why and "status" in why and "timed out" in why
