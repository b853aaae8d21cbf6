"""End-to-end tests of the cron front: schedules make deferred calls, and each due time has an outcome."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.config import Config, parse
from walnutpost.config.conversion import build_own_schedules
from walnutpost.daemon.call_dispatch import CallDispatch
from walnutpost.daemon.open_calls import OpenCall
from walnutpost.gateway import Rejected
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, SECOND, Fleet, merge_settings
from walnutpost.testsupport.fronts.harness import (
    EVERY_MINUTE,
    MINUTE_US,
    crash_at_commit,
    distinct_statuses,
    fleet_with_schedules,
    read_outcomes,
)


def test_schedule_fires_each_minute_and_its_outcomes_are_stored(tmp_path: Path) -> None:
    fleet = fleet_with_schedules(
        tmp_path, look={}, buy={"function": "reserve", "tenant": "trade", "jitter_ms": 20_000}
    )

    def script() -> None:
        fleet.loop.sleep(3 * MINUTE_US + MINUTE_US // 2)
        page = json.loads(fleet.ask("GET", "/2025-12-01/functions/price/durable-executions").body)
        names = [execution["DurableExecutionName"] for execution in page["DurableExecutions"]]
        assert len(names) >= 3
        assert all(name.startswith("cron-look-") for name in names)

    fleet.run(script)
    outcomes = read_outcomes(tmp_path)
    assert Counter(outcome.schedule for outcome in outcomes) == {
        "look": fleet.runs("price"),
        "buy": fleet.runs("reserve"),
    }
    assert distinct_statuses(outcomes) == {"SUCCEEDED"}
    assert fleet.runs() >= 6


def test_due_time_during_a_running_firing_is_skipped_or_replaces_it(tmp_path: Path) -> None:
    slow = {"fleet": {"work": {"price": {"work_ms": 90_000}}}}
    schedules = {
        "keep": EVERY_MINUTE | {"overlap": "forbid", "deadline_ms": 150_000},
        "swap": EVERY_MINUTE | {"overlap": "replace", "deadline_ms": 150_000},
    }
    overrides: dict[str, Any] = slow | {"schedules": schedules, "front": {"deferred_deadline_ms": 200_000}}
    fleet = Fleet(tmp_path, overrides)
    fleet.run(lambda: fleet.loop.sleep(5 * MINUTE_US + MINUTE_US // 2))
    statuses_by_schedule: dict[str, list[str]] = {}
    for outcome in read_outcomes(tmp_path):
        statuses_by_schedule.setdefault(outcome.schedule, []).append(outcome.status)
    assert statuses_by_schedule["keep"][:4] == ["SUCCEEDED", "SKIPPED", "SUCCEEDED", "SKIPPED"]
    assert statuses_by_schedule["swap"][:3] == ["STOPPED", "STOPPED", "STOPPED"]


def test_wall_clock_jumps_do_not_fire_a_due_time_twice(tmp_path: Path) -> None:
    fleet = fleet_with_schedules(tmp_path, look={})

    def script() -> None:
        fleet.loop.sleep(2 * MINUTE_US + MINUTE_US // 2)
        runs_before_jump = fleet.runs()
        fleet.wall_clock_offset_us -= 60 * MINUTE_US
        fleet.loop.sleep(3 * MINUTE_US)
        assert fleet.runs() == runs_before_jump > 1
        fleet.wall_clock_offset_us += 60 * MINUTE_US + 1440 * MINUTE_US
        fleet.loop.sleep(2 * MINUTE_US)

    fleet.run(script)
    outcomes = read_outcomes(tmp_path)
    minute_count = outcomes[-1].due_minute - outcomes[0].due_minute + 1
    assert sum(outcome.count for outcome in outcomes) == minute_count
    assert [outcome.status for outcome in outcomes if outcome.count > 1000] == ["SKIPPED"]
    assert fleet.runs() == sum(outcome.status == "SUCCEEDED" for outcome in outcomes)


def test_rejected_firing_is_retried_and_its_outcome_is_stored_and_logged(tmp_path: Path) -> None:
    fleet = fleet_with_schedules(
        tmp_path, look={"deadline_ms": 20_000}, buy={"function": "reserve", "deadline_ms": 20_000}
    )

    def script() -> None:
        for worker in fleet.workers.values():
            worker.model.faults.full = -1
        fleet.wait_until(lambda: len(read_outcomes(tmp_path)) == 2 and not fleet.front.dispatcher.open_calls)
        fleet.loop.sleep(25 * SECOND)

    fleet.run(script)
    assert distinct_statuses(read_outcomes(tmp_path)) <= {"FAILED", "TIMED_OUT", "REFUSED"}
    events = [fields for event, fields in fleet.log.events if event == "firing_failed"]
    assert {fields["schedule"] for fields in events} == {"look", "buy"}
    assert {fields["status"] for fields in events} <= {"FAILED", "TIMED_OUT", "REFUSED"}
    assert read_outcomes(tmp_path)
    assert fleet.runs() == 0


def test_firing_being_rejected_at_a_crash_has_an_outcome_after_the_restart(tmp_path: Path) -> None:
    fleet = fleet_with_schedules(tmp_path, look={"deadline_ms": 300_000})

    def script() -> None:
        rejection = Rejected("no room", SECOND)

        def reject(_: CallDispatch, call: OpenCall, time_left_us: int, request_id: str) -> None:
            call.rejection = rejection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(CallDispatch, "dispatch", reject)
            fleet.wait_until(lambda: len(read_outcomes(tmp_path)) == 1)
            fleet.loop.sleep(2 * SECOND)

    fleet.run(script)
    assert [outcome.status for outcome in read_outcomes(tmp_path)] == ["RUNNING"]
    restarted = fleet_with_schedules(tmp_path, look={})
    restarted.wall_clock_offset_us = fleet.loop.now() - restarted.loop.now()
    restarted.run(lambda: restarted.loop.sleep(2 * SECOND))
    assert [outcome.status for outcome in read_outcomes(tmp_path)] == ["REFUSED"]


def test_reload_keeps_firings_running(tmp_path: Path) -> None:
    fleet = Fleet(
        tmp_path,
        {
            "schedules": {"look": EVERY_MINUTE, "gone": EVERY_MINUTE},
            "fleet": {"work": {"price": {"work_ms": 5000}}},
        },
    )

    def script() -> None:
        fleet.wait_until(lambda: fleet.front.dispatcher.open_calls == 2, 2 * MINUTE_US)
        changed = merge_settings(
            BASE_SETTINGS, {"schedules": {"look": EVERY_MINUTE | {"payload": 2}, "new": EVERY_MINUTE}}
        )
        fleet.front.reload(parse(json.dumps(changed), "changed", Config))
        fleet.loop.sleep(2 * MINUTE_US)
        fleet.wait_until(lambda: not fleet.front._is_busy())

    fleet.run(script)
    outcomes = read_outcomes(tmp_path)
    assert Counter(outcome.schedule for outcome in outcomes) == {"look": 3, "gone": 1, "new": 2}
    assert distinct_statuses(outcomes) == {"SUCCEEDED"}


@pytest.mark.parametrize("is_durable", [False, True])
def test_after_a_crash_at_any_commit_safe_firings_run_and_unsafe_ones_never_run_twice(
    tmp_path: Path, is_durable: bool
) -> None:
    """Some crashes occur between storing a firing and sending its call, or between sending and the answer."""
    schedules = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    max_commit_count = 0
    for crash_commit_number in range(1, 10):
        path = tmp_path / str(crash_commit_number)
        path.mkdir()
        first = fleet_with_schedules(path, **schedules)

        def run_until_crash(fleet: Fleet = first, crash_commit_number: int = crash_commit_number) -> int:
            commit_count = crash_at_commit(fleet, crash_commit_number, is_durable)
            for _ in range(100):
                fleet.loop.sleep(2 * SECOND)
                if commit_count() >= crash_commit_number:
                    break
            return commit_count()

        max_commit_count = max(max_commit_count, first.run(run_until_crash))
        second = fleet_with_schedules(path, **schedules)
        # The wall clock continues from the time of the crash.
        second.wall_clock_offset_us = first.loop.now() - second.loop.now()
        second.run(lambda fleet=second: fleet.loop.sleep(MINUTE_US))  # type: ignore[misc]
        outcomes = read_outcomes(path)
        due_times = Counter((outcome.schedule, outcome.due_minute) for outcome in outcomes)
        assert set(due_times.values()) == {1}
        assert distinct_statuses(outcomes) <= {"SUCCEEDED", "FAILED", "TIMED_OUT", "SKIPPED"}
        by_schedule = {
            name: [outcome for outcome in outcomes if outcome.schedule == name] for name in schedules
        }
        runs = {
            name: first.runs(function) + second.runs(function)
            for name, function in (("look", "price"), ("buy", "reserve"))
        }
        assert runs["look"] >= len(by_schedule["look"])
        assert runs["buy"] <= len(by_schedule["buy"])
        for schedule_outcomes in by_schedule.values():  # every due time has an outcome
            first_minute = schedule_outcomes[0].due_minute
            assert [outcome.due_minute for outcome in schedule_outcomes] == list(
                range(first_minute, first_minute + len(schedule_outcomes))
            )
        failed = sum(outcome.status == "FAILED" for outcome in by_schedule["buy"])
        assert failed <= 1
        assert runs["buy"] >= len(by_schedule["buy"]) - failed
    assert max_commit_count >= 9


def test_store_restored_from_an_older_copy_does_not_rerun_unsafe_firings(tmp_path: Path) -> None:
    schedules = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    store_copies: list[bytes] = []
    first = fleet_with_schedules(tmp_path, **schedules)

    def copy_store_and_continue() -> None:
        first.loop.sleep(2 * MINUTE_US + MINUTE_US // 2)
        first.front.store._db.execute("pragma wal_checkpoint(truncate)")
        store_copies.append((tmp_path / "calls.db").read_bytes())
        first.loop.sleep(3 * MINUTE_US)

    first.run(copy_store_and_continue)
    for leftover in tmp_path.glob("calls.db-*"):
        leftover.unlink()
    (tmp_path / "calls.db").write_bytes(store_copies[0])
    second = fleet_with_schedules(tmp_path, **schedules)
    second.wall_clock_offset_us = first.loop.now() - second.loop.now()
    second.run(lambda: second.loop.sleep(2 * MINUTE_US))
    outcomes = read_outcomes(tmp_path)
    skipped = [(outcome.schedule, outcome.count) for outcome in outcomes if outcome.status == "SKIPPED"]
    assert skipped == [("buy", 3)]
    due_times = Counter((outcome.schedule, outcome.due_minute) for outcome in outcomes)
    assert set(due_times.values()) == {1}


def test_each_schedule_has_one_owner_and_differing_files_are_an_error(tmp_path: Path) -> None:
    schedules = {f"s{n}": EVERY_MINUTE for n in range(20)} | {"mine": EVERY_MINUTE | {"owner": 1}}
    files, owned = [], []
    for index in (0, 1):
        front = {"front_ends": 2, "index": index}
        config = merge_settings(BASE_SETTINGS, {"front": front, "schedules": schedules})
        files.append(tmp_path / f"{index}.json5")
        files[-1].write_text(json.dumps(config))
        owned.append({s.name for s in build_own_schedules(parse(json.dumps(config), "f", Config))})
    assert owned[0] | owned[1] == set(schedules)
    assert not owned[0] & owned[1]
    assert "mine" in owned[1]
    assert CliRunner().invoke(main, ["check-config", *map(str, files)]).exit_code == 0
    conflicting = merge_settings(
        BASE_SETTINGS,
        {"front": {"front_ends": 2, "index": 0}, "schedules": {"mine": EVERY_MINUTE | {"owner": 0}}},
    )
    files[0].write_text(json.dumps(conflicting))
    result = CliRunner().invoke(main, ["check-config", *map(str, files)])
    assert result.exit_code == 2
    assert "schedules.mine" in result.output
    assert str(files[0]) in result.output


def test_timers_commands_show_upcoming_and_past_firings(tmp_path: Path) -> None:
    fleet = fleet_with_schedules(tmp_path, look={"zone": "Europe/Dublin"})
    fleet.run(lambda: fleet.loop.sleep(2 * MINUTE_US))
    path = tmp_path / "site.json5"
    path.write_text(
        json.dumps(
            merge_settings(BASE_SETTINGS, {"schedules": {"look": EVERY_MINUTE | {"zone": "Europe/Dublin"}}})
        )
    )
    history = CliRunner().invoke(main, ["timers", "history", str(path)])
    assert history.exit_code == 0
    assert "1970-01-12T14:47:00+01:00  look  SUCCEEDED" in history.output
    upcoming = CliRunner().invoke(main, ["timers", "next", str(path), "--count", "3"])
    assert upcoming.exit_code == 0
    assert len(upcoming.output.splitlines()) == 3
    assert "look" in upcoming.output


INVALID_SCHEDULES = [
    ({"cron": "61 * * * *"}, "schedules.x.cron"),
    ({"zone": "Mars/Olympus"}, "schedules.x.zone"),
    ({"missed": "maybe"}, "schedules.x.missed"),
    ({"function": "nope"}, "(top)"),
    ({"tenant": "nobody"}, "(top)"),
    ({"owner": 5}, "(top)"),
]


@pytest.mark.parametrize(("changes", "location"), INVALID_SCHEDULES)
def test_invalid_schedule_is_a_configuration_error(
    tmp_path: Path, changes: dict[str, Any], location: str
) -> None:
    path = tmp_path / "bad.json5"
    path.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"schedules": {"x": EVERY_MINUTE | changes}})))
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2
    assert f"{path}: {location}: " in result.output
