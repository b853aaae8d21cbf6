"""`walnutpost control-plane`, and its former name `keeper`, which is accepted for one version."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from walnutpost.cli import main

START_LIMIT_S = 60
EXIT_LIMIT_S = 30


def logged(log: Path, event: str) -> list[dict[str, Any]]:
    lines = [json.loads(line) for line in log.read_text().splitlines() if line.endswith("}")]
    return [line for line in lines if line["event"] == event]


def run_until_listening(command: str, folder: Path) -> dict[str, Any]:
    """Start a replica and stop it by SIGTERM; return its line about where it listens."""
    config, log = folder / "fleet.json", folder / "replica.log"
    config.write_text(json.dumps({"keepers": [{"name": "k1", "address": "127.0.0.1:0"}]}))
    run = [sys.executable, "-m", "walnutpost.cli", "--log", "json", command, str(config), "--name", "k1"]
    with log.open("wb") as out:
        process = subprocess.Popen([*run, "--found"], stdout=out, stderr=out)
    try:
        deadline = time.monotonic() + START_LIMIT_S
        while not logged(log, "control_plane_listening"):
            assert process.poll() is None and time.monotonic() < deadline, log.read_text()
            time.sleep(0.02)
        process.send_signal(signal.SIGTERM)
        assert process.wait(EXIT_LIMIT_S) == 0, log.read_text()
    finally:
        process.kill()
        process.wait()
    return logged(log, "control_plane_listening")[0]


def test_control_plane_runs_a_replica_until_a_signal(tmp_path: Path) -> None:
    listening = run_until_listening("control-plane", tmp_path)
    assert listening["replica"] == "k1"
    assert listening["address"].startswith("127.0.0.1:")
    assert (tmp_path / "keepers" / "k1.db").exists()


def test_former_name_keeper_runs_a_replica_until_a_signal(tmp_path: Path) -> None:
    listening = run_until_listening("keeper", tmp_path)
    assert listening["replica"] == "k1"
    assert listening["address"].startswith("127.0.0.1:")
    assert (tmp_path / "keepers" / "k1.db").exists()


def test_help_lists_the_new_name_and_says_that_the_former_one_goes() -> None:
    shown = CliRunner().invoke(main, ["--help"], terminal_width=200).output
    summaries = {line.split()[0]: line.strip() for line in shown.splitlines() if line.startswith("  ")}
    assert "Run one replica of the control plane." in summaries["control-plane"]
    assert "Former name of `control-plane`" in summaries["keeper"]
    former = CliRunner().invoke(main, ["keeper", "--help"], terminal_width=200).output
    assert "Former name of `walnutpost control-plane`" in former
    assert "accepted in 0.2, gone with 0.3" in former
    assert "Former name" not in CliRunner().invoke(main, ["control-plane", "--help"]).output


@pytest.mark.parametrize("command", ["control-plane", "keeper"])
def test_unknown_replica_name_ends_with_the_known_names(command: str, tmp_path: Path) -> None:
    config = tmp_path / "fleet.json"
    config.write_text(json.dumps({"keepers": [{"name": "k1", "address": "127.0.0.1:0"}]}))
    result = CliRunner().invoke(main, [command, str(config), "--name", "k2"])
    assert result.exit_code == 2
    assert result.output == "--name: found 'k2'; wanted one of k1\n"
