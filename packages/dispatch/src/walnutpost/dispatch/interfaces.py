"""Interfaces that the dispatcher depends on: the transport to workers, and optional hooks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from walnutpost.gateway import (
    AttemptEnded,
    CallArrived,
    FinalAnswer,
    LoadOrder,
    LoadOrderEnded,
    Probe,
    ProbeEnded,
    Rejected,
    Send,
    Unload,
)


class CallObserver(Protocol):
    """Observes attempts and load orders, and may reject new calls and load orders.

    Times are in microseconds.
    """

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return the rejection of a new call, or None if the call is admitted."""

    def on_sent(self, now_us: int, send: Send) -> None:
        """Record an attempt just before it is sent."""

    def on_attempt_ended(self, now_us: int, ended: AttemptEnded) -> None:
        """Record how an attempt ended."""

    def on_load_order_ended(self, now_us: int, ended: LoadOrderEnded) -> None:
        """Record how a load order ended."""

    def may_order_load(self, now_us: int, order: LoadOrder) -> bool:
        """Return whether a load order may be sent; if not, it ends as FULL."""


class WorkerTransport(Protocol):
    """Sends attempts, load orders and probes to workers, and reports how each ended.

    Implemented by `workerclient.WorkerClient` and by `WorkerCommands` of the node package.
    """

    def send(
        self,
        effect: Send,
        on_ended: Callable[[AttemptEnded], None],
        before_send: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Send an attempt.

        `before_send` runs just before the first byte and may raise to prevent the attempt. `execution` is the
        name of the deferred call that the attempt belongs to, empty for a synchronous call.
        """

    def cancel(self, call: int, attempt: int) -> None:
        """Cancel an attempt."""

    def order_load(self, effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
        """Order a worker to load copies of a function."""

    def unload(self, effect: Unload) -> None:
        """Order a worker to unload its idle copies of a function."""

    def probe(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health."""

    def close_idle_connections(self, worker: str) -> None:
        """Close the connections to a worker that no attempt uses."""


class ExecutionIntents(Protocol):
    """Finds the execution that an attempt belongs to, and makes the intent to send it durable."""

    def execution_name(self, caller_id: int) -> str:
        """Return the name of the execution that the caller waits for, empty for a synchronous call."""

    def record_intent(self, attempt: Send) -> None:
        """Make the intent to send an attempt durable; may raise to prevent the attempt.

        Called before the first byte is sent, only if `must_persist_intent`.
        """


class AnswerCounter(Protocol):
    """Counts how calls end for their callers."""

    def on_submitted(self, call: CallArrived) -> Callable[[FinalAnswer], None]:
        """Record a new call, and return a function that records its final answer."""

    def on_abandoned(self) -> None:
        """Record that a caller left before its call's final answer."""


@dataclass(frozen=True, slots=True)
class DispatchHooks:
    """Optional extensions of a dispatcher by the process that owns it; None if not used."""

    observer: CallObserver | None = None
    intents: ExecutionIntents | None = None
    counter: AnswerCounter | None = None
