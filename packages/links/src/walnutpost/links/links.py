"""Connections to workers; carries out sends, orders and probes, and says how each ended."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walnutpost.gateway import (
    AttemptDone,
    Discard,
    HoldDone,
    Order,
    Ping,
    PingDone,
    Start,
)
from walnutpost.http import BadMessage, Connection, Response
from walnutpost.interface import Outcome
from walnutpost.links import codec, orca
from walnutpost.loop import Cancelled, Loop, Secure, Tap, Task, Timeout, TlsStream
from walnutpost.metering import Report
from walnutpost.trust import Ration, RationSettings

ROLE = "link"
PROBE_TIMEOUT = 1_000_000
RATION_LOOK = 5_000


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Times in microseconds. `report_fields` as in interface.Settings."""

    dial_timeout: int = 250_000
    order_timeout: int = 10_000_000
    idle_time: int = 15_000_000
    idle_most: int = 512  # connections kept for each worker while nothing runs on them
    report_fields: tuple[str, ...] = ()


class Links:
    """Each attempt is a task of its own, so that a slow worker holds up nothing else."""

    def __init__(
        self,
        loop: Loop,
        settings: LinkSettings,
        prefix: str,
        tap: Tap | None = None,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """With `context`, workers are reached over TLS, and prove their names."""
        self._loop = loop
        self._context = context
        self._names: dict[str, str] = {}  # what a worker's certificate must name, where not its own name
        self._sessions: dict[str, ssl.SSLSession] = {}
        self._ration = Ration(RationSettings())
        self._settings = settings
        self._prefix = prefix  # makes call ids differ between front ends and starts
        self._tap = tap
        self._addresses: dict[str, tuple[str, int]] = {}
        self._leaving: set[str] = set()
        self._idle: dict[str, list[Connection]] = {}
        self._trimming: set[str] = set()
        self._attempts: dict[tuple[int, int], Task[None]] = {}

    def told(
        self,
        addresses: Mapping[str, tuple[str, int]],
        leaving: set[str],
        names: Mapping[str, str] | None = None,
    ) -> None:
        """What the worker list says now. A worker whose address changed is another process: its idle
        connections lead to the old one."""
        for name, address in self._addresses.items():
            if addresses.get(name) != address:
                self.close_idle(name)
                self._sessions.pop(name, None)
                self._ration.gone(name)
        self._names = dict(names or {})
        self._addresses, self._leaving = dict(addresses), set(leaving)

    def renew(self, context: ssl.SSLContext) -> None:
        """New connections are made with other keys or trust; idle ones, made under the old, are closed."""
        self._context = context
        self._sessions.clear()
        for worker in list(self._idle):
            self.close_idle(worker)

    @property
    def out(self) -> int:
        return len(self._attempts)

    def call_id(self, call: int) -> str:
        return f"{self._prefix}-{call}"

    def start(
        self,
        effect: Start,
        done: Callable[[AttemptDone], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Sends a call; `before` runs first, may wait, and stops the send by raising. `execution` is the
        name of a deferred call."""
        key = (effect.call, effect.attempt)
        task = self._attempts[key] = self._loop.spawn(
            self._attempt, effect, done, before, execution, name="attempt"
        )

        def ended() -> None:
            if self._attempts.pop(key, None) is not None:  # abandoned before it began
                done(AttemptDone(effect.call, effect.attempt, Outcome.MOOT, 0))

        task.watchers.append(ended)

    def abandon(self, call: int, attempt: int) -> None:
        task = self._attempts.get((call, attempt))
        if task is not None:
            task.cancel()

    def _attempt(
        self,
        effect: Start,
        done: Callable[[AttemptDone], None],
        before: Callable[[], None] | None,
        execution: str,
    ) -> None:
        began = self._loop.now()
        reply, payload = codec.Reply(Outcome.CANCELLED), b""
        try:
            reply, payload = self._send(effect, began + effect.timeout, before, execution)
        except Cancelled:
            pass
        finally:
            self._attempts.pop((effect.call, effect.attempt), None)
        done(
            AttemptDone(
                effect.call,
                effect.attempt,
                reply.outcome,
                self._loop.now() - began,
                payload,
                reply.by_function,
                reply.warmth,
                reply.crowd,
                reply.report,
            )
        )

    def _send(
        self, effect: Start, deadline: int, before: Callable[[], None] | None, execution: str
    ) -> tuple[codec.Reply, bytes]:
        loop, worker = self._loop, effect.worker
        connection: Connection | None = None
        outcome = Outcome.MOOT
        whole = False
        try:
            with loop.timeout(max(0, effect.timeout)):
                if before is not None:
                    before()
                outcome = Outcome.CONNECT_FAILED
                connection = self._connection(worker)
                if worker in self._leaving:
                    # Told while the connection was being made: rule 3 counts the send, not the decision.
                    return codec.Reply(Outcome.MOOT), b""
                connection.stream.sent_any = False
                outcome = Outcome.RESET
                data = codec.call(
                    effect.function,
                    effect.tenant,
                    effect.payload,
                    self.call_id(effect.call),
                    effect.attempt,
                    deadline,
                    execution,
                )
                response = connection.exchange(data)
                whole = True
                reply = codec.read_call(response, self._settings.report_fields)
                return reply, response.body
        except Timeout:
            return codec.Reply(Outcome.TIMEOUT if outcome is Outcome.RESET else outcome), b""
        except BadMessage:
            return codec.Reply(Outcome.ERROR), b""
        except OSError:
            if outcome is Outcome.RESET and connection is not None and not connection.stream.sent_any:
                outcome = Outcome.CONNECT_FAILED  # the kernel took no byte, so the worker saw none
            return codec.Reply(outcome), b""
        except LookupError:  # no intent on disk, so nothing is sent; or a worker without an address
            return codec.Reply(outcome), b""
        finally:
            if connection is not None:
                self._put_back(worker, connection, whole)

    def order(self, effect: Order, done: Callable[[HoldDone], None]) -> None:
        self._loop.spawn(self._order, effect, done, name="order")

    def _order(self, effect: Order, done: Callable[[HoldDone], None]) -> None:
        began = self._loop.now()
        timeout = self._settings.order_timeout
        outcome, response = self._side(
            effect.worker, codec.load(effect.function, effect.copies), timeout, effect.copies > 0
        )
        copies = 0
        if response is not None:
            outcome, copies = codec.read_load(response)
        took = self._loop.now() - began
        done(HoldDone(effect.worker, effect.function, outcome, took, copies, effect.copies))

    def discard(self, effect: Discard) -> None:
        self._loop.spawn(
            self._side,
            effect.worker,
            codec.unload(effect.function),
            self._settings.order_timeout,
            name="unload",
        )

    def ping(self, effect: Ping, done: Callable[[PingDone], None]) -> None:
        self._loop.spawn(self._ping, effect, done, name="ping")

    def _ping(self, effect: Ping, done: Callable[[PingDone], None]) -> None:
        began = self._loop.now()
        outcome, response = self._side(effect.worker, codec.READY, PROBE_TIMEOUT)
        report: tuple[float, ...] = ()
        if response is not None:
            outcome = Outcome.OK if response.status == 200 else Outcome.FULL
            report = codec.report_of(orca.read(response.headers), self._settings.report_fields)
        done(PingDone(effect.worker, outcome, self._loop.now() - began, report))

    def usage(self, worker: str, started: int, change: int) -> Report | None:
        """What the worker's book says; None where it keeps none. Raises OSError where it could not be had,
        ValueError where it can't be read."""
        request = codec.usage(started, change)
        outcome, response = self._side(worker, request, self._settings.order_timeout)
        if response is None:
            raise ConnectionError(outcome.value)
        return codec.read_usage(response)

    @property
    def workers(self) -> list[str]:
        return list(self._addresses)

    def _side(
        self, worker: str, data: bytes, timeout: int, new_work: bool = False
    ) -> tuple[Outcome, Response | None]:
        """An exchange that isn't a call."""
        connection: Connection | None = None
        outcome, whole = Outcome.CONNECT_FAILED, False
        try:
            with self._loop.timeout(timeout):
                connection = self._connection(worker)
                if new_work and worker in self._leaving:
                    return Outcome.CONNECT_FAILED, None
                outcome = Outcome.RESET
                response = connection.exchange(data)
                whole = True
                return Outcome.OK, response
        except Timeout:
            return Outcome.TIMEOUT if outcome is Outcome.RESET else outcome, None
        except BadMessage:
            return Outcome.ERROR, None
        except (OSError, LookupError):
            return outcome, None
        finally:
            if connection is not None:
                self._put_back(worker, connection, whole)

    # Connections

    def _connection(self, worker: str) -> Connection:
        """An idle connection that still stands, or a new one."""
        idle = self._idle.get(worker)
        while idle:
            connection = idle.pop()
            if self._loop.now() - connection.used_at < self._settings.idle_time and (
                not connection.stream.stale()
            ):
                return connection
            connection.close()
        try:
            with self._loop.timeout(self._settings.dial_timeout):
                if self._context is not None:
                    return self._secure(worker, self._context)
                return Connection.open(self._loop, self._addresses[worker], self._tap, ROLE)
        except Timeout:
            raise ConnectionRefusedError("no connection in time") from None

    def _secure(self, worker: str, context: ssl.SSLContext) -> Connection:
        """A connection whose other end is the worker, as soon as the ration of handshakes lets it."""
        address = self._addresses[worker]
        while not self._ration.take(self._loop.now(), worker):
            self._loop.sleep(RATION_LOOK)
        secure = Secure(context, self._names.get(worker, worker), self._sessions.get(worker))
        try:
            connection = Connection.open(self._loop, address, self._tap, ROLE, secure=secure)
        except (OSError, Timeout):
            self._ration.failed(self._loop.now(), worker)
            self._sessions.pop(worker, None)
            raise
        except BaseException:
            self._ration.left(worker)
            raise
        self._ration.made(worker)
        return connection

    def _put_back(self, worker: str, connection: Connection, whole: bool) -> None:
        idle = self._idle.setdefault(worker, [])
        if whole and connection.reusable and len(idle) < self._settings.idle_most:
            connection.used_at = self._loop.now()
            if isinstance(connection.stream, TlsStream):
                if connection.stream.context is not self._context:
                    connection.close()  # made under keys that were replaced meanwhile
                    return
                if connection.stream.session is not None:
                    self._sessions[worker] = connection.stream.session
            idle.append(connection)
            if worker not in self._trimming:
                self._trimming.add(worker)
                self._loop.call_later(self._settings.idle_time, lambda: self._trim(worker))
        else:
            connection.close()

    def _trim(self, worker: str) -> None:
        """Closes what has been idle for long: a burst's connections, and those of a worker that is not
        used."""
        idle = self._idle.get(worker, [])
        since = self._loop.now() - self._settings.idle_time
        for connection in [c for c in idle if c.used_at <= since]:
            idle.remove(connection)
            connection.close()
        if idle:
            self._loop.call_later(idle[0].used_at - since, lambda: self._trim(worker))
        else:
            self._trimming.discard(worker)

    def close_idle(self, worker: str) -> None:
        for connection in self._idle.pop(worker, ()):
            connection.close()
