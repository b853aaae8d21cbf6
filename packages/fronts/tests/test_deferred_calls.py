"""Deferred calls on a complete path: client, front end, store, workers."""

from __future__ import annotations

import json
import sqlite3
from pathlib import Path
from urllib.parse import quote

import pytest

from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.fronts.harness import ARN_HEADER, DeferredClient, crash_at_commit


def test_a_name_is_one_execution_and_another_payload_is_a_conflict(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        both = [fleet.loop.spawn(calls.start, "reserve", b"7", "order") for _ in range(2)]
        arns = {task.join().headers[ARN_HEADER] for task in both}
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


def test_executions_are_listed_by_page_and_status_and_can_be_stopped(tmp_path: Path) -> None:
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
        found = [e["DurableExecutionArn"] for e in first["DurableExecutions"] + rest["DurableExecutions"]]
        assert found == arns
        assert "NextMarker" not in rest
        assert len(calls.list("price", "Statuses=STOPPED")["DurableExecutions"]) == 1
        names = [
            e["DurableExecutionName"] for e in calls.list("price", "ReverseOrder=true")["DurableExecutions"]
        ]
        assert names == ["n4", "n3", "n2", "n1", "n0"]
        assert calls.get(arns[0].replace("price", "reserve"))["Status"] == "404"

    fleet.run(script)


def test_a_call_that_a_failing_store_rejects_never_runs(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path)

    def script() -> None:
        calls = DeferredClient(fleet)
        stored = calls.start("reserve", b"1", "before").headers[ARN_HEADER]
        calls.wait_for_end(stored)
        store = fleet.front.deferred._store
        other = sqlite3.connect(tmp_path / "calls.db", isolation_level=None, check_same_thread=False)
        other.execute("begin exclusive")
        locked = calls.start("reserve", b"2", "locked")
        assert (locked.status, locked.headers["x-amzn-errortype"]) == (500, "ServiceException")
        assert fleet.invoke("price").status == 200  # synchronous calls need no disk
        other.execute("rollback")
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
        other.close()

    fleet.run(script)
    assert fleet.runs("reserve") == 2


@pytest.mark.parametrize("durable", [False, True])
def test_after_a_crash_at_any_commit_every_accepted_call_ends_and_nothing_runs_twice(
    tmp_path: Path, durable: bool
) -> None:
    commits = 0
    for at in range(1, 12):
        path = tmp_path / f"{at}"
        path.mkdir()
        first = Fleet(path)
        accepted: list[str] = []

        def before(fleet: Fleet = first, at: int = at, accepted: list[str] = accepted) -> int:
            reached = crash_at_commit(fleet, at, durable)
            calls = DeferredClient(fleet)
            for number, function in enumerate(["reserve", "price", "reserve"]):
                answer = calls.start(function, str(number).encode(), f"n{number}")
                if reached() >= at:
                    break
                accepted.append(answer.headers[ARN_HEADER])
                fleet.loop.sleep(SECOND // 2 if number else 0)
                if reached() >= at:
                    break
            return reached()

        commits = max(commits, first.run(before))
        second = Fleet(path)

        def after(fleet: Fleet = second, accepted: list[str] = accepted) -> None:
            calls = DeferredClient(fleet)
            for arn in accepted:
                execution = calls.wait_for_end(arn)
                assert execution["Status"] in ("SUCCEEDED", "FAILED", "TIMED_OUT"), execution
                if "price" in arn:
                    assert execution["Status"] == "SUCCEEDED"
            fleet.loop.sleep(5 * SECOND)
            assert not calls.list("reserve", "Statuses=RUNNING")["DurableExecutions"]

        second.run(after)
        assert first.runs("reserve") + second.runs("reserve") <= 2
    assert commits >= 6  # every commit of the three calls was crashed at
