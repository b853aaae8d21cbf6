"""A holder's side as a process: takes batches, and answers once they are durable."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from walnutpost.eventloop import Loop
from walnutpost.http import BadMessage, Exchange, Limits, Response, Server
from walnutpost.http.server import serve_on
from walnutpost.journal import BadBatch, Batch, Have, taken
from walnutpost.replication import wire
from walnutpost.store import JournalStore, StoreError


class Holding:
    def __init__(self, loop: Loop, store: JournalStore, address: tuple[str, int], log: Any) -> None:
        self._store = store
        self._log = log
        self._busy: set[str] = set()
        limits = Limits(body=wire.BODY_MOST)
        self.server: Server = serve_on(
            loop, address, self._handle, self._sorry, limits, None, "holder", log=log
        )

    @staticmethod
    def _sorry(error: BadMessage) -> Response:
        return Response(error.status, body=str(error).encode())

    def _handle(self, exchange: Exchange) -> Response:
        request = exchange.request
        target = request.target.decode("ascii", "replace")
        if request.method == "GET" and target.startswith(wire.CALLS):
            return self._said(target.removeprefix(wire.CALLS))
        if request.method == "GET" and target.startswith(wire.LINES):
            return self._lines(*target.removeprefix(wire.LINES).partition("/"))
        if request.method != "POST" or request.target != wire.COPIES.encode():
            return Response(404, body=b"found another target; wanted POST " + wire.COPIES.encode())
        return self._take(request.body)

    def _said(self, call: str) -> Response:
        try:
            return Response(200, body=wire.encode(wire.Said(tuple(self._store.of_call(call)))))
        except StoreError as error:
            self._log.error("journal", call=call, why=str(error))
            return Response(507, body=str(error).encode())

    def _lines(self, origin: str, _: str, after: str) -> Response:
        """What is held of a journal after a number: for its origin, whose disk may have lost it."""
        origin, upto = unquote(origin), self._store.known.get(unquote(origin), 0)
        if not after.isdigit():
            return Response(400, body=b"after: wanted a number")
        try:
            found = self._store.batch(origin, int(after), upto, wire.BATCH_BYTES)
        except StoreError as error:
            self._log.error("journal", origin=origin, why=str(error))
            return Response(507, body=str(error).encode())
        return Response(200, body=wire.encode(found))

    def _take(self, body: bytes) -> Response:
        try:
            batch = wire.decode(body, Batch)
        except wire.BadWire as error:
            return Response(400, body=str(error).encode())
        if batch.origin == self._store.own:
            return Response(409, body=b"this is the journal's own origin")
        if batch.origin in self._busy:  # its sender gave up waiting and asks again: one at a time
            return Response(503, body=b"the batch before is still being written")
        self._busy.add(batch.origin)
        try:
            take = taken(self._store.known, batch)
            if take is not None:
                self._store.take(take)
        except BadBatch as error:
            self._log.error("journal", origin=batch.origin, why=str(error))
            return Response(422, body=str(error).encode())
        except StoreError as error:
            self._log.error("journal", origin=batch.origin, why=str(error))
            return Response(507, body=str(error).encode())
        finally:
            self._busy.discard(batch.origin)
        have = Have(self._store.disk, self._store.known.get(batch.origin, 0))
        return Response(200, body=wire.encode(have))
