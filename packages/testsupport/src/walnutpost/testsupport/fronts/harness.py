"""Shared helpers of the front tests: a deferred-call client, crashes at commits, schedules and outcomes."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

from walnutpost.http import Response
from walnutpost.store import read_history
from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

MINUTE_US = 60 * SECOND
ARN_HEADER = "x-amz-durable-execution-arn"
EVERY_MINUTE = {"cron": "* * * * *", "function": "price", "payload": {"all": True}}


class DeferredClient:
    """A client of deferred calls."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def start(self, function: str, payload: bytes, name: str) -> Response:
        """Start a named execution."""
        headers = {"x-amz-invocation-type": "Event", "x-amz-durable-execution-name": name}
        return self.fleet.invoke(function, payload, **headers)

    def get(self, arn: str) -> dict[str, Any]:
        """Return an execution. If the request fails, its Status is the HTTP status."""
        response = self.fleet.ask("GET", f"/2025-12-01/durable-executions/{quote(arn, safe='')}")
        return json.loads(response.body) if response.status == 200 else {"Status": f"{response.status}"}

    def wait_for_end(self, arn: str) -> dict[str, Any]:
        """Wait until an execution is no longer running, and return it."""
        self.fleet.wait_until(lambda: self.get(arn)["Status"] != "RUNNING")
        return self.get(arn)

    def list(self, function: str, query: str = "") -> dict[str, Any]:
        """Return a page of executions."""
        response = self.fleet.ask("GET", f"/2025-12-01/functions/{function}/durable-executions?{query}")
        return dict(json.loads(response.body))


class SimulatedCrash(Exception):
    """Simulated death of the process."""


def crash_at_commit(fleet: Fleet, commit_number: int, is_durable: bool) -> Callable[[], int]:
    """Simulate a crash at a commit of the store. Return a function that counts the commits begun so far.

    Commit `commit_number` reaches the disk if `is_durable` is true. Later commits do not.
    """
    store = fleet.front.deferred._store
    real_commit = store._commit
    count = 0

    def commit_or_crash(batch: Any) -> None:
        nonlocal count
        count += 1
        if count < commit_number or (count == commit_number and is_durable):
            real_commit(batch)
        if count >= commit_number:
            fleet.loop.call_later(0, lambda: None)
            raise SimulatedCrash

    store._commit = commit_or_crash  # type: ignore[method-assign]
    return lambda: count


def fleet_with_schedules(path: Path, **schedules: dict[str, Any]) -> Fleet:
    """Return a fleet with schedules that fire each minute, each with the given changes."""
    configs = {name: EVERY_MINUTE | changes for name, changes in schedules.items()}
    return Fleet(path, {"schedules": configs})


@dataclass(frozen=True)
class Outcome:
    """The stored outcome of `count` due times from `due_minute` on."""

    schedule: str
    due_minute: int
    status: str
    count: int


def read_outcomes(path: Path) -> list[Outcome]:
    """Return the stored outcomes of all due times, oldest first."""
    rows = read_history(path / "calls.db", None, 100_000)
    return [Outcome(row.schedule, row.due // MINUTE_US, row.status, row.count) for row in reversed(rows)]


def distinct_statuses(outcomes: list[Outcome]) -> set[str]:
    """Return the distinct statuses of outcomes."""
    return {outcome.status for outcome in outcomes}
