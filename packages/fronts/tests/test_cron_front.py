"""The cron front on a complete path: schedules fire deferred calls, each due time has an outcome on disk."""

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
from walnutpost.testsupport.daemon.fleet import BASE, SECOND, Fleet, merged
from walnutpost.testsupport.fronts.harness import (
    EVERY_MINUTE,
    MINUTE,
    crash_at_commit,
    fleet_with_schedules,
    read_outcomes,
    statuses,
)


def test_a_schedule_fires_each_minute_and_its_outcome_is_stored(tmp_path: Path) -> None:
    f = fleet_with_schedules(
        tmp_path, look={}, buy={"function": "reserve", "tenant": "trade", "jitter_ms": 20_000}
    )

    def script() -> None:
        f.loop.sleep(3 * MINUTE + MINUTE // 2)
        found = json.loads(f.ask("GET", "/2025-12-01/functions/price/durable-executions").body)
        names = [e["DurableExecutionName"] for e in found["DurableExecutions"]]
        assert len(names) >= 3
        assert all(name.startswith("cron-look-") for name in names)

    f.run(script)
    outcomes = read_outcomes(tmp_path)
    assert Counter(outcome.schedule for outcome in outcomes) == {
        "look": f.runs("price"),
        "buy": f.runs("reserve"),
    }
    assert statuses(outcomes) == {"SUCCEEDED"}
    assert f.runs() >= 6


def test_a_due_time_while_a_firing_is_running_is_skipped_or_replaces_it_as_configured(tmp_path: Path) -> None:
    slow = {"fleet": {"work": {"price": {"work_ms": 90_000}}}}
    lines = {
        "keep": EVERY_MINUTE | {"overlap": "forbid", "deadline_ms": 150_000},
        "swap": EVERY_MINUTE | {"overlap": "replace", "deadline_ms": 150_000},
    }
    more: dict[str, Any] = slow | {"schedules": lines, "front": {"deferred_deadline_ms": 200_000}}
    f = Fleet(tmp_path, more)
    f.run(lambda: f.loop.sleep(5 * MINUTE + MINUTE // 2))
    by: dict[str, list[str]] = {}
    for outcome in read_outcomes(tmp_path):
        by.setdefault(outcome.schedule, []).append(outcome.status)
    assert by["keep"][:4] == ["SUCCEEDED", "SKIPPED", "SUCCEEDED", "SKIPPED"]
    assert by["swap"][:3] == ["STOPPED", "STOPPED", "STOPPED"]


def test_jumps_of_the_wall_clock_fire_nothing_twice(tmp_path: Path) -> None:
    f = fleet_with_schedules(tmp_path, look={})

    def script() -> None:
        f.loop.sleep(2 * MINUTE + MINUTE // 2)
        before = f.runs()
        f.wall_clock_offset_us -= 60 * MINUTE
        f.loop.sleep(3 * MINUTE)
        assert f.runs() == before > 1
        f.wall_clock_offset_us += 60 * MINUTE + 1440 * MINUTE
        f.loop.sleep(2 * MINUTE)

    f.run(script)
    outcomes = read_outcomes(tmp_path)
    minutes = outcomes[-1].due_minute - outcomes[0].due_minute + 1
    assert sum(outcome.count for outcome in outcomes) == minutes
    assert [outcome.status for outcome in outcomes if outcome.count > 1000] == ["SKIPPED"]
    assert f.runs() == sum(outcome.status == "SUCCEEDED" for outcome in outcomes)


def test_a_rejected_firing_is_retried_and_its_end_is_recorded_and_logged(tmp_path: Path) -> None:
    f = fleet_with_schedules(
        tmp_path, look={"deadline_ms": 20_000}, buy={"function": "reserve", "deadline_ms": 20_000}
    )

    def script() -> None:
        for worker in f.workers.values():
            worker.model.faults.full = -1
        f.until(lambda: len(read_outcomes(tmp_path)) == 2 and not f.front.dispatcher.open_calls)
        f.loop.sleep(25 * SECOND)

    f.run(script)
    assert statuses(read_outcomes(tmp_path)) <= {"FAILED", "TIMED_OUT", "REFUSED"}
    events = [fields for event, fields in f.log.lines if event == "firing_failed"]
    assert {fields["schedule"] for fields in events} == {"look", "buy"}
    assert {fields["status"] for fields in events} <= {"FAILED", "TIMED_OUT", "REFUSED"}
    assert read_outcomes(tmp_path)
    assert f.runs() == 0


def test_a_firing_that_was_being_rejected_at_a_crash_has_an_outcome_after_the_restart(tmp_path: Path) -> None:
    f = fleet_with_schedules(tmp_path, look={"deadline_ms": 300_000})

    def script() -> None:
        rejection = Rejected("no room", SECOND)

        def reject(_: CallDispatch, call: OpenCall, time_left_us: int, request_id: str) -> None:
            call.rejection = rejection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(CallDispatch, "dispatch", reject)
            f.until(lambda: len(read_outcomes(tmp_path)) == 1)
            f.loop.sleep(2 * SECOND)

    f.run(script)
    assert [outcome.status for outcome in read_outcomes(tmp_path)] == ["RUNNING"]
    again = fleet_with_schedules(tmp_path, look={})
    again.wall_clock_offset_us = f.loop.now() - again.loop.now()
    again.run(lambda: again.loop.sleep(2 * SECOND))
    assert [outcome.status for outcome in read_outcomes(tmp_path)] == ["REFUSED"]


def test_a_reload_leaves_running_firings_alone(tmp_path: Path) -> None:
    f = Fleet(
        tmp_path,
        {
            "schedules": {"look": EVERY_MINUTE, "gone": EVERY_MINUTE},
            "fleet": {"work": {"price": {"work_ms": 5000}}},
        },
    )

    def script() -> None:
        f.until(lambda: f.front.dispatcher.open_calls == 2, 2 * MINUTE)
        changed = merged(BASE, {"schedules": {"look": EVERY_MINUTE | {"payload": 2}, "new": EVERY_MINUTE}})
        f.front.reload(parse(json.dumps(changed), "changed", Config))
        f.loop.sleep(2 * MINUTE)
        f.until(lambda: not f.front._is_busy())

    f.run(script)
    outcomes = read_outcomes(tmp_path)
    assert Counter(outcome.schedule for outcome in outcomes) == {"look": 3, "gone": 1, "new": 2}
    assert statuses(outcomes) == {"SUCCEEDED"}


@pytest.mark.parametrize("durable", [False, True])
def test_after_a_crash_at_any_commit_safe_firings_run_and_unsafe_ones_never_run_twice(
    tmp_path: Path, durable: bool
) -> None:
    """Between "fired" written and the call sent, and between sent and answered, too."""
    lines = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    reached = 0
    for at in range(1, 10):
        path = tmp_path / str(at)
        path.mkdir()
        first = fleet_with_schedules(path, **lines)

        def run_until_crash(f: Fleet = first, at: int = at) -> int:
            count = crash_at_commit(f, at, durable)
            for _ in range(100):
                f.loop.sleep(2 * SECOND)
                if count() >= at:
                    break
            return count()

        reached = max(reached, first.run(run_until_crash))
        second = fleet_with_schedules(path, **lines)
        # The same time of day goes on where the first one died.
        second.wall_clock_offset_us = first.loop.now() - second.loop.now()
        second.run(lambda f=second: f.loop.sleep(MINUTE))  # type: ignore[misc]
        outcomes = read_outcomes(path)
        due_times = Counter((outcome.schedule, outcome.due_minute) for outcome in outcomes)
        assert set(due_times.values()) == {1}
        assert statuses(outcomes) <= {"SUCCEEDED", "FAILED", "TIMED_OUT", "SKIPPED"}
        by_schedule = {name: [each for each in outcomes if each.schedule == name] for name in lines}
        runs = {name: first.runs(f) + second.runs(f) for name, f in (("look", "price"), ("buy", "reserve"))}
        assert runs["look"] >= len(by_schedule["look"])
        assert runs["buy"] <= len(by_schedule["buy"])
        for found in by_schedule.values():  # no due time is left out
            first_minute = found[0].due_minute
            assert [each.due_minute for each in found] == list(range(first_minute, first_minute + len(found)))
        failed = sum(each.status == "FAILED" for each in by_schedule["buy"])
        assert failed <= 1
        assert runs["buy"] >= len(by_schedule["buy"]) - failed
    assert reached >= 9


def test_a_store_restored_from_an_older_copy_runs_no_unsafe_firing_again(tmp_path: Path) -> None:
    lines = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    copies: list[bytes] = []
    first = fleet_with_schedules(tmp_path, **lines)

    def live() -> None:
        first.loop.sleep(2 * MINUTE + MINUTE // 2)
        first.front.store._db.execute("pragma wal_checkpoint(truncate)")
        copies.append((tmp_path / "calls.db").read_bytes())
        first.loop.sleep(3 * MINUTE)

    first.run(live)
    for left in tmp_path.glob("calls.db-*"):
        left.unlink()
    (tmp_path / "calls.db").write_bytes(copies[0])
    second = fleet_with_schedules(tmp_path, **lines)
    second.wall_clock_offset_us = first.loop.now() - second.loop.now()
    second.run(lambda: second.loop.sleep(2 * MINUTE))
    outcomes = read_outcomes(tmp_path)
    skipped = [(outcome.schedule, outcome.count) for outcome in outcomes if outcome.status == "SKIPPED"]
    assert skipped == [("buy", 3)]
    due_times = Counter((outcome.schedule, outcome.due_minute) for outcome in outcomes)
    assert set(due_times.values()) == {1}


def test_each_schedule_has_one_owner_and_differing_files_are_an_error(tmp_path: Path) -> None:
    lines = {f"s{n}": EVERY_MINUTE for n in range(20)} | {"mine": EVERY_MINUTE | {"owner": 1}}
    files, owned = [], []
    for index in (0, 1):
        front = {"front_ends": 2, "index": index}
        config = merged(BASE, {"front": front, "schedules": lines})
        files.append(tmp_path / f"{index}.json5")
        files[-1].write_text(json.dumps(config))
        owned.append({s.name for s in build_own_schedules(parse(json.dumps(config), "f", Config))})
    assert owned[0] | owned[1] == set(lines)
    assert not owned[0] & owned[1]
    assert "mine" in owned[1]
    assert CliRunner().invoke(main, ["check-config", *map(str, files)]).exit_code == 0
    other = merged(
        BASE, {"front": {"front_ends": 2, "index": 0}, "schedules": {"mine": EVERY_MINUTE | {"owner": 0}}}
    )
    files[0].write_text(json.dumps(other))
    result = CliRunner().invoke(main, ["check-config", *map(str, files)])
    assert result.exit_code == 2
    assert "schedules.mine" in result.output
    assert str(files[0]) in result.output


def test_the_commands_show_coming_and_past_firings(tmp_path: Path) -> None:
    f = fleet_with_schedules(tmp_path, look={"zone": "Europe/Dublin"})
    f.run(lambda: f.loop.sleep(2 * MINUTE))
    path = tmp_path / "site.json5"
    path.write_text(
        json.dumps(merged(BASE, {"schedules": {"look": EVERY_MINUTE | {"zone": "Europe/Dublin"}}}))
    )
    shown = CliRunner().invoke(main, ["timers", "history", str(path)])
    assert shown.exit_code == 0
    assert "1970-01-12T14:47:00+01:00  look  SUCCEEDED" in shown.output
    coming = CliRunner().invoke(main, ["timers", "next", str(path), "--count", "3"])
    assert coming.exit_code == 0
    assert len(coming.output.splitlines()) == 3
    assert "look" in coming.output


WRONG = [
    ({"cron": "61 * * * *"}, "schedules.x.cron"),
    ({"zone": "Mars/Olympus"}, "schedules.x.zone"),
    ({"missed": "maybe"}, "schedules.x.missed"),
    ({"function": "nope"}, "(top)"),
    ({"tenant": "nobody"}, "(top)"),
    ({"owner": 5}, "(top)"),
]


@pytest.mark.parametrize(("line", "place"), WRONG)
def test_a_wrong_schedule_is_a_configuration_error(tmp_path: Path, line: dict[str, Any], place: str) -> None:
    path = tmp_path / "bad.json5"
    path.write_text(json.dumps(merged(BASE, {"schedules": {"x": EVERY_MINUTE | line}})))
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2
    assert f"{path}: {place}: " in result.output
