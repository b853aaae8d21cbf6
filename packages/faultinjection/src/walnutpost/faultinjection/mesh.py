"""Relays between processes on loopback: one for each pair and direction of dialling, failing on command."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from walnutpost.eventloop import Event, Listener, Loop, Stream, WaitTimeoutError, connect

CHUNK = 16 * 1024
DIAL_TIME = 2_000_000


@dataclass(eq=False)
class Way:
    """One direction of a relay. `delay` in microseconds; `rate` in bytes a second, 0 for as fast as it goes;
    after `left` more bytes both ends are reset once, wherever in a message that is."""

    loop: Loop
    delay: int = 0
    rate: int = 0
    left: int | None = None
    _free: Event = field(init=False)

    def __post_init__(self) -> None:
        self._free = Event(self.loop)
        self._free.set()

    def hold(self) -> None:
        """Nothing passes and nothing is said, as when a network swallows packets."""
        if self._free.is_set:
            self._free = Event(self.loop)

    def free(self) -> None:
        self.delay, self.rate, self.left = 0, 0, None
        self._free.set()

    def passes(self, data: bytes) -> bytes:
        """Waits as long as this direction makes it; what of it may leave."""
        if self.delay:
            self.loop.sleep(self.delay)
        if self.rate:
            self.loop.sleep(len(data) * 1_000_000 // self.rate)
        self._free.wait()
        if self.left is None:
            return data
        if len(data) <= self.left:
            self.left -= len(data)
            return data
        part, self.left = data[: self.left], None
        return part


class Relay:
    """Takes connections at an address of the system's choice and passes them on to `target`, which is asked
    anew for each, since processes come back at other ports. None: nobody is there."""

    def __init__(self, loop: Loop, target: Callable[[], tuple[str, int] | None]) -> None:
        self._loop, self._target = loop, target
        self.there, self.back = Way(loop), Way(loop)
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self._open: dict[Stream, Stream] = {}
        loop.spawn(self._accept, name="relay")

    def cut(self) -> None:
        """Silence in both directions."""
        self.there.hold()
        self.back.hold()

    def heal(self) -> None:
        """All passes again; connections that were held are reset, as both ends have given them up."""
        self.reset()
        self.there.free()
        self.back.free()

    def reset(self) -> None:
        for near, far in list(self._open.items()):
            near.reset()
            far.reset()
        self._open.clear()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near = self._listener.accept()
                self._loop.spawn(self._connect, near, name="relayed")

    def _connect(self, near: Stream) -> None:
        target = self._target()
        try:
            if target is None:
                raise ConnectionRefusedError("nobody is there")
            with self._loop.timeout(DIAL_TIME):
                far = connect(self._loop, target)
        except (OSError, WaitTimeoutError):
            near.reset()
            return
        self._open[near] = far
        self._loop.spawn(self._pump, far, near, near, self.back, name="relay back")
        self._pump(near, far, near, self.there)

    def _pump(self, source: Stream, sink: Stream, near: Stream, way: Way) -> None:
        try:
            while data := source.recv(CHUNK):
                part = way.passes(data)
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


class Mesh:
    """Who reaches whom: a relay for each ordered pair of names. `where` tells where a process listens now."""

    def __init__(
        self, loop: Loop, names: tuple[str, ...], where: Callable[[str], tuple[str, int] | None]
    ) -> None:
        def target(name: str) -> Callable[[], tuple[str, int] | None]:
            return lambda: where(name)

        self.relays = {(a, b): Relay(loop, target(b)) for a in names for b in names if a != b}

    def address(self, dialler: str, dialled: str) -> tuple[str, int]:
        return self.relays[dialler, dialled].address

    def cut(self, *names: str) -> None:
        """These are cut off from all others, and they from them."""
        for (a, b), relay in self.relays.items():
            if (a in names) != (b in names):
                relay.cut()

    def mute(self, name: str) -> None:
        """Nothing that this one says arrives, neither its questions nor its answers; it hears all."""
        for (a, b), relay in self.relays.items():
            if a == name:
                relay.there.hold()
            elif b == name:
                relay.back.hold()

    def slow(self, delay: int) -> None:
        for relay in self.relays.values():
            relay.there.delay = relay.back.delay = delay

    def heal(self) -> None:
        for relay in self.relays.values():
            relay.heal()
