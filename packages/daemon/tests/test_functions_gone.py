"""Deferred calls whose function is changed or configured no more, before and after they are on disk."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from fleet_rig import SECOND, Fleet
from test_journal_replication import RUN, Sites
from walnutpost.config import Config
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.gateway import Execution, Function
from walnutpost.http import Response
from walnutpost.journal import CallStage
from walnutpost.store import Change, read_history

EVENT = "Event"
ARN = "x-amz-durable-execution-arn"


def functions(front: FrontEnd) -> dict[str, Function]:
    """Those of the front end, to be changed while it runs."""
    told = front.catalogue.functions
    assert isinstance(told, dict)
    return told


def fate(f: Fleet, deferred: Response) -> dict[str, Any]:
    arn = deferred.headers[ARN].replace(":", "%3A").replace("/", "%2F")
    told: dict[str, Any] = json.loads(f.ask("GET", f"/2025-12-01/durable-executions/{arn}").body)
    return told


def killed(f: Fleet) -> None:
    """The front end ends with what it had open, as a process does that is killed."""
    front = f.front_config.front.model_copy(update={"shutdown_timeout_ms": 0})
    f.front._config = f.front._config.model_copy(update={"front": front})
    f.front.stop()
    f.front.close()


def test_open_deferred_call_when_its_function_is_removed_still_runs(tmp_path: Path) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        told = f.invoke("reserve", x_amz_invocation_type=EVENT)
        f.until(lambda: f.runs("reserve") == 1)
        del functions(f.front)["reserve"]
        assert f.invoke("reserve", x_amz_invocation_type=EVENT).status == 404
        assert f.invoke("reserve").status == 404
        assert fate(f, told)["Status"] == "RUNNING"
        f.until(lambda: fate(f, told)["Status"] == "SUCCEEDED")
        assert f.runs("reserve") == 1

    f.run(script)


@pytest.mark.parametrize("gone", [True, False])
def test_call_being_stored_when_its_function_changes_runs_the_former_one(tmp_path: Path, gone: bool) -> None:
    """It is accepted under one version: it runs, and is answered, as that."""
    f = Fleet(tmp_path)

    def script() -> None:
        known, add = functions(f.front), f.front._store.add

        def slow(execution: Execution, also: Change | None = None) -> None:
            add(execution, also)
            if gone:
                del known["price"]
            else:
                known["price"] = replace(known["price"], class_index=1, version="2")

        f.front._store.add = slow  # type: ignore[method-assign]
        told = f.invoke("price", x_amz_invocation_type=EVENT)
        assert told.status == 202 and told.headers["x-amz-executed-version"] == "1"
        f.until(lambda: fate(f, told)["Status"] == "SUCCEEDED")
        assert fate(f, told)["Version"] == "1" and f.runs("price") == 1

    f.run(script)


def left_open(f: Fleet, function: str, sent: bool) -> Response:
    """A deferred call that the process is killed with, before or after its first byte left."""
    if not sent:
        f.front.endpoint_lists.set_configured(f.front.endpoint_lists._configured[0], 1, [])  # type: ignore[index]
    told = f.invoke(function, x_amz_invocation_type=EVENT)
    assert told.status == 202
    if sent:
        f.until(lambda: f.runs(function) == 1)
    else:
        f.loop.sleep(100_000)
    killed(f)
    return told


def without(function: str) -> Callable[[Config], Config]:
    def change(config: Config) -> Config:
        lines = {name: line for name, line in config.site.functions.items() if name != function}
        return config.model_copy(update={"site": config.site.model_copy(update={"functions": lines})})

    return change


@pytest.mark.parametrize(
    ("function", "sent", "why"),
    [
        ("reserve", True, "may have been running"),
        ("reserve", False, "no longer configured"),
        ("price", True, "no longer configured"),
    ],
)
def test_restart_without_the_function_gives_its_calls_their_final_status(
    tmp_path: Path, function: str, sent: bool, why: str
) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {function: {"work_ms": 2000}}}})

    def script() -> None:
        told = left_open(f, function, sent)
        f.front_config = without(function)(f.front_config)
        f.front = f.start_front()
        f.until(lambda: f.front.deferred.pending_writes == 0)
        said = fate(f, told)
        assert said["Status"] == "FAILED" and why in said["Error"]["ErrorMessage"]
        f.loop.sleep(3 * SECOND)
        assert f.runs(function) == int(sent)

    f.run(script)


def test_sent_unsafe_call_after_a_restart_is_not_run_again_though_its_function_is_safe_now(
    tmp_path: Path,
) -> None:
    f = Fleet(tmp_path, {"fleet": {"work": {"reserve": {"work_ms": 1000}}}})

    def script() -> None:
        told = left_open(f, "reserve", True)
        line = f.front_config.site.functions["reserve"].model_copy(update={"class_": "valuation"})
        lines = f.front_config.site.functions | {"reserve": line}
        site = f.front_config.site.model_copy(update={"functions": lines})
        f.front_config = f.front_config.model_copy(update={"site": site})
        f.front = f.start_front()
        f.until(lambda: f.front.deferred.pending_writes == 0)
        assert "may have been running" in fate(f, told)["Error"]["ErrorMessage"]
        f.loop.sleep(3 * SECOND)
        assert f.runs("reserve") == 1

    f.run(script)


def test_result_of_a_removed_function_s_call_is_replicated_too(tmp_path: Path) -> None:
    """Its class isn't known any more: as many holders know its fate as the strictest class asks for."""
    sites = Sites(tmp_path, copies=1)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        front = sites.fronts.pop("a1")
        settings = front._config.front.model_copy(update={"shutdown_timeout_ms": 0})
        front._config = front._config.model_copy(update={"front": settings})
        front.stop()
        front.close()
        sites.front_config = without(RUN)(sites.front_config)
        sites.start("a1")
        sites.until(lambda: sites.fronts["a1"].deferred.pending_writes == 0)
        sites.loop.sleep(SECOND)
        call = sites.call(sites.joined("a1", "b1", "c1"), "one")
        assert call.stage is CallStage.ENDED and call.ended is not None
        assert call.ended.status == "FAILED"

    sites.play(script)


def test_schedule_when_its_function_is_removed_fires_again_once_it_is_back(tmp_path: Path) -> None:
    lines = {"look": {"cron": "* * * * *", "function": "price", "deadline_ms": 20_000}}
    f = Fleet(tmp_path, {"schedules": lines})

    def script() -> None:
        known = functions(f.front)
        price = known.pop("price")
        f.loop.sleep(150 * SECOND)
        assert f.runs("price") == 0
        known["price"] = price
        f.loop.sleep(60 * SECOND)
        assert f.runs("price") >= 1

    f.run(script)
    statuses = [row.status for row in read_history(tmp_path / "calls.db", None, 100)]
    assert statuses.count("REFUSED") >= 1 and statuses.count("SUCCEEDED") == f.runs("price")
