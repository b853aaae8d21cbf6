"""Connections to workers: attempts, orders and probes, and how each ended (`daemon.core.Carrier`)."""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from walnutpost.gateway import AttemptDone, Discard, HoldDone, Order, Ping, PingDone, Start
from walnutpost.interface import Outcome
from walnutpost.loop import Loop, Stream
from walnutpost.loop.sockets import opening
from walnutpost.loop.timers import Timer
from walnutpost.node import resp
from walnutpost.node.directory import Address

SWEEP = 1_000_000
PROBE_TIMEOUT = 1_000_000
IDLE_SHARE = 0.7  # of the time after which the worker closes an idle connection: never to write into that
MOVES_MOST = 3  # to other connections, of what can't have run, or harms nothing twice
PAST_MOST = 256  # ids that a connection remembers as ended


@dataclass(frozen=True, slots=True)
class WorkerLimits:
    """Times in microseconds; `connections` in all, `streams` at once on one of them."""

    dial_timeout: int
    idle_time: int
    order_timeout: int
    streams: int
    connections: int
    report_fields: tuple[str, ...]


class _Sent:
    """Something that is owed an end: an attempt, an order or a probe. It gets one, whatever happens after."""

    __slots__ = (
        "_end",
        "began",
        "command",
        "ended",
        "harmless",
        "id",
        "key",
        "link",
        "moves",
        "timer",
        "written",
    )

    def __init__(
        self, id: bytes, command: bytes, began: int, end: Callable[[_Sent, Outcome, resp.Answer | None], None]
    ):
        self.id = id
        self.command = command
        self.began = began
        self._end = end
        self.ended = False
        self.key: tuple[int, int] | None = None  # call and attempt
        self.link: _Link | None = None
        self.timer: Timer | None = None
        self.written = False  # whether the worker may have got any of it
        self.moves = 0
        self.harmless = False  # asks only, so that twice is as good as once

    def finish(self, outcome: Outcome, answer: resp.Answer | None = None) -> None:
        if not self.ended:
            self.ended = True
            if self.timer is not None:
                self.timer.cancel()
            self._end(self, outcome, answer)


class _Link:
    """One connection; what is to be written is kept until the end of the round."""

    def __init__(self, workers: Workers, worker: str, address: Address) -> None:
        self.worker = worker
        self._workers = workers
        self._loop = workers.loop
        self.open: dict[bytes, _Sent] = {}
        self.past: dict[bytes, None] = {}
        self.connected = False
        self.reached = False  # somebody took the connection, whatever became of it
        self.retired = False  # takes nothing new
        self.closed = False
        self.heard = 0
        self.idle_since = self._loop.now()
        self._reader = resp.Reader(workers.limits.report_fields)
        self._out: list[tuple[bytes, _Sent | None]] = []
        self._rest = b""
        self._flushing = False
        self._sock, code = opening(address)
        self.stream = Stream(self._loop, self._sock)
        self._dial = self._loop.call_later(workers.limits.dial_timeout, self.break_off)
        if code not in (0, errno.EINPROGRESS):
            self._loop.call_soon(self.break_off)
        else:
            self.stream.on_writable(self._dialled)

    def _dialled(self) -> None:
        if self.closed:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.reached = error in (0, errno.ECONNRESET)
        if error:
            return self.break_off()
        self._dial.cancel()
        self.connected = True
        self.stream.on_readable(self._readable)
        self._flush()

    def put(self, command: bytes, sent: _Sent | None) -> None:
        self._out.append((command, sent))
        if self.connected and not self._flushing and not self._rest:
            self._flushing = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flushing = False
        if self.closed or not self.connected:
            return
        data = self._rest + b"".join(command for command, _ in self._out)
        if not data:
            return
        try:
            rest = self.stream.send_now(data)
        except OSError:
            return self.break_off()
        if len(rest) < len(data):
            for _, sent in self._out:
                if sent is not None:
                    sent.written = True
            self._out.clear()
            self._rest = rest
        if rest:
            self.stream.on_writable(self._flush)

    def _readable(self) -> None:
        if self.closed:
            return
        try:
            data = self.stream.recv_now()
        except OSError:
            return self.break_off()
        if data == b"":
            return self.break_off()
        if data:
            self.heard = self._loop.now()
            answers, spoilt = self._reader.feed(data)
            for answer in answers:
                sent = self.open.get(answer.id)
                # An id that isn't open is one given up, a second copy, or somebody's mistake: not ours.
                if sent is not None:
                    self.release(sent)
                    sent.finish(answer.outcome, answer)
            if spoilt is not None:
                return self._workers.spoilt(self, spoilt)
        if not self.closed:
            self.stream.on_readable(self._readable)

    def release(self, sent: _Sent) -> None:
        """It is owed nothing by this connection any more."""
        if self.open.pop(sent.id, None) is None:
            return
        self.past[sent.id] = None
        if len(self.past) > PAST_MOST:
            del self.past[next(iter(self.past))]
        if not self.open:
            self.idle_since = self._loop.now()
            if self.retired:
                self.close()

    def break_off(self) -> None:
        """The connection has ended: what was written may have run, what was not can't have. One connection
        may break by itself, and then others with it: what can be sent again goes out on a new one, so that
        only a worker that takes none is told to have failed."""
        if self.closed:
            return
        for sent in self.emptied():
            if self.reached and sent.moves < MOVES_MOST and (sent.harmless or not sent.written):
                sent.moves += 1
                sent.written = False
                self._workers.place(self.worker, sent, fresh=True)
            elif sent.written:
                sent.finish(Outcome.RESET)
            else:
                sent.finish(Outcome.CONNECT_FAILED)

    def emptied(self) -> list[_Sent]:
        """Closes it; what was open on it."""
        waiting = list(self.open.values())
        self.open.clear()
        self.close()
        return waiting

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._dial.cancel()
            self.stream.close()
            self._workers.drop(self)


class Workers:
    """`origin` gives a ticket's id and class as its client told them."""

    def __init__(self, loop: Loop, limits: WorkerLimits, origin: Callable[[int], tuple[bytes, str]]) -> None:
        self.loop = loop
        self.limits = limits
        self._origin = origin
        self._addresses: dict[str, Address] = {}
        self._links: dict[str, list[_Link]] = {}
        self._count = 0
        self._tags = 0
        self._attempts: dict[tuple[int, int], _Sent] = {}
        self.dialled = self.spoilt_answers = self.ordered = self.asked = 0
        self.ends: Counter[tuple[str, Outcome]] = Counter()  # how attempts ended, since it was last looked at
        loop.call_later(SWEEP, self._sweep)

    @property
    def connections(self) -> int:
        return self._count

    def told(self, addresses: Mapping[str, Address]) -> None:
        """What the list says now. What is out at a worker that has gone is left to end by itself."""
        for name, address in list(self._addresses.items()):
            if addresses.get(name) != address:
                for link in list(self._links.get(name, ())):
                    link.retired = True
                    if not link.open:
                        link.close()
        self._addresses = dict(addresses)

    # Effects

    def start(
        self,
        effect: Start,
        done: Callable[[AttemptDone], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        id, cls = self._origin(effect.ticket)
        call, attempt = key = (effect.call, effect.attempt)

        def end(sent: _Sent, outcome: Outcome, answer: resp.Answer | None) -> None:
            self._attempts.pop(key, None)
            took = self.loop.now() - sent.began
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

        command = resp.call(id, cls, effect.function, effect.timeout, effect.payload)
        sent = _Sent(id, command, self.loop.now(), end)
        sent.key = key
        self._attempts[key] = sent
        self._within(sent, effect.timeout)
        self.place(effect.worker, sent, effect.attempt > 0)

    def abandon(self, call: int, attempt: int) -> None:
        sent = self._attempts.get((call, attempt))
        if sent is None:
            return
        self._give_up(sent)
        self.loop.call_soon(lambda: sent.finish(Outcome.CANCELLED))

    def order(self, effect: Order, done: Callable[[HoldDone], None]) -> None:
        def end(sent: _Sent, outcome: Outcome, answer: resp.Answer | None) -> None:
            copies = answer.copies or 0 if answer is not None else 0
            took = self.loop.now() - sent.began
            done(HoldDone(effect.worker, effect.function, outcome, took, copies))

        tag = self._tag()
        sent = _Sent(tag, resp.spawn(tag, effect.function, effect.copies), self.loop.now(), end)
        sent.harmless = not effect.copies
        self.ordered += effect.copies > 0
        self.asked += not effect.copies
        self._within(sent, self.limits.order_timeout)
        self.place(effect.worker, sent)

    def ping(self, effect: Ping, done: Callable[[PingDone], None]) -> None:
        def end(sent: _Sent, outcome: Outcome, answer: resp.Answer | None) -> None:
            report = answer.report if answer is not None else ()
            done(PingDone(effect.worker, outcome, self.loop.now() - sent.began, report))

        tag = self._tag()
        sent = _Sent(tag, resp.probe(tag), self.loop.now(), end)
        sent.harmless = True
        self._within(sent, PROBE_TIMEOUT)
        self.place(effect.worker, sent)

    def discard(self, effect: Discard) -> None:
        link = self._pick(effect.worker)
        if link is not None:
            link.put(resp.reap(effect.function), None)

    def close_idle(self, worker: str) -> None:
        for link in list(self._links.get(worker, ())):
            if not link.open:
                link.close()

    # Which connection

    def place(self, worker: str, sent: _Sent, again: bool = False, fresh: bool = False) -> None:
        link = self._pick(worker, sent.id if again else None, fresh)
        if link is None:
            sent.link = None
            self.loop.call_soon(lambda: sent.finish(Outcome.CONNECT_FAILED))
            return
        sent.link = link
        link.open[sent.id] = sent
        link.put(sent.command, sent)

    def _pick(self, worker: str, unless: bytes | None = None, fresh: bool = False) -> _Link | None:
        """An idle connection, else a new one while there is room, else the one with the least on it: what
        breaks one off then takes little else with it. Where `unless` was open before, an answer to that
        could be taken for one to this. `fresh`: not an idle one, which may be broken, too."""
        links = [
            link
            for link in self._links.get(worker, ())
            if not link.retired
            and len(link.open) < self.limits.streams
            and (unless is None or (unless not in link.past and unless not in link.open))
        ]
        least = min(links, key=lambda link: len(link.open), default=None)
        if least is not None and not least.open and not fresh:
            return least
        address = self._addresses.get(worker)
        share = max(1, self.limits.connections // max(1, len(self._addresses)))
        room = self._count < self.limits.connections and len(links) < share
        if address is not None and (room or least is None):
            try:
                link = _Link(self, worker, address)
            except OSError:  # no descriptor left, or no such address
                return least
            self._links.setdefault(worker, []).append(link)
            self._count += 1
            self.dialled += 1
            return link
        return least

    def drop(self, link: _Link) -> None:
        links = self._links.get(link.worker, [])
        if link in links:
            links.remove(link)
            self._count -= 1
            if not links:
                del self._links[link.worker]

    # Ends

    def spoilt(self, link: _Link, why: resp.Spoilt) -> None:
        """The worker is there, and has answered something to somebody: no sign that it died. Whatever is
        open on this connection may have run, and will not be heard of."""
        self.spoilt_answers += 1
        for sent in link.emptied():
            sent.finish(Outcome.ERROR)

    def _within(self, sent: _Sent, time: int) -> None:
        sent.timer = self.loop.call_later(time, lambda: self._overdue(sent))

    def _overdue(self, sent: _Sent) -> None:
        self._give_up(sent)
        sent.finish(Outcome.TIMEOUT)

    def _give_up(self, sent: _Sent) -> None:
        """Takes it from its connection. One that has said nothing since it was sent may be dead, and gets
        nothing new."""
        link, sent.link = sent.link, None
        if link is None or sent.id not in link.open:
            return
        if link.heard < sent.began and link.connected:
            link.retired = True
        elif sent.key is not None:
            link.put(resp.kill(sent.id), None)
        link.release(sent)

    def _tag(self) -> bytes:
        self._tags += 1
        return b"t%d" % self._tags

    def _sweep(self) -> None:
        since = self.loop.now() - int(self.limits.idle_time * IDLE_SHARE)
        for links in list(self._links.values()):
            for link in list(links):
                if not link.open and link.idle_since < since:
                    link.close()
        self.loop.call_later(SWEEP, self._sweep)
