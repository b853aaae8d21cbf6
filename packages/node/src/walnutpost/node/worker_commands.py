"""Sends the gateway's commands to workers: attempts of calls, load orders, copy queries and probes.

Implements `dispatch.WorkerTransport`; the pool manages the connections.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial

from walnutpost.eventloop import Loop
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Probe, ProbeEnded, Send, Unload
from walnutpost.interface import Outcome
from walnutpost.node import resp
from walnutpost.node.delivery_tracker import DELIVERY_TIMEOUT_US
from walnutpost.node.exchange import CommandKind, Exchange, SendProgress, constant_encoder
from walnutpost.node.open_requests import OpenRequests, RequestIdentity
from walnutpost.node.worker_pool import WorkerPool

PROBE_TIMEOUT_US = 1_000_000
# With DELIVERY_TIMEOUT_US, no more than the 100 ms within which a call may begin after its client has left.
TIMEOUT_MARGIN_US = 20_000


class WorkerCommands:
    """Sends commands to workers, and reports the single outcome of each."""

    def __init__(self, loop: Loop, pool: WorkerPool, requests: OpenRequests) -> None:
        """Send commands over `pool`, on behalf of the open `requests`."""
        self._loop = loop
        self._pool = pool
        self._requests = requests
        self._last_id = 0
        self._attempts: dict[tuple[int, int], Exchange] = {}  # by (call, attempt)
        self.load_orders = 0
        self.copy_queries = 0
        self.attempt_outcomes: Counter[tuple[str, Outcome]] = Counter()  # since the last report cleared it

    def send(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        before: Callable[[], None] | None = None,
        execution: str = "",
    ) -> None:
        """Send an attempt of a call; its timeout starts now."""
        now_us = self._loop.now()
        identity = self._requests.identity_for_attempt(effect.caller_id)
        deadline_us = now_us + effect.timeout_us
        exchange = Exchange(
            CommandKind.CALL,
            b"" if identity is None else identity.request_id,
            partial(_encode_call, identity, effect, deadline_us),
            now_us,
            effect.timeout_us,
            partial(self._end_attempt, effect, done),
            effect.begin_within_us,
            partial(self._is_awaited, effect.caller_id),
            self._delivery_check_encoder(effect.function),
        )
        self._attempts[effect.call, effect.attempt] = exchange
        if identity is None:  # the client left while the policy decided
            self._loop.call_soon(partial(exchange.finish, Outcome.EXPIRED))
            return
        self._start(effect.worker, exchange)
        if not self._pool.limits.may_cancel:
            withdraw = partial(self._withdraw_at_end, exchange)
            self._requests.call_at_end(effect.caller_id, partial(self._loop.call_soon, withdraw))
        if identity.idempotency_key and effect.attempt and effect.begin_within_us:
            self._limit_delivery(effect, now_us + effect.begin_within_us)

    def cancel(self, call: int, attempt: int) -> None:
        """Cancel the attempt, even if it has been sent."""
        exchange = self._attempts.get((call, attempt))
        if exchange is None:
            return
        exchange.is_abandoned = True
        if exchange.connection is not None:
            exchange.connection.abandon(exchange)
        self._loop.call_soon(partial(exchange.finish, Outcome.CANCELLED))

    def _limit_delivery(self, latest: Send, deliver_by_us: int) -> None:
        """Limit when the attempts of a keyed call may reach their workers.

        Workers recognize repeats of a key for a limited time, within which the policy has sent the latest
        attempt. From now on, any of the attempts may be a repeat.
        """
        for number in range(latest.attempt + 1):
            exchange = self._attempts.get((latest.call, number))
            if exchange is not None:
                exchange.send_by_us = min(exchange.send_by_us, deliver_by_us)
                exchange.deliver_by_us = deliver_by_us
                self._loop.call_at(deliver_by_us - DELIVERY_TIMEOUT_US, partial(self._withdraw, exchange))

    def _withdraw_at_end(self, exchange: Exchange) -> None:
        """Withdraw an attempt of a request that has ended, unless its own timeout is about to abandon it."""
        if exchange.deadline_us - self._loop.now() > TIMEOUT_MARGIN_US:
            self._withdraw(exchange)

    def _withdraw(self, exchange: Exchange) -> None:
        """Make sure that an attempt never begins if its worker hasn't received it; otherwise let it go on.

        No first byte is sent any more if nobody waits for the attempt or its time to be sent is over.
        """
        if exchange.is_over or exchange.connection is None:
            return
        if exchange.progress is SendProgress.PARTIAL:
            exchange.connection.abandon(exchange)
            exchange.finish(Outcome.EXPIRED)
        elif exchange.progress is SendProgress.SENT:
            exchange.connection.require_delivery(exchange)

    def order_load(self, effect: LoadOrder, done: Callable[[LoadOrderEnded], None]) -> None:
        """Send a load order or a copy query; `interface.HoldEnded` describes its outcome."""
        is_query = not effect.copies
        if is_query:
            self.copy_queries += 1
        else:
            self.load_orders += 1
        id = self._next_id()
        exchange = Exchange(
            CommandKind.COPY_QUERY if is_query else CommandKind.LOAD_ORDER,
            id,
            constant_encoder(resp.encode_spawn(id, effect.function, effect.copies)),
            self._loop.now(),
            self._pool.limits.order_timeout_us,
            partial(self._end_order, effect, done),
            effect.begin_within_us,
        )
        self._start(effect.worker, exchange)

    def probe(self, effect: Probe, done: Callable[[ProbeEnded], None]) -> None:
        """Send a probe."""
        id = self._next_id()
        exchange = Exchange(
            CommandKind.PROBE,
            id,
            constant_encoder(resp.encode_probe(id)),
            self._loop.now(),
            PROBE_TIMEOUT_US,
            partial(self._end_probe, effect, done),
        )
        self._start(effect.worker, exchange)

    def unload(self, effect: Unload) -> None:
        """Ask the worker to unload idle copies; there is no response."""
        connection = self._pool.select(effect.worker, self._next_id())
        if connection is not None:
            connection.send_one_way(resp.encode_reap(effect.function))

    def close_idle_connections(self, worker: str) -> None:
        """Close the worker's connections that have no open commands."""
        self._pool.close_idle(worker)

    # Outcomes

    def _end_attempt(
        self,
        effect: Send,
        done: Callable[[AttemptEnded], None],
        exchange: Exchange,
        outcome: Outcome,
        response: resp.Response | None,
    ) -> None:
        self._attempts.pop((effect.call, effect.attempt), None)
        self.attempt_outcomes[effect.worker, outcome] += 1
        duration_us = self._loop.now() - exchange.decided_us
        if response is None:
            done(AttemptEnded(effect.call, effect.attempt, outcome, duration_us))
            return
        ended = AttemptEnded(
            effect.call,
            effect.attempt,
            outcome,
            duration_us,
            response.body if outcome is Outcome.OK else b"",
            False,
            response.warmth,
            response.crowd,
            response.report,
        )
        done(ended)

    def _end_order(
        self,
        effect: LoadOrder,
        done: Callable[[LoadOrderEnded], None],
        exchange: Exchange,
        outcome: Outcome,
        response: resp.Response | None,
    ) -> None:
        if response is None and outcome is Outcome.ERROR and effect.copies:
            outcome = Outcome.RESET  # the connection failed on a malformed response, which answers no command
        copies = response.copies or 0 if response is not None else 0
        duration_us = self._loop.now() - exchange.decided_us
        done(LoadOrderEnded(effect.worker, effect.function, outcome, duration_us, copies, effect.copies))

    def _end_probe(
        self,
        effect: Probe,
        done: Callable[[ProbeEnded], None],
        exchange: Exchange,
        outcome: Outcome,
        response: resp.Response | None,
    ) -> None:
        report = response.report if response is not None else ()
        done(ProbeEnded(effect.worker, outcome, self._loop.now() - exchange.decided_us, report))

    def _start(self, worker: str, exchange: Exchange) -> None:
        timeout_us = exchange.deadline_us - exchange.decided_us
        exchange.timer = self._loop.call_later(timeout_us, partial(self._expire, exchange))
        self._pool.assign(worker, exchange)

    def _expire(self, exchange: Exchange) -> None:
        """End an exchange whose timeout has passed; if it was not sent completely, it can't run any more."""
        was_sent = exchange.progress is SendProgress.SENT
        if exchange.connection is not None:
            exchange.connection.abandon(exchange)
        exchange.finish(Outcome.TIMEOUT if was_sent else Outcome.EXPIRED)

    def _is_awaited(self, caller_id: int) -> bool:
        return self._requests.identity_for_attempt(caller_id) is not None

    def _delivery_check_encoder(self, function: str) -> Callable[[bytes], bytes] | None:
        """Return how to encode a query that a live worker answers at once; None if none is allowed."""
        limits = self._pool.limits
        if limits.may_query_copies:
            return partial(resp.encode_spawn, function=function, copies=0)
        return resp.encode_probe if limits.may_probe else None

    def _next_id(self) -> bytes:
        self._last_id += 1
        return b"t%d" % self._last_id


def _encode_call(identity: RequestIdentity | None, effect: Send, deadline_us: int, now_us: int) -> bytes:
    """Encode a call with the time that is left; a call without an identity is encoded, but never sent."""
    request_id, request_class, idempotency_key = identity or RequestIdentity(b"", "", "")
    budget_us = deadline_us - now_us
    return resp.encode_call(
        request_id, request_class, effect.function, budget_us, effect.payload, idempotency_key
    )
