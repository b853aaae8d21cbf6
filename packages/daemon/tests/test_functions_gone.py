"""Deferred calls whose function is changed or removed, before and after they are on disk."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from walnutpost.config import Config
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.gateway import Execution, Function
from walnutpost.http import Response
from walnutpost.interface import ListKind
from walnutpost.journal import CallStage
from walnutpost.store import Change, read_history
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet
from walnutpost.testsupport.daemon.front_end_calls import EVENT, describe_execution, kill_front_end
from walnutpost.testsupport.daemon.replicated_sites import RUN, Sites


def mutable_functions(front: FrontEnd) -> dict[str, Function]:
    """Return the front end's functions, to be changed while it runs."""
    functions = front.catalogue.functions
    assert isinstance(functions, dict)
    return functions


def test_open_deferred_call_when_its_function_is_removed_still_runs(tmp_path: Path) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        response = f.invoke("reserve", x_amz_invocation_type=EVENT)
        f.until(lambda: f.runs("reserve") == 1)
        del mutable_functions(f.front)["reserve"]
        assert f.invoke("reserve", x_amz_invocation_type=EVENT).status == 404
        assert f.invoke("reserve").status == 404
        assert describe_execution(f, response)["Status"] == "RUNNING"
        f.until(lambda: describe_execution(f, response)["Status"] == "SUCCEEDED")
        assert f.runs("reserve") == 1

    f.run(script)


@pytest.mark.parametrize("is_removed", [True, False])
def test_call_being_stored_when_its_function_changes_runs_the_former_one(
    tmp_path: Path, is_removed: bool
) -> None:
    """A call runs and is answered as the version under which it was accepted."""
    f = Fleet(tmp_path)

    def script() -> None:
        functions_by_name, add_execution = mutable_functions(f.front), f.front.store.add

        def add_then_change(execution: Execution, extra_change: Change | None = None) -> None:
            add_execution(execution, extra_change)
            if is_removed:
                del functions_by_name["price"]
            else:
                functions_by_name["price"] = replace(functions_by_name["price"], class_index=1, version="2")

        f.front.store.add = add_then_change  # type: ignore[method-assign]
        response = f.invoke("price", x_amz_invocation_type=EVENT)
        assert response.status == 202
        assert response.headers["x-amz-executed-version"] == "1"
        f.until(lambda: describe_execution(f, response)["Status"] == "SUCCEEDED")
        assert describe_execution(f, response)["Version"] == "1"
        assert f.runs("price") == 1

    f.run(script)


def kill_with_open_call(f: Fleet, function: str, is_sent: bool) -> Response:
    """Defer a call and kill the front end before or after the call's first byte is sent."""
    if not is_sent:
        f.front.endpoint_lists.set_configured(ListKind.CACHED, 1, [])
    response = f.invoke(function, x_amz_invocation_type=EVENT)
    assert response.status == 202
    if is_sent:
        f.until(lambda: f.runs(function) == 1)
    else:
        f.loop.sleep(100_000)
    kill_front_end(f)
    return response


def without_function(function: str) -> Callable[[Config], Config]:
    def change(config: Config) -> Config:
        lines = {name: line for name, line in config.site.functions.items() if name != function}
        return config.model_copy(update={"site": config.site.model_copy(update={"functions": lines})})

    return change


@pytest.mark.parametrize(
    ("function", "is_sent", "reason"),
    [
        ("reserve", True, "may have been running"),
        ("reserve", False, "no longer configured"),
        ("price", True, "no longer configured"),
    ],
)
def test_restart_without_the_function_gives_its_calls_their_final_status(
    tmp_path: Path, function: str, is_sent: bool, reason: str
) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {function: {"work_ms": 2000}}}})

    def script() -> None:
        response = kill_with_open_call(f, function, is_sent)
        f.front_config = without_function(function)(f.front_config)
        f.front = f.start_front()
        f.until(lambda: f.front.deferred.open_calls.pending_writes == 0)
        description = describe_execution(f, response)
        assert description["Status"] == "FAILED"
        assert reason in description["Error"]["ErrorMessage"]
        f.loop.sleep(3 * SECOND)
        assert f.runs(function) == int(is_sent)

    f.run(script)


def test_sent_unsafe_call_after_a_restart_is_not_run_again_though_its_function_is_safe_now(
    tmp_path: Path,
) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        response = kill_with_open_call(f, "reserve", True)
        line = f.front_config.site.functions["reserve"].model_copy(update={"class_": "valuation"})
        lines = f.front_config.site.functions | {"reserve": line}
        site = f.front_config.site.model_copy(update={"functions": lines})
        f.front_config = f.front_config.model_copy(update={"site": site})
        f.front = f.start_front()
        f.until(lambda: f.front.deferred.open_calls.pending_writes == 0)
        assert "may have been running" in describe_execution(f, response)["Error"]["ErrorMessage"]
        f.loop.sleep(3 * SECOND)
        assert f.runs("reserve") == 1

    f.run(script)


def test_result_of_a_removed_function_s_call_is_replicated_too(tmp_path: Path) -> None:
    """Its class is unknown: its result is replicated as the strictest class requires."""
    sites = Sites(tmp_path, copies=1)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        front = sites.fronts.pop("a1")
        front.shutdown_timeout_us = 0
        front.stop()
        front.close()
        sites.front_config = without_function(RUN)(sites.front_config)
        sites.start("a1")
        sites.until(lambda: sites.fronts["a1"].deferred.open_calls.pending_writes == 0)
        sites.loop.sleep(SECOND)
        call = sites.find_call(sites.merged_journal("a1", "b1", "c1"), "one")
        assert call.stage is CallStage.ENDED
        assert call.ended is not None
        assert call.ended.status == "FAILED"

    sites.play(script)


def test_schedule_when_its_function_is_removed_fires_again_once_it_is_back(tmp_path: Path) -> None:
    lines = {"every-minute": {"cron": "* * * * *", "function": "price", "deadline_ms": 20_000}}
    f = Fleet(tmp_path, {"schedules": lines})

    def script() -> None:
        functions_by_name = mutable_functions(f.front)
        price = functions_by_name.pop("price")
        f.loop.sleep(150 * SECOND)
        assert f.runs("price") == 0
        functions_by_name["price"] = price
        f.loop.sleep(60 * SECOND)
        assert f.runs("price") >= 1

    f.run(script)
    statuses = [row.status for row in read_history(tmp_path / "calls.db", None, 100)]
    assert statuses.count("REFUSED") >= 1
    assert statuses.count("SUCCEEDED") == f.runs("price")
