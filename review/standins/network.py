"""A stand-in for the network between a front end and one executor, which can be cut off for a while.

While it is cut, nothing is said: bytes of either side are held back, open connections stay open and silent,
and new ones never come up (PROTOCOL, "Front ends to executors"). What a side resets meanwhile takes the bytes
with it that the other side has not got yet, as its kernel no longer repeats them.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket

from standins import HOST

BACKLOG = 8


class Link:
    """Listens for a front end and passes the bytes on to an executor."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._open = asyncio.Event()
        self._open.set()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.bind((HOST, 0))
        self._sock.listen(BACKLOG)
        self.port = self._sock.getsockname()[1]
        self._fillers: list[socket.socket] = []
        self._filler_ports: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._acceptor = asyncio.create_task(self._accept())

    def cut(self) -> None:
        """Cut the network off. The queue of the listener is filled, so that new connections never come up."""
        self._open.clear()
        self._acceptor.cancel()
        for _ in range(BACKLOG + 2):
            sock = socket.socket()
            sock.setblocking(False)
            sock.bind((HOST, 0))
            self._filler_ports.add(sock.getsockname()[1])
            sock.connect_ex((HOST, self.port))
            self._fillers.append(sock)

    def restore(self) -> None:
        """Let everything through again."""
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        self._open.set()
        self._acceptor = asyncio.create_task(self._accept())

    def close(self) -> None:
        self._acceptor.cancel()
        for task in list(self._tasks):
            task.cancel()
        for sock in self._fillers:
            sock.close()
        self._sock.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, (_, port) = await loop.sock_accept(self._sock)
            if port in self._filler_ports:
                self._filler_ports.discard(port)
                sock.close()
                continue
            task = asyncio.create_task(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, near: socket.socket) -> None:
        near.setblocking(False)
        near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        far = socket.socket()
        far.setblocking(False)
        pumps: list[asyncio.Task[None]] = []
        try:
            await asyncio.get_running_loop().sock_connect(far, (HOST, self._target_port))
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pumps = [asyncio.create_task(self._pump(near, far)), asyncio.create_task(self._pump(far, near))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            for sock in (near, far):
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()

    async def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._wait_readable(source)
            await self._open.wait()
            # A reset takes unread bytes with it.
            if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return
            try:
                data = source.recv(65536)
            except BlockingIOError:
                continue
            except OSError as error:
                if error.errno != errno.ECONNRESET:
                    raise
                return
            if not data:
                return
            await loop.sock_sendall(sink, data)

    async def _wait_readable(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.add_reader(sock.fileno(), lambda: ready.done() or ready.set_result(None))
        try:
            await ready
        finally:
            loop.remove_reader(sock.fileno())
