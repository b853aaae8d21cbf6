"""The name server over UDP: asks, asks again, and follows it to another address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any

from walnutpost.eventloop import Loop
from walnutpost.gateway import WorkersListed
from walnutpost.node.directory import Address, BadList, Directory

PERIOD_US = 100_000  # between questions: a fraction of the time after which a change counts as told
ANSWER_MOST = 9000
READS_MOST = 16
USELESS_TOLD = 20  # answers that don't count, of which each is a line


class DiscoveryClient:
    """`changed` is called with each new list."""

    def __init__(
        self,
        loop: Loop,
        directory: Directory,
        address: Address,
        seed: int,
        changed: Callable[[WorkersListed], None],
        log: Any,
    ) -> None:
        self._loop = loop
        self._directory = directory
        self._changed = changed
        self._log = log
        self._random = Random(seed)
        self._sock: socket.socket | None = None
        self.asked = self.useless = 0
        self._start: Address | None = address  # where to ask for the first time; None once that was done
        self._send()
        self.asking = loop.every(PERIOD_US, self._send, "questions to the name server")

    def move(self, address: Address) -> None:
        """Asks there from now on. Raises OSError where there is no way to that address; then it goes on
        asking where it asked before."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        except OSError:  # no descriptor left: the one in use is turned to the other address
            if self._sock is None:
                raise
            self._sock.connect(address)
        else:
            try:
                sock.setblocking(False)
                sock.connect(address)
            except OSError:
                sock.close()
                raise
            self._close_socket()
            self._sock = sock
            self._loop.on_readable(sock.fileno(), self._readable)
        self._start = None
        self._directory.forget_questions()
        self._send()

    def close(self) -> None:
        """Asks no more."""
        self._start = None
        self._close_socket()

    def _close_socket(self) -> None:
        if self._sock is not None:
            self._loop.forget(self._sock.fileno())
            self._sock.close()
            self._sock = None

    def _send(self) -> None:
        if self._start is not None:
            with suppress(OSError):  # no way there yet, or no descriptor: tried again soon
                self.move(self._start)
        elif self._sock is not None:
            self.asked += 1
            with suppress(OSError):  # asked again soon
                self._sock.send(self._directory.query(self._random.getrandbits(16)))

    def _readable(self) -> None:
        sock = self._sock
        if sock is None:
            return
        self._loop.on_readable(sock.fileno(), self._readable)  # first: an error must not leave it deaf
        for _ in range(READS_MOST):
            if self._sock is not sock:
                return
            try:
                data = sock.recv(ANSWER_MOST)
            except BlockingIOError:
                return
            except OSError:
                continue  # nobody there, as an earlier question learnt
            self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            told = self._directory.answer(data)
        except Exception as error:  # whatever an answer makes the reader do, the list held stands
            self.useless += 1
            if self.useless <= USELESS_TOLD:
                known = isinstance(error, BadList)
                self._log.info("name server", why=str(error) if known else repr(error))
            return
        if told is not None:
            self._changed(told)
