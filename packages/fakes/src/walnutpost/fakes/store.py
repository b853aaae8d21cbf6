"""The package store that all workers share: slower when crowded, rejecting past a limit."""

from __future__ import annotations

from typing import Protocol

from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.http import Connection, Exchange, HttpMessageError, Response, Server
from walnutpost.http.server import start_server

FETCH_TIMEOUT_US = 60_000_000


class PackageStore(Protocol):
    """Where workers fetch the packages of functions."""

    def fetch(self, function: str, usual_us: int) -> bool:
        """Wait for a fetch that takes `usual_us` on an idle store; False if it was rejected or failed."""


class LocalStore:
    """A store in this process. `slowdown` is the factor by which every fetch takes longer."""

    def __init__(self, loop: Loop, max_concurrent: int, limit: int) -> None:
        self._loop = loop
        self._max_concurrent = max_concurrent
        self._limit = limit
        self._open_fetches = 0
        self.slowdown = 1.0

    def fetch(self, function: str, usual_us: int) -> bool:
        """Wait for a fetch; False if too many are open."""
        if self._open_fetches >= self._limit:
            return False
        self._open_fetches += 1
        try:
            crowding = max(1.0, self._open_fetches / self._max_concurrent)
            self._loop.sleep(round(usual_us * self.slowdown * crowding))
        finally:
            self._open_fetches -= 1
        return True


class StoreServer:
    """A LocalStore behind HTTP, for fleets of several processes.

    `POST /fetch/{function}?{usual}` answers when the fetch is over, with 503 if it was rejected;
    `POST /slow/{factor}` slows fetches down from then on.
    """

    def __init__(self, loop: Loop, store: LocalStore, address: tuple[str, int]) -> None:
        """Listen at the address; raises OSError."""
        self._store = store
        self.server: Server = start_server(loop, address, self._handle, _bad_request)

    def _handle(self, exchange: Exchange) -> Response:
        path, _, usual = exchange.request.target.decode("latin-1").partition("?")
        _, action, name = [*path.split("/", 2), "", ""][:3]
        if action == "slow":
            self._store.slowdown = float(name)
            return Response(200)
        if action == "fetch" and usual.isdigit():
            return Response(200 if self._store.fetch(name, int(usual)) else 503)
        return Response(404)


def _bad_request(error: HttpMessageError) -> Response:
    return Response(error.status, body=str(error).encode())


class RemoteStore:
    """A StoreServer, seen from a worker."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address

    def fetch(self, function: str, usual_us: int) -> bool:
        """Wait for a fetch; False if it was rejected or failed."""
        try:
            with self._loop.timeout(FETCH_TIMEOUT_US):
                connection = Connection.open(self._loop, self._address)
                try:
                    return connection.request("POST", f"/fetch/{function}?{usual_us}").status == 200
                finally:
                    connection.close()
        except (OSError, WaitTimeoutError, HttpMessageError):
            return False
