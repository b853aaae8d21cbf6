"""Sockets with scripted faults, which replace `socket.socket` for all code within a `with` block.

    with scripted_sockets() as faults:
        faults.fail("accept", errno.EPROTO, when=bound_to(server.address))
        faults.fail("connect", errno.ENETUNREACH, times=2, after=1, when=connected_to(address))
        faults.shorten("recv", 1)

Calls without a scripted fault go to real sockets. `when` selects the sockets of a fault; without it, the
fault applies to all sockets created within the block, including those of the test itself. Sockets that
`accept` returns are scripted as well.
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
UNLIMITED = 1 << 60

# Errors that Linux documents for the socket calls of a client, as test parameters (operation, error number).
CONNECTION_FAULTS = [
    pytest.param(operation, error_number, id=f"{operation}-{errno.errorcode[error_number]}")
    for operation, numbers in {
        "socket": (errno.EMFILE, errno.ENFILE, errno.ENOBUFS),
        "connect": (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENETUNREACH, errno.EPERM),
        "send": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOBUFS),
        "recv": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN),
    }.items()
    for error_number in numbers
]


@dataclass
class _Fault:
    operation: Operation
    error_number: int
    times: int
    after: int
    drops: bool
    when: Callable[[ScriptedSocket], bool]


@dataclass
class _SizeLimit:
    operation: Operation
    max_bytes: int
    when: Callable[[ScriptedSocket], bool]


class SocketFaults:
    """A script of socket faults. `calls` counts the calls of each operation, `failed` those that failed."""

    def __init__(self) -> None:
        self._faults: list[_Fault] = []
        self._size_limits: list[_SizeLimit] = []
        self.calls: Counter[Operation] = Counter()
        self.failed: Counter[Operation] = Counter()

    def fail(
        self,
        operation: Operation,
        error_number: int,
        times: int = 1,
        after: int = 0,
        when: Callable[[ScriptedSocket], bool] = lambda sock: True,
        drops: bool = False,
    ) -> None:
        """Let `times` calls of `operation` fail with errno `error_number`, on sockets that `when` selects.

        The first `after` calls succeed. With `drops`, a failing `accept` removes the connection from the
        queue, as a pending network error does.
        """
        self._faults.append(_Fault(operation, error_number, times, after, drops, when))

    def shorten(
        self,
        operation: Literal["send", "recv"],
        max_bytes: int,
        when: Callable[[ScriptedSocket], bool] = lambda sock: True,
    ) -> None:
        """Limit each call to `max_bytes` bytes."""
        self._size_limits.append(_SizeLimit(operation, max_bytes, when))

    def heal(self) -> None:
        """Remove all faults and size limits."""
        self._faults.clear()
        self._size_limits.clear()

    def next_error_number(self, operation: Operation, sock: ScriptedSocket) -> int:
        """Return the errno with which this call fails, or 0 if it is to be made."""
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
            return fault.error_number
        return 0

    def raise_scripted_error(self, operation: Operation, sock: ScriptedSocket) -> None:
        """Raise the error scripted for this call, if any."""
        error_number = self.next_error_number(operation, sock)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))

    def allowed_bytes(self, operation: Operation, sock: ScriptedSocket, requested_bytes: int) -> int:
        """Return how many of the requested bytes this call may transfer."""
        limits = (limit for limit in self._size_limits if limit.operation == operation and limit.when(sock))
        return min((limit.max_bytes for limit in limits), default=requested_bytes)


class ScriptedSocket(socket.socket):
    """A socket that consults its script before each call. `target` is the address passed to `connect`."""

    script: SocketFaults
    target: Any = None
    drops_connection = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        if kwargs.get("fileno") is None:  # a new socket, not one that `accept` returns
            self.script.raise_scripted_error("socket", self)
        super().__init__(*args, **kwargs)

    def bind(self, address: Any) -> None:
        """Bind, or raise the scripted error."""
        self.script.raise_scripted_error("bind", self)
        super().bind(address)

    def connect(self, address: Any) -> None:
        """Connect, or raise the scripted error; set `target` in both cases."""
        self.target = address
        self.script.raise_scripted_error("connect", self)
        super().connect(address)

    def connect_ex(self, address: Any) -> int:
        """Connect, or return the scripted errno; set `target` in both cases."""
        self.target = address
        return self.script.next_error_number("connect", self) or super().connect_ex(address)

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept, or raise the scripted error, which may also drop the connection."""
        error_number = self.script.next_error_number("accept", self)
        if not error_number:
            return super().accept()
        if self.drops_connection:
            super().accept()[0].close()
        raise OSError(error_number, os.strerror(error_number))

    def send(self, data: Any, flags: int = 0) -> int:
        """Send at most as many bytes as the script allows, or raise the scripted error."""
        self.script.raise_scripted_error("send", self)
        return super().send(data[: self.script.allowed_bytes("send", self, len(data))], flags)

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Receive at most as many bytes as the script allows, or raise the scripted error."""
        self.script.raise_scripted_error("recv", self)
        return super().recv(self.script.allowed_bytes("recv", self, max_bytes), flags)


def bound_to(address: Address) -> Callable[[ScriptedSocket], bool]:
    """Select the sockets with this local address: a listener and the connections it has accepted."""
    return lambda sock: sock.fileno() >= 0 and sock.getsockname()[:2] == address


def connected_to(address: Address) -> Callable[[ScriptedSocket], bool]:
    """Select the sockets that are connected, or being connected, to this address."""
    return lambda sock: sock.target is not None and tuple(sock.target[:2]) == address


def is_datagram_socket(sock: ScriptedSocket) -> bool:
    """Select the UDP sockets."""
    return sock.fileno() >= 0 and sock.type == socket.SOCK_DGRAM


@contextmanager
def scripted_sockets() -> Iterator[SocketFaults]:
    """Within the block, let all new sockets of the process follow the script that this yields."""
    faults = SocketFaults()

    class Scripted(ScriptedSocket):
        script = faults

    with mock.patch.object(socket, "socket", Scripted):
        try:
            yield faults
        finally:
            faults.heal()
