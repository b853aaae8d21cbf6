"""Clients of a scenario: open-loop arrivals, retries as a class allows them, and patience that ends."""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from urllib.parse import quote

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.site import CallClass
from walnutpost.eventloop import Loop, TrafficObserver, WaitTimeoutError
from walnutpost.faultinjection.call_results import (
    CallResult,
    CallResultKind,
    kind_of_response,
    one_off_name,
)
from walnutpost.faultinjection.scenario import OneOffCalls, Scenario, TrafficBurst
from walnutpost.http import Connection, HttpMessageError, Response

SECOND_US = 1_000_000
US_PER_MS = 1000
ROLE = "client"
CONNECT_TIMEOUT_US = 250_000
LATE_ANSWER_US = 500_000  # beyond a call's own deadline, so that a late answer is seen to be late
OUTCOME_POLL_INTERVAL_US = 250_000
OUTCOME_TIMEOUT_US = 30_000_000  # beyond a deferred call's own deadline
OPEN_CALLS_CHECK_INTERVAL_US = SECOND_US // 20
CALL_SEED_FACTOR = 1_000_003
ACCEPTED = 202
OK = 200
EXECUTION_ARN_HEADER = "x-amz-durable-execution-arn"

FindAddress = Callable[[], tuple[str, int] | None]  # a front end's address now; None where it is not up
Failure = CallResultKind  # NO_ANSWER or UNREACHABLE, in place of a response


@dataclass(slots=True)
class _FrontEnd:
    find_address: FindAddress
    idle: list[Connection] = field(default_factory=list)


@dataclass(slots=True)
class _Call:
    """A call under way, with its own random choices."""

    result: CallResult
    class_: CallClass
    tenant: str | None
    rng: Random


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout_us: int


class Clients:
    """All clients of a scenario, on one loop. `results` grows as calls end."""

    def __init__(
        self,
        loop: Loop,
        scenario: Scenario,
        config: Config,
        front_ends: Sequence[FindAddress],
        traffic_observer: TrafficObserver | None,
    ) -> None:
        self.results: list[CallResult] = []
        self._loop = loop
        self._scenario = scenario
        self._site = config.site
        self._front_ends = [_FrontEnd(find_address) for find_address in front_ends]
        self._traffic_observer = traffic_observer
        self._rng = Random(scenario.seed)
        self._call_count = 0
        self._one_off_count = 0
        self._open_calls = 0

    def run(self) -> None:
        """Send calls until the scenario's duration is over, then wait until every call has ended."""
        loop = self._loop
        began_us = loop.now()
        end_us = began_us + round(self._scenario.duration_s * SECOND_US)
        at_us = float(began_us)
        while True:
            rate = self._rate_per_s((at_us - began_us) / SECOND_US)
            at_us += -math.log(1 - self._rng.random()) * SECOND_US / rate
            if at_us >= end_us:
                break
            if at_us > loop.now():
                loop.sleep(int(at_us) - loop.now())
            self._call_count += 1
            self._open_calls += 1
            second = (at_us - began_us) / SECOND_US
            loop.spawn(self._call, self._call_count, int(at_us), second, name="client")
        while self._open_calls:
            loop.sleep(OPEN_CALLS_CHECK_INTERVAL_US)

    def _rate_per_s(self, second: float) -> float:
        factor = 1.0
        for fault in self._scenario.troubles:
            if isinstance(fault, TrafficBurst) and fault.at_s <= second < fault.at_s + fault.for_s:
                factor *= fault.factor
        return self._scenario.traffic.rate_per_s * factor

    def _call(self, number: int, meant_us: int, second: float) -> None:
        """Make one call, from its first attempt to its end."""
        rng = Random(self._scenario.seed * CALL_SEED_FACTOR + number)
        traffic = self._scenario.traffic
        function = self._choose_function(second, rng)
        tenant = _choose(rng, traffic.tenants) if traffic.tenants else None
        result = CallResult(f"c{number}", function, rng.random() < traffic.deferred_share)
        class_ = self._site.classes[self._site.functions[function].class_]
        call = _Call(result, class_, tenant, rng)
        try:
            if result.is_deferred:
                self._call_deferred(call)
            else:
                self._call_synchronous(call)
        finally:
            result.latency_us = self._loop.now() - meant_us
            self.results.append(result)
            self._open_calls -= 1

    def _choose_function(self, second: float, rng: Random) -> str:
        function = _choose(rng, self._scenario.traffic.functions)
        is_safe = self._site.classes[self._site.functions[function].class_].effect == "safe"
        for fault in self._scenario.troubles:
            if not isinstance(fault, OneOffCalls) or not fault.at_s <= second < fault.at_s + fault.for_s:
                continue
            if is_safe and rng.random() < fault.share:
                function = one_off_name(self._one_off_count % self._scenario.one_off_functions)
                self._one_off_count += 1
        return function

    # One call

    def _call_synchronous(self, call: _Call) -> None:
        traffic = self._scenario.traffic
        result = call.result
        is_safe = call.class_.effect == "safe"
        retried = {CallResultKind.REJECTED, CallResultKind.UNREACHABLE}
        if is_safe:
            retried.add(CallResultKind.NO_ANSWER)
        deadline_us = self._loop.now() + ms_to_us(call.class_.deadline_ms)
        for attempt in range(traffic.retries + 1):
            left_us = deadline_us - self._loop.now()
            if left_us <= 0:
                return
            result.attempts += 1
            headers = _headers(call, attempt, round(left_us * traffic.try_share))
            request = _invocation(result, headers, left_us)
            _set_kind(result, self._send(request, self._choose_front_end(call.rng)))
            if result.kind not in retried:
                return
            self._loop.sleep(ms_to_us(traffic.retry_wait_ms))

    def _call_deferred(self, call: _Call) -> None:
        """Have a call accepted, then poll until it has an outcome."""
        deadline_us = self._loop.now() + ms_to_us(call.class_.deadline_ms) + OUTCOME_TIMEOUT_US
        front_end: _FrontEnd | None = None
        for attempt in range(self._scenario.traffic.retries + 1):
            call.result.attempts += 1
            front_end = front_end or call.rng.choice(self._front_ends)
            answer = self._send(self._deferred_invocation(call, attempt), front_end)
            _set_kind(call.result, answer)
            if isinstance(answer, Response) and answer.status == ACCEPTED:
                self._poll_outcome(call.result, answer.headers[EXECUTION_ARN_HEADER], front_end, deadline_us)
                return
            if call.result.kind is CallResultKind.UNREACHABLE:
                front_end = None  # it never got there, so another front end may be asked
            self._loop.sleep(ms_to_us(self._scenario.traffic.retry_wait_ms))

    def _deferred_invocation(self, call: _Call, attempt: int) -> _Request:
        """Return the request, under the call's name: a lost acceptance is asked for again by it."""
        timeout_us = ms_to_us(call.class_.deadline_ms)
        headers = _headers(call, attempt, timeout_us)
        headers["x-amz-invocation-type"] = "Event"
        headers["x-amz-durable-execution-name"] = call.result.call
        return _invocation(call.result, headers, timeout_us)

    def _poll_outcome(self, result: CallResult, arn: str, front_end: _FrontEnd, deadline_us: int) -> None:
        target = f"/2025-12-01/durable-executions/{quote(arn, safe='')}"
        request = _Request("GET", target, {}, b"", SECOND_US)
        while self._loop.now() < deadline_us:
            self._loop.sleep(OUTCOME_POLL_INTERVAL_US)
            answer = self._send(request, front_end)
            if isinstance(answer, Response) and answer.status == OK:
                status = json.loads(answer.body)["Status"]
                if status != "RUNNING":
                    has_succeeded = status == "SUCCEEDED"
                    result.kind = CallResultKind.SERVED if has_succeeded else CallResultKind.FAILED
                    return
            result.kind = CallResultKind.NO_ANSWER

    # One request

    def _choose_front_end(self, rng: Random) -> _FrontEnd:
        """Choose one that is up, if any is."""
        up = [front_end for front_end in self._front_ends if front_end.find_address() is not None]
        return rng.choice(up or self._front_ends)

    def _send(self, request: _Request, front_end: _FrontEnd) -> Response | Failure:
        try:
            connection = self._connection(front_end)
        except (OSError, WaitTimeoutError):
            return CallResultKind.UNREACHABLE
        try:
            with self._loop.timeout(request.timeout_us + LATE_ANSWER_US):
                response = connection.request(request.method, request.target, request.headers, request.body)
        except (OSError, WaitTimeoutError, HttpMessageError):
            connection.close()
            return CallResultKind.NO_ANSWER
        if connection.is_reusable:
            front_end.idle.append(connection)
        else:
            connection.close()
        return response

    def _connection(self, front_end: _FrontEnd) -> Connection:
        while front_end.idle:
            connection = front_end.idle.pop()
            if not connection.stream.is_stale():
                return connection
            connection.close()
        address = front_end.find_address()
        if address is None:
            raise ConnectionRefusedError("nobody is there")
        with self._loop.timeout(CONNECT_TIMEOUT_US):
            return Connection.open(self._loop, address, self._traffic_observer, ROLE)


def _choose(rng: Random, weights: dict[str, float]) -> str:
    return rng.choices(list(weights), list(weights.values()))[0]


def _set_kind(result: CallResult, answer: Response | Failure) -> None:
    if isinstance(answer, Response):
        result.status = answer.status
        result.kind = kind_of_response(answer)
    else:
        result.status = 0
        result.kind = answer


def _invocation(result: CallResult, headers: dict[str, str], timeout_us: int) -> _Request:
    target = f"/2015-03-31/functions/{quote(result.function, safe='')}/invocations"
    body = json.dumps({"trial": result.call}).encode()
    return _Request("POST", target, headers, body, timeout_us)


def _headers(call: _Call, attempt: int, left_us: int) -> dict[str, str]:
    context = json.dumps({"custom": {"deadline-ms": left_us / US_PER_MS}}).encode()
    headers = {
        "amz-sdk-invocation-id": call.result.call,
        "amz-sdk-request": f"attempt={attempt + 1}",
        "x-amz-client-context": base64.b64encode(context).decode(),
    }
    if call.tenant is not None:
        headers["x-amz-tenant-id"] = call.tenant
    return headers
