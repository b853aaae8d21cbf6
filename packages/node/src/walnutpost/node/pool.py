"""The connection pool of each worker: attempts, orders and probes go out on it (`core.Carrier`)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

from walnutpost.eventloop import Loop
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Probe, ProbeEnded, Send, Unload
from walnutpost.interface import Outcome
from walnutpost.node import resp, selection
from walnutpost.node.connection import WorkerConnection
from walnutpost.node.directory import Address
from walnutpost.node.exchange import Exchange, Kind, Progress
from walnutpost.node.limits import WorkerLimits

__all__ = ["Identity", "WorkerLimits", "WorkerPool"]

Identity = tuple[bytes, str, str]
SWEEP_US = 1_000_000
SWEEP_SHARE = 0.1  # of the same time, where that is less
PROBE_TIMEOUT_US = 1_000_000
IDLE_SHARE = 0.7  # of the time after which the worker closes an idle connection: never to write into that


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
        self._attempts: dict[tuple[int, int], Exchange] = {}  # by call and attempt
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
        effect: Send,
        done: Callable[[AttemptEnded], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Sends an attempt of a call; its time runs from now."""
        now, ticket = self.loop.now(), effect.ticket
        known = self._identity(ticket)
        id, cls, repeat_key = known or (b"", "", "")
        deadline = now + effect.timeout_us

        def encode(at: int) -> bytes:
            return resp.call(id, cls, effect.function, deadline - at, effect.payload, repeat_key)

        exchange = Exchange(
            Kind.CALL,
            id,
            encode,
            now,
            effect.timeout_us,
            partial(self._attempt_ended, effect, done),
            effect.begin_within_us,
            lambda: self._identity(ticket) is not None,
        )
        self._attempts[effect.call, effect.attempt] = exchange
        if known is None:  # the client left while this was decided
            self.loop.call_soon(lambda: exchange.finish(Outcome.MOOT))
            return
        self._begin(effect.worker, exchange)

    def _attempt_ended(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        exchange: Exchange,
        outcome: Outcome,
        answer: resp.Answer | None,
    ) -> None:
        self._attempts.pop((effect.call, effect.attempt), None)
        self.ends[effect.worker, outcome] += 1
        took = self.loop.now() - exchange.began_us
        if answer is None:
            done(AttemptEnded(effect.call, effect.attempt, outcome, took))
            return
        body = answer.body if outcome is Outcome.OK else b""
        done(
            AttemptEnded(
                effect.call,
                effect.attempt,
                outcome,
                took,
                body,
                False,
                answer.warmth,
                answer.crowd,
                answer.report,
            )
        )

    def abandon(self, call: int, attempt: int) -> None:
        """Gives the attempt up, also where it has left."""
        exchange = self._attempts.get((call, attempt))
        if exchange is None:
            return
        exchange.abandoned = True
        if exchange.carrier is not None:
            exchange.carrier.give_up(exchange)
        self.loop.call_soon(lambda: exchange.finish(Outcome.CANCELLED))

    def order(self, effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
        """Sends an order to load, or a question; its outcome is as `interface.LoadOrderEnded` says."""

        def end(exchange: Exchange, outcome: Outcome, answer: resp.Answer | None) -> None:
            if answer is None and outcome is Outcome.ERROR and effect.copies:
                outcome = Outcome.RESET  # malformed bytes came, and they answer nothing
            copies = answer.copies or 0 if answer is not None else 0
            took = self.loop.now() - exchange.began_us
            done(LoadOrderEnded(effect.worker, effect.function, outcome, took, copies, effect.copies))

        self.ordered += effect.copies > 0
        self.asked += not effect.copies
        tag = self._tag()
        command = resp.spawn(tag, effect.function, effect.copies)
        exchange = Exchange(
            Kind.ORDER if effect.copies else Kind.QUESTION,
            tag,
            lambda at: command,
            self.loop.now(),
            self.limits.order_timeout_us,
            end,
            effect.begin_within_us,
        )
        self._begin(effect.worker, exchange)

    def ping(self, effect: Probe, done: Callable[[ProbeEnded], None]) -> None:
        """Sends a probe."""

        def end(exchange: Exchange, outcome: Outcome, answer: resp.Answer | None) -> None:
            report = answer.report if answer is not None else ()
            done(ProbeEnded(effect.worker, outcome, self.loop.now() - exchange.began_us, report))

        tag = self._tag()
        command = resp.probe(tag)
        now = self.loop.now()
        self._begin(effect.worker, Exchange(Kind.PROBE, tag, lambda at: command, now, PROBE_TIMEOUT_US, end))

    def discard(self, effect: Unload) -> None:
        """Tells the worker to unload idle copies; nothing comes back."""
        connection = self._pick(effect.worker, self._tag())
        if connection is not None:
            connection.notify(resp.reap(effect.function))

    def close_idle(self, worker: str) -> None:
        """Closes the worker's connections that carry nothing."""
        for connection in list(self._connections.get(worker, ())):
            if not connection.open:
                connection.close()

    # Which connection

    def place(self, worker: str, exchange: Exchange, fresh: bool = False) -> None:
        """Puts the exchange on a connection to the worker, a new one where `fresh`."""
        connection = self._pick(worker, exchange.id, fresh)
        if connection is not None:
            connection.send(exchange)
            return
        # Where a worker is listed and none could be made, that is our want of descriptors, not its fault.
        lacking = Outcome.MOOT if worker in self._addresses else Outcome.CONNECT_FAILED
        self.loop.call_soon(lambda: exchange.finish(lacking))

    def _pick(self, worker: str, id: bytes, fresh: bool = False) -> WorkerConnection | None:
        """An idle connection, else a new one while there is room, else the one with the least on it. `fresh`:
        not an idle one, which may be broken, too."""
        usable = selection.candidates(self._connections.get(worker, ()), id, self.limits.streams)
        best = next((connection for connection in usable if self._sound(connection)), None)
        if best is not None and not best.open and not fresh:
            return best
        share = max(1, self.limits.connections // max(1, len(self._addresses)))
        room = self._count < self.limits.connections and len(usable) < share
        if room or best is None:
            return self._dial(worker) or best
        return best

    def _dial(self, worker: str) -> WorkerConnection | None:
        """A new connection, on its way up; None without an address or a descriptor."""
        address = self._addresses.get(worker)
        if address is None:
            return None
        try:
            connection = WorkerConnection(self, worker, address)
        except OSError:
            return None
        self._connections.setdefault(worker, []).append(connection)
        self._count += 1
        self.dialled += 1
        return connection

    def _sound(self, connection: WorkerConnection) -> bool:
        """Whether a call may be written into it: the other end's close may have come, or be about to, and
        the rest of half an answer that nobody waits for would be taken for part of the next one."""
        idle = not connection.open and connection.connected
        if idle and (connection.mid_answer or connection.idle_since_us < self._stale_us()):
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
        """Forgets a connection that has been closed."""
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

    def _begin(self, worker: str, exchange: Exchange) -> None:
        timeout = exchange.deadline_us - exchange.began_us
        exchange.timer = self.loop.call_later(timeout, lambda: self._overdue(exchange))
        self.place(worker, exchange)

    def _overdue(self, exchange: Exchange) -> None:
        """Its time is over. What was not sent whole can't arrive any more once it is given up."""
        sent = exchange.progress is Progress.SENT
        if exchange.carrier is not None:
            exchange.carrier.give_up(exchange)
        exchange.finish(Outcome.TIMEOUT if sent else Outcome.MOOT)

    def _tag(self) -> bytes:
        self._tags += 1
        return b"t%d" % self._tags

    def _sweep(self) -> None:
        since = self._stale_us()
        for open_here in list(self._connections.values()):
            for connection in list(open_here):
                if not connection.open and connection.connected and connection.idle_since_us < since:
                    connection.close()
