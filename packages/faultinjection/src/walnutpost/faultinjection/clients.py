"""Clients for trials: open-loop arrivals, retries as a class allows them, and patience that ends."""

from __future__ import annotations

import base64
import json
import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from urllib.parse import quote

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.eventloop import Loop, Tap, WaitTimeoutError
from walnutpost.faultinjection.script import Burst, OneOffs, Script
from walnutpost.http import Connection, HttpMessageError, Response

SECOND = 1_000_000
ROLE = "client"
CONNECT_TIMEOUT = 250_000
PATIENCE = 500_000  # beyond its own deadline, so that a late answer is seen to be late
ASK_FATE_EVERY, FATE_PATIENCE = 250_000, 30_000_000


@dataclass(slots=True)
class Result:
    """What became of one call; `latency` from the time at which it was meant to be asked, so a client
    held up by others hides nothing. `kind`: served, refused, failed, no answer, unreachable."""

    call: str
    function: str
    deferred: bool
    kind: str = ""
    latency: int = 0
    tries: int = 0


Where = Callable[[], tuple[str, int] | None]  # a front end's address now; None where it is not up


@dataclass(slots=True)
class _Front:
    where: Where
    idle: list[Connection] = field(default_factory=list)


class Clients:
    """All clients of a trial, on one loop. `results` grows as calls end."""

    def __init__(
        self, loop: Loop, script: Script, config: Config, fronts: Sequence[Where], tap: Tap | None
    ) -> None:
        self._loop = loop
        self._script = script
        self._site = config.site
        self._fronts = [_Front(where) for where in fronts]
        self._tap = tap
        self._rng = Random(script.seed)
        self._count = 0
        self._one_offs = 0
        self.results: list[Result] = []
        self.open = 0

    def run(self) -> None:
        """Asks until the script's duration is over, then waits until every call has ended."""
        loop, rng = self._loop, self._rng
        began = loop.now()
        end = began + round(self._script.duration_s * SECOND)
        at = float(began)
        while True:
            at += -math.log(1 - rng.random()) * SECOND / self._rate((at - began) / SECOND)
            if at >= end:
                break
            if at > loop.now():
                loop.sleep(int(at) - loop.now())
            self._count += 1
            self.open += 1
            loop.spawn(self._one, self._count, int(at), (at - began) / SECOND, name="client")
        while self.open:
            loop.sleep(SECOND // 20)

    def _rate(self, second: float) -> float:
        factor = 1.0
        for t in self._script.troubles:
            if isinstance(t, Burst) and t.at_s <= second < t.at_s + t.for_s:
                factor *= t.factor
        return self._script.traffic.rate_per_s * factor

    def _one(self, number: int, meant: int, second: float) -> None:
        rng = Random(self._script.seed * 1_000_003 + number)
        traffic = self._script.traffic
        function = rng.choices(list(traffic.functions), list(traffic.functions.values()))[0]
        effect = self._site.classes[self._site.functions[function].class_].effect
        for t in self._script.troubles:
            one_off = isinstance(t, OneOffs) and t.at_s <= second < t.at_s + t.for_s
            if one_off and effect == "safe" and rng.random() < t.share:  # type: ignore[union-attr]
                function = one_off_name(self._one_offs % self._script.one_off_functions)
                self._one_offs += 1
        tenant = (
            rng.choices(list(traffic.tenants), list(traffic.tenants.values()))[0] if traffic.tenants else None
        )
        result = Result(f"c{number}", function, rng.random() < traffic.deferred_share)
        try:
            if result.deferred:
                self._deferred(result, tenant, rng)
            else:
                self._synchronous(result, effect, tenant, rng)
        finally:
            result.latency = self._loop.now() - meant
            self.results.append(result)
            self.open -= 1

    # One call

    def _synchronous(self, result: Result, effect: str, tenant: str | None, rng: Random) -> None:
        cls = self._site.classes[self._site.functions[result.function].class_]
        until = self._loop.now() + ms_to_us(cls.deadline_ms)
        for attempt in range(self._script.traffic.retries + 1):
            left = until - self._loop.now()
            if left <= 0:
                return
            result.tries += 1
            headers = self._headers(result, tenant, attempt, round(left * self._script.traffic.try_share))
            response = self._ask("POST", _invoke(result.function), headers, result.call, left, rng)
            result.kind = kind_of(response)
            again = {"refused": True, "unreachable": True, "no answer": effect == "safe"}
            if not again.get(result.kind, False):
                return
            self._loop.sleep(ms_to_us(self._script.traffic.retry_wait_ms))

    def _deferred(self, result: Result, tenant: str | None, rng: Random) -> None:
        """Accepted once; then asked after until it has a fate. A lost 202 is asked for again under its
        name."""
        cls = self._site.classes[self._site.functions[result.function].class_]
        arn, front = None, None
        until = self._loop.now() + ms_to_us(cls.deadline_ms) + FATE_PATIENCE
        for attempt in range(self._script.traffic.retries + 1):
            result.tries += 1
            headers = self._headers(result, tenant, attempt, ms_to_us(cls.deadline_ms))
            headers["x-amz-invocation-type"] = "Event"
            headers["x-amz-durable-execution-name"] = result.call
            front = rng.choice(self._fronts) if front is None else front
            response = self._ask(
                "POST", _invoke(result.function), headers, result.call, ms_to_us(cls.deadline_ms), rng, front
            )
            result.kind = kind_of(response)
            if isinstance(response, Response) and response.status == 202:
                arn = response.headers["x-amz-durable-execution-arn"]
                break
            if result.kind == "unreachable":
                front = None  # it never got there, so another front end may be asked
            self._loop.sleep(ms_to_us(self._script.traffic.retry_wait_ms))
        while arn is not None and self._loop.now() < until:
            self._loop.sleep(ASK_FATE_EVERY)
            target = f"/2025-12-01/durable-executions/{quote(arn, safe='')}"
            response = self._ask("GET", target, {}, "", SECOND, rng, front)
            if isinstance(response, Response) and response.status == 200:
                status = json.loads(response.body)["Status"]
                if status != "RUNNING":
                    result.kind = "served" if status == "SUCCEEDED" else "failed"
                    return
            result.kind = "no answer"

    def _headers(self, result: Result, tenant: str | None, attempt: int, left: int) -> dict[str, str]:
        context = json.dumps({"custom": {"deadline-ms": left / 1000}}).encode()
        headers = {
            "amz-sdk-invocation-id": result.call,
            "amz-sdk-request": f"attempt={attempt + 1}",
            "x-amz-client-context": base64.b64encode(context).decode(),
        }
        if tenant is not None:
            headers["x-amz-tenant-id"] = tenant
        return headers

    def _ask(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        call: str,
        patience: int,
        rng: Random,
        only: _Front | None = None,
    ) -> Response | None | str:
        there = [front for front in self._fronts if front.where() is not None]
        front = only or rng.choice(there or self._fronts)
        connection = None
        body = json.dumps({"trial": call}).encode() if call else b""
        try:
            connection = self._connection(front)
        except (OSError, WaitTimeoutError):
            return "unreachable"
        try:
            with self._loop.timeout(patience + PATIENCE):
                response = connection.request(method, target, headers, body)
        except (OSError, WaitTimeoutError, HttpMessageError):
            connection.close()
            return None
        if connection.is_reusable:
            front.idle.append(connection)
        else:
            connection.close()
        return response

    def _connection(self, front: _Front) -> Connection:
        while front.idle:
            connection = front.idle.pop()
            if not connection.stream.is_stale():
                return connection
            connection.close()
        address = front.where()
        if address is None:
            raise ConnectionRefusedError("nobody is there")
        with self._loop.timeout(CONNECT_TIMEOUT):
            return Connection.open(self._loop, address, self._tap, ROLE)


def _invoke(function: str) -> str:
    return f"/2015-03-31/functions/{quote(function, safe='')}/invocations"


def one_off_name(number: int) -> str:
    return f"one-off-{number:05d}"


def kind_of(response: Response | None | str) -> str:
    """What an answer is to the one who asked."""
    if isinstance(response, str):
        return response
    if response is None:
        return "no answer"
    if response.status in (200, 202):
        return "failed" if "x-amz-function-error" in response.headers else "served"
    return "refused" if response.status == 429 else f"error {response.status}"


def summary(results: list[Result]) -> dict[str, list[Result]]:
    """By function and way of asking."""
    out: dict[str, list[Result]] = defaultdict(list)
    for r in results:
        name = "one-offs" if r.function.startswith("one-off-") else r.function
        out[f"{name} deferred" if r.deferred else name].append(r)
    return dict(sorted(out.items()))
