"""Deferred calls whose function is changed or removed before or after the call is on disk."""

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
from walnutpost.testsupport.daemon.replicated_sites import UNSAFE_FUNCTION, ReplicatedSites


def mutable_functions(front: FrontEnd) -> dict[str, Function]:
    """Return the front end's functions as a dict that the test can change while it runs."""
    functions = front.catalogue.functions
    assert isinstance(functions, dict)
    return functions


def test_open_deferred_call_still_runs_after_its_function_is_removed(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        response = fleet.invoke("reserve", x_amz_invocation_type=EVENT)
        fleet.wait_until(lambda: fleet.runs("reserve") == 1)
        del mutable_functions(fleet.front)["reserve"]
        assert fleet.invoke("reserve", x_amz_invocation_type=EVENT).status == 404
        assert fleet.invoke("reserve").status == 404
        assert describe_execution(fleet, response)["Status"] == "RUNNING"
        fleet.wait_until(lambda: describe_execution(fleet, response)["Status"] == "SUCCEEDED")
        assert fleet.runs("reserve") == 1

    fleet.run(script)


@pytest.mark.parametrize("is_removed", [True, False])
def test_function_change_while_a_call_is_stored_does_not_affect_that_call(
    tmp_path: Path, is_removed: bool
) -> None:
    """A call runs and is answered with the function version at which it was accepted."""
    fleet = Fleet(tmp_path)

    def script() -> None:
        functions_by_name, add_execution = mutable_functions(fleet.front), fleet.front.store.add

        def add_then_change(execution: Execution, extra_change: Change | None = None) -> None:
            add_execution(execution, extra_change)
            if is_removed:
                del functions_by_name["price"]
            else:
                functions_by_name["price"] = replace(functions_by_name["price"], class_index=1, version="2")

        fleet.front.store.add = add_then_change  # type: ignore[method-assign]
        response = fleet.invoke("price", x_amz_invocation_type=EVENT)
        assert response.status == 202
        assert response.headers["x-amz-executed-version"] == "1"
        fleet.wait_until(lambda: describe_execution(fleet, response)["Status"] == "SUCCEEDED")
        assert describe_execution(fleet, response)["Version"] == "1"
        assert fleet.runs("price") == 1

    fleet.run(script)


def kill_with_open_call(fleet: Fleet, function: str, is_sent: bool) -> Response:
    """Send a deferred call; kill the front end before or after it sends the call's first byte to a worker."""
    if not is_sent:
        fleet.front.endpoint_lists.set_configured(ListKind.CACHED, 1, [])
    response = fleet.invoke(function, x_amz_invocation_type=EVENT)
    assert response.status == 202
    if is_sent:
        fleet.wait_until(lambda: fleet.runs(function) == 1)
    else:
        fleet.loop.sleep(100_000)
    kill_front_end(fleet)
    return response


def without_function(function: str) -> Callable[[Config], Config]:
    def remove_function(config: Config) -> Config:
        functions = {name: settings for name, settings in config.site.functions.items() if name != function}
        return config.model_copy(update={"site": config.site.model_copy(update={"functions": functions})})

    return remove_function


@pytest.mark.parametrize(
    ("function", "is_sent", "reason"),
    [
        ("reserve", True, "may have been running"),
        ("reserve", False, "no longer configured"),
        ("price", True, "no longer configured"),
    ],
)
def test_restart_without_a_function_fails_its_open_calls(
    tmp_path: Path, function: str, is_sent: bool, reason: str
) -> None:
    fleet = Fleet(tmp_path, {"fleet": {"work": {function: {"work_ms": 2000}}}})

    def script() -> None:
        response = kill_with_open_call(fleet, function, is_sent)
        fleet.front_config = without_function(function)(fleet.front_config)
        fleet.front = fleet.start_front()
        fleet.wait_until(lambda: fleet.front.deferred.open_calls.pending_writes == 0)
        description = describe_execution(fleet, response)
        assert description["Status"] == "FAILED"
        assert reason in description["Error"]["ErrorMessage"]
        fleet.loop.sleep(3 * SECOND)
        assert fleet.runs(function) == int(is_sent)

    fleet.run(script)


def test_sent_unsafe_call_is_not_run_again_after_its_function_becomes_safe(
    tmp_path: Path,
) -> None:
    fleet = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        response = kill_with_open_call(fleet, "reserve", True)
        settings = fleet.front_config.site.functions["reserve"].model_copy(update={"class_": "valuation"})
        functions = fleet.front_config.site.functions | {"reserve": settings}
        site = fleet.front_config.site.model_copy(update={"functions": functions})
        fleet.front_config = fleet.front_config.model_copy(update={"site": site})
        fleet.front = fleet.start_front()
        fleet.wait_until(lambda: fleet.front.deferred.open_calls.pending_writes == 0)
        assert "may have been running" in describe_execution(fleet, response)["Error"]["ErrorMessage"]
        fleet.loop.sleep(3 * SECOND)
        assert fleet.runs("reserve") == 1

    fleet.run(script)


def test_result_of_a_call_to_a_removed_function_is_replicated(tmp_path: Path) -> None:
    """The class of the call is unknown, so its result is replicated as the strictest class requires."""
    sites = ReplicatedSites(tmp_path, copies=1)

    def script() -> None:
        assert sites.defer("a1", UNSAFE_FUNCTION, "one").status == 202
        front = sites.fronts.pop("a1")
        front.shutdown_timeout_us = 0
        front.stop()
        front.close()
        sites.front_config = without_function(UNSAFE_FUNCTION)(sites.front_config)
        sites.start_site("a1")
        sites.wait_until(lambda: sites.fronts["a1"].deferred.open_calls.pending_writes == 0)
        sites.loop.sleep(SECOND)
        call = sites.find_call(sites.merged_journal("a1", "b1", "c1"), "one")
        assert call.stage is CallStage.ENDED
        assert call.ended is not None
        assert call.ended.status == "FAILED"

    sites.run_script(script)


def test_schedule_fires_again_after_its_removed_function_is_restored(tmp_path: Path) -> None:
    schedules = {"every-minute": {"cron": "* * * * *", "function": "price", "deadline_ms": 20_000}}
    fleet = Fleet(tmp_path, {"schedules": schedules})

    def script() -> None:
        functions_by_name = mutable_functions(fleet.front)
        price = functions_by_name.pop("price")
        fleet.loop.sleep(150 * SECOND)
        assert fleet.runs("price") == 0
        functions_by_name["price"] = price
        fleet.loop.sleep(60 * SECOND)
        assert fleet.runs("price") >= 1

    fleet.run(script)
    statuses = [row.status for row in read_history(tmp_path / "calls.db", None, 100)]
    assert statuses.count("REFUSED") >= 1
    assert statuses.count("SUCCEEDED") == fleet.runs("price")
