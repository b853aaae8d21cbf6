"""What the capture of a front end shows: requests of clients, sends to workers, load orders, lists."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from walnutpost.faultinjection.audit.calls import (
    call_of,
    call_sent,
    invoked_function,
    ordered_copies,
    stated_deadline_us,
)
from walnutpost.faultinjection.exchanges import CapturedProcess, EndpointList, Exchange
from walnutpost.faultinjection.facts import Facts

SECOND_US = 1_000_000
EVENT = "Event"
DRY_RUN = "DryRun"
# Responses of workers to calls that had no effect: status and type of the error.
NEVER_RAN = {
    (404, "ResourceNotFoundException"),
    (404, "ModelLoadException"),
    (503, "TooManyRequestsException"),
    (503, "ResourceNotReadyException"),
}


@dataclass(slots=True)
class ClientRequest:
    """One request for a call at a front end; `invocation_type` is that of the invoke API."""

    call: str
    function: str
    exchange: Exchange
    deadline_us: int
    invocation_type: str


@dataclass(slots=True)
class WorkerSend:
    """One send of a call by a front end to a worker."""

    call: str
    function: str
    exchange: Exchange

    @property
    def at_us(self) -> int:
        """When it began."""
        return self.exchange.request.began_us

    def known_not_run_us(self) -> int | None:
        """Return when it was known that it never ran; None if it may have run."""
        response = self.exchange.response
        if response is None or not response.ended_us:
            return None
        error = (response.status, response.headers.get("x-amzn-errortype", ""))
        return response.ended_us if error in NEVER_RAN else None

    def may_have_run_at(self, at_us: int) -> bool:
        """Whether at that time it was not known that it never ran."""
        known_us = self.known_not_run_us()
        return known_us is None or known_us > at_us


@dataclass(frozen=True, slots=True)
class NotReadySpan:
    """A time in which a front end knew a worker to drain or to be gone."""

    worker: str
    address: tuple[str, int]
    begin_us: int
    end_us: int


class FrontEndEvidence:
    """What one incarnation of a front end shows."""

    def __init__(self, process: CapturedProcess, facts: Facts) -> None:
        self.process = process
        self.requests = list(_client_requests(process, facts))
        self.sends: list[WorkerSend] = []
        self.load_orders: list[Exchange] = []
        self.sends_by_call: defaultdict[str, list[WorkerSend]] = defaultdict(list)
        for exchange in process.exchanges.get("link", ()):
            function = invoked_function(exchange.request)
            if function is not None:
                send = WorkerSend(call_sent(exchange), function, exchange)
                self.sends.append(send)
                self.sends_by_call[send.call].append(send)
            elif ordered_copies(exchange.request) > 0:
                self.load_orders.append(exchange)

    @property
    def name(self) -> str:
        """The front end's name."""
        return self.process.name

    def sends_of(self, call: str) -> list[WorkerSend]:
        """Return the sends of a call, in order."""
        return self.sends_by_call.get(call, [])

    def not_ready_spans(self) -> list[NotReadySpan]:
        """Return the times in which workers drained or were gone, by the lists that it was given."""
        tracker = _ReadinessTracker()
        for endpoints in self.process.endpoint_lists:
            tracker.add(endpoints)
        return tracker.finish(self.process.ended_us + 1)

    def knows_start(self, worker: str, at_us: int, started_us: int) -> bool:
        """Whether by `at_us` its list had the worker's start at that time, or a later one."""
        for endpoints in self.process.endpoint_lists:
            if endpoints.at_us > at_us:
                return False
            for listed in endpoints.workers:
                is_new = listed.started_at_s * SECOND_US >= started_us - SECOND_US
                if listed.name == worker and is_new:
                    return True
        return False


class _ReadinessTracker:
    """Follows lists: a worker that leaves a list, or is listed as not ready, begins a span."""

    def __init__(self) -> None:
        self._spans: list[NotReadySpan] = []
        self._since: dict[str, tuple[int, tuple[str, int]]] = {}
        self._addresses: dict[str, tuple[str, int]] = {}

    def add(self, endpoints: EndpointList) -> None:
        ready = {worker.name for worker in endpoints.workers if worker.is_ready}
        for name in [name for name in self._since if name in ready]:
            self._end(name, endpoints.at_us)
        for name, address in self._addresses.items():
            if name not in ready and name not in self._since:
                self._since[name] = (endpoints.at_us, address)
        for worker in endpoints.workers:
            host, _, port = worker.address.rpartition(":")
            address = (host, int(port))
            self._addresses[worker.name] = address
            if not worker.is_ready and worker.name not in self._since:
                self._since[worker.name] = (endpoints.at_us, address)

    def finish(self, end_us: int) -> list[NotReadySpan]:
        for name in list(self._since):
            self._end(name, end_us)
        return self._spans

    def _end(self, name: str, end_us: int) -> None:
        begin_us, address = self._since.pop(name)
        self._spans.append(NotReadySpan(name, address, begin_us, end_us))


def _client_requests(process: CapturedProcess, facts: Facts) -> Iterator[ClientRequest]:
    """Complete requests for calls of functions that the facts name."""
    for exchange in process.exchanges.get("front", ()):
        request = exchange.request
        function = invoked_function(request)
        if function is None or not request.ended_us or function not in facts.deadlines_us:
            continue
        usual_us = facts.deadlines_us[function]
        stated_us = stated_deadline_us(request) or usual_us
        kind = request.headers.get("x-amz-invocation-type", "RequestResponse")
        time_left_us = stated_us if kind == EVENT else min(stated_us, usual_us)
        deadline_us = request.ended_us + time_left_us
        yield ClientRequest(call_of(request.body), function, exchange, deadline_us, kind)
