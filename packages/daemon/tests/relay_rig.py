"""A relay's table on a test's loop, whose followers hold their questions as they do at a real one."""

from __future__ import annotations

from collections.abc import Sequence

from walnutpost.configstore import ConfigStore, Mutation, WatchRequest
from walnutpost.eventloop import Loop
from walnutpost.http import BadMessage, Exchange, Response, Server
from walnutpost.http.server import serve_on
from walnutpost.watch import WatchServer


class Served:
    """`questions`: all that were asked, in order."""

    def __init__(self, loop: Loop, table: ConfigStore) -> None:
        self.table = table
        self.questions: list[WatchRequest] = []
        self.watch = WatchServer(
            loop, lambda: self.table, lambda: 0, self.questions.append, batch_interval_us=0
        )
        self.server: Server = serve_on(loop, ("127.0.0.1", 0), self._handle, _refusal)
        self.address = self.server.address

    def _handle(self, exchange: Exchange) -> Response:
        return self.watch.handle(exchange.request.body)

    def change(self, ops: Sequence[Mutation]) -> int:
        """Agreed on: its revision."""
        self.table.propose(self.table.revision + 1, ops)
        self.watch.store_changed()
        return self.table.revision

    def end(self) -> None:
        """As a process that is killed: its connections break."""
        self.server.stop_accepting()
        for stream in list(self.server.streams):
            stream.reset()


def _refusal(error: BadMessage) -> Response:
    return Response(error.status, body=str(error).encode())
