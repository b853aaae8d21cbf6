"""The connection pool of each worker: attempts, orders and probes go out on it (`core.Carrier`)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walnutpost.gateway import AttemptDone, Discard, HoldDone, Order, Ping, PingDone, Start
from walnutpost.interface import Outcome
from walnutpost.loop import Loop
from walnutpost.node import resp
from walnutpost.node.connection import WorkerConnection
from walnutpost.node.directory import Address
from walnutpost.node.exchange import Exchange

Identity = tuple[bytes, str, str]
SWEEP_US = 1_000_000
SWEEP_SHARE = 0.1  # of the same time, where that is less
PROBE_TIMEOUT_US = 1_000_000
IDLE_SHARE = 0.7  # of the time after which the worker closes an idle connection: never to write into that


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Times in microseconds; `connections` in all, `streams` at once on one of them."""

    dial_timeout_us: int
    idle_time_us: int
    order_timeout_us: int
    streams: int
    connections: int
    report_fields: tuple[str, ...]
    cancel: bool  # whether a worker may be told that a call is given up


class WorkerPool:
    """`identity` gives a ticket's id, class and repeat key as its client told them, and None once nobody
    waits for its answer any more."""

    def __init__(
        self,
        loop: Loop,
        limits: WorkerLimits,
        identity: Callable[[int], Identity | None],
    ) -> None:
        self.loop = loop
        self.limits = limits
        self._identity = identity
        self._addresses: dict[str, Address] = {}
        self._connections: dict[str, list[WorkerConnection]] = {}
        self._count = 0
        self._tags = 0
        self._attempts: dict[tuple[int, int], Exchange] = {}
        self.dialled = self.spoilt_answers = self.ordered = self.asked = 0
        self.ends: Counter[tuple[str, Outcome]] = Counter()  # how attempts ended, since it was last looked at
        sweep = max(1, min(SWEEP_US, int(limits.idle_time_us * SWEEP_SHARE)))
        self.sweeping = loop.every(sweep, self._sweep, "sweep of connections to workers")

    @property
    def connections(self) -> int:
        return self._count

    def update(self, addresses: Mapping[str, Address]) -> None:
        """What the list says now. What is out at a worker that has gone is left to end by itself."""
        for name, address in list(self._addresses.items()):
            if addresses.get(name) != address:
                for connection in list(self._connections.get(name, ())):
                    connection.retire()
        self._addresses = dict(addresses)

    # Effects

    def start(
        self,
        effect: Start,
        done: Callable[[AttemptDone], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        call, attempt = key = (effect.call, effect.attempt)
        ticket, now = effect.ticket, self.loop.now()

        def end(sent: Exchange, outcome: Outcome, answer: resp.Answer | None) -> None:
            self._attempts.pop(key, None)
            took = self.loop.now() - sent.began_us
            self.ends[effect.worker, outcome] += 1
            if answer is None:
                done(AttemptDone(call, attempt, outcome, took))
            else:
                done(
                    AttemptDone(
                        call,
                        attempt,
                        outcome,
                        took,
                        answer.body if outcome is Outcome.OK else b"",
                        False,
                        answer.warmth,
                        answer.crowd,
                        answer.report,
                    )
                )

        known = self._identity(ticket)
        id, cls, repeat_key = known or (b"", "", "")
        command = resp.call(id, cls, effect.function, effect.timeout, effect.payload, repeat_key)
        wanted = lambda: self._identity(ticket) is not None  # noqa: E731
        sent = Exchange(id, command, now, end, now + effect.latest, wanted)
        sent.key = key
        self._attempts[key] = sent
        if known is None:  # the client left while this was decided
            self.loop.call_soon(lambda: sent.finish(Outcome.MOOT))
            return
        self._within(sent, effect.timeout)
        self.place(effect.worker, sent, effect.attempt > 0)

    def abandon(self, call: int, attempt: int) -> None:
        sent = self._attempts.get((call, attempt))
        if sent is None:
            return
        self._give_up(sent)
        self.loop.call_soon(lambda: sent.finish(Outcome.CANCELLED))

    def order(self, effect: Order, done: Callable[[HoldDone], None]) -> None:
        def end(sent: Exchange, outcome: Outcome, answer: resp.Answer | None) -> None:
            copies = answer.copies or 0 if answer is not None else 0
            took = self.loop.now() - sent.began_us
            done(HoldDone(effect.worker, effect.function, outcome, took, copies, effect.copies))

        tag = self._tag()
        now = self.loop.now()
        latest = now + effect.latest if effect.latest else None
        sent = Exchange(tag, resp.spawn(tag, effect.function, effect.copies), now, end, latest)
        sent.harmless = not effect.copies
        self.ordered += effect.copies > 0
        self.asked += not effect.copies
        self._within(sent, self.limits.order_timeout_us)
        self.place(effect.worker, sent)

    def ping(self, effect: Ping, done: Callable[[PingDone], None]) -> None:
        def end(sent: Exchange, outcome: Outcome, answer: resp.Answer | None) -> None:
            report = answer.report if answer is not None else ()
            done(PingDone(effect.worker, outcome, self.loop.now() - sent.began_us, report))

        tag = self._tag()
        sent = Exchange(tag, resp.probe(tag), self.loop.now(), end)
        sent.harmless = True
        self._within(sent, PROBE_TIMEOUT_US)
        self.place(effect.worker, sent)

    def discard(self, effect: Discard) -> None:
        connection = self._pick(effect.worker)
        if connection is not None:
            connection.write(resp.reap(effect.function), None)

    def close_idle(self, worker: str) -> None:
        for connection in list(self._connections.get(worker, ())):
            if not connection.open:
                connection.close()

    # Which connection

    def place(self, worker: str, sent: Exchange, again: bool = False, fresh: bool = False) -> None:
        connection = self._pick(worker, sent.id if again else None, fresh)
        if connection is None:
            sent.connection = None
            # Where a worker is listed and none could be made, that is our want of descriptors, not its fault.
            lacking = Outcome.MOOT if worker in self._addresses else Outcome.CONNECT_FAILED
            self.loop.call_soon(lambda: sent.finish(lacking))
            return
        sent.connection = connection
        connection.open[sent.id] = sent
        connection.write(sent.command, sent)

    def _pick(self, worker: str, unless: bytes | None = None, fresh: bool = False) -> WorkerConnection | None:
        """An idle connection, else a new one while there is room, else the one with the least on it: what
        breaks one off then takes little else with it. Where `unless` was open before, an answer to that
        could be taken for one to this. `fresh`: not an idle one, which may be broken, too."""
        candidates = [
            connection
            for connection in self._connections.get(worker, ())
            if not connection.retired
            and len(connection.open) < self.limits.streams
            and (unless is None or (unless not in connection.past and unless not in connection.open))
        ]
        candidates.sort(key=lambda connection: len(connection.open))
        least = next((connection for connection in candidates if self._sound(connection)), None)
        if least is not None and not least.open and not fresh:
            return least
        address = self._addresses.get(worker)
        share = max(1, self.limits.connections // max(1, len(self._addresses)))
        room = self._count < self.limits.connections and len(candidates) < share
        if address is not None and (room or least is None):
            try:
                connection = WorkerConnection(self, worker, address)
            except OSError:  # no descriptor left, or no such address
                return least
            self._connections.setdefault(worker, []).append(connection)
            self._count += 1
            self.dialled += 1
            return connection
        return least

    def _sound(self, connection: WorkerConnection) -> bool:
        """Whether a call may be written into it: the other end's close may have come, or be about to."""
        if not connection.open and connection.connected and connection.idle_since_us < self._stale_us():
            connection.close()
        return not connection.ended

    def _stale_us(self) -> int:
        return self.loop.now() - int(self.limits.idle_time_us * IDLE_SHARE)

    def spare_one(self) -> bool:
        """Closes the connection that has been idle for longest, where there is one."""
        idle = (c for those in self._connections.values() for c in those if not c.open and c.connected)
        oldest = min(idle, key=lambda connection: connection.idle_since_us, default=None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def drop(self, connection: WorkerConnection) -> None:
        open_here = self._connections.get(connection.worker, [])
        if connection in open_here:
            open_here.remove(connection)
            self._count -= 1
            if not open_here:
                del self._connections[connection.worker]

    # Ends

    def spoilt(self, connection: WorkerConnection) -> None:
        """The worker is there, and has answered something to somebody: no sign that it died. Whatever was
        written to this connection may have run, and will not be heard of."""
        self.spoilt_answers += 1
        connection.break_off(Outcome.ERROR)

    def _within(self, sent: Exchange, time: int) -> None:
        sent.timer = self.loop.call_later(time, lambda: self._overdue(sent))

    def _overdue(self, sent: Exchange) -> None:
        self._give_up(sent)
        sent.finish(Outcome.TIMEOUT)

    def _give_up(self, sent: Exchange) -> None:
        """Takes it from its connection. One that has said nothing since it was sent may be dead, and gets
        nothing new."""
        connection, sent.connection = sent.connection, None
        if connection is None or connection.withdraw(sent) or sent.id not in connection.open:
            return
        if connection.heard_us < sent.began_us and connection.connected:
            connection.retired = True
        elif sent.key is not None and self.limits.cancel:
            connection.write(resp.kill(sent.id), None)
        connection.release(sent)

    def _tag(self) -> bytes:
        self._tags += 1
        return b"t%d" % self._tags

    def _sweep(self) -> None:
        since = self._stale_us()
        for open_here in list(self._connections.values()):
            for connection in list(open_here):
                if not connection.open and connection.connected and connection.idle_since_us < since:
                    connection.close()
