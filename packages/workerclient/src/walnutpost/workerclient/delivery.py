"""Delivers one request to a worker, and says what its end proves.

A decision to send is made when the effect is carried out, and the first byte may leave much later: after a
write to disk, a dial, a handshake's turn. `Delivery._may_begin` is the one place that asks, right before the
first byte leaves, whether the decision still holds.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.http import BadMessage, Connection, Response
from walnutpost.interface import Outcome
from walnutpost.workerclient.dialing import Address, Dialer
from walnutpost.workerclient.idle import IdleConnections

CLOSED_BY_WORKER = (ConnectionResetError, BrokenPipeError)


@dataclass(slots=True)
class Directory:
    """What the worker list says now."""

    addresses: Mapping[str, Address] = field(default_factory=dict)
    draining: frozenset[str] = frozenset()


@dataclass(slots=True)
class WorkerRequest:
    """A request on its way to a worker. `address` is the worker's at the time of the decision, None where it
    had none. The first byte may leave until `latest_us` (None: as long as there is time), and the whole of it
    ends at `end_us`. `encode` is called when the first byte leaves, and `prepare` before a connection is
    sought: it may wait, and stops the request by LookupError or OSError. `new_work` is not for a worker that
    drains."""

    worker: str
    address: Address | None
    began_us: int
    end_us: int
    encode: Callable[[], bytes]
    latest_us: int | None = None
    new_work: bool = False
    prepare: Callable[[], None] | None = None
    abandoned: bool = False
    begun: bool = False  # the first byte may have left


@dataclass(frozen=True, slots=True)
class Delivered:
    """How a request ended: OK with a whole response, or without one.

    MOOT and CONNECT_FAILED: the worker has not seen it and never will. RESET: the connection broke. TIMEOUT:
    the time was over. ERROR: what came is no HTTP. `may_still_arrive`: nothing proves that the worker won't
    read it after now, as its machine may hold bytes that its process has not read yet.
    """

    outcome: Outcome
    response: Response | None = None
    may_still_arrive: bool = False


MOOT = Delivered(Outcome.MOOT)
CONNECT_FAILED = Delivered(Outcome.CONNECT_FAILED)


class Delivery:
    """Takes each request through its steps: prepare, connect, ask whether it may begin, exchange."""

    def __init__(self, loop: Loop, directory: Directory, dialer: Dialer, idle: IdleConnections) -> None:
        self._loop = loop
        self._directory = directory
        self._dialer = dialer
        self._idle = idle

    def deliver(self, request: WorkerRequest) -> Delivered:
        try:
            with self._loop.timeout(max(0, request.end_us - self._loop.now())):
                return self._steps(request)
        except WaitTimeoutError:
            return Delivered(Outcome.TIMEOUT, may_still_arrive=True) if request.begun else MOOT

    def _steps(self, request: WorkerRequest) -> Delivered:
        try:
            if request.prepare is not None:
                request.prepare()
        except (LookupError, OSError):
            return MOOT
        if request.address is None:
            return CONNECT_FAILED
        try:
            connection = self._idle.take(request.worker) or self._dialer.dial(request.worker, request.address)
        except OSError:
            return MOOT if self._moved(request) else CONNECT_FAILED
        return self._exchange(request, connection)

    def _exchange(self, request: WorkerRequest, connection: Connection) -> Delivered:
        response: Response | None = None
        try:
            if not self._may_begin(request):
                return MOOT
            data = request.encode()
            connection.stream.has_sent = False
            request.begun = True
            response = connection.exchange(data)
            return Delivered(Outcome.OK, response)
        except BadMessage:
            return Delivered(Outcome.ERROR, may_still_arrive=True)
        except OSError as error:
            if not connection.stream.has_sent:  # the kernel took no byte, so the worker saw none
                return CONNECT_FAILED
            return Delivered(Outcome.RESET, may_still_arrive=not isinstance(error, CLOSED_BY_WORKER))
        finally:
            self._release(request, connection, answered=response is not None)

    def _may_begin(self, request: WorkerRequest) -> bool:
        """Asked without a wait before the first byte: the connection has nothing in its send buffer, so the
        kernel takes that byte at once."""
        now = self._loop.now()
        if request.abandoned or now >= request.end_us:
            return False
        if request.latest_us is not None and now > request.latest_us:
            return False
        if request.new_work and request.worker in self._directory.draining:
            return False
        return not self._moved(request)

    def _moved(self, request: WorkerRequest) -> bool:
        """The worker has gone, or is another process now, maybe with its former address another worker's."""
        return self._directory.addresses.get(request.worker) != request.address

    def _release(self, request: WorkerRequest, connection: Connection, answered: bool) -> None:
        if request.begun and not answered:
            # An ordinary close would still deliver what the kernel holds.
            connection.stream.reset()
            return
        may_keep = connection.reusable and not self._moved(request)
        if may_keep and self._dialer.may_keep(request.worker, connection):
            self._idle.keep(request.worker, connection)
        else:
            connection.close()
