"""Sockets that fail by a script: a seam under everything that uses `socket.socket`.

    with scripted_sockets() as faults:
        faults.fail("accept", errno.EPROTO, when=at(server.address))
        faults.fail("connect", errno.ENETUNREACH, times=2, after=1, when=to(address))
        faults.shorten("recv", 1)

Real sockets do all that is not scripted. `when` picks the sockets; without it, a fault is for all that are
made within the block, those of the test itself among them. Sockets that `accept` returns are scripted, too.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Literal
from unittest import mock

import pytest

Operation = Literal["socket", "bind", "connect", "accept", "send", "recv"]
Address = tuple[str, int]
FOREVER = 1 << 60

# What Linux documents for the calls of a client's connection, as parameters (operation, error number).
CONNECTION_FAULTS = [
    pytest.param(operation, number, id=f"{operation}-{errno.errorcode[number]}")
    for operation, numbers in {
        "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS),
        "connect": (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.EPERM),
        "send": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS),
        "recv": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN),
    }.items()
    for number in numbers
]


@dataclass
class _Fault:
    operation: Operation
    number: int
    times: int
    after: int
    drops: bool
    when: Callable[[ScriptedSocket], bool]


@dataclass
class _Limit:
    operation: Operation
    size: int
    when: Callable[[ScriptedSocket], bool]


class SocketFaults:
    """What is to fail. `calls` counts each operation, `failed` those of them that a fault was put on."""

    def __init__(self) -> None:
        self._faults: list[_Fault] = []
        self._limits: list[_Limit] = []
        self.calls: Counter[Operation] = Counter()
        self.failed: Counter[Operation] = Counter()

    def fail(
        self,
        operation: Operation,
        number: int,
        times: int = 1,
        after: int = 0,
        when: Callable[[ScriptedSocket], bool] = lambda sock: True,
        drops: bool = False,
    ) -> None:
        """Let the next `times` calls of `operation` fail with errno `number`, on sockets that `when` picks.

        The first `after` calls pass. `drops`: a failing accept takes the connection off the queue, as an
        error of the network that is pending on it does.
        """
        self._faults.append(_Fault(operation, number, times, after, drops, when))

    def shorten(
        self,
        operation: Literal["send", "recv"],
        size: int,
        when: Callable[[ScriptedSocket], bool] = lambda sock: True,
    ) -> None:
        """Let each call move `size` bytes at most."""
        self._limits.append(_Limit(operation, size, when))

    def heal(self) -> None:
        """Let nothing fail and nothing be short from now on."""
        self._faults.clear()
        self._limits.clear()

    def error(self, operation: Operation, sock: ScriptedSocket) -> int:
        """Return the errno of this call, or 0 where it is to be made."""
        self.calls[operation] += 1
        for fault in self._faults:
            if fault.operation != operation or not fault.times or not fault.when(sock):
                continue
            if fault.after:
                fault.after -= 1
                continue
            fault.times -= 1
            self.failed[operation] += 1
            sock.drops_connection = fault.drops
            return fault.number
        return 0

    def check(self, operation: Operation, sock: ScriptedSocket) -> None:
        """Raise the error that is scripted for this call, if any."""
        number = self.error(operation, sock)
        if number:
            raise OSError(number, os.strerror(number))

    def size(self, operation: Operation, sock: ScriptedSocket, wanted: int) -> int:
        """Return how many of the wanted bytes this call may move."""
        limits = (limit for limit in self._limits if limit.operation == operation and limit.when(sock))
        return min((limit.size for limit in limits), default=wanted)


class ScriptedSocket(socket.socket):
    """A socket that asks its script first. `target` is where it was connected to."""

    script: SocketFaults
    target: Any = None
    drops_connection = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        if kwargs.get("fileno") is None:  # made anew, not by `accept`
            self.script.check("socket", self)
        super().__init__(*args, **kwargs)

    def bind(self, address: Any) -> None:
        """Bind, unless the script fails it."""
        self.script.check("bind", self)
        super().bind(address)

    def connect(self, address: Any) -> None:
        """Connect, unless the script fails it; `target` is set either way."""
        self.target = address
        self.script.check("connect", self)
        super().connect(address)

    def connect_ex(self, address: Any) -> int:
        """Connect, or return the scripted errno; `target` is set either way."""
        self.target = address
        return self.script.error("connect", self) or super().connect_ex(address)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept, unless the script fails it; the failure may drop the connection."""
        number = self.script.error("accept", self)
        if not number:
            return super().accept()
        if self.drops_connection:
            super().accept()[0].close()
        raise OSError(number, os.strerror(number))

    def send(self, data: Any, flags: int = 0) -> int:
        """Send as many bytes as the script allows."""
        self.script.check("send", self)
        return super().send(data[: self.script.size("send", self, len(data))], flags)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Receive as many bytes as the script allows."""
        self.script.check("recv", self)
        return super().recv(self.script.size("recv", self, max_bytes), flags)


def at(address: Address) -> Callable[[ScriptedSocket], bool]:
    """Pick the sockets with this own address: a listener and what it accepted."""
    return lambda sock: sock.fileno() >= 0 and sock.getsockname()[:2] == address


def to(address: Address) -> Callable[[ScriptedSocket], bool]:
    """Pick the sockets that were connected to this address, or are about to be."""
    return lambda sock: sock.target is not None and tuple(sock.target[:2]) == address


def datagrams(sock: ScriptedSocket) -> bool:
    """Pick the UDP sockets."""
    return sock.fileno() >= 0 and sock.type == socket.SOCK_DGRAM


@contextmanager
def scripted_sockets() -> Iterator[SocketFaults]:
    """Let all new sockets of the process ask the script that this yields, within the block."""
    faults = SocketFaults()

    class Scripted(ScriptedSocket):
        script = faults

    with mock.patch.object(socket, "socket", Scripted):
        try:
            yield faults
        finally:
            faults.heal()
