"""Tests of temporary store failures: a call is accepted before its deadline or gets a 500, and runs once."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest

from walnutpost.gateway import CallArrived, FinalAnswer, Rejected
from walnutpost.http import Response
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.fronts.harness import (
    ARN_HEADER,
    MINUTE_US,
    DeferredClient,
    distinct_statuses,
    fleet_with_schedules,
    read_outcomes,
)
from walnutpost.testsupport.store.disk_faults import (
    Fault,
    Script,
    ScriptedConnection,
    after_a_kill,
    failing,
    scripted_files,
)


def install_store_script(fleet: Fleet, script: Script) -> ScriptedConnection:
    return ScriptedConnection(fleet.front.deferred._store, fleet.path / "calls.db", script)


def defer(fleet: Fleet, attempt: int = 1) -> Response:
    """Defer a call as an SDK does, whose automatic retries repeat the invocation id of the first attempt."""
    headers = {"amz_sdk_invocation_id": "id-1", "amz_sdk_request": f"attempt={attempt}; max=5"}
    return fleet.invoke("reserve", b"7", x_amz_invocation_type="Event", **headers)


class FailingDisk:
    """A store script: statements that start with one of `prefixes` fail while `is_broken` is true."""

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
def test_deferred_call_is_accepted_and_runs_once_if_its_commit_fails_at_first(
    tmp_path: Path, fault: Fault
) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        disk = install_store_script(fleet, failing(3, fault))
        response = calls.start("reserve", b"1", "order")
        assert response.status == 202
        assert disk.failures == 3
        assert calls.wait_for_end(response.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_call_that_cannot_be_stored_gets_a_500_and_sdk_retries_are_the_same_call(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk()
        install_store_script(fleet, disk)
        rejected = defer(fleet)
        assert (rejected.status, rejected.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert rejected.headers["retry-after"]
        disk.is_broken = False
        accepted, repeated = defer(fleet, 2), defer(fleet, 3)
        assert accepted.status == repeated.status == 202
        assert accepted.headers[ARN_HEADER] == repeated.headers[ARN_HEADER]
        assert DeferredClient(fleet).wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_retry_joins_a_call_whose_commit_is_being_retried(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk()
        connection = install_store_script(fleet, disk)
        first = fleet.loop.spawn(defer, fleet)
        fleet.wait_until(lambda: connection.failures > 1)
        second = fleet.loop.spawn(defer, fleet, 2)
        fleet.loop.sleep(SECOND // 5)
        disk.is_broken = False
        responses = [first.join(), second.join()]
        assert [response.status for response in responses] == [202, 202]
        assert responses[0].headers[ARN_HEADER] == responses[1].headers[ARN_HEADER]
        DeferredClient(fleet).wait_for_end(responses[0].headers[ARN_HEADER])
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_call_that_may_be_on_disk_is_reported_so_and_its_retry_after_a_kill_is_the_same_call(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def run_first() -> None:
        calls = DeferredClient(first)
        # Make a first call, so that the write-ahead log is not empty.
        calls.wait_for_end(calls.start("price", b"0", "warm").headers[ARN_HEADER])
        install_store_script(first, FailingDisk(Fault.REACHED_DISK))
        rejected = defer(first)
        assert rejected.status == 500
        assert b"may run: ask again as sdk-id-1" in rejected.body
        assert first.runs("reserve") == 0
        after_a_kill(tmp_path / "calls.db")

    first.run(run_first)
    second = Fleet(tmp_path / "after the kill")

    def check_after_restart() -> None:
        second.wait_until(lambda: second.runs("reserve") == 1)  # the call was found at startup
        accepted = defer(second, 2)
        assert accepted.status == 202
        assert DeferredClient(second).wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert second.runs("reserve") == 1

    second.run(check_after_restart)


def test_call_rejected_after_storing_is_deleted_before_its_name_is_free(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        disk = FailingDisk(prefixes=("delete",))
        install_store_script(fleet, disk)
        submit = fleet.front.dispatcher.submit

        def reject(call: CallArrived, on_final: Callable[[FinalAnswer], None], *args: Any) -> None:
            on_final(Rejected("no room"))

        fleet.front.dispatcher.submit = reject  # type: ignore[method-assign]
        calls = DeferredClient(fleet)
        rejected = calls.start("reserve", b"1", "order")
        assert rejected.status == 500
        assert b"may run: ask again as order" in rejected.body
        fleet.front.dispatcher.submit = submit  # type: ignore[method-assign]
        assert calls.start("reserve", b"1", "order").status == 500  # the name still belongs to the first call
        disk.is_broken = False
        fleet.wait_until(lambda: not fleet.front.deferred.open_calls)
        assert not calls.list("reserve")["DurableExecutions"]
        accepted = calls.start("reserve", b"1", "order")
        assert calls.wait_for_end(accepted.headers[ARN_HEADER])["Status"] == "SUCCEEDED"
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_result_that_cannot_be_written_stays_pending_and_is_written_within_two_seconds_of_the_repair(
    tmp_path: Path,
) -> None:
    first = Fleet(tmp_path)

    def run_first() -> str:
        disk = FailingDisk(prefixes=("update executions set intended=?",))
        install_store_script(first, disk)
        arn = str(DeferredClient(first).start("reserve", b"1", "order").headers[ARN_HEADER])
        first.wait_until(lambda: first.front.deferred.open_calls.pending_writes == 1)
        first.loop.sleep(9 * SECOND)
        assert first.front.deferred.open_calls.pending_writes == 1
        disk.is_broken, repaired_at_us = False, first.loop.now()
        first.wait_until(lambda: first.front.deferred.open_calls.pending_writes == 0)
        assert first.loop.now() - repaired_at_us < 2 * SECOND
        assert first.runs("reserve") == 1
        return arn

    arn = first.run(run_first)
    second = Fleet(tmp_path)

    def check_after_restart() -> None:
        assert DeferredClient(second).get(arn)["Status"] == "SUCCEEDED"
        assert second.runs("reserve") == 0

    second.run(check_after_restart)


def test_schedule_fires_each_due_time_once_while_writes_fail_intermittently(tmp_path: Path) -> None:
    """Both the commits of the store and the writes of the newest due time to its own file fail."""
    fleet = fleet_with_schedules(tmp_path, look={})

    def script() -> None:
        count = 0

        def fail_two_of_three_commits(statement: str) -> Fault | None:
            nonlocal count
            count += statement == "commit"
            return Fault.ROLLED_BACK if statement == "commit" and count % 3 else None

        disk = install_store_script(fleet, fail_two_of_three_commits)
        files.fails = {"write": 2, "fsync": 2, "rename": 1}
        fleet.loop.sleep(4 * MINUTE_US + MINUTE_US // 2)
        assert disk.failures > 8
        assert not any(files.fails.values())

    with scripted_files() as files:
        fleet.run(script)
    outcomes = read_outcomes(tmp_path)
    assert fleet.runs("price") == len(outcomes) >= 4
    assert distinct_statuses(outcomes) == {"SUCCEEDED"}
    newest_due_us = int((tmp_path / "calls.db.seen").read_text().split()[0])
    assert newest_due_us // MINUTE_US == outcomes[-1].due_minute


def test_store_that_fails_one_write_in_ten_rejects_and_loses_no_call(tmp_path: Path) -> None:
    """The commit of a call makes about eight writes. If ten in a hundred writes fail, 57% of commits fail."""
    rng, fleet = Random(3), Fleet(tmp_path)

    def script() -> None:
        install_store_script(
            fleet,
            lambda statement: Fault.ROLLED_BACK if statement == "commit" and rng.random() < 0.57 else None,
        )
        calls = DeferredClient(fleet)
        responses = [calls.start("price", b"%d" % n, f"n{n}") for n in range(60)]
        assert [response.status for response in responses] == [202] * 60
        assert {calls.wait_for_end(response.headers[ARN_HEADER])["Status"] for response in responses} == {
            "SUCCEEDED"
        }

    fleet.run(script)


def test_failed_reads_get_a_500_and_succeed_once_the_disk_recovers(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        arn = calls.start("price", b"1", "order").headers[ARN_HEADER]
        assert calls.wait_for_end(arn)["Status"] == "SUCCEEDED"
        fleet.wait_until(lambda: not fleet.front.deferred.open_calls)
        disk = FailingDisk(prefixes=("select",))
        install_store_script(fleet, disk)
        assert calls.get(arn)["Status"] == "500"
        assert calls.start("price", b"1", "order").status == 500
        listing = fleet.ask("GET", "/2025-12-01/functions/price/durable-executions?")
        assert (listing.status, listing.headers["x-amzn-errortype"]) == (500, "ServiceException")
        disk.is_broken = False
        assert calls.get(arn)["Status"] == "SUCCEEDED"
        assert calls.start("price", b"1", "order").headers[ARN_HEADER] == arn
        assert fleet.runs("price") == 1

    fleet.run(script)
