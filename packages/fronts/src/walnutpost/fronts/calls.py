"""Interfaces of the core that the fronts use. Every method may block the calling task.

Durations are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from walnutpost.gateway import CallRequest, Execution, FinalAnswer, NotStored, Rejected, ReplicationPending
from walnutpost.store import Change, ExecutionQuery

Callback = Callable[[], None]
# Registers a callback for when the caller disconnects. Returns a function that removes the callback.
WatchDisconnect = Callable[[Callback], Callback]
# The outcome of deferring a call. None if the name belongs to an execution with a different payload.
DeferOutcome = Execution | ReplicationPending | Rejected | NotStored | None


class SynchronousCalls(Protocol):
    """Synchronous calls."""

    def call(
        self,
        request: CallRequest,
        idempotency_key: str,
        is_repeat: bool,
        watch_disconnect: WatchDisconnect,
        /,
    ) -> FinalAnswer | None:
        """Make a call and return its outcome, or None if the caller disconnects first.

        `idempotency_key` is the same for all attempts of a call, or empty. `is_repeat` is true if the client
        marks the request as a retry.
        """


class DeferredCalls(Protocol):
    """Deferred calls (durable executions) of clients and of schedules."""

    def defer(
        self, request: CallRequest, name: str | None, extra_change: Change | None = None, /
    ) -> DeferOutcome:
        """Defer a call, and return its execution once it is durable, or another outcome.

        If `name` is None, the request id is the name of the execution. If the call is new, `extra_change` is
        committed in the same transaction.
        """

    def replica_count(self, execution_id: str) -> int | None:
        """Return how many replicas hold the call, or None if its class requires no replicas."""

    def status(self, function: str, execution_id: str) -> Execution | None:
        """Return the execution, or None if it does not exist. Raises SitesUnreachableError."""

    def stop(self, function: str, execution_id: str) -> Execution | None:
        """Stop the execution if it is running, and return it, or None if it does not exist.

        Raises SitesUnreachableError.
        """

    def stop_named(self, function: str, name: str) -> None:
        """Stop the execution named `name` if it is running."""

    def list(self, query: ExecutionQuery) -> tuple[list[Execution], bool]:
        """Return a page of executions, and whether more follow."""
