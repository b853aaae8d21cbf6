"""Carries out the effects on workers (calls, orders, probes), and says how each ended."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walnutpost.eventloop import Cancelled, Loop, Tap, Task
from walnutpost.gateway import (
    AttemptEnded,
    LoadOrder,
    LoadOrderEnded,
    Probe,
    ProbeEnded,
    Send,
    Unload,
)
from walnutpost.interface import Outcome
from walnutpost.metering import Report
from walnutpost.workerclient import codec, orca
from walnutpost.workerclient.delivery import Delivered, Delivery, Directory, WorkerRequest
from walnutpost.workerclient.dialing import Address, Dialer
from walnutpost.workerclient.idle import IdleConnections
from walnutpost.workerclient.settings import LinkSettings

PROBE_TIMEOUT_US = 1_000_000


@dataclass(frozen=True, slots=True)
class CallEnd:
    """How an attempt ended, with the body of its answer."""

    reply: codec.Reply
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class OrderEnd:
    """How an order ended, with the copies that stand."""

    outcome: Outcome
    copies: int = 0


@dataclass(frozen=True, slots=True)
class _Attempt:
    request: WorkerRequest
    task: Task[CallEnd]


class Links:
    """Each attempt is a task of its own, so that a slow worker holds up nothing else."""

    def __init__(
        self,
        loop: Loop,
        settings: LinkSettings,
        prefix: str,
        tap: Tap | None = None,
        context: ssl.SSLContext | None = None,
        time_of_day: Callable[[], int] | None = None,
    ) -> None:
        """With `context`, workers are reached over TLS, and prove their names. `time_of_day` is the clock by
        which workers are told their deadlines; the loop's own does not follow when it is corrected."""
        self._loop = loop
        self._settings = settings
        self._prefix = prefix  # makes call ids differ between front ends and starts
        self._time_of_day = time_of_day or loop.now
        self._directory = Directory()
        self._dialer = Dialer(loop, settings.dial_timeout, tap, context)
        self._idle = IdleConnections(loop, settings.idle_time, settings.idle_most)
        self._delivery = Delivery(loop, self._directory, self._dialer, self._idle)
        self._attempts: dict[tuple[int, int], _Attempt] = {}

    # The worker list and the keys

    def told(
        self,
        addresses: Mapping[str, Address],
        leaving: set[str],
        names: Mapping[str, str] | None = None,
    ) -> None:
        """What the worker list says now. A worker whose address changed is another process: its idle
        connections lead to the old one."""
        for worker, address in self._addresses.items():
            if addresses.get(worker) != address:
                self._idle.close(worker)
                self._dialer.forget(worker)
        self._dialer.names = dict(names or {})
        self._directory.addresses = dict(addresses)
        self._directory.draining = frozenset(leaving)

    def renew(self, context: ssl.SSLContext) -> None:
        """New connections are made with other keys or trust; idle ones, made under the old, are closed."""
        self._dialer.renew(context)
        self._idle.close_all()

    def close_idle(self, worker: str) -> None:
        self._idle.close(worker)

    @property
    def workers(self) -> list[str]:
        return list(self._addresses)

    @property
    def _addresses(self) -> Mapping[str, Address]:
        return self._directory.addresses

    # Calls

    @property
    def out(self) -> int:
        """Attempts that have not ended."""
        return len(self._attempts)

    def call_id(self, call: int) -> str:
        return f"{self._prefix}-{call}"

    def start(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Sends a call; `before` runs first, may wait, and stops the send by raising. `execution` is the
        name of a deferred call. `done` is called once, however the attempt ends."""
        key = (effect.call, effect.attempt)
        request = self._request(
            effect.worker,
            lambda: self._encode_call(effect, request, execution),
            effect.timeout_us,
            effect.begin_within_us,
            new_work=True,
        )
        request.prepare = before
        task = self._loop.spawn(self._attempt, request, name="attempt")
        self._attempts[key] = _Attempt(request, task)

        def ended() -> None:
            del self._attempts[key]
            end = task.result or _unanswered_call(request, task.error)
            done(self._attempt_done(effect, request, end))

        self._when_ended(task, ended)

    def abandon(self, call: int, attempt: int) -> None:
        """Nobody waits for the attempt any more: no byte of it leaves from now on where none has left."""
        known = self._attempts.get((call, attempt))
        if known is not None:
            # The task may be ready to run after a wait: it is then cancelled at its next one, which may
            # come after the first byte.
            known.request.abandoned = True
            known.task.cancel()

    def _attempt(self, request: WorkerRequest) -> CallEnd:
        delivered = self._delivery.deliver(request)
        if delivered.response is None:
            return CallEnd(codec.Reply(delivered.outcome))
        reply = codec.read_call(delivered.response, self._settings.report_fields)
        return CallEnd(reply, delivered.response.body)

    def _encode_call(self, effect: Send, request: WorkerRequest, execution: str) -> bytes:
        """The deadline told is what is left now, when the first byte leaves."""
        time_left = request.end_us - self._loop.now()
        return codec.call(
            effect.function,
            effect.tenant,
            effect.payload,
            self.call_id(effect.call),
            effect.attempt,
            self._time_of_day() + time_left,
            execution,
        )

    def _attempt_done(self, effect: Send, request: WorkerRequest, end: CallEnd) -> AttemptEnded:
        reply = end.reply
        return AttemptEnded(
            effect.call,
            effect.attempt,
            reply.outcome,
            self._loop.now() - request.began_us,
            end.payload,
            reply.by_function,
            reply.warmth,
            reply.crowd,
            reply.report,
        )

    # Orders

    def order(self, effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
        """`done` is called once, however the order ends; its outcome is as true as `interface.LoadOrderEnded`
        says."""
        request = self._request(
            effect.worker,
            lambda: codec.load(effect.function, effect.copies),
            self._settings.order_timeout,
            effect.begin_within_us,
            new_work=effect.copies > 0,
        )
        if request.new_work and effect.worker in self._directory.draining:
            request.address = None  # as good as none for new work
        task = self._loop.spawn(self._order, request, name="order")

        def ended() -> None:
            end = task.result or _unanswered_order(request)
            took = self._loop.now() - request.began_us
            done(LoadOrderEnded(effect.worker, effect.function, end.outcome, took, end.copies, effect.copies))

        self._when_ended(task, ended)

    def _order(self, request: WorkerRequest) -> OrderEnd:
        delivered = self._delivery.deliver(request)
        if delivered.response is not None:
            return OrderEnd(*codec.read_load(delivered.response))
        if delivered.may_still_arrive:
            return OrderEnd(Outcome.TIMEOUT)
        return OrderEnd(delivered.outcome)

    def discard(self, effect: Unload) -> None:
        request = self._request(
            effect.worker, lambda: codec.unload(effect.function), self._settings.order_timeout
        )
        self._loop.spawn(self._delivery.deliver, request, name="unload")

    # Questions

    def ping(self, effect: Probe, done: Callable[[ProbeEnded], None]) -> None:
        self._loop.spawn(self._ping, effect, done, name="ping")

    def _ping(self, effect: Probe, done: Callable[[ProbeEnded], None]) -> None:
        request = self._request(effect.worker, lambda: codec.READY, PROBE_TIMEOUT_US)
        delivered = self._delivery.deliver(request)
        outcome, report = self._read_ping(delivered)
        done(ProbeEnded(effect.worker, outcome, self._loop.now() - request.began_us, report))

    def _read_ping(self, delivered: Delivered) -> tuple[Outcome, tuple[float, ...]]:
        response = delivered.response
        if response is None:
            return delivered.outcome, ()
        outcome = Outcome.OK if response.status == 200 else Outcome.FULL
        return outcome, codec.report_of(orca.read(response.headers), self._settings.report_fields)

    def usage(self, worker: str, started: int, change: int) -> Report | None:
        """What the worker's book says; None where it keeps none. Raises OSError where it could not be had,
        ValueError where it can't be read."""
        timeout = self._settings.order_timeout
        delivered = self._delivery.deliver(
            self._request(worker, lambda: codec.usage(started, change), timeout)
        )
        if delivered.response is None:
            raise ConnectionError(delivered.outcome.value)
        return codec.read_usage(delivered.response)

    # What all of them share

    def _request(
        self,
        worker: str,
        encode: Callable[[], bytes],
        timeout_us: int,
        latest_us: int = 0,
        new_work: bool = False,
    ) -> WorkerRequest:
        """All times of the decision count from now, when its effect is carried out."""
        now = self._loop.now()
        return WorkerRequest(
            worker,
            self._addresses.get(worker),
            now,
            now + timeout_us,
            encode,
            now + latest_us if latest_us else None,
            new_work,
        )

    def _when_ended(self, task: Task[CallEnd] | Task[OrderEnd], callback: Callable[[], None]) -> None:
        """Also for a task that raises, or is cancelled before it begins."""
        task.done_callbacks.append(lambda: self._loop.run_guarded(task.name, callback))


def _unanswered_call(request: WorkerRequest, error: BaseException | None) -> CallEnd:
    """The end of an attempt whose task was cancelled or raised."""
    if not request.begun:
        return CallEnd(codec.Reply(Outcome.MOOT))
    cancelled = isinstance(error, Cancelled)
    return CallEnd(codec.Reply(Outcome.CANCELLED if cancelled else Outcome.ERROR))


def _unanswered_order(request: WorkerRequest) -> OrderEnd:
    """The end of an order whose task was cancelled or raised: what has left may still arrive."""
    return OrderEnd(Outcome.TIMEOUT if request.begun else Outcome.MOOT)
