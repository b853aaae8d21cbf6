"""A relay on a test's loop: a watch server whose store the test changes."""

from __future__ import annotations

from collections.abc import Sequence

from walnutpost.configstore import ConfigStore, Mutation, WatchRequest
from walnutpost.eventloop import Loop
from walnutpost.http import Exchange, HttpMessageError, Response, Server
from walnutpost.http.server import serve_on
from walnutpost.watch import WatchServer


class FakeRelay:
    """A watch server whose store the test changes.

    `requests`: all watch requests, in order.
    """

    def __init__(self, loop: Loop, table: ConfigStore) -> None:
        self.table = table
        self.requests: list[WatchRequest] = []
        self.watch = WatchServer(loop, lambda: self.table, lambda: 0, self, batch_interval_us=0)
        self.server: Server = serve_on(loop, ("127.0.0.1", 0), self._handle, _protocol_error)
        self.address = self.server.address

    def _handle(self, exchange: Exchange) -> Response:
        return self.watch.handle(exchange.request.body)

    def member_requested(self, request: WatchRequest) -> None:
        """Record a watch request."""
        self.requests.append(request)

    def member_disconnected(self, last_request: WatchRequest) -> None:
        """Ignore the end of a connection."""

    def change(self, mutations: Sequence[Mutation]) -> int:
        """Commit a change set; return its revision."""
        self.table.propose(self.table.revision + 1, mutations)
        self.watch.store_changed()
        return self.table.revision

    def kill(self) -> None:
        """Reset all connections, as the end of a killed process does."""
        self.server.stop_accepting()
        for stream in list(self.server.streams):
            stream.reset()


def _protocol_error(error: HttpMessageError) -> Response:
    return Response(error.status, body=str(error).encode())
