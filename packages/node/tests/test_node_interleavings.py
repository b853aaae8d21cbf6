"""Property test: clients, workers, the endpoint list and shutdown in any order.

The rules are checked against what the fake clients and workers observed.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgpack
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    Client,
    Command,
    DelayedConnections,
    FakeWorker,
    NodeHarness,
    reply,
    run_scenario,
)
from walnutpost.testsupport.node.harness import settings as with_settings

DRAIN_GRACE_US, CLIENT_GONE_GRACE_US, BUDGET_US = (
    100 * MILLISECOND_US,
    100 * MILLISECOND_US,
    1_000 * MILLISECOND_US,
)
MODES_WITHOUT_EXECUTION = ("full", "miss")
ANSWER_MODES = ("good", "silent", "error", "full", "miss", "reset", "malformed", "twice")
METHODS = ("valuation", "reservation")
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 2), st.sampled_from(METHODS)),
    st.tuples(st.just("leave"), st.integers(0, 2), st.sampled_from(("close", "reset", "interrupt"))),
    st.tuples(st.just("way"), st.integers(0, 1), st.sampled_from(ANSWER_MODES)),
    st.tuples(st.just("list"), st.integers(0, 1), st.sampled_from(("Ready", "Terminating", "Gone"))),
    st.tuples(st.just("hold"), st.booleans(), st.none()),
    st.tuples(st.just("end"), st.none(), st.none()),
    st.tuples(st.just("sleep"), st.sampled_from((0, 1, 20, 90, 130, 400)), st.none()),
)


class InterleavingRun:
    """A run of steps that records requests, answers and calls that reached a worker."""

    def __init__(self, harness: NodeHarness, delayed: DelayedConnections) -> None:
        self.harness, self.delayed = harness, delayed
        self.answer_modes = ["good", "good"]
        self.client_left_at_us: dict[bytes, int] = {}  # by request id
        self.drain_announced_at_us: dict[str, int] = {}  # by worker name
        self.arrivals: list[tuple[bytes, str, str, int]] = []  # request id, class, answer mode, time
        self.requests: list[tuple[Client, int, bytes, str]] = []
        self.clients: list[Client] = []
        self.is_shutting_down = False
        for worker_index, worker in enumerate(harness.workers):
            worker.answer = partial(self.answer_command, worker_index, worker)

    def answer_command(self, worker_index: int, worker: FakeWorker, command: Command) -> bytes | None:
        if command[0] != b"FN":
            return FakeWorker.default_answer(command)
        mode, now = self.answer_modes[worker_index], self.harness.loop.now()
        request_class = command[2].split(b",")[0].decode()
        self.arrivals.append((command[1], request_class, mode, now))
        assert (
            now <= self.drain_announced_at_us.get(worker.name, now) + DRAIN_GRACE_US + 5 * MILLISECOND_US
        ), "call started after the drain grace"
        assert now <= self.client_left_at_us.get(command[1], now) + CLIENT_GONE_GRACE_US, (
            "call started for a client that left"
        )
        default = reply(command[1], b"OK", b"-", b"did " + command[3])
        return {
            "good": default,
            "silent": None,
            "error": reply(command[1], b"ERR"),
            "full": reply(command[1], b"BUSY"),
            "miss": reply(command[1], b"MISS"),
            "reset": b"",
            "malformed": b"*4\r\n$2\r\nzz",
            "twice": default + default,
        }[mode]

    def client(self, index: int) -> Client:
        while len(self.clients) <= index or self.clients[index].stream.closed:
            if len(self.clients) <= index:
                self.clients.append(self.harness.client())
            else:
                self.clients[index] = self.harness.client()
        return self.clients[index]

    def step(self, action: str, first: Any, second: Any) -> None:
        """Run one step.

        "ask" sends a request and "leave" makes a client leave. "way" sets how a worker answers, "list" sets
        its state in the endpoint list, "hold" delays connects to workers, and "end" shuts the node down.
        """
        harness, now = self.harness, self.harness.loop.now()
        if action == "ask" and not self.is_shutting_down:
            client = self.client(first)
            request = f"{len(self.requests):016x}"
            self.requests.append((client, client.send(method=second, rid=request), request.encode(), second))
        elif action == "leave" and first < len(self.clients) and not self.clients[first].stream.closed:
            client = self.clients[first]
            for other, message_id, request_id, _ in self.requests:
                if other is client:
                    self.client_left_at_us.setdefault(request_id, now)
                    if second == "interrupt":
                        client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
            if second != "interrupt":
                getattr(client.stream, second)()
        elif action == "way":
            self.answer_modes[first] = second
        elif action == "list":
            name = harness.workers[first].name
            if second == "Ready":
                self.drain_announced_at_us.pop(name, None)
            else:
                self.drain_announced_at_us.setdefault(name, now)
            targets = [{**harness.workers[first].target, "state": second}]
            serial = harness.node.directory.serial + 1
            event = {"offset": serial, "topology": {"all": False, "targets": targets}}
            harness.node._apply_endpoints(
                harness.node.directory.apply_known_events({"offset": serial, "batch": [event]})
            )
        elif action == "hold":
            self.delayed.is_delaying = first
            if not first:
                self.delayed.release()
        elif action == "end" and not self.is_shutting_down:
            self.is_shutting_down = True
            harness.loop.spawn(harness.node.shut_down)
        elif action == "sleep":
            harness.loop.sleep(first * MILLISECOND_US)

    def check(self) -> None:
        """Check that each request still awaited got one answer and no non-idempotent call ran twice."""
        self.delayed.release()
        self.harness.loop.sleep(BUDGET_US + 100 * MILLISECOND_US)
        answer_counts: dict[tuple[int, int], int] = {}
        for client in {id(c): c for c, *_ in self.requests}.values():
            if not client.stream.closed:
                client.send_raw(
                    msgpack.packb([0, 10_000, "check", [{}]])
                ) if not self.is_shutting_down else None
                while (answer := client.next_answer()) is not None and answer[1] != 10_000:
                    key = id(client), answer[1]
                    answer_counts[key] = answer_counts.get(key, 0) + 1
        for client, message_id, request_id, method in self.requests:
            count = answer_counts.get((id(client), message_id), 0)
            assert count <= 1 and (count == 1 or request_id in self.client_left_at_us), (
                "each request needs exactly one answer unless its client left"
            )
            executions = [
                mode
                for arrived_id, _, mode, _ in self.arrivals
                if arrived_id == request_id and mode not in MODES_WITHOUT_EXECUTION
            ]
            assert method == "valuation" or len(executions) <= 1, "non-idempotent call executed twice"


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(steps=st.lists(STEPS, min_size=4, max_size=24))
def test_requests_get_one_answer_and_run_safely_in_any_order_of_events(
    steps: list[tuple[str, Any, Any]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        delayed = DelayedConnections(patch)

        def scenario(harness: NodeHarness) -> None:
            run = InterleavingRun(harness, delayed)
            for step in steps:
                run.step(*step)
            run.check()

        run_scenario(scenario, workers=2, settings=with_settings(Guarantees={"DrainGrace": DRAIN_GRACE_US}))
