"""What tests of the fronts share: clients of deferred calls, crashes at commits, schedules and outcomes."""

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

MINUTE = 60 * SECOND
ARN_HEADER = "x-amz-durable-execution-arn"
EVERY_MINUTE = {"cron": "* * * * *", "function": "price", "payload": {"all": True}}


class DeferredClient:
    """Deferred calls as a client makes and sees them."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def start(self, function: str, payload: bytes, name: str) -> Response:
        """Start a named execution."""
        headers = {"x-amz-invocation-type": "Event", "x-amz-durable-execution-name": name}
        return self.fleet.invoke(function, payload, **headers)

    def get(self, arn: str) -> dict[str, Any]:
        """Return an execution; its Status is HTTP's if there is an error."""
        response = self.fleet.ask("GET", f"/2025-12-01/durable-executions/{quote(arn, safe='')}")
        return json.loads(response.body) if response.status == 200 else {"Status": f"{response.status}"}

    def wait_for_end(self, arn: str) -> dict[str, Any]:
        """Return an execution that is no longer running."""
        self.fleet.until(lambda: self.get(arn)["Status"] != "RUNNING")
        return self.get(arn)

    def list(self, function: str, query: str = "") -> dict[str, Any]:
        """Return a page of executions."""
        response = self.fleet.ask("GET", f"/2025-12-01/functions/{function}/durable-executions?{query}")
        return dict(json.loads(response.body))


class Crash(Exception):
    """The process is dead."""


def crash_at_commit(fleet: Fleet, number: int, is_durable: bool) -> Callable[[], int]:
    """Let the store's process die at a commit; return what tells how many were begun.

    Commit `number` reaches the disk if `is_durable`; later ones do not.
    """
    store = fleet.front.deferred._store
    commit = store._commit
    count = 0

    def commit_or_crash(batch: Any) -> None:
        nonlocal count
        count += 1
        if count < number or (count == number and is_durable):
            commit(batch)
        if count >= number:
            fleet.loop.call_later(0, lambda: None)
            raise Crash

    store._commit = commit_or_crash  # type: ignore[method-assign]
    return lambda: count


def fleet_with_schedules(path: Path, **schedules: dict[str, Any]) -> Fleet:
    """Return a fleet with schedules that fire each minute, but for the changes."""
    lines = {name: EVERY_MINUTE | changes for name, changes in schedules.items()}
    return Fleet(path, {"schedules": lines})


@dataclass(frozen=True)
class Outcome:
    """What is stored of `count` due times from `due_minute`."""

    schedule: str
    due_minute: int
    status: str
    count: int


def read_outcomes(path: Path) -> list[Outcome]:
    """Return what is stored of all due times, oldest first."""
    rows = read_history(path / "calls.db", None, 100_000)
    return [Outcome(row.schedule, row.due // MINUTE, row.status, row.count) for row in reversed(rows)]


def statuses(outcomes: list[Outcome]) -> set[str]:
    """Return all statuses of outcomes."""
    return {outcome.status for outcome in outcomes}
