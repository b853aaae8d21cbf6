"""A replica's side: an HTTP server that writes batches, and acknowledges them once they are durable."""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import unquote

from walnutpost.eventloop import Logger, Loop
from walnutpost.http import Exchange, HttpMessageError, Limits, Response, Server
from walnutpost.http.server import start_server
from walnutpost.journal import InvalidBatchError, JournalBatch, JournalOffset, plan_batch_write
from walnutpost.replication import wire
from walnutpost.store import JournalStore, StoreError


class ReplicaServer:
    """Serves the journals of one store on `address`. At most one batch of an origin is written at a time."""

    def __init__(self, loop: Loop, store: JournalStore, address: tuple[str, int], log: Logger) -> None:
        self._store = store
        self._log = log
        self._origins_being_written: set[str] = set()
        limits = Limits(max_body_bytes=wire.MAX_BODY_BYTES)
        self.server: Server = start_server(
            loop, address, self._handle, self._error_response, limits, None, "replica", log=log
        )

    @staticmethod
    def _error_response(error: HttpMessageError) -> Response:
        return Response(error.status, body=str(error).encode())

    def _handle(self, exchange: Exchange) -> Response:
        request = exchange.request
        target = request.target.decode("ascii", "replace")
        if request.method == "GET" and target.startswith(wire.CALLS_PATH):
            return self._get_call_entries(target.removeprefix(wire.CALLS_PATH))
        if request.method == "GET" and target.startswith(wire.ENTRIES_PATH):
            origin, _, after = target.removeprefix(wire.ENTRIES_PATH).partition("/")
            return self._get_entries(unquote(origin), after)
        if request.method != "POST" or request.target != wire.BATCHES_PATH.encode():
            return Response(
                HTTPStatus.NOT_FOUND, body=b"found another target; wanted POST " + wire.BATCHES_PATH.encode()
            )
        return self._post_batch(request.body)

    def _get_call_entries(self, call_id: str) -> Response:
        try:
            entries = self._store.read_call_entries(call_id)
        except StoreError as error:
            self._log.error("journal_read_failed", call=call_id, error=str(error))
            return Response(HTTPStatus.INSUFFICIENT_STORAGE, body=str(error).encode())
        return Response(HTTPStatus.OK, body=wire.encode(wire.CallEntries(tuple(entries))))

    def _get_entries(self, origin: str, after: str) -> Response:
        """Answer with the entries of a journal after a number: its origin's disk may have lost them."""
        if not after.isdigit():
            return Response(HTTPStatus.BAD_REQUEST, body=b"after: wanted a number")
        upto = self._store.offsets.get(origin, 0)
        try:
            batch = self._store.read_batch(origin, int(after), upto, wire.MAX_BATCH_BYTES)
        except StoreError as error:
            self._log.error("journal_read_failed", origin=origin, error=str(error))
            return Response(HTTPStatus.INSUFFICIENT_STORAGE, body=str(error).encode())
        return Response(HTTPStatus.OK, body=wire.encode(batch))

    def _post_batch(self, body: bytes) -> Response:
        try:
            batch = wire.decode(body, JournalBatch)
        except wire.InvalidMessageError as error:
            return Response(HTTPStatus.BAD_REQUEST, body=str(error).encode())
        if batch.origin == self._store.own_origin:
            return Response(HTTPStatus.CONFLICT, body=b"this is the journal's own origin")
        if batch.origin in self._origins_being_written:  # the sender timed out, and sends again
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, body=b"the batch before is still being written")
        self._origins_being_written.add(batch.origin)
        try:
            return self._write_batch(batch)
        finally:
            self._origins_being_written.discard(batch.origin)

    def _write_batch(self, batch: JournalBatch) -> Response:
        try:
            write = plan_batch_write(self._store.offsets, batch)
            if write is not None:
                self._store.write_batch(write)
        except InvalidBatchError as error:
            self._log.error("journal_batch_rejected", origin=batch.origin, error=str(error))
            return Response(HTTPStatus.UNPROCESSABLE_ENTITY, body=str(error).encode())
        except StoreError as error:
            self._log.error("journal_write_failed", origin=batch.origin, error=str(error))
            return Response(HTTPStatus.INSUFFICIENT_STORAGE, body=str(error).encode())
        offset = JournalOffset(self._store.disk_id, self._store.offsets.get(batch.origin, 0))
        return Response(HTTPStatus.OK, body=wire.encode(offset))
