"""Processes: commands start and stop cleanly, and a killed front end's deferred calls get their outcomes."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from walnutpost.config import Config, parse
from walnutpost.faultinjection import text_tables
from walnutpost.faultinjection.call_results import CallResultKind
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.faultinjection.scenario_run import play
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, RecordingLog, merge_settings

TIMEOUT_S = 30.0


def wait_for(path: Path, text: str) -> None:
    end = time.monotonic() + TIMEOUT_S
    while text not in path.read_text():
        assert time.monotonic() < end, path.read_text()
        time.sleep(0.01)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_up_logs_where_it_listens_and_stops_on_a_signal(tmp_path: Path, number: signal.Signals) -> None:
    config = tmp_path / "site.json5"
    config.write_text(json.dumps(BASE_SETTINGS))
    log = tmp_path / "log"
    with log.open("wb") as out:
        command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", "up", str(config)]
        process = subprocess.Popen(command, stdout=out, stderr=out)
    try:
        wait_for(log, '"event": "listening"')
        process.send_signal(number)
        assert process.wait(TIMEOUT_S) == 0
        events = [json.loads(line)["event"] for line in log.read_text().splitlines()]
        assert events == ["fake_workers_started", "listening", "stopping", "stopped"]
    finally:
        process.kill()


RULES = {
    "answer_slack_ms": 2000,
    "cold_ms": 4000,
    "start_capacity": 0.2,
    "overload_factor": 4,
    "overload_for_ms": 1000,
}
SITE = merge_settings(
    BASE_SETTINGS,
    {
        "site": {"rules": RULES, "keep_alive_ms": 3000},
        "metering": {"fetch_ms": 300, "write_ms": 600, "silent_ms": 3000},
        "fleet": {"workers": [{"name": f"worker-{i}"} for i in range(1, 5)]},
    },
)
SCENARIO = {
    "config": "-",
    "seed": 3,
    "duration_s": 6,
    "front_ends": 2,
    "list_delay_s": 0.3,
    "traffic": {
        "rate_per_s": 30,
        "functions": {"price": 1, "reserve": 1},
        "deferred_share": 0.4,
        "retries": 2,
    },
    "troubles": [
        {"at_s": 1, "what": "silent", "workers": 1, "for_s": 2},
        {"at_s": 1.5, "what": "released", "share": 1},
        {"at_s": 2, "what": "kill_front", "on": [0], "for_s": 0.5},
        {"at_s": 3, "what": "drain", "workers": 1, "for_s": 1},
    ],
}


def test_small_scenario_with_faults_keeps_the_rules(tmp_path: Path) -> None:
    """The slack is wide, since this shares its machine; the rules are as ever."""
    scenario = parse(json.dumps(SCENARIO), "script", Scenario)
    outcome = play(scenario, parse(json.dumps(SITE), "site", Config), tmp_path, RecordingLog())
    assert outcome.verdict.has_passed and not outcome.failures, text_tables.rules_table(outcome.verdict)
    checked = {rule.name: rule.checked for rule in outcome.verdict.rules}
    assert checked["1 one fate for each deferred call"] > 20
    assert checked["2 no effect twice"] > 20
    assert sum(r.kind is CallResultKind.SERVED for r in outcome.results) > 50
    assert "reserve deferred" in text_tables.calls_table(outcome.results)
