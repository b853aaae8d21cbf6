"""Interfaces of the core that the fronts need. Every method may block the calling task.

Durations are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from walnutpost.gateway import CallRequest, Execution, Final, NotStored, Rejected, ReplicationPending
from walnutpost.store import Change, ExecutionQuery

Callback = Callable[[], None]
# Registers a callback for the caller's hang-up; returns what ends the registration.
WatchHangup = Callable[[Callback], Callback]
# What became of a deferred call; None if its name stands for an execution with another payload.
DeferOutcome = Execution | ReplicationPending | Rejected | NotStored | None


class Calls(Protocol):
    """Synchronous calls."""

    def call(
        self,
        request: CallRequest,
        idempotency_key: str,
        is_repeat: bool,
        watch_hangup: WatchHangup,
        /,
    ) -> Final | None:
        """Return the outcome, or None if the caller hung up."""


class DeferredCalls(Protocol):
    """Deferred calls (durable executions) of clients and of schedules."""

    def defer(
        self, request: CallRequest, name: str | None, extra_change: Change | None = None, /
    ) -> DeferOutcome:
        """Return the execution that stands for the call, once it is durable.

        Without a `name` the execution has the request's id as its name. `extra_change` is committed together
        with the call if that is new.
        """

    def replica_count(self, execution_id: str) -> int | None:
        """Return how many replicas have the call; None if its class does not ask for replicas."""

    def status(self, function: str, execution_id: str) -> Execution | None:
        """Return the execution, None if there is none. Raises SitesUnreachableError."""

    def stop(self, function: str, execution_id: str) -> Execution | None:
        """Stop the execution if it is running, and return it. Raises SitesUnreachableError."""

    def stop_named(self, function: str, name: str) -> None:
        """Stop the execution with a name if it is running."""

    def list(self, query: ExecutionQuery) -> tuple[list[Execution], bool]:
        """Return a page of executions, and whether there are more after it."""
