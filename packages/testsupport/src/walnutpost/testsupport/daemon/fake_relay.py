"""A fake relay on the test's event loop."""

from __future__ import annotations

from collections.abc import Sequence

from walnutpost.configstore import ConfigStore, Mutation, WatchRequest
from walnutpost.eventloop import Loop
from walnutpost.http import Exchange, HttpMessageError, Response, Server
from walnutpost.http.server import start_server
from walnutpost.watch import WatchServer


class FakeRelay:
    """A watch server whose store the test changes.

    `requests`: all watch requests, in order of arrival.
    """

    def __init__(self, loop: Loop, store: ConfigStore) -> None:
        self.store = store
        self.requests: list[WatchRequest] = []
        self.watch_server = WatchServer(loop, lambda: self.store, lambda: 0, self, batch_interval_us=0)
        self.server: Server = start_server(loop, ("127.0.0.1", 0), self._handle, _protocol_error)
        self.address = self.server.address

    def _handle(self, exchange: Exchange) -> Response:
        return self.watch_server.handle(exchange.request.body)

    def member_requested(self, request: WatchRequest) -> None:
        """Record a watch request."""
        self.requests.append(request)

    def member_disconnected(self, last_request: WatchRequest) -> None:
        """Ignore a closed connection."""

    def commit(self, mutations: Sequence[Mutation]) -> int:
        """Commit a change set and return its revision."""
        self.store.propose(self.store.revision + 1, mutations)
        self.watch_server.store_changed()
        return self.store.revision

    def kill(self) -> None:
        """Stop accepting and reset all connections, as if the process had been killed."""
        self.server.stop_accepting()
        for stream in list(self.server.streams):
            stream.reset()


def _protocol_error(error: HttpMessageError) -> Response:
    return Response(error.status, body=str(error).encode())
