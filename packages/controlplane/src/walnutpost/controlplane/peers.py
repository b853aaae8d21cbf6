"""The way to another keeper: messages are posted in order, and at most so many wait; what is lost is lost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from walnutpost.consensus import Message
from walnutpost.controlplane import wire
from walnutpost.eventloop import Event, Loop, WaitTimeoutError
from walnutpost.http import BadMessage, Connection, Limits

WAITING_MOST = 512  # of messages to one keeper: the newest tell most
TOGETHER_MOST = 128
RATE_LEAST = 1  # bytes a microsecond: a large state may take its time to arrive
PAUSE = 20_000  # after a way that failed: the next message says the same or more


class Peer:
    """One other keeper: a connection that is opened when there is something to say."""

    def __init__(self, loop: Loop, address: Callable[[], tuple[str, int]], answer_time: int) -> None:
        self._loop = loop
        self._address = address
        self._answer_time = answer_time
        self._waiting: deque[tuple[str, Message]] = deque(maxlen=WAITING_MOST)
        self._some = Event(loop)
        self._connection: Connection | None = None
        self._task = loop.spawn(self._run, name="peer")
        self.posted = self.lost = 0

    def send(self, to: str, message: Message) -> None:
        self._waiting.append((to, message))
        self._some.set()

    def discard(self) -> None:
        """What has not left yet is lost."""
        self._waiting.clear()

    def close(self) -> None:
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    def _run(self) -> None:
        while True:
            self._some.wait()
            self._some = Event(self._loop)
            while self._waiting:
                to = self._waiting[0][0]
                batch: list[Message] = []
                while self._waiting and self._waiting[0][0] == to and len(batch) < TOGETHER_MOST:
                    batch.append(self._waiting.popleft()[1])
                body = wire.encode(wire.Post(to, tuple(batch)))
                try:
                    with self._loop.timeout(self._answer_time + len(body) // RATE_LEAST):
                        self._post(body)
                    self.posted += len(batch)
                except (OSError, BadMessage, WaitTimeoutError):
                    self.lost += len(batch)
                    self._drop()
                    self._loop.sleep(PAUSE)

    def _post(self, body: bytes) -> None:
        connection = self._connection
        if connection is None or not connection.reusable:
            self._drop()
            connection = Connection.open(self._loop, self._address(), limits=Limits(body=wire.BODY_MOST))
            self._connection = connection
        connection.ask("POST", wire.MESSAGES, {"Content-Type": "application/msgpack"}, body)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
