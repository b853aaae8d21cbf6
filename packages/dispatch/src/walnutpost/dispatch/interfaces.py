"""What the dispatcher asks of others: workers to send to, and somebody who watches the traffic."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from walnutpost.gateway import (
    AttemptEnded,
    LoadOrder,
    LoadOrderEnded,
    Probe,
    ProbeEnded,
    Rejected,
    Send,
    Unload,
)


class CallObserver(Protocol):
    """Sees what is sent and what comes back; may reject new calls and load orders. Times are microseconds."""

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
        """Give up an attempt."""

    def order_load(self, effect: LoadOrder, on_ended: Callable[[LoadOrderEnded], None]) -> None:
        """Let a worker load copies of a function."""

    def unload(self, effect: Unload) -> None:
        """Let a worker drop copies of a function."""

    def probe(self, effect: Probe, on_ended: Callable[[ProbeEnded], None]) -> None:
        """Check a worker's health."""

    def close_idle_connections(self, worker: str) -> None:
        """Close a worker's unused connections."""


def _ignore(*_: object) -> None:
    """Do nothing."""


def _no_name(caller_id: int) -> str:
    return ""


@dataclass(slots=True)
class DispatchHooks:
    """What the process that owns a dispatcher adds; each default does nothing.

    `record_intent` runs before the first byte of a Send that must be persisted first, and may raise to
    prevent it. `execution_name` returns the name of the execution of a caller, empty where it has none.
    """

    observer: CallObserver | None = None
    record_intent: Callable[[Send], None] = _ignore
    execution_name: Callable[[int], str] = _no_name
