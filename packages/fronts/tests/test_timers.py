"""The timer front on a whole path: schedules fire deferred calls, and every due time has its fate on disk."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from fleet_rig import BASE, SECOND, Fleet, merged
from test_invoke import crashing
from walnutpost.cli import main
from walnutpost.config import Config, parse
from walnutpost.config.settings import own_schedules
from walnutpost.daemon.open_calls import OpenCall
from walnutpost.gateway import Rejected
from walnutpost.store import read_history

MINUTE = 60 * SECOND
TICK = {"cron": "* * * * *", "function": "price", "payload": {"all": True}}


def fleet(path: Path, **schedules: dict[str, Any]) -> Fleet:
    lines = {name: TICK | line for name, line in schedules.items()}
    return Fleet(path, {"schedules": lines})


def fates(path: Path) -> list[tuple[str, int, str, int]]:
    """Schedule, due time in minutes, status and count, oldest first."""
    rows = read_history(path / "calls.db", None, 100_000)
    return [(r.schedule, r.due // MINUTE, r.status, r.count) for r in reversed(rows)]


def test_a_schedule_fires_each_minute_and_its_fate_is_kept(tmp_path: Path) -> None:
    f = fleet(tmp_path, look={}, buy={"function": "reserve", "tenant": "trade", "jitter_ms": 20_000})

    def script() -> None:
        f.loop.sleep(3 * MINUTE + MINUTE // 2)
        found = json.loads(f.ask("GET", "/2025-12-01/functions/price/durable-executions").body)
        names = [e["DurableExecutionName"] for e in found["DurableExecutions"]]
        assert len(names) >= 3 and all(name.startswith("cron-look-") for name in names)

    f.run(script)
    told = fates(tmp_path)
    assert Counter(name for name, *_ in told) == {"look": f.runs("price"), "buy": f.runs("reserve")}
    assert {status for _, _, status, _ in told} == {"SUCCEEDED"} and f.runs() >= 6


def test_an_overrun_is_skipped_or_replaced_as_configured(tmp_path: Path) -> None:
    slow = {"fleet": {"work": {"price": {"work_ms": 90_000}}}}
    lines = {
        "keep": TICK | {"overlap": "forbid", "deadline_ms": 150_000},
        "swap": TICK | {"overlap": "replace", "deadline_ms": 150_000},
    }
    more: dict[str, Any] = slow | {"schedules": lines, "front": {"deferred_deadline_ms": 200_000}}
    f = Fleet(tmp_path, more)
    f.run(lambda: f.loop.sleep(5 * MINUTE + MINUTE // 2))
    by: dict[str, list[str]] = {}
    for name, _, status, _ in fates(tmp_path):
        by.setdefault(name, []).append(status)
    assert by["keep"][:4] == ["SUCCEEDED", "SKIPPED", "SUCCEEDED", "SKIPPED"]
    assert by["swap"][:3] == ["STOPPED", "STOPPED", "STOPPED"]


def test_jumps_of_the_wall_clock_fire_nothing_twice(tmp_path: Path) -> None:
    f = fleet(tmp_path, look={})

    def script() -> None:
        f.loop.sleep(2 * MINUTE + MINUTE // 2)
        before = f.runs()
        f.wall_off -= 60 * MINUTE
        f.loop.sleep(3 * MINUTE)
        assert f.runs() == before > 1
        f.wall_off += 60 * MINUTE + 1440 * MINUTE
        f.loop.sleep(2 * MINUTE)

    f.run(script)
    told = fates(tmp_path)
    assert sum(count for *_, count in told) == told[-1][1] - told[0][1] + 1
    assert [status for _, _, status, count in told if count > 1000] == ["SKIPPED"]
    assert f.runs() == sum(status == "SUCCEEDED" for _, _, status, _ in told)


def test_a_refused_firing_asks_again_and_its_end_is_recorded(tmp_path: Path) -> None:
    f = fleet(tmp_path, look={"deadline_ms": 20_000}, buy={"function": "reserve", "deadline_ms": 20_000})

    def script() -> None:
        for worker in f.workers.values():
            worker.model.faults.full = -1
        f.until(lambda: len(fates(tmp_path)) == 2 and not f.front.core.open_calls)
        f.loop.sleep(25 * SECOND)

    f.run(script)
    assert {status for _, _, status, _ in fates(tmp_path)} <= {"FAILED", "TIMED_OUT", "REFUSED"}
    assert fates(tmp_path) and f.runs() == 0


def test_a_firing_that_was_being_refused_when_its_front_end_died_has_a_fate(tmp_path: Path) -> None:
    f = fleet(tmp_path, look={"deadline_ms": 300_000})

    def script() -> None:
        refuse = Rejected("no room", SECOND)

        def run(call: OpenCall, time_left_us: int, request_id: str) -> None:
            call.rejection = refuse

        f.front.deferred.dispatch = run  # type: ignore[method-assign]
        f.until(lambda: len(fates(tmp_path)) == 1)
        f.loop.sleep(2 * SECOND)

    f.run(script)
    assert [status for _, _, status, _ in fates(tmp_path)] == ["RUNNING"]
    again = fleet(tmp_path, look={})
    again.wall_off = f.loop.now() - again.loop.now()
    again.run(lambda: again.loop.sleep(2 * SECOND))
    assert [status for _, _, status, _ in fates(tmp_path)] == ["REFUSED"]


def test_a_reload_leaves_what_is_out_alone(tmp_path: Path) -> None:
    f = Fleet(
        tmp_path, {"schedules": {"look": TICK, "gone": TICK}, "fleet": {"work": {"price": {"work_ms": 5000}}}}
    )

    def script() -> None:
        f.until(lambda: f.front.core.open_calls == 2, 2 * MINUTE)
        changed = merged(BASE, {"schedules": {"look": TICK | {"payload": 2}, "new": TICK}})
        f.front.reload(parse(json.dumps(changed), "changed", Config))
        f.loop.sleep(2 * MINUTE)
        f.until(lambda: not f.front._is_busy())

    f.run(script)
    told = fates(tmp_path)
    assert Counter(name for name, *_ in told) == {"look": 3, "gone": 1, "new": 2}
    assert {status for _, _, status, _ in told} == {"SUCCEEDED"}


@pytest.mark.parametrize("durable", [False, True])
def test_killed_at_any_commit_safe_ones_run_and_unsafe_ones_never_twice(
    tmp_path: Path, durable: bool
) -> None:
    """Between "fired" written and the call sent, and between sent and answered, too."""
    lines = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    reached = 0
    for at in range(1, 10):
        path = tmp_path / str(at)
        path.mkdir()
        first = fleet(path, **lines)

        def live(f: Fleet = first, at: int = at) -> int:
            count = crashing(f, at, durable)
            for _ in range(100):
                f.loop.sleep(2 * SECOND)
                if count() >= at:
                    break
            return count()

        reached = max(reached, first.run(live))
        second = fleet(path, **lines)
        # The same time of day goes on where the first one died.
        second.wall_off = first.loop.now() - second.loop.now()
        second.run(lambda f=second: f.loop.sleep(MINUTE))  # type: ignore[misc]
        told = fates(path)
        each = Counter((name, due) for name, due, *_ in told)
        assert set(each.values()) == {1}
        assert {status for _, _, status, _ in told} <= {"SUCCEEDED", "FAILED", "TIMED_OUT", "SKIPPED"}
        by = {name: [(d, s) for n, d, s, _ in told if n == name] for name in lines}
        runs = {name: first.runs(f) + second.runs(f) for name, f in (("look", "price"), ("buy", "reserve"))}
        assert runs["look"] >= len(by["look"]) and runs["buy"] <= len(by["buy"])
        for dues in by.values():
            assert [d for d, _ in dues] == list(range(dues[0][0], dues[0][0] + len(dues)))  # none left out
        lost = [s for _, s in by["buy"] if s == "FAILED"]
        assert len(lost) <= 1 and runs["buy"] >= len(by["buy"]) - len(lost)
    assert reached >= 9


def test_a_store_from_an_older_copy_runs_no_unsafe_firing_again(tmp_path: Path) -> None:
    lines = {"look": {"missed": "all"}, "buy": {"missed": "all", "function": "reserve"}}
    copies: list[bytes] = []
    first = fleet(tmp_path, **lines)

    def live() -> None:
        first.loop.sleep(2 * MINUTE + MINUTE // 2)
        first.front._store._db.execute("pragma wal_checkpoint(truncate)")
        copies.append((tmp_path / "calls.db").read_bytes())
        first.loop.sleep(3 * MINUTE)

    first.run(live)
    for left in tmp_path.glob("calls.db-*"):
        left.unlink()
    (tmp_path / "calls.db").write_bytes(copies[0])
    second = fleet(tmp_path, **lines)
    second.wall_off = first.loop.now() - second.loop.now()
    second.run(lambda: second.loop.sleep(2 * MINUTE))
    told = fates(tmp_path)
    skipped = [(name, count) for name, _, status, count in told if status == "SKIPPED"]
    assert skipped == [("buy", 3)]
    assert Counter((name, due) for name, due, *_ in told).most_common(1)[0][1] == 1


def test_each_schedule_has_one_owner_and_two_files_that_differ_are_told(tmp_path: Path) -> None:
    lines = {f"s{n}": TICK for n in range(20)} | {"mine": TICK | {"owner": 1}}
    files, owned = [], []
    for index in (0, 1):
        front = {"front_ends": 2, "index": index}
        told = merged(BASE, {"front": front, "schedules": lines})
        files.append(tmp_path / f"{index}.json5")
        files[-1].write_text(json.dumps(told))
        owned.append({s.name for s in own_schedules(parse(json.dumps(told), "f", Config))})
    assert owned[0] | owned[1] == set(lines) and not owned[0] & owned[1] and "mine" in owned[1]
    assert CliRunner().invoke(main, ["check-config", *map(str, files)]).exit_code == 0
    other = merged(BASE, {"front": {"front_ends": 2, "index": 0}, "schedules": {"mine": TICK | {"owner": 0}}})
    files[0].write_text(json.dumps(other))
    result = CliRunner().invoke(main, ["check-config", *map(str, files)])
    assert result.exit_code == 2 and "schedules.mine" in result.output and str(files[0]) in result.output


def test_the_commands_show_what_comes_and_what_became(tmp_path: Path) -> None:
    f = fleet(tmp_path, look={"zone": "Europe/Dublin"})
    f.run(lambda: f.loop.sleep(2 * MINUTE))
    path = tmp_path / "site.json5"
    path.write_text(json.dumps(merged(BASE, {"schedules": {"look": TICK | {"zone": "Europe/Dublin"}}})))
    shown = CliRunner().invoke(main, ["timers", "history", str(path)])
    assert shown.exit_code == 0 and "1970-01-12T14:47:00+01:00  look  SUCCEEDED" in shown.output
    coming = CliRunner().invoke(main, ["timers", "next", str(path), "--count", "3"])
    assert coming.exit_code == 0 and len(coming.output.splitlines()) == 3 and "look" in coming.output


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
    path.write_text(json.dumps(merged(BASE, {"schedules": {"x": TICK | line}})))
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2 and f"{path}: {place}: " in result.output
