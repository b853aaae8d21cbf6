"""Fake workers that log load orders, behind relays that delay, cut and restore their connections."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import Any

from walnutpost.eventloop import Listener, Loop, Queue, Stream, Task, connect
from walnutpost.testsupport.node.harness import (
    Command,
    FakeWorker,
    parse_commands,
    reply,
)
from walnutpost.testsupport.node.ration_checker import LoadOrderLog

FRONT_END = "n0"

MAX_HELD_CHUNKS = 100_000  # per direction of a connection


class Gate:
    """Blocks tasks while it is closed and lets them continue in order once it opens."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: list[tuple[Task[Any], int]] = []
        self.is_closed = False

    def close(self) -> None:
        """Block all tasks that call `wait` from now on."""
        self.is_closed = True

    def open(self) -> None:
        """Wake the waiting tasks in order and block no others."""
        self.is_closed = False
        waiting, self._waiting = self._waiting, []
        for task, token in waiting:
            self._loop.wake(task, token)

    def wait(self) -> None:
        """Wait while the gate is closed."""
        while self.is_closed:
            self._waiting.append(self._loop.begin_wait())
            self._loop.park()


class HeldBytes(Enum):
    """What happens to bytes that a relay holds back when their sender resets its connection."""

    DELIVERED = "delivered"  # as by a proxy, which has taken them over
    DROPPED = "dropped"  # as by the sender's kernel, which no longer repeats them
    DELIVERED_BEHIND_AN_ANSWER = "delivered_behind_an_answer"  # only if the relay holds back an answer, too


@dataclass
class _RelayedConnection:
    """What a relay knows of one connection."""

    holds_answer: bool = False  # bytes of the worker that wait for the gate


class Relay:
    """A TCP relay to one worker, which holds bytes back while the gate of their direction is closed.

    The relay always accepts connections. If the sender closes its connection, the bytes sent before are still
    delivered in order.
    """

    def __init__(
        self, loop: Loop, upstream: tuple[str, int], after_reset: HeldBytes = HeldBytes.DELIVERED
    ) -> None:
        self._loop = loop
        self._upstream = upstream
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self.after_reset = after_reset
        self.to_worker = Gate(loop)
        self.to_node = Gate(loop)
        self.delay: Callable[[], int] = lambda: 0  # returns the delay of a chunk in microseconds
        self.leaked_prefix_bytes = 0  # so many bytes of each chunk pass a closed gate
        loop.spawn(self._accept, name="relay")

    def cut(self) -> None:
        """Hold back all bytes in both directions."""
        self.to_worker.close()
        self.to_node.close()

    def heal(self) -> None:
        """Forward the bytes that were held back and everything after them."""
        self.to_worker.open()
        self.to_node.open()

    def _accept(self) -> None:
        while True:
            self._loop.spawn(self._forward_connection, self._listener.accept(), name="relay connection")

    def _forward_connection(self, node_side: Stream) -> None:
        try:
            worker_side = connect(self._loop, self._upstream)
        except OSError:
            node_side.reset()
            return
        connection = _RelayedConnection()
        to_node_task = self._loop.spawn(
            self._forward, worker_side, node_side, self.to_node, connection, name="relay to node"
        )
        self._forward(node_side, worker_side, self.to_worker, connection)
        to_node_task.join()
        node_side.close()
        worker_side.close()

    def _forward(self, source: Stream, sink: Stream, gate: Gate, connection: _RelayedConnection) -> None:
        """Forward bytes; keep reading while the gate is closed, to notice at once if the sender closes."""
        held: Queue[bytes | None] = Queue(self._loop, MAX_HELD_CHUNKS)
        reader = self._loop.spawn(self._read_into, source, held, name="relay reader")
        while True:
            data = held.get()
            try:
                if data and gate.is_closed and self.leaked_prefix_bytes:
                    sink.send_all(data[: self.leaked_prefix_bytes])
                    data = data[self.leaked_prefix_bytes :]
                if data and (delay := self.delay()):
                    self._loop.sleep(delay)
                self._wait_at_gate(gate, connection)
                if reader.is_done and reader.result and self._drops_held_bytes(connection):
                    return sink.reset()
                if data is None:
                    return sink.reset() if reader.result else sink.shutdown_write()
                sink.send_all(data)
                if gate is self.to_node:
                    connection.holds_answer = False
            except OSError:  # the receiver has gone
                return reader.cancel()

    def _wait_at_gate(self, gate: Gate, connection: _RelayedConnection) -> None:
        if gate is self.to_node and gate.is_closed:
            connection.holds_answer = True
        gate.wait()

    def _drops_held_bytes(self, connection: _RelayedConnection) -> bool:
        if self.after_reset is HeldBytes.DELIVERED_BEHIND_AN_ANSWER:
            return not connection.holds_answer
        return self.after_reset is HeldBytes.DROPPED

    def _read_into(self, source: Stream, held: Queue[bytes | None]) -> bool:
        """Put all chunks into `held`, then None at the end; return whether the sender sent a reset."""
        try:
            while data := source.recv():
                held.put(data)
        except OSError:
            return True
        finally:
            held.put(None)
        return False


class LoggingWorker(FakeWorker):
    """A fake worker behind a relay, which logs each load order when it has received it completely.

    While its read gate is closed, it acts like a stopped process: connections are accepted, and bytes wait in
    the kernel.
    """

    def __init__(self, loop: Loop, name: str, log: LoadOrderLog, front_end: str = FRONT_END) -> None:
        super().__init__(loop, name)
        self.log = log
        self.front_end = front_end
        self.read_gate = Gate(loop)
        self.relay = Relay(loop, self._listener.address)
        self.loaded: set[str] = set()
        self.executed_calls: set[bytes] = set()
        self.orders: list[int] = []  # times at which each had been received completely, in microseconds
        self.answer = self.answer_from_loaded_functions

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in a list of endpoints, with the address of its relay."""
        return {**super().target, "endpoint": "{}:{}".format(*self.relay.address)}

    def answer_from_loaded_functions(self, command: Command) -> bytes | None:
        """Answer as a worker that loads a function at once when ordered and never unloads it.

        A call whose id was executed before is answered with an error, as it must be a duplicate.
        """
        fields = (
            dict(part.partition("=")[::2] for part in command[2].decode().split(",")) if command[2:] else {}
        )
        if command[0] == b"SPAWN":
            if int(fields["slots_up"]):
                self.loaded.add(fields["path"])
            copies = b"slots_up=%d" % (fields["path"] in self.loaded)
            return reply(command[1], b"OK", copies)
        if command[0] != b"FN":
            return None
        if fields["path"] not in self.loaded:
            return reply(command[1], b"MISS")
        if command[1] in self.executed_calls:
            return reply(command[1], b"ERR")
        self.executed_calls.add(command[1])
        return reply(command[1], b"OK", b"detail=resident", b"did " + command[3])

    def _serve(self, stream: Stream) -> None:
        rest = b""
        with suppress(OSError):
            while True:
                self._loop.wait_readable(stream.fd)
                self.read_gate.wait()
                data = stream.recv()
                if not data:
                    break
                commands, rest = parse_commands(rest + data)
                for command in commands:  # all are recorded first, as a failed response must not lose one
                    self._record(command)
                for command in commands:
                    if (response := self.answer(command)) is not None:
                        with suppress(OSError):
                            stream.send_all(response)
        stream.close()

    def _record(self, command: Command) -> None:
        self.received_commands.append(command)
        if command[0] == b"SPAWN" and not command[2].endswith(b"slots_up=0"):
            self.orders.append(self._loop.now())
            self.log.log_load_order(self.front_end, self._loop.now())
