"""A store that fails for a while: calls are accepted within their time or are a 500, and run once."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from walnutpost.gateway import CallArrived, Final, Rejected
from walnutpost.http import Response
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.fronts.harness import (
    ARN_HEADER,
    MINUTE,
    DeferredClient,
    fleet_with_schedules,
    read_outcomes,
    statuses,
)
from walnutpost.testsupport.store.disk_faults import (
    Fault,
    Script,
    ScriptedConnection,
    after_a_kill,
    failing,
    scripted_files,
)


def script_store(fleet: Fleet, script: Script) -> ScriptedConnection:
    return ScriptedConnection(fleet.front.deferred._store, fleet.path / "calls.db", script)


def defer(fleet: Fleet, attempt: int = 1) -> Response:
    """Defer a call as an SDK does: its own retries have the invocation id of the first attempt."""
    headers = {"amz_sdk_invocation_id": "id-1", "amz_sdk_request": f"attempt={attempt}; max=5"}
    return fleet.invoke("reserve", b"7", x_amz_invocation_type="Event", **headers)


class FailingDisk:
    """A disk on which statements that begin with `prefixes` fail while `is_broken`."""

    def __init__(
        self, fault: Fault = Fault.OPEN, prefixes: tuple[str, ...] = ("commit", "pragma user_version =")
    ) -> None:
        self.is_broken = True
        self._fault = fault
        self._prefixes = prefixes

    def __call__(self, statement: str) -> Fault | None:
        is_failing = self.is_broken and statement.startswith(self._prefixes)
        return self._fault if is_failing else None


@pytest.mark.parametrize("fault", list(Fault))
def test_a_deferred_call_whose_commit_fails_is_accepted_by_a_retry_and_runs_once(
    tmp_path: Path, fault: Fault
) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        disk = script_store(fleet, failing(3, fault))
        answer = calls.start("reserve", b"1", "order")
        assert answer.status == 202
        assert disk.failures == 3
        assert calls.wait_for_end(answer.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_call_that_the_disk_did_not_accept_is_a_500_and_an_sdk_s_retry_is_the_same_call(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk()
        script_store(fleet, disk)
        rejected = defer(fleet)
        assert (rejected.status, rejected.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert rejected.headers["retry-after"]
        disk.is_broken = False
        accepted, again = defer(fleet, 2), defer(fleet, 3)
        assert accepted.status == again.status == 202
        assert accepted.headers[ARN_HEADER] == again.headers[ARN_HEADER]
        assert DeferredClient(fleet).wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_retry_joins_a_call_whose_commit_is_being_retried(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk()
        connection = script_store(fleet, disk)
        first = fleet.loop.spawn(defer, fleet)
        fleet.until(lambda: connection.failures > 1)
        second = fleet.loop.spawn(defer, fleet, 2)
        fleet.loop.sleep(SECOND // 5)
        disk.is_broken = False
        answers = [first.join(), second.join()]
        assert [a.status for a in answers] == [202, 202]
        assert answers[0].headers[ARN_HEADER] == answers[1].headers[ARN_HEADER]
        DeferredClient(fleet).wait_for_end(answers[0].headers[ARN_HEADER])
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_call_that_may_be_on_disk_is_answered_so_and_its_retry_after_a_kill_is_the_same_call(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def before() -> None:
        calls = DeferredClient(first)
        calls.wait_for_end(calls.start("price", b"0", "warm").headers[ARN_HEADER])  # the log has a beginning
        script_store(first, FailingDisk(Fault.REACHED_DISK))
        rejected = defer(first)
        assert rejected.status == 500
        assert b"may run: ask again as sdk-id-1" in rejected.body
        assert first.runs("reserve") == 0
        after_a_kill(tmp_path / "calls.db")

    first.run(before)
    second = Fleet(tmp_path / "after the kill")

    def after() -> None:
        second.until(lambda: second.runs("reserve") == 1)  # the start has found it
        accepted = defer(second, 2)
        assert accepted.status == 202
        assert DeferredClient(second).wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert second.runs("reserve") == 1

    second.run(after)


def test_a_call_rejected_after_it_was_stored_is_off_the_disk_before_its_name_is_free(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk(prefixes=("delete",))
        script_store(fleet, disk)
        submit = fleet.front.dispatcher.submit

        def reject(call: CallArrived, on_final: Callable[[Final], None], *more: Any) -> None:
            on_final(Rejected("no room"))

        fleet.front.dispatcher.submit = reject  # type: ignore[method-assign]
        calls = DeferredClient(fleet)
        rejected = calls.start("reserve", b"1", "order")
        assert rejected.status == 500
        assert b"may run: ask again as order" in rejected.body
        fleet.front.dispatcher.submit = submit  # type: ignore[method-assign]
        assert calls.start("reserve", b"1", "order").status == 500  # a start now would find the first one
        disk.is_broken = False
        fleet.until(lambda: not fleet.front.deferred.open_calls)
        assert not calls.list("reserve")["DurableExecutions"]
        accepted = calls.start("reserve", b"1", "order")
        assert calls.wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_a_result_that_cannot_be_written_is_pending_and_written_within_two_seconds_of_the_fault_s_end(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def before() -> str:
        disk = FailingDisk(prefixes=("update executions set intended=?",))
        script_store(first, disk)
        arn = str(DeferredClient(first).start("reserve", b"1", "order").headers[ARN_HEADER])
        first.until(lambda: first.front.deferred.open_calls.pending_writes == 1)
        first.loop.sleep(9 * SECOND)
        assert first.front.deferred.open_calls.pending_writes == 1
        disk.is_broken, ended = False, first.loop.now()
        first.until(lambda: first.front.deferred.open_calls.pending_writes == 0)
        assert first.loop.now() - ended < 2 * SECOND
        assert first.runs("reserve") == 1
        return arn

    arn = first.run(before)
    second = Fleet(tmp_path)

    def after() -> None:
        assert DeferredClient(second).get(arn)["Status"] == "SUCCEEDED"
        assert second.runs("reserve") == 0

    second.run(after)


def test_schedules_fire_once_each_while_the_disk_fails_now_and_then(tmp_path: Path) -> None:
    """The store's commits, and the file of the newest due time beside it."""
    f = fleet_with_schedules(tmp_path, look={})

    def script() -> None:
        count = 0

        def now_and_then(statement: str) -> Fault | None:
            nonlocal count
            count += statement == "commit"
            return Fault.ROLLED_BACK if statement == "commit" and count % 3 else None

        disk = script_store(f, now_and_then)
        files.fails = {"write": 2, "fsync": 2, "rename": 1}
        f.loop.sleep(4 * MINUTE + MINUTE // 2)
        assert disk.failures > 8
        assert not any(files.fails.values())

    with scripted_files() as files:
        f.run(script)
    outcomes = read_outcomes(tmp_path)
    assert f.runs("price") == len(outcomes) >= 4
    assert statuses(outcomes) == {"SUCCEEDED"}
    newest = int((tmp_path / "calls.db.seen").read_text().split()[0])
    assert newest // MINUTE == outcomes[-1].due_minute


def test_a_store_that_fails_one_time_in_ten_rejects_nothing_and_loses_nothing(tmp_path: Path) -> None:
    """Ten in a hundred writes fail; a call's commit has some eight of them."""
    random, fleet = Random(3), Fleet(tmp_path)

    def script() -> None:
        script_store(fleet, lambda s: Fault.ROLLED_BACK if s == "commit" and random.random() < 0.57 else None)
        calls = DeferredClient(fleet)
        answers = [calls.start("price", b"%d" % n, f"n{n}") for n in range(60)]
        assert [a.status for a in answers] == [202] * 60
        assert {calls.wait_for_end(a.headers[ARN_HEADER])["Status"] for a in answers} == {"SUCCEEDED"}

    fleet.run(script)


def test_what_cannot_be_read_now_is_a_500_and_there_once_it_can(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        arn = calls.start("price", b"1", "order").headers[ARN_HEADER]
        assert calls.wait_for_end(arn)["Status"] == "SUCCEEDED"
        fleet.until(lambda: not fleet.front.deferred.open_calls)
        disk = FailingDisk(prefixes=("select",))
        script_store(fleet, disk)
        assert calls.get(arn)["Status"] == "500"
        assert calls.start("price", b"1", "order").status == 500
        listed = fleet.ask("GET", "/2025-12-01/functions/price/durable-executions?")
        assert (listed.status, listed.headers["x-amzn-errortype"]) == (500, "ServiceException")
        disk.is_broken = False
        assert calls.get(arn)["Status"] == "SUCCEEDED"
        assert calls.start("price", b"1", "order").headers[ARN_HEADER] == arn
        assert fleet.runs("price") == 1

    fleet.run(script)
