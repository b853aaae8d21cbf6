"""Proxied links between processes on loopback: one for each pair and direction of dialling.

Each link fails on command. Links do not know the protocol that they carry.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from walnutpost.eventloop import Event, Listener, Loop, Stream, WaitTimeoutError, connect

CHUNK_BYTES = 16 * 1024
CONNECT_TIMEOUT_US = 2_000_000
SECOND_US = 1_000_000
Address = tuple[str, int]


@dataclass(eq=False)
class LinkDirection:
    """One direction of a link.

    `rate` is in bytes a second, 0 for as fast as it goes. After `reset_after_bytes` more bytes both ends
    are reset once, wherever in a message that is.
    """

    loop: Loop
    delay_us: int = 0
    rate: int = 0
    reset_after_bytes: int | None = None
    _unblocked: Event = field(init=False)

    def __post_init__(self) -> None:
        """Begin unblocked."""
        self._unblocked = Event(self.loop)
        self._unblocked.set()

    def block(self) -> None:
        """Let nothing pass, without a reset, as when a network loses packets."""
        if self._unblocked.is_set:
            self._unblocked = Event(self.loop)

    def clear(self) -> None:
        """Let everything pass at once."""
        self.delay_us = 0
        self.rate = 0
        self.reset_after_bytes = None
        self._unblocked.set()

    def admit(self, data: bytes) -> bytes:
        """Wait as long as this direction takes; return the part of the data that passes before a reset."""
        if self.delay_us:
            self.loop.sleep(self.delay_us)
        if self.rate:
            self.loop.sleep(len(data) * SECOND_US // self.rate)
        self._unblocked.wait()
        if self.reset_after_bytes is None:
            return data
        if len(data) <= self.reset_after_bytes:
            self.reset_after_bytes -= len(data)
            return data
        part = data[: self.reset_after_bytes]
        self.reset_after_bytes = None
        return part


class LinkProxy:
    """Accepts connections at an address of the system's choice and passes them on.

    `find_target` is asked anew for each connection, since processes restart at other ports; None: nobody is
    there.
    """

    def __init__(self, loop: Loop, find_target: Callable[[], Address | None]) -> None:
        self.forward = LinkDirection(loop)
        self.backward = LinkDirection(loop)
        self._loop = loop
        self._find_target = find_target
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self._open: dict[Stream, Stream] = {}
        loop.spawn(self._accept, name="link proxy")

    def cut(self) -> None:
        """Block both directions."""
        self.forward.block()
        self.backward.block()

    def heal(self) -> None:
        """Let everything pass again; open connections are reset, as both ends have given them up."""
        self.reset()
        self.forward.clear()
        self.backward.clear()

    def reset(self) -> None:
        """Reset all open connections."""
        for near, far in list(self._open.items()):
            near.reset()
            far.reset()
        self._open.clear()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near = self._listener.accept()
                self._loop.spawn(self._connect, near, name="proxied link")

    def _connect(self, near: Stream) -> None:
        target = self._find_target()
        try:
            if target is None:
                raise ConnectionRefusedError("nobody is there")
            with self._loop.timeout(CONNECT_TIMEOUT_US):
                far = connect(self._loop, target)
        except (OSError, WaitTimeoutError):
            near.reset()
            return
        self._open[near] = far
        self._loop.spawn(self._pump, far, near, near, self.backward, name="proxied link back")
        self._pump(near, far, near, self.forward)

    def _pump(self, source: Stream, sink: Stream, near: Stream, direction: LinkDirection) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                part = direction.admit(data)
                if part:
                    sink.send_all(part)
                if len(part) < len(data):
                    source.reset()
                    sink.reset()
                    break
        except OSError:
            pass
        finally:
            self._open.pop(near, None)
            source.close()
            sink.close()


class ProxiedNetwork:
    """A link for each ordered pair of names; `find_address` is where a process listens now."""

    def __init__(
        self, loop: Loop, names: tuple[str, ...], find_address: Callable[[str], Address | None]
    ) -> None:
        def target(name: str) -> Callable[[], Address | None]:
            return lambda: find_address(name)

        self.links = {(a, b): LinkProxy(loop, target(b)) for a in names for b in names if a != b}

    def address(self, source: str, target: str) -> Address:
        """Return where `source` reaches `target`."""
        return self.links[source, target].address

    def cut(self, *names: str) -> None:
        """Cut these off from all others, and the others from them."""
        for (a, b), link in self.links.items():
            if (a in names) != (b in names):
                link.cut()

    def mute(self, name: str) -> None:
        """Block whatever a process sends, its requests and its responses; it receives all."""
        for (a, b), link in self.links.items():
            if a == name:
                link.forward.block()
            elif b == name:
                link.backward.block()

    def slow_down(self, delay_us: int) -> None:
        """Delay each chunk on all links."""
        for link in self.links.values():
            link.forward.delay_us = delay_us
            link.backward.delay_us = delay_us

    def heal(self) -> None:
        """Let everything pass again on all links."""
        for link in self.links.values():
            link.heal()
