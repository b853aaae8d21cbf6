"""Delivery of single requests to workers, and how each one ended.

The decision to send a request is made when the effect is carried out, but the first byte may be sent much
later: after a write to disk, a connect, or a wait for a TLS handshake. `Delivery._may_begin` is the one place
that checks, right before the first byte is sent, whether the decision is still valid.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Response
from walnutpost.interface import Outcome
from walnutpost.workerclient.connector import Connector
from walnutpost.workerclient.directory import Address, WorkerDirectory
from walnutpost.workerclient.idle_connections import IdleConnections

CLOSED_BY_WORKER_ERRORS = (ConnectionResetError, BrokenPipeError)
"""Errors that show that the worker's side closed the connection, so the worker reads no more from it."""


@dataclass(slots=True)
class WorkerRequest:
    """A request to a worker. All times are loop times.

    `address` is the worker's address at the time of the decision to send, None if it had none. The first byte
    may be sent until `begin_by_us` (None: until the deadline), and the request ends at `deadline_us` at the
    latest. `prepare` is called before a connection is chosen; it may wait, and if it raises LookupError or
    OSError, the request is not sent. `encode` is called right before the first byte is sent. New work is not
    sent to a draining worker.
    """

    worker: str
    address: Address | None
    decided_at_us: int
    deadline_us: int
    encode: Callable[[], bytes]
    begin_by_us: int | None = None
    is_new_work: bool = False
    prepare: Callable[[], None] | None = None
    is_cancelled: bool = False
    has_begun: bool = False  # the first byte may have been sent


@dataclass(frozen=True, slots=True)
class DeliveryResult:
    """How a request ended: OK with a complete response, any other outcome without one.

    EXPIRED and CONNECT_FAILED: the worker has not seen the request and never will. RESET: the connection
    broke. TIMEOUT: the deadline passed. ERROR: the response is not HTTP. If `may_still_arrive`, the worker
    may still read the request, since its kernel may hold bytes that the process has not read yet.
    """

    outcome: Outcome
    response: Response | None = None
    may_still_arrive: bool = False


EXPIRED = DeliveryResult(Outcome.EXPIRED)
CONNECT_FAILED = DeliveryResult(Outcome.CONNECT_FAILED)


class Delivery:
    """The steps of a request: prepare, connect, check whether it may begin, exchange."""

    def __init__(
        self, loop: Loop, directory: WorkerDirectory, connector: Connector, idle: IdleConnections
    ) -> None:
        """Deliver requests to the addresses in `directory`, which is read again at each step."""
        self._loop = loop
        self._directory = directory
        self._connector = connector
        self._idle = idle

    def make_request(
        self,
        worker: str,
        encode: Callable[[], bytes],
        timeout_us: int,
        begin_within_us: int = 0,
        is_new_work: bool = False,
    ) -> WorkerRequest:
        """Return a request whose times count from now; `begin_within_us` 0 sets no limit but the deadline."""
        now_us = self._loop.now()
        return WorkerRequest(
            worker=worker,
            address=self._directory.addresses.get(worker),
            decided_at_us=now_us,
            deadline_us=now_us + timeout_us,
            encode=encode,
            begin_by_us=now_us + begin_within_us if begin_within_us else None,
            is_new_work=is_new_work,
        )

    def deliver(self, request: WorkerRequest) -> DeliveryResult:
        """Send a request and wait for its end, at its deadline at the latest."""
        try:
            with self._loop.timeout(max(0, request.deadline_us - self._loop.now())):
                return self._prepare_and_send(request)
        except WaitTimeoutError:
            return DeliveryResult(Outcome.TIMEOUT, may_still_arrive=True) if request.has_begun else EXPIRED

    def _prepare_and_send(self, request: WorkerRequest) -> DeliveryResult:
        try:
            if request.prepare is not None:
                request.prepare()
        except (LookupError, OSError):
            return EXPIRED
        if request.address is None:
            return CONNECT_FAILED
        try:
            connection = self._idle.take(request.worker)
            if connection is None:
                connection = self._connector.connect(request.worker, request.address)
        except OSError:
            return EXPIRED if self._has_address_changed(request) else CONNECT_FAILED
        return self._exchange(request, connection)

    def _exchange(self, request: WorkerRequest, connection: Connection) -> DeliveryResult:
        response: Response | None = None
        try:
            if not self._may_begin(request):
                return EXPIRED
            data = request.encode()
            connection.stream.has_sent = False
            request.has_begun = True
            response = connection.exchange(data)
            return DeliveryResult(Outcome.OK, response)
        except HttpMessageError:
            return DeliveryResult(Outcome.ERROR, may_still_arrive=True)
        except OSError as error:
            if not connection.stream.has_sent:  # the kernel accepted no byte, so the worker saw none
                return CONNECT_FAILED
            return DeliveryResult(
                Outcome.RESET, may_still_arrive=not isinstance(error, CLOSED_BY_WORKER_ERRORS)
            )
        finally:
            self._release(request, connection, has_response=response is not None)

    def _may_begin(self, request: WorkerRequest) -> bool:
        """Whether the decision to send is still valid.

        There is no wait between this check and the first byte: the send buffer of the connection is empty, so
        the kernel accepts the byte at once.
        """
        now_us = self._loop.now()
        if request.is_cancelled or now_us >= request.deadline_us:
            return False
        if request.begin_by_us is not None and now_us > request.begin_by_us:
            return False
        if request.is_new_work and request.worker in self._directory.draining:
            return False
        return not self._has_address_changed(request)

    def _has_address_changed(self, request: WorkerRequest) -> bool:
        """Whether the worker is gone or has a new address; its old address may now be another worker's."""
        return self._directory.addresses.get(request.worker) != request.address

    def _release(self, request: WorkerRequest, connection: Connection, has_response: bool) -> None:
        """Reset or close the connection, or keep it for reuse."""
        if request.has_begun and not has_response:
            # After an orderly close, the kernel would still deliver the bytes that it has buffered.
            connection.stream.reset()
            return
        may_reuse = connection.is_reusable and not self._has_address_changed(request)
        if may_reuse and self._connector.allows_reuse(request.worker, connection):
            self._idle.put(request.worker, connection)
        else:
            connection.close()
