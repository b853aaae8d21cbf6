"""Day files of the simulator as scenarios; the day here is made up for the test."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from walnutpost.config import ConfigError
from walnutpost.faultinjection.simulator_days import MAX_FRONT_ENDS, MAX_WORKERS, read_day

SECOND = 1_000_000
CLASS = {
    "share": 1.0,
    "work": 100_000.0,
    "io": 0.0,
    "aim": SECOND,
    "deadline": 2 * SECOND,
    "worth": 1.0,
    "late_worth": 0.2,
    "effect": "safe",
    "group": "all",
    "window": SECOND,
}
KINDS = [
    "burst",
    "flush",
    "vanish",
    "mass_restart",
    "slow",
    "neighbour",
    "ageing",
    "origin_slow",
    "report_late",
]
KINDS += ["heavy_tail", "scan", "balancer_crash", "balancer_roll", "something_new"]
DAY: dict[str, Any] = {
    "family": "warm",
    "noise": 5,
    "length": 20 * SECOND,
    "zones": ["z"],
    "prices": {},
    "traffic": {"load": 0.5},
    "clients": {"retries": 1, "try_share": 0.5, "backoff": "none", "backoff_us": 5.0},
    "discovery": {"notice": 2 * SECOND},
    "allow": {"max_attempts": 3, "second_copies": True, "retry_after": False},
    "drain_grace": 2 * SECOND,
    "fall_multiple": 4.0,
    "fall_for": SECOND,
    "classes": [CLASS | {"name": "look"}, CLASS | {"name": "buy", "effect": "unsafe"}],
    "tenants": [],
    "tiers": [
        {"kinds": [{"name": "k", "cores": 2, "queue": 9}], "stated_cold": 9 * SECOND, "stated_cold_from": 0.2}
    ],
    "servers": [{"zone": 0, "kind": 0, "speed": 1.0}] * 30,
    "balancers": [{}] * 20,
    "fam": {
        "sorts": [{"lanes": 2, "load": 500_000.0, "memory": 300.0}],
        "memory": [4000.0],
        "fetch_share": 0.5,
        "loads_at_once": 3,
        "stated_keep": 8 * SECOND,
        "order_timeout": 10 * SECOND,
        "self_load": False,
        "load_window": 10 * SECOND,
        "load_free": 6.0,
        "load_share": 0.2,
        "zipf": 1.1,
    },
    "troubles": [
        {"kind": kind, "at": 3 * SECOND, "len": 5 * SECOND, "size": 0.5, "extra": 1.0, "on": [1, 2, 3]}
        for kind in KINDS
    ],
}


def test_days_faults_become_a_scenario_and_the_rest_is_named(tmp_path: Path) -> None:
    path = tmp_path / "day.json"
    path.write_text(json.dumps(DAY))
    imported = read_day(path)
    scenario, config = imported.scenario, imported.config
    assert {t.what for t in scenario.troubles} == {
        *("burst", "released", "silent", "restart", "slow", "ageing", "store_slow", "reports_late", "heavy"),
        *("one_offs", "kill_front"),
    }
    assert len([t for t in scenario.troubles if t.what == "kill_front"]) == 1 + MAX_FRONT_ENDS
    assert any("something_new" in missing for missing in scenario.no_counterpart)
    assert any("prices" in missing for missing in scenario.no_counterpart)
    assert config.fleet is not None
    assert len(config.fleet.workers) == MAX_WORKERS
    # Half of what twelve workers of two cores do, at 0.1 s of work a call.
    assert scenario.traffic.rate_per_s == pytest.approx(0.5 * MAX_WORKERS * 2 / 0.1)


@pytest.mark.parametrize(
    "text", ["", "[]", '{"family": "cold"}', '{"family": "warm"}', json.dumps(DAY | {"fam": {}})]
)
def test_file_that_is_no_day_is_an_error_that_names_it(tmp_path: Path, text: str) -> None:
    path = tmp_path / "day.json"
    path.write_text(text)
    with pytest.raises(ConfigError, match=r"day\.json"):
        read_day(path)
