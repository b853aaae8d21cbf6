"""The audit passes an honest front end, and finds the rule that another breaks on purpose."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.gateway import AnswerCaller, Effect
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

COLD = {"cold_ms": 16000, "start_capacity": 0.17, "overload_factor": 1, "overload_for_ms": 1500}
MANY = {f"p{i}": {"class": "valuation", "memory_mb": 100} for i in range(14)}
SITE: dict[str, Any] = {"site": {"rules": COLD, "functions": MANY}}


def ask(fleet: Fleet, call: str, function: str = "price", key: str = "") -> None:
    try:
        with fleet.loop.timeout(8 * SECOND):
            fleet.invoke(function, json.dumps({"trial": call}).encode(), amz_sdk_invocation_id=key or call)
    except Exception:
        pass  # what the client thinks of it is not the question


def many(fleet: Fleet, count: int, function: str = "price", gap: int = 0) -> None:
    for number in range(count):
        fleet.loop.spawn(ask, fleet, f"{function}{fleet.loop.now()}-{number}", function)
        fleet.loop.sleep(gap)


def silence_workers(fleet: Fleet) -> None:
    for worker in fleet.workers.values():
        worker.command({"silent": True})
    many(fleet, 3)
    fleet.loop.sleep(9 * SECOND)


def reset_a_reservation(fleet: Fleet) -> None:
    many(fleet, 6, "reserve")
    fleet.loop.sleep(2 * SECOND)
    for worker in fleet.workers.values():
        worker.command({"reset_while": 1})
    ask(fleet, "r", "reserve")
    fleet.loop.sleep(4 * SECOND)


def drain_one(fleet: Fleet) -> None:
    many(fleet, 12, gap=SECOND // 20)
    fleet.loop.sleep(SECOND)
    name = max(fleet.workers, key=lambda n: len(fleet.workers[n].runs))
    fleet.publish_changed_worker(name, state="draining")
    many(fleet, 100, gap=SECOND // 20)
    fleet.loop.sleep(SECOND)


def restart_one_cold(fleet: Fleet) -> None:
    many(fleet, 60, gap=SECOND // 20)
    name = max(fleet.workers, key=lambda n: len(fleet.workers[n].runs))
    fleet.workers[name].command({"restart": True})
    fleet.publish_changed_worker(name, started_at=fleet.loop.now() / SECOND)
    for other in fleet.workers:
        if other != name:
            fleet.publish_changed_worker(other, gone=True)
    many(fleet, 400, gap=SECOND // 200)
    fleet.loop.sleep(4 * SECOND)


def load_many_functions(fleet: Fleet) -> None:
    for number in range(14):
        fleet.loop.spawn(ask, fleet, f"l{number}", f"p{number}")
    fleet.loop.sleep(5 * SECOND)


def drop_answers(fleet: Fleet) -> None:
    carry = fleet.front.dispatcher._effects.run

    def dropping(effect: Effect) -> None:
        if not isinstance(effect, AnswerCaller):
            carry(effect)

    fleet.front.dispatcher._effects.run = dropping  # type: ignore[method-assign]


def forget_drains(fleet: Fleet) -> None:
    def forgetting(kind: Any, version: int, workers: Any) -> None:
        traffic_observer = fleet.front.endpoint_lists._on_published
        assert traffic_observer is not None
        traffic_observer(version, workers)

    fleet.front.endpoint_lists.set_configured = forgetting  # type: ignore[method-assign]


Break = Callable[[Fleet], None]
CASES: dict[str, tuple[str, Break, dict[str, Any], Break | None]] = {
    # name: rule that breaks, what happens, what the front end wrongly believes, what is broken in it
    "an answer is lost": ("1", silence_workers, {}, drop_answers),
    "an answer is late": (
        "1",
        silence_workers,
        {"site": {"classes": {"valuation": {"deadline_ms": 4000}}}},
        None,
    ),
    "unsafe calls are taken for safe": (
        "2",
        reset_a_reservation,
        {"site": {"classes": {"reservation": {"effect": "safe"}}}},
        None,
    ),
    "drains are not heard": ("3", drain_one, {}, forget_drains),
    "cold starts are not known of": ("4", restart_one_cold, {"site": {"rules": {"cold_ms": 0}}}, None),
    "loads are not rationed": ("5", load_many_functions, {"site": {"rules": {"load_window_ms": 0}}}, None),
}


@pytest.mark.parametrize("name", CASES)
def test_rule_broken_on_purpose_is_found_and_no_other(name: str, tmp_path: Path) -> None:
    rule, happens, believes, breaks = CASES[name]
    for broken in (False, True):
        path = tmp_path / str(broken)
        path.mkdir()
        fleet = Fleet(path, SITE, believes if broken else None, capture=True)

        def script(fleet: Fleet = fleet, broken: bool = broken) -> None:
            if broken and breaks is not None:
                breaks(fleet)
            happens(fleet)

        fleet.run(script)
        verdict = fleet.audit()
        found = {r.name[0]: r.violations for r in verdict.rules if r.violations}
        assert set(found) == ({rule} if broken else set()), found
        assert CliRunner().invoke(main, ["audit", str(path)]).exit_code == int(broken)
        checked = sum(r.checked for r in verdict.rules if r.name[0] == rule)
        assert checked > 0


def test_scheduled_calls_are_audited_each_on_its_own(tmp_path: Path) -> None:
    """All firings of a schedule have one payload; they are not taken for one call that ran often."""
    line = {"cron": "* * * * *", "function": "reserve", "missed": "all"}
    fleet = Fleet(tmp_path, {"schedules": {"buy": line}}, capture=True)
    fleet.run(lambda: fleet.loop.sleep(200 * SECOND))
    verdict = fleet.audit()
    assert verdict.has_passed
    assert fleet.runs("reserve") == 3
    assert next(r.checked for r in verdict.rules if r.name.startswith("2")) == 3
