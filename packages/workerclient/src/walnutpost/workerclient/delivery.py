"""Delivers one request to a worker, and reports what its end proves.

A decision to send is made when the effect is carried out, and the first byte may leave much later: after a
write to disk, a connection, the wait for a handshake. `Delivery._may_begin` is the one place that checks,
right before the first byte leaves, whether the decision still holds.
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

CLOSED_BY_WORKER = (ConnectionResetError, BrokenPipeError)
"""Errors by which the worker's side ended the connection: it reads nothing more of it."""


@dataclass(slots=True)
class WorkerRequest:
    """A request to a worker.

    `address` is the worker's at the time of the decision, None where it had none. The first byte may leave
    until `begin_by_us` (None: as long as there is time), and everything ends at `deadline_us`. `encode` is
    called when the first byte leaves, and `prepare` before a connection is sought: it may wait, and stops the
    request by LookupError or OSError. New work does not go to a draining worker.
    """

    worker: str
    address: Address | None
    decided_us: int
    deadline_us: int
    encode: Callable[[], bytes]
    begin_by_us: int | None = None
    is_new_work: bool = False
    prepare: Callable[[], None] | None = None
    is_abandoned: bool = False
    has_begun: bool = False  # the first byte may have left


@dataclass(frozen=True, slots=True)
class DeliveryResult:
    """How a request ended: OK with a complete response, or without one.

    MOOT and CONNECT_FAILED: the worker has not seen it and never will. RESET: the connection broke. TIMEOUT:
    the deadline passed. ERROR: the response is not HTTP. `may_still_arrive`: nothing proves that the worker
    won't read it from now on, as its machine may hold bytes that its process has not read yet.
    """

    outcome: Outcome
    response: Response | None = None
    may_still_arrive: bool = False


MOOT = DeliveryResult(Outcome.MOOT)
CONNECT_FAILED = DeliveryResult(Outcome.CONNECT_FAILED)


class Delivery:
    """Takes each request through its steps: prepare, connect, check whether it may begin, exchange."""

    def __init__(
        self, loop: Loop, directory: WorkerDirectory, connector: Connector, idle: IdleConnections
    ) -> None:
        """Send to the addresses of `directory`, read anew at each step."""
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
        """Return a request that is decided now: all its times count from now. 0 means begin at any time."""
        now_us = self._loop.now()
        return WorkerRequest(
            worker=worker,
            address=self._directory.addresses.get(worker),
            decided_us=now_us,
            deadline_us=now_us + timeout_us,
            encode=encode,
            begin_by_us=now_us + begin_within_us if begin_within_us else None,
            is_new_work=is_new_work,
        )

    def deliver(self, request: WorkerRequest) -> DeliveryResult:
        """Deliver a request; return how it ended, at its deadline at the latest."""
        try:
            with self._loop.timeout(max(0, request.deadline_us - self._loop.now())):
                return self._prepare_and_send(request)
        except WaitTimeoutError:
            return DeliveryResult(Outcome.TIMEOUT, may_still_arrive=True) if request.has_begun else MOOT

    def _prepare_and_send(self, request: WorkerRequest) -> DeliveryResult:
        try:
            if request.prepare is not None:
                request.prepare()
        except (LookupError, OSError):
            return MOOT
        if request.address is None:
            return CONNECT_FAILED
        try:
            connection = self._idle.take(request.worker)
            if connection is None:
                connection = self._connector.connect(request.worker, request.address)
        except OSError:
            return MOOT if self._has_moved(request) else CONNECT_FAILED
        return self._exchange(request, connection)

    def _exchange(self, request: WorkerRequest, connection: Connection) -> DeliveryResult:
        response: Response | None = None
        try:
            if not self._may_begin(request):
                return MOOT
            data = request.encode()
            connection.stream.has_sent = False
            request.has_begun = True
            response = connection.exchange(data)
            return DeliveryResult(Outcome.OK, response)
        except HttpMessageError:
            return DeliveryResult(Outcome.ERROR, may_still_arrive=True)
        except OSError as error:
            if not connection.stream.has_sent:  # the kernel took no byte, so the worker saw none
                return CONNECT_FAILED
            return DeliveryResult(Outcome.RESET, may_still_arrive=not isinstance(error, CLOSED_BY_WORKER))
        finally:
            self._release(request, connection, is_answered=response is not None)

    def _may_begin(self, request: WorkerRequest) -> bool:
        """Whether the decision to send still holds.

        Asked without a wait before the first byte: the connection has nothing in its send buffer, so the
        kernel takes that byte at once.
        """
        now_us = self._loop.now()
        if request.is_abandoned or now_us >= request.deadline_us:
            return False
        if request.begin_by_us is not None and now_us > request.begin_by_us:
            return False
        if request.is_new_work and request.worker in self._directory.draining:
            return False
        return not self._has_moved(request)

    def _has_moved(self, request: WorkerRequest) -> bool:
        """Whether the worker has gone, or is another process now; its address may be another worker's."""
        return self._directory.addresses.get(request.worker) != request.address

    def _release(self, request: WorkerRequest, connection: Connection, is_answered: bool) -> None:
        """Reset, close or cache the connection."""
        if request.has_begun and not is_answered:
            # An ordinary close would still deliver what the kernel holds.
            connection.stream.reset()
            return
        may_reuse = connection.is_reusable and not self._has_moved(request)
        if may_reuse and self._connector.allows_reuse(request.worker, connection):
            self._idle.put(request.worker, connection)
        else:
            connection.close()
