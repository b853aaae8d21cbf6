"""The package store that all workers share: slower when crowded, refusing past a limit."""

from __future__ import annotations

from typing import Protocol

from walnutpost.eventloop import Loop, Timeout
from walnutpost.http import BadMessage, Connection, Exchange, Response, Server
from walnutpost.http.server import serve_on

FETCH_TIMEOUT = 60_000_000


class PackageStore(Protocol):
    def fetch(self, function: str, usual: int) -> bool:
        """Waits for a fetch that takes `usual` microseconds when nothing is in its way; False if turned
        away."""


class LocalStore:
    """In this process. `slow` stretches every fetch."""

    def __init__(self, loop: Loop, at_once: int, limit: int) -> None:
        self._loop = loop
        self._at_once = at_once
        self._limit = limit
        self._now = 0
        self.slow = 1.0
        self.fetches = 0
        self.refused = 0

    def fetch(self, function: str, usual: int) -> bool:
        if self._now >= self._limit:
            self.refused += 1
            return False
        self._now += 1
        self.fetches += 1
        try:
            self._loop.sleep(round(usual * self.slow * max(1.0, self._now / self._at_once)))
        finally:
            self._now -= 1
        return True


class StoreServer:
    """A LocalStore behind HTTP, for fleets of several processes. `POST /fetch/{function}?{usual}`
    answers when the fetch is over; `POST /slow/{factor}` stretches fetches from then on."""

    def __init__(self, loop: Loop, store: LocalStore, address: tuple[str, int]) -> None:
        self._store = store
        self.server: Server = serve_on(loop, address, self._handle, _refusal)

    def _handle(self, exchange: Exchange) -> Response:
        path, _, usual = exchange.request.target.decode("latin-1").partition("?")
        _, what, name = [*path.split("/", 2), "", ""][:3]
        if what == "slow":
            self._store.slow = float(name)
            return Response(200)
        if what == "fetch" and usual.isdigit():
            return Response(200 if self._store.fetch(name, int(usual)) else 503)
        return Response(404)


def _refusal(error: BadMessage) -> Response:
    return Response(error.status, body=str(error).encode())


class RemoteStore:
    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self._address = address

    def fetch(self, function: str, usual: int) -> bool:
        try:
            with self._loop.timeout(FETCH_TIMEOUT):
                connection = Connection.open(self._loop, self._address)
                try:
                    return connection.ask("POST", f"/fetch/{function}?{usual}").status == 200
                finally:
                    connection.close()
        except (OSError, Timeout, BadMessage):
            return False
