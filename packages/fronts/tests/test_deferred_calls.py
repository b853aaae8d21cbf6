"""End-to-end tests of deferred calls, from the client through the front end and store to the workers."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path
from urllib.parse import quote

import pytest

from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.fronts.harness import ARN_HEADER, DeferredClient, crash_at_commit


def test_same_name_is_one_execution_and_another_payload_is_a_conflict(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        tasks = [fleet.loop.spawn(calls.start, "reserve", b"7", "order") for _ in range(2)]
        arns = {task.join().headers[ARN_HEADER] for task in tasks}
        assert len(arns) == 1
        assert (
            calls.start("reserve", b"8", "order")
            .headers["x-amzn-errortype"]
            .startswith("DurableExecutionAlready")
        )
        execution = calls.wait_for_end(arns.pop())
        assert execution["Status"] == "SUCCEEDED"
        assert json.loads(execution["Result"])["payload"] == 7
        assert calls.start("reserve", b"7", "order").status == 202
        assert calls.start("reserve", b"8", "order").status == 409
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_executions_can_be_paged_filtered_by_status_and_stopped(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 900}}}})

    def script() -> None:
        calls = DeferredClient(fleet)
        arns = []
        for number in range(5):
            arns.append(calls.start("price", b"1", f"n{number}").headers[ARN_HEADER])
            fleet.loop.sleep(1000)
        stop = fleet.ask("POST", f"/2025-12-01/durable-executions/{quote(arns[0], safe='')}/stop", b"{}")
        assert stop.status == 200
        assert [calls.wait_for_end(arn)["Status"] for arn in arns] == ["STOPPED"] + ["SUCCEEDED"] * 4
        first = calls.list("price", "MaxItems=3")
        rest = calls.list("price", f"MaxItems=3&Marker={first['NextMarker']}")
        listed_arns = [
            execution["DurableExecutionArn"]
            for execution in first["DurableExecutions"] + rest["DurableExecutions"]
        ]
        assert listed_arns == arns
        assert "NextMarker" not in rest
        assert len(calls.list("price", "Statuses=STOPPED")["DurableExecutions"]) == 1
        names = [
            execution["DurableExecutionName"]
            for execution in calls.list("price", "ReverseOrder=true")["DurableExecutions"]
        ]
        assert names == ["n4", "n3", "n2", "n1", "n0"]
        assert calls.get(arns[0].replace("price", "reserve"))["Status"] == "404"

    fleet.run(script)


def test_call_rejected_by_a_failing_store_never_runs(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        arn = calls.start("reserve", b"1", "before").headers[ARN_HEADER]
        calls.wait_for_end(arn)
        store = fleet.front.deferred._store
        blocker = sqlite3.connect(tmp_path / "calls.db", isolation_level=None, check_same_thread=False)
        blocker.execute("begin exclusive")
        locked = calls.start("reserve", b"2", "locked")
        assert (locked.status, locked.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert fleet.invoke("price").status == 200  # synchronous calls do not use the store
        blocker.execute("rollback")
        pages = store._db.execute("pragma page_count").fetchone()[0]
        store._db.execute(f"pragma max_page_count={pages}")
        full = calls.start("reserve", b'"%b"' % (b"x" * 200_000), "full")
        assert (full.status, full.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert full.headers["retry-after"]
        store._db.execute("pragma max_page_count=1000000")
        assert len(calls.list("reserve")["DurableExecutions"]) == 1
        assert (
            calls.wait_for_end(calls.start("reserve", b"3", "full").headers[ARN_HEADER])["Status"]
            == "SUCCEEDED"
        )
        blocker.close()

    fleet.run(script)
    assert fleet.runs("reserve") == 2


@pytest.mark.parametrize("is_durable", [False, True])
def test_after_a_crash_at_any_commit_accepted_calls_end_and_unsafe_ones_never_run_twice(
    tmp_path: Path, is_durable: bool
) -> None:
    max_commit_count = 0
    for crash_commit_number in range(1, 12):
        path = tmp_path / f"{crash_commit_number}"
        path.mkdir()
        first = Fleet(path)
        accepted: list[str] = []

        def run_until_crash(
            fleet: Fleet = first,
            crash_commit_number: int = crash_commit_number,
            accepted: list[str] = accepted,
        ) -> int:
            commit_count = crash_at_commit(fleet, crash_commit_number, is_durable)
            calls = DeferredClient(fleet)
            for number, function in enumerate(["reserve", "price", "reserve"]):
                response = calls.start(function, str(number).encode(), f"n{number}")
                if commit_count() >= crash_commit_number:
                    break
                accepted.append(response.headers[ARN_HEADER])
                fleet.loop.sleep(SECOND // 2 if number else 0)
                if commit_count() >= crash_commit_number:
                    break
            return commit_count()

        max_commit_count = max(max_commit_count, first.run(run_until_crash))
        second = Fleet(path)

        def check_after_restart(fleet: Fleet = second, accepted: list[str] = accepted) -> None:
            calls = DeferredClient(fleet)
            for arn in accepted:
                execution = calls.wait_for_end(arn)
                assert execution["Status"] in ("SUCCEEDED", "FAILED", "TIMED_OUT"), execution
                if "price" in arn:
                    assert execution["Status"] == "SUCCEEDED"
            fleet.loop.sleep(5 * SECOND)
            assert not calls.list("reserve", "Statuses=RUNNING")["DurableExecutions"]

        second.run(check_after_restart)
        assert first.runs("reserve") + second.runs("reserve") <= 2
    assert max_commit_count >= 6  # the crashes covered each commit of the three calls
