"""A store that fails for a while: calls are taken within their time or refused as ours, and run once."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from disk_faults import Fault, Script, ScriptedConnection, after_a_kill, failing, scripted_files
from fleet_rig import SECOND, Fleet
from test_invoke import ARN, Deferred
from test_timers import MINUTE, fates
from test_timers import fleet as timers
from walnutpost.gateway import CallArrived, Final, Rejected
from walnutpost.http import Response


def script_store(fleet: Fleet, script: Script) -> ScriptedConnection:
    return ScriptedConnection(fleet.front.deferred._store, fleet.path / "calls.db", script)


def ask(fleet: Fleet, attempt: int = 1) -> Response:
    """As an SDK does: its own repeats have the invocation id of the first."""
    headers = {"amz_sdk_invocation_id": "id-1", "amz_sdk_request": f"attempt={attempt}; max=5"}
    return fleet.invoke("reserve", b"7", x_amz_invocation_type="Event", **headers)


class Switch:
    """A disk that fails while `broken`; statements that begin with `of` do."""

    def __init__(
        self, fault: Fault = Fault.OPEN, of: tuple[str, ...] = ("commit", "pragma user_version =")
    ) -> None:
        self.broken, self._fault, self._of = True, fault, of

    def __call__(self, statement: str) -> Fault | None:
        return self._fault if self.broken and statement.startswith(self._of) else None


@pytest.mark.parametrize("fault", list(Fault))
def test_a_deferred_call_whose_commit_fails_is_taken_by_a_later_try_and_runs_once(
    tmp_path: Path, fault: Fault
) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = Deferred(fleet)
        disk = script_store(fleet, failing(3, fault))
        answer = calls.start("reserve", b"1", "order")
        assert answer.status == 202 and disk.failures == 3
        assert calls.fate(answer.headers[ARN])["Status"] == "SUCCEEDED" and fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_call_that_the_disk_refused_is_a_500_and_an_sdk_s_repeat_is_the_same_call(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = Switch()
        script_store(fleet, disk)
        refused = ask(fleet)
        assert (refused.status, refused.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert refused.headers["retry-after"]
        disk.broken = False
        taken, again = ask(fleet, 2), ask(fleet, 3)
        assert taken.status == again.status == 202 and taken.headers[ARN] == again.headers[ARN]
        assert Deferred(fleet).fate(taken.headers[ARN])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_repeat_joins_a_call_whose_commit_is_being_tried_again(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = Switch()
        connection = script_store(fleet, disk)
        first = fleet.loop.spawn(ask, fleet)
        fleet.until(lambda: connection.failures > 1)
        second = fleet.loop.spawn(ask, fleet, 2)
        fleet.loop.sleep(SECOND // 5)
        disk.broken = False
        answers = [first.join(), second.join()]
        assert [a.status for a in answers] == [202, 202]
        assert answers[0].headers[ARN] == answers[1].headers[ARN]
        Deferred(fleet).fate(answers[0].headers[ARN])
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_call_that_may_be_on_disk_is_said_so_and_its_repeat_after_a_kill_is_the_same_call(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def before() -> None:
        calls = Deferred(first)
        calls.fate(calls.start("price", b"0", "warm").headers[ARN])  # the log has a beginning
        script_store(first, Switch(Fault.REACHED_DISK))
        refused = ask(first)
        assert refused.status == 500 and b"may run: ask again as sdk-id-1" in refused.body
        assert first.runs("reserve") == 0
        after_a_kill(tmp_path / "calls.db")

    first.run(before)
    second = Fleet(tmp_path / "after the kill")

    def after() -> None:
        second.until(lambda: second.runs("reserve") == 1)  # the start has found it
        taken = ask(second, 2)
        assert taken.status == 202
        assert Deferred(second).fate(taken.headers[ARN])["Status"] == "SUCCEEDED"
        assert second.runs("reserve") == 1

    second.run(after)


def test_a_call_refused_after_it_was_stored_is_off_the_disk_before_its_name_is_free(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = Switch(of=("delete",))
        script_store(fleet, disk)
        arrive = fleet.front.core.arrive

        def refuse(call: CallArrived, done: Callable[[Final], None], *more: Any) -> None:
            done(Rejected("no room"))

        fleet.front.core.arrive = refuse  # type: ignore[method-assign]
        calls = Deferred(fleet)
        refused = calls.start("reserve", b"1", "order")
        assert refused.status == 500 and b"may run: ask again as order" in refused.body
        fleet.front.core.arrive = arrive  # type: ignore[method-assign]
        assert calls.start("reserve", b"1", "order").status == 500  # a start now would find the first one
        disk.broken = False
        fleet.until(lambda: not fleet.front.deferred.open_calls)
        assert not calls.listed("reserve")["DurableExecutions"]
        taken = calls.start("reserve", b"1", "order")
        assert calls.fate(taken.headers[ARN])["Status"] == "SUCCEEDED" and fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_fate_that_can_t_be_written_is_owed_and_written_within_two_seconds_of_the_fault_s_end(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def before() -> str:
        disk = Switch(of=("update executions set intended=?",))
        script_store(first, disk)
        arn = str(Deferred(first).start("reserve", b"1", "order").headers[ARN])
        first.until(lambda: first.front.deferred.pending_writes == 1)
        first.loop.sleep(9 * SECOND)
        assert first.front.deferred.pending_writes == 1
        disk.broken, ended = False, first.loop.now()
        first.until(lambda: first.front.deferred.pending_writes == 0)
        assert first.loop.now() - ended < 2 * SECOND and first.runs("reserve") == 1
        return arn

    arn = first.run(before)
    second = Fleet(tmp_path)

    def after() -> None:
        assert Deferred(second).get(arn)["Status"] == "SUCCEEDED" and second.runs("reserve") == 0

    second.run(after)


def test_schedules_fire_once_each_through_a_disk_that_fails_now_and_then(tmp_path: Path) -> None:
    """The store's commits, and the file of the newest due time beside it."""
    f = timers(tmp_path, look={})

    def script() -> None:
        count = 0

        def now_and_then(statement: str) -> Fault | None:
            nonlocal count
            count += statement == "commit"
            return Fault.ROLLED_BACK if statement == "commit" and count % 3 else None

        disk = script_store(f, now_and_then)
        files.fails = {"write": 2, "fsync": 2, "rename": 1}
        f.loop.sleep(4 * MINUTE + MINUTE // 2)
        assert disk.failures > 8 and not any(files.fails.values())

    with scripted_files() as files:
        f.run(script)
    told = fates(tmp_path)
    assert f.runs("price") == len(told) >= 4 and {status for _, _, status, _ in told} == {"SUCCEEDED"}
    newest = int((tmp_path / "calls.db.seen").read_text().split()[0])
    assert newest // MINUTE == told[-1][1]


def test_a_store_that_fails_one_time_in_ten_refuses_nothing_and_loses_nothing(tmp_path: Path) -> None:
    """Ten in a hundred writes fail; a call's commit has some eight of them."""
    random, fleet = Random(3), Fleet(tmp_path)

    def script() -> None:
        script_store(fleet, lambda s: Fault.ROLLED_BACK if s == "commit" and random.random() < 0.57 else None)
        calls = Deferred(fleet)
        answers = [calls.start("price", b"%d" % n, f"n{n}") for n in range(60)]
        assert [a.status for a in answers] == [202] * 60
        assert {calls.fate(a.headers[ARN])["Status"] for a in answers} == {"SUCCEEDED"}

    fleet.run(script)


def test_what_can_t_be_read_now_is_a_500_and_there_once_it_can(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = Deferred(fleet)
        arn = calls.start("price", b"1", "order").headers[ARN]
        assert calls.fate(arn)["Status"] == "SUCCEEDED"
        fleet.until(lambda: not fleet.front.deferred.open_calls)
        disk = Switch(of=("select",))
        script_store(fleet, disk)
        assert calls.get(arn)["Status"] == "500"
        assert calls.start("price", b"1", "order").status == 500
        listed = fleet.ask("GET", "/2025-12-01/functions/price/durable-executions?")
        assert (listed.status, listed.headers["x-amzn-errortype"]) == (500, "ServiceException")
        disk.broken = False
        assert calls.get(arn)["Status"] == "SUCCEEDED"
        assert calls.start("price", b"1", "order").headers[ARN] == arn and fleet.runs("price") == 1

    fleet.run(script)
