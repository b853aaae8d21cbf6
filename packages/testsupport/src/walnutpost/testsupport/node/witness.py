"""Workers behind relays that delay, cut and restore connections, and log load orders."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from walnutpost.eventloop import Listener, Loop, Queue, Stream, Task, connect
from walnutpost.testsupport.node.harness import (
    Words,
    Worker,
    reply,
    words_of,
)
from walnutpost.testsupport.node.ration_checker import RationLog

FRONT_END = "n0"

CHUNKS_MOST = 100_000  # that one direction of a connection may hold back


class Valve:
    """Lets tasks pass while it is open; those that come while it is shut wait in order."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waits: list[tuple[Task[Any], int]] = []
        self.is_shut = False

    def shut(self) -> None:
        """Hold back all tasks that come from now on."""
        self.is_shut = True

    def open(self) -> None:
        """Let the waiting tasks pass in order, and all that follow."""
        self.is_shut = False
        waits, self._waits = self._waits, []
        for task, token in waits:
            self._loop.wake(task, token)

    def wait(self) -> None:
        """Wait while the valve is shut."""
        while self.is_shut:
            self._waits.append(self._loop.begin_wait())
            self._loop.park()


class Relay:
    """A link to one worker, whose bytes in either direction wait while the valve of that direction is shut.

    Connections to it always come up. What was taken before the sender closed is delivered all the same, in
    order, before the end; of a sender that reset its connection only where `keeps_after_reset`. `delay` gives
    the time that each piece takes, and of each that finds the valve shut the first `leaks` bytes pass.
    """

    def __init__(self, loop: Loop, upstream: tuple[str, int], keeps_after_reset: bool = True) -> None:
        self._loop = loop
        self._upstream = upstream
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self.keeps_after_reset = keeps_after_reset
        self.to_worker = Valve(loop)
        self.to_node = Valve(loop)
        self.delay: Callable[[], int] = lambda: 0
        self.leaks = 0
        loop.spawn(self._accept, name="relay")

    def cut(self) -> None:
        """Hold back all bytes in both directions."""
        self.to_worker.shut()
        self.to_node.shut()

    def heal(self) -> None:
        """Let the bytes that were held back pass, and all that follow."""
        self.to_worker.open()
        self.to_node.open()

    def _accept(self) -> None:
        while True:
            self._loop.spawn(self._carry, self._listener.accept(), name="link")

    def _carry(self, near: Stream) -> None:
        try:
            far = connect(self._loop, self._upstream)
        except OSError:
            near.reset()
            return
        back = self._loop.spawn(self._pass_on, far, near, self.to_node, name="towards the node")
        self._pass_on(near, far, self.to_worker)
        back.join()
        near.close()
        far.close()

    def _pass_on(self, source: Stream, sink: Stream, valve: Valve) -> None:
        """Read on while the valve is shut, so that the sender's end is seen whenever it comes."""
        held: Queue[bytes | None] = Queue(self._loop, CHUNKS_MOST)
        reading = self._loop.spawn(self._take, source, held, name="link's reader")
        while True:
            data = held.get()
            try:
                if data and valve.is_shut and self.leaks:
                    sink.send_all(data[: self.leaks])
                    data = data[self.leaks :]
                if data and (delay := self.delay()):
                    self._loop.sleep(delay)
                valve.wait()
                if reading.is_done and reading.result and not self.keeps_after_reset:
                    return sink.reset()
                if data is None:
                    return sink.reset() if reading.result else sink.end_writing()
                sink.send_all(data)
            except OSError:  # nobody is there to get it
                return reading.cancel()

    def _take(self, source: Stream, held: Queue[bytes | None]) -> bool:
        """All that comes, and None for the end; says whether that was a reset."""
        try:
            while data := source.recv():
                held.put(data)
        except OSError:
            return True
        finally:
            held.put(None)
        return False


class Witness(Worker):
    """A worker behind a relay, which logs each order to load once it has read it whole.

    With `reads` shut it is a process that has stopped: connections come up and bytes wait in its kernel.
    """

    def __init__(self, loop: Loop, name: str, log: RationLog, front_end: str = FRONT_END) -> None:
        super().__init__(loop, name)
        self.log = log
        self.front_end = front_end
        self.reads = Valve(loop)
        self.relay = Relay(loop, self._listener.address)
        self.loaded: set[str] = set()
        self.served: set[bytes] = set()
        self.orders: list[int] = []  # when each had been read whole
        self.answer = self.model

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in the name server's list, with the relay's address."""
        return {**super().target, "endpoint": "{}:{}".format(*self.relay.address)}

    def model(self, words: Words) -> bytes | None:
        """Answer as a worker whose copies are ready as soon as they are ordered, and stay.

        A request that was served before has been repeated by somebody, and ends as an error.
        """
        fields = dict(part.partition("=")[::2] for part in words[2].decode().split(",")) if words[2:] else {}
        if words[0] == b"SPAWN":
            if int(fields["slots_up"]):
                self.loaded.add(fields["path"])
            copies = b"slots_up=%d" % (fields["path"] in self.loaded)
            return reply(words[1], b"OK", copies)
        if words[0] != b"FN":
            return None
        if fields["path"] not in self.loaded:
            return reply(words[1], b"MISS")
        if words[1] in self.served:
            return reply(words[1], b"ERR")
        self.served.add(words[1])
        return reply(words[1], b"OK", b"detail=resident", b"did " + words[3])

    def _serve(self, stream: Stream) -> None:
        rest = b""
        with suppress(OSError):
            while True:
                self._loop.wait_readable(stream.fd)
                self.reads.wait()
                data = stream.recv()
                if not data:
                    break
                whole, rest = words_of(rest + data)
                for words in whole:  # all are here now, whatever becomes of the answers
                    self._arrived(words)
                for words in whole:
                    if (back := self.answer(words)) is not None:
                        with suppress(OSError):
                            stream.send_all(back)
        stream.close()

    def _arrived(self, words: Words) -> None:
        self.got.append(words)
        if words[0] == b"SPAWN" and not words[2].endswith(b"slots_up=0"):
            self.orders.append(self._loop.now())
            self.log.order_arrived(self.front_end, self._loop.now())
