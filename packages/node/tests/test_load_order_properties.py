"""Property test: the reported outcome of a load order is true in any order of events."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from itertools import chain
from typing import Any

import pytest
from hypothesis import HealthCheck, example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from walnutpost.gateway import LoadOrder
from walnutpost.interface import Outcome
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    SECOND_US,
    Command,
    DelayedConnections,
    FakeWorker,
    NodeHarness,
    reply,
    run_scenario,
)
from walnutpost.testsupport.node.worker_fixtures import (
    MAX_READ_DELAY_US,
    ORDER_TIMEOUT_US,
    ORDERED_FUNCTION,
    PARTIAL_COMMAND_BYTES,
    UNDELIVERED_OUTCOMES,
    UNLIMITED_BYTES,
)

STEPS = st.one_of(
    st.tuples(st.just("order"), st.sampled_from((0, 0, 50 * MILLISECOND_US))),
    st.tuples(st.just("room"), st.sampled_from((PARTIAL_COMMAND_BYTES, UNLIMITED_BYTES))),
    st.tuples(st.just("sleep"), st.sampled_from((250, 30, 1))),
    st.tuples(st.sampled_from(("speak", "call", "leave")), st.none()),
    st.tuples(st.just("way"), st.sampled_from(("good", "silent", "reset", "noise", "half", "twice"))),
    st.one_of(
        st.tuples(st.just("break"), st.sampled_from(("close", "reset"))),
        st.tuples(st.sampled_from(("hold", "list")), st.booleans()),
    ),
)


PARTLY_SENT_ORDER = (
    st.tuples(  # an order that the kernel accepts in part, and the steps before the rest can be sent
        st.just(("room", PARTIAL_COMMAND_BYTES)),
        st.tuples(st.just("order"), st.just(0)),
        STEPS,
        st.one_of(STEPS, st.just(("speak", None))),
        st.tuples(st.just("sleep"), st.sampled_from((1, 250))),
        st.just(("room", UNLIMITED_BYTES)),
    )
)


STEP_GROUPS = st.lists(
    st.one_of(st.tuples(STEPS), st.tuples(STEPS, STEPS), PARTLY_SENT_ORDER), min_size=3, max_size=8
)


REST_SENT_LATE = (
    ("room", PARTIAL_COMMAND_BYTES),
    ("order", 0),
    ("sleep", 30),
    ("speak", None),
    ("sleep", 250),
    ("room", UNLIMITED_BYTES),
)


class LoadOrderRun:
    """A run of steps that records when each load order ended, how, and when it reached the worker."""

    def __init__(self, harness: NodeHarness, patch: pytest.MonkeyPatch, delayed: DelayedConnections) -> None:
        self.harness, self.worker, self._delayed = harness, harness.workers[0], delayed
        self._answer_mode, self._send_capacity_bytes = "good", UNLIMITED_BYTES
        self._addresses = dict(harness.node.pool._addresses)
        self.outcomes: dict[bytes, list[tuple[int, Outcome]]] = {}
        self.arrivals: dict[bytes, list[int]] = {}
        self._clients: list[Any] = []
        self.worker.answer = self._answer
        self._throttle(patch)
        limits = replace(harness.node.pool.limits, max_connections=1, order_timeout_us=ORDER_TIMEOUT_US)
        harness.node.pool.limits = limits

    def _throttle(self, patch: pytest.MonkeyPatch) -> None:
        """Let all connections share one send capacity; a blocked connection polls it every 5 ms."""
        init, run = WorkerConnection.__init__, self

        def init_throttled(connection: WorkerConnection, *args: Any) -> None:
            init(connection, *args)
            send_now, on_writable = connection.stream.send_nowait, connection.stream.on_writable

            def send_throttled(data: bytes) -> bytes:
                accepted = min(run._send_capacity_bytes, len(data))
                if run._send_capacity_bytes < UNLIMITED_BYTES:
                    run._send_capacity_bytes -= accepted
                return (send_now(data[:accepted]) if accepted else b"") + data[accepted:]

            def poll_writable(callback: Callable[[], object] | None) -> None:
                if connection.is_connected and callback is not None:
                    run.harness.loop.call_later(5 * MILLISECOND_US, callback)
                else:
                    on_writable(callback)

            connection.stream.send_nowait = send_throttled  # type: ignore[method-assign]
            connection.stream.on_writable = poll_writable  # type: ignore[method-assign]

        patch.setattr(WorkerConnection, "__init__", init_throttled)

    def _answer(self, command: Command) -> bytes | None:
        if command[0] == b"SPAWN" and ORDERED_FUNCTION.encode() in command[2]:
            self.arrivals.setdefault(command[1], []).append(self.harness.loop.now())
        default = FakeWorker.default_answer(command)
        answers = {"good": default, "silent": None, "reset": b"", "noise": b"noise\r\n"}
        answers |= {"half": (default or b"")[:15] or None, "twice": default and default + default}
        return answers[self._answer_mode]

    def _order(self, begin_within_us: int) -> None:
        pool = self.harness.node.workers
        message_id = b"t%d" % (pool._last_id + 1)
        results = self.outcomes.setdefault(message_id, [])
        load_order = LoadOrder(self.worker.name, ORDERED_FUNCTION, 1, begin_within_us)
        pool.order_load(load_order, lambda result: results.append((self.harness.loop.now(), result.outcome)))

    def step(self, action: str, argument: Any) -> None:
        """Run one step.

        "leave" closes a client, "room" sets the send capacity, "way" sets how the worker answers, and "speak"
        makes it send an unrequested response. "break" ends the worker's connections, "hold" delays new ones,
        and "list" adds the worker to the endpoint list or removes it.
        """
        match action:
            case "order":
                self._order(argument)
            case "call":
                self._clients.append(self.harness.client())
                self._clients[-1].send()
            case "leave" if self._clients:
                self._clients.pop().stream.close()
            case "room":
                self._send_capacity_bytes = argument
            case "way":
                self._answer_mode = argument
            case "speak":
                for stream in self.worker.streams:
                    with suppress(OSError):
                        stream.send_all(reply(b"0" * 16, b"OK"))
            case "break":
                for stream in self.worker.streams:
                    getattr(stream, argument)()
            case "hold":
                self._delayed.is_delaying = argument
                if not argument:
                    self._delayed.release()
            case "list":
                self.harness.node.pool.update_addresses(self._addresses if argument else {})
            case "sleep":
                self.harness.loop.sleep(argument * MILLISECOND_US)

    def check(self) -> None:
        """Compare the outcome of each order with what the worker received."""
        self._send_capacity_bytes = UNLIMITED_BYTES
        self._delayed.release()
        self.harness.loop.sleep(3 * SECOND_US)
        for message_id, results in self.outcomes.items():
            assert len(results) == 1, "each order must have exactly one outcome"
            (ended_at, outcome), arrivals = results[0], self.arrivals.get(message_id, [])
            assert len(arrivals) <= 1, "order sent twice"
            assert not arrivals or outcome not in UNDELIVERED_OUTCOMES, (
                "order arrived although its outcome says that it did not"
            )
            if outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
                assert arrivals, "order never arrived although its outcome is a response"
            # The fake worker reads at once, so a late arrival was sent late.
            assert all(arrival <= ended_at + MAX_READ_DELAY_US for arrival in arrivals), (
                "order sent after its outcome was reported"
            )


@hypothesis_settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(step_groups=STEP_GROUPS)
@example(step_groups=[REST_SENT_LATE])
def test_load_order_outcome_matches_what_the_worker_received(
    step_groups: list[tuple[tuple[str, Any], ...]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        delayed = DelayedConnections(patch)

        def scenario(harness: NodeHarness) -> None:
            run = LoadOrderRun(harness, patch, delayed)
            for step in chain.from_iterable(step_groups):
                run.step(*step)
            run.check()

        run_scenario(scenario, workers=1)
