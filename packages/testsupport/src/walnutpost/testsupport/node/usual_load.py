"""Clients that keep the protocol: a fixed rate of requests, and what became of each."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

import msgpack

from walnutpost.eventloop import Loop, Stream, connect
from walnutpost.testsupport.node.harness import MILLISECOND_US, SECOND_US

MAX_OPEN_REQUESTS = 32
FIRST_FUNCTION = 0x1000
# An answer is lost if it comes later than this after its request's time: half a second, and 50 ms of slack.
LATE_AFTER_US = 550 * MILLISECOND_US
SAFE_CLASS, UNSAFE_CLASS = "valuation", "reservation"  # calls of the second must not run twice
RECONNECT_INTERVAL_US = 50 * MILLISECOND_US


@dataclass(slots=True, eq=False)
class SentRequest:
    """A request and its answer."""

    request_id: str
    request_class: str
    sent_us: int
    answered_us: int | None = None
    disconnected_us: int | None = None  # when its connection ended before its answer
    kind: str = "unanswered"  # "served", the name of an error, or "disconnected"


@dataclass(slots=True)
class LoadResult:
    """What became of the requests of a `UsualLoad`."""

    kinds: Counter[str]
    late: int
    latest_us: int  # the most that an answer was late by, counted from the request's time
    answered_twice: int
    not_sent: int


@dataclass(slots=True, eq=False)
class _Connection:
    stream: Stream
    last_id: int = 0
    open: dict[int, SentRequest] = field(default_factory=dict)


class UsualLoad:
    """Sends requests at a fixed rate over a fixed number of connections, which it keeps open.

    A connection that the node ends is replaced. Requests are spread over the connections in turn, and one
    that would be the 33rd open request of its connection is not sent.
    """

    def __init__(
        self, loop: Loop, address: tuple[str, int], requests_per_second: int, budget_us: int, seed: int
    ) -> None:
        self._loop = loop
        self._address = address
        self._interval_us = SECOND_US // requests_per_second
        self._budget_us = budget_us
        self._chance = random.Random(seed)
        self._connections: list[_Connection | None] = []
        self._is_sending = False
        self._functions = [f"{FIRST_FUNCTION + number:016x}" for number in range(12)]
        self.requests: list[SentRequest] = []
        self.answered_twice = 0
        self.not_sent = 0

    @property
    def functions(self) -> list[str]:
        """The functions that the requests name."""
        return self._functions

    def start(self, connection_count: int) -> None:
        """Open the connections and start to send."""
        self._is_sending = True
        self._connections = [None] * connection_count
        for index in range(connection_count):
            self._loop.spawn(self._keep_connected, index)
        self._loop.spawn(self._send_all)

    def stop(self) -> None:
        """Send nothing more; answers are still read."""
        self._is_sending = False

    def result(self) -> LoadResult:
        """Return what became of the requests so far."""
        over_us = [
            request.answered_us - request.sent_us - self._budget_us
            for request in self.requests
            if request.answered_us is not None
        ]
        return LoadResult(
            Counter(request.kind for request in self.requests),
            sum(each > LATE_AFTER_US for each in over_us),
            max(over_us, default=0),
            self.answered_twice,
            self.not_sent,
        )

    def _keep_connected(self, index: int) -> None:
        while True:
            try:
                connection = _Connection(connect(self._loop, self._address))
            except OSError:
                self._loop.sleep(RECONNECT_INTERVAL_US)
                continue
            self._connections[index] = connection
            self._read(connection)
            self._connections[index] = None
            connection.stream.close()
            for request in connection.open.values():
                request.kind = "disconnected"
                request.disconnected_us = self._loop.now()

    def _read(self, connection: _Connection) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := connection.stream.recv():
                unpacker.feed(data)
                for _, message_id, error, _ in unpacker:
                    self._record_answer(connection, message_id, error)
        except OSError:
            pass

    def _record_answer(self, connection: _Connection, message_id: int, error: list[object] | None) -> None:
        request = connection.open.pop(message_id, None)
        if request is None:
            self.answered_twice += 1
            return
        request.answered_us = self._loop.now()
        request.kind = "served" if error is None else str(error[0])

    def _send_all(self) -> None:
        started_us, number = self._loop.now(), 0
        while self._is_sending:
            due_us = started_us + number * self._interval_us
            if due_us > self._loop.now():
                self._loop.sleep(due_us - self._loop.now())
            connection = self._connections[number % len(self._connections)]
            number += 1
            if connection is None or len(connection.open) >= MAX_OPEN_REQUESTS:
                self.not_sent += 1
            else:
                self._send(connection, number)

    def _send(self, connection: _Connection, number: int) -> None:
        request_id = f"0{self._chance.getrandbits(28):07x}{number:08x}"  # abusive ones begin with f
        fields = {
            "rid": request_id,
            "budget": str(self._budget_us // MILLISECOND_US),
            "obj": self._chance.choice(self._functions),
            "attrs": "memory_mb:250;lanes:2",
        }
        connection.last_id += 1
        request_class = UNSAFE_CLASS if number % 20 < 7 else SAFE_CLASS
        message = msgpack.packb([0, connection.last_id, request_class, [fields, b"isbn " * 20]])
        request = SentRequest(request_id, request_class, self._loop.now())
        try:
            connection.stream.send_all(message)
        except OSError:
            self.not_sent += 1
            return
        self.requests.append(request)
        connection.open[connection.last_id] = request
