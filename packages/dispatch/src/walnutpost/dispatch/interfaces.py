"""Interfaces that the dispatcher needs: a transport to workers, and what observes or records its calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from walnutpost.gateway import (
    AttemptEnded,
    CallArrived,
    Final,
    LoadOrder,
    LoadOrderEnded,
    Probe,
    ProbeEnded,
    Rejected,
    Send,
    Unload,
)


class CallObserver(Protocol):
    """Observes attempts and load orders; may reject new calls and load orders. Times are microseconds."""

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return the answer to a new call that is not admitted, None for one that is."""

    def on_sent(self, now_us: int, send: Send) -> None:
        """Record an attempt that is being sent."""

    def on_attempt_ended(self, now_us: int, ended: AttemptEnded) -> None:
        """Record how an attempt ended."""

    def on_load_order_ended(self, now_us: int, ended: LoadOrderEnded) -> None:
        """Record how a load order ended."""

    def may_order_load(self, now_us: int, order: LoadOrder) -> bool:
        """Whether a load order may be sent."""


class WorkerTransport(Protocol):
    """Carries effects to workers, and reports how each ended.

    Implemented by `workerclient.WorkerClient` and node's `WorkerCommands`.
    """

    def send(
        self,
        effect: Send,
        on_ended: Callable[[AttemptEnded], None],
        before_send: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Send an attempt; `before_send` runs just before, and may raise to prevent it."""

    def cancel(self, call: int, attempt: int) -> None:
        """Cancel an attempt."""

    def order_load(self, effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
        """Order a worker to load copies of a function."""

    def unload(self, effect: Unload) -> None:
        """Order a worker to unload copies of a function."""

    def probe(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health."""

    def close_idle_connections(self, worker: str) -> None:
        """Close a worker's unused connections."""


class ExecutionIntents(Protocol):
    """Names the execution that an attempt belongs to, and makes its intent durable."""

    def execution_name(self, caller_id: int) -> str:
        """Return the name of the execution that a caller waits for, empty if it waits for none."""

    def record_intent(self, attempt: Send) -> None:
        """Make the intent of a Send durable before its first byte; may raise to prevent the sending.

        Called only for a Send that requires it (`must_persist_intent`).
        """


class AnswerCounter(Protocol):
    """Counts how calls end for their callers."""

    def on_submitted(self, call: CallArrived) -> Callable[[Final], None]:
        """Record a call; return the function that records its final answer."""

    def on_abandoned(self) -> None:
        """Record that a caller left before its call's final answer."""


@dataclass(frozen=True, slots=True)
class DispatchHooks:
    """What the process that owns a dispatcher adds to it; each part may be missing."""

    observer: CallObserver | None = None
    intents: ExecutionIntents | None = None
    counter: AnswerCounter | None = None
