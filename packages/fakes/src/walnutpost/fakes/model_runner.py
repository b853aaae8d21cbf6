"""Runs a WorkerModel on an event loop: its timers, its package fetches, and those who wait for answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from walnutpost.eventloop import Event, Loop, TrafficObserver
from walnutpost.eventloop.timers import Timer
from walnutpost.fakes.model import WorkerModel
from walnutpost.fakes.reactions import (
    CallEnded,
    CallStarted,
    CopyEvent,
    FetchPackage,
    LoadOrderEnded,
    Reaction,
)
from walnutpost.fakes.store import PackageStore
from walnutpost.http import Exchange


class WorkerObserver(TrafficObserver, Protocol):
    """A traffic observer that also records what the worker itself knows of its executions and copies."""

    def on_execution_started(self, call_id: str, run: int) -> None:
        """Record an execution."""

    def on_worker_started(self, cold: bool) -> None:
        """Record a start."""

    def on_copy_changed(self, event: CopyEvent) -> None:
        """Record what happened to a copy."""


@dataclass(slots=True)
class PendingRequest:
    """A request whose answer is awaited."""

    request_id: int
    event: Event
    exchange: Exchange
    function: str = ""
    call_id: str = ""
    ended: CallEnded | LoadOrderEnded | None = None
    is_cut: bool = False  # the connection was reset on command while the call ran


class ModelRunner:
    """Gives a model its events and carries out its reactions.

    `runs` has each execution in order (call id, function, run number), `loads` the function of each load.
    """

    def __init__(
        self, loop: Loop, model: WorkerModel, store: PackageStore, worker_observer: WorkerObserver | None
    ) -> None:
        self.model = model
        self.runs: list[tuple[str, str, int]] = []
        self.loads: list[str] = []
        self.incarnation = 0
        self._loop = loop
        self._store = store
        self._worker_observer = worker_observer
        self._last_request_id = 0
        self._pending: dict[int, PendingRequest] = {}
        self._timer: Timer | None = None
        self._recorded_events = 0

    @property
    def has_pending(self) -> bool:
        """Whether an answer is awaited."""
        return bool(self._pending)

    def open_request(self, exchange: Exchange, function: str, call_id: str = "") -> PendingRequest:
        """Return a request with a number of its own, to be given to the model."""
        self._last_request_id += 1
        pending = PendingRequest(self._last_request_id, Event(self._loop), exchange, function, call_id)
        self._pending[pending.request_id] = pending
        return pending

    def wait(self, pending: PendingRequest) -> CallEnded | LoadOrderEnded | None:
        """Wait for the answer; None if the caller has gone, or a restart or a fault has ended it."""
        stream = pending.exchange.stream

        def cancel_if_gone() -> None:
            if stream.has_ended() and self._pending.pop(pending.request_id, None) is not None:
                self.react(self.model.cancel(self._loop.now(), pending.request_id))
                pending.event.set()

        if not pending.event.is_set:
            stream.on_readable(cancel_if_gone)
            try:
                pending.event.wait()
            finally:
                stream.on_readable(None)
        self._pending.pop(pending.request_id, None)
        return pending.ended

    def react(self, reactions: list[Reaction]) -> None:
        """Carry out a model's reactions to an event, and set its timer."""
        for reaction in reactions:
            match reaction:
                case CallStarted():
                    self._record_run(reaction)
                case CallEnded() | LoadOrderEnded():
                    self._answer(reaction)
                case FetchPackage():
                    self.loads.append(reaction.function)
                    self._loop.spawn(self._fetch, reaction, self.incarnation, name="fetch")
        self._record_copy_events()
        self.set_timer()

    def set_timer(self) -> None:
        """Wake up when the model wants it next."""
        due_us = self.model.next_due_us()
        if self._timer is not None:
            if self._timer.due_us == due_us and self._timer.callback is not None:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due_us, self._advance) if due_us is not None else None

    def begin_restart(self) -> None:
        """Begin another incarnation: every request that is pending is lost."""
        self.incarnation += 1
        lost = self._pending
        self._pending = {}
        for pending in lost.values():
            pending.is_cut = True
            pending.event.set()

    def _record_run(self, started: CallStarted) -> None:
        pending = self._pending.get(started.request_id)
        call_id = pending.call_id if pending is not None else ""
        function = pending.function if pending is not None else ""
        self.runs.append((call_id, function, started.run))
        if self._worker_observer is not None:
            self._worker_observer.on_execution_started(call_id, started.run)
        if pending is not None and pending.is_cut:
            pending.event.set()

    def _answer(self, ended: CallEnded | LoadOrderEnded) -> None:
        pending = self._pending.pop(ended.request_id, None)
        if pending is not None:
            pending.ended = ended
            pending.event.set()

    def _record_copy_events(self) -> None:
        if self._worker_observer is None:
            return
        events = self.model.copy_events
        for event in events[self._recorded_events :]:
            self._worker_observer.on_copy_changed(event)
        self._recorded_events = len(events)

    def _fetch(self, fetch: FetchPackage, incarnation: int) -> None:
        succeeded = self._store.fetch(fetch.function, fetch.usual_us)
        if incarnation == self.incarnation:
            self.react(self.model.on_fetched(self._loop.now(), fetch.copy, succeeded))

    def _advance(self) -> None:
        self.react(self.model.advance(self._loop.now()))
