"""Connections to the other replicas: messages in order, a bounded queue, no retransmission."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from walnutpost.consensus import Message
from walnutpost.controlplane import wire
from walnutpost.eventloop import Event, Loop, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Limits

MAX_QUEUED_MESSAGES = 512
"""To one replica; the oldest are dropped, since newer ones supersede them."""
MAX_BATCH_MESSAGES = 128
MIN_THROUGHPUT_BYTES_PER_US = 1
"""Added to the timeout: the size of a message divided by this rate."""
RECONNECT_DELAY_US = 20_000
"""After a failure; consensus repeats lost messages."""


class PeerConnection:
    """The connection to one other replica, opened when there is something to send.

    Its task starts with it. `reply_timeout_us` is for the reply to an empty batch.
    `sent_count`, `lost_count`: messages that were acknowledged, and that were given up.
    """

    def __init__(self, loop: Loop, address: Callable[[], tuple[str, int]], reply_timeout_us: int) -> None:
        self._loop = loop
        self._address = address
        self._reply_timeout_us = reply_timeout_us
        self._queue: deque[tuple[str, Message]] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._has_queued = Event(loop)
        self._connection: Connection | None = None
        self._task = loop.spawn(self._run, name="peer")
        self.sent_count = 0
        self.lost_count = 0

    def send(self, to: str, message: Message) -> None:
        """Queue a message for the replica with the id `to`."""
        self._queue.append((to, message))
        self._has_queued.set()

    def discard_queued(self) -> None:
        """Drop the messages that were not sent yet."""
        self._queue.clear()

    def close(self) -> None:
        """End the task and the connection."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    def _run(self) -> None:
        while True:
            self._has_queued.wait()
            self._has_queued = Event(self._loop)
            while self._queue:
                self._send_batch()

    def _send_batch(self) -> None:
        batch = self._take_batch()
        body = wire.encode(batch)
        try:
            with self._loop.timeout(self._reply_timeout_us + len(body) // MIN_THROUGHPUT_BYTES_PER_US):
                self._post(body)
            self.sent_count += len(batch.messages)
        except (OSError, HttpMessageError, WaitTimeoutError):
            self.lost_count += len(batch.messages)
            self._disconnect()
            self._loop.sleep(RECONNECT_DELAY_US)

    def _take_batch(self) -> wire.PeerMessages:
        """Remove the oldest messages with a common recipient from the queue."""
        to = self._queue[0][0]
        messages: list[Message] = []
        while self._queue and self._queue[0][0] == to and len(messages) < MAX_BATCH_MESSAGES:
            messages.append(self._queue.popleft()[1])
        return wire.PeerMessages(to, tuple(messages))

    def _post(self, body: bytes) -> None:
        connection = self._connection
        if connection is None or not connection.is_reusable:
            self._disconnect()
            limits = Limits(max_body_bytes=wire.MAX_BODY_BYTES)
            connection = Connection.open(self._loop, self._address(), limits=limits)
            self._connection = connection
        connection.request("POST", wire.MESSAGES_PATH, {"Content-Type": wire.CONTENT_TYPE}, body)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
