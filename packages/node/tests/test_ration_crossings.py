"""The limit on load orders per time window, while links delay them, workers stall and nodes restart.

The tests check the times at which the workers have read whole orders, and none of the node's own counters. A
relay between node and worker, or a worker that doesn't read, makes orders that were decided at different
times arrive together.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import msgpack
import pytest

from walnutpost.node.node import Node
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    SECOND_US,
    Client,
    NodeHarness,
    run_scenario,
    settings,
)
from walnutpost.testsupport.node.ration_checker import LoadOrderLog, SlidingWindowLimit, describe_violations
from walnutpost.testsupport.node.witness import FRONT_END, HeldBytes, LoggingWorker

FREE_LOADS, LOAD_SHARE, LOAD_WINDOW_US = 4, 0.2, 2 * SECOND_US
MAX_REQUESTS_PER_CLIENT = 16  # then a new client connects
UNCOUNTED_REQUESTS = 300  # duplicate or abandoned ones, which must not raise the limit
UNRETRIED_CLASS = "reservation"  # a class whose requests are not retried after an error


def kill_node(node: Node) -> None:
    """Act like SIGKILL: the node runs no more code; the kernel closes its sockets but sends what it holds."""
    for effect in ("start", "order", "ping", "discard", "abandon", "place"):
        setattr(node.workers, effect, lambda *_, **__: None)
    node.listener.close()
    node.discovery.close()
    for periodic in (node.periodic_report, node.pool.periodic_sweep, node.clients.periodic_sweep):
        periodic.cancel()
    for connections in list(node.pool._connections.values()):
        for connection in list(connections):
            connection.close()
    for client in list(node.clients.connections):
        client.close()


class LoadLimitRun:
    """A node with workers that log load orders, and the clients that send it requests."""

    def __init__(self, harness: NodeHarness, order_log: LoadOrderLog) -> None:
        self.harness = harness
        self.loop = harness.loop
        self.order_log = order_log
        self.workers = [worker for worker in harness.workers if isinstance(worker, LoggingWorker)]
        self._request_numbers = itertools.count(1)
        self._clients: list[Client] = []  # keeps all clients connected until the end
        self._sent_count = 0
        self.sent_requests: list[tuple[str, str]] = []  # request id and function
        self.is_sending = True

    def new_id(self) -> str:
        return f"{next(self._request_numbers):016x}"

    def client(self) -> Client:
        self._clients.append(self.harness.client())
        return self._clients[-1]

    def send_request(self, method: str = "valuation") -> None:
        """Send a request with a new id for a function that no other request uses."""
        client = self.client() if self._sent_count % MAX_REQUESTS_PER_CLIENT == 0 else self._clients[-1]
        self._sent_count += 1
        request, function = self.new_id(), self.new_id()
        client.send(function, method, rid=request)
        self.order_log.log_request(FRONT_END, self.loop.now())
        self.sent_requests.append((request, function))

    def send_requests_every(self, interval_us: int) -> None:
        """Send requests at an interval until `stop_traffic` is called."""

        def send_requests() -> None:
            while self.is_sending:
                self.send_request()
                self.loop.sleep(interval_us)

        self.loop.spawn(send_requests, name="clients")

    def restart(self) -> None:
        """Kill the node and start another one with its name and address; clients reconnect."""
        kill_node(self.harness.node)
        self.harness.restart()
        self._sent_count = 0

    def cut_links(self) -> None:
        for worker in self.workers:
            worker.relay.cut()

    def restore_links(self) -> None:
        for worker in self.workers:
            worker.relay.heal()

    def count_orders_read_at(self, at_us: int) -> int:
        """Count the orders read at that time, which include all that were held back."""
        return sum(
            at_us <= at <= at_us + 10 * MILLISECOND_US for worker in self.workers for at in worker.orders
        )

    def stop_traffic(self, wait_us: int = SECOND_US) -> None:
        """Stop sending requests, then wait for the orders in transit."""
        self.is_sending = False
        self.loop.sleep(wait_us)


def run_with_load_limit(scenario: Callable[[LoadLimitRun], None], workers: int = 4, **changes: Any) -> None:
    """Run a node with a limit on load orders, then check all orders that arrived against it."""
    order_log = LoadOrderLog()

    def start_run(harness: NodeHarness) -> None:
        scenario(LoadLimitRun(harness, order_log))

    extra: dict[str, Any] = {"FreeLoads": FREE_LOADS, "LoadShare": LOAD_SHARE, "LoadWindow": LOAD_WINDOW_US}
    extra.update(changes.pop("Extra", {}))
    node_settings = settings(Extra=extra, **changes)
    run_scenario(start_run, workers, partial(LoggingWorker, log=order_log), settings=node_settings)
    limit = SlidingWindowLimit.with_network_slack(extra["FreeLoads"], extra["LoadShare"], extra["LoadWindow"])
    violations = order_log.violations(limit)
    assert not violations, describe_violations(violations)


def test_load_orders_stay_within_the_limit_without_faults() -> None:
    """Under steady traffic the node sends load orders, and the checker accepts them."""

    def scenario(run: LoadLimitRun) -> None:
        run.send_requests_every(100 * MILLISECOND_US)
        run.loop.sleep(6 * SECOND_US)
        run.stop_traffic()
        assert sum(len(worker.orders) for worker in run.workers) >= FREE_LOADS

    run_with_load_limit(scenario)


@pytest.mark.parametrize("leaked_bytes", [0, 20], ids=["whole commands held", "their first bytes pass"])
def test_orders_delayed_by_a_cut_shorter_than_their_timeout_stay_within_the_limit(leaked_bytes: int) -> None:
    """A cut lasts three windows, less than the order timeout.

    The orders decided in each window of the cut, or their last bytes, arrive together with newer orders.
    """

    def scenario(run: LoadLimitRun) -> None:
        run.send_requests_every(100 * MILLISECOND_US)
        run.loop.sleep(2 * SECOND_US)
        for worker in run.workers:
            worker.relay.leaked_prefix_bytes = leaked_bytes
        run.cut_links()
        run.loop.sleep(3 * LOAD_WINDOW_US)
        restored_at_us = run.loop.now()
        run.restore_links()
        run.loop.sleep(SECOND_US)
        run.stop_traffic()
        assert run.count_orders_read_at(restored_at_us) > 0, "no order was in transit"

    run_with_load_limit(scenario, Extra={"OrderLimit": 10 * SECOND_US})


def test_orders_delayed_on_some_links_stay_within_the_limit_with_all_others() -> None:
    """Of four links, two are cut from the start, for five windows.

    They carry no calls, so no worker looks unresponsive, and the load share leaves most of the limit unused.
    Orders on the other links arrive at once; those on the cut links arrive with the last of them.
    """

    def scenario(run: LoadLimitRun) -> None:
        for worker in run.workers[:2]:
            worker.relay.cut()
        run.send_requests_every(100 * MILLISECOND_US)
        run.loop.sleep(5 * LOAD_WINDOW_US)
        restored_at_us = run.loop.now()
        run.restore_links()
        run.stop_traffic()
        assert run.count_orders_read_at(restored_at_us) > 0, "no order was in transit"

    run_with_load_limit(scenario, Extra={"OrderLimit": 20 * SECOND_US, "LoadShare": 1.0})


def test_orders_with_random_delays_stay_within_the_limit() -> None:
    """Each order is delayed by a different time, so that late orders arrive together with early ones."""
    delays = random.Random(39)

    def scenario(run: LoadLimitRun) -> None:
        for worker in run.workers:
            worker.relay.delay = lambda: delays.randrange(2 * LOAD_WINDOW_US)
        run.send_requests_every(50 * MILLISECOND_US)
        run.loop.sleep(6 * LOAD_WINDOW_US)
        run.stop_traffic(3 * LOAD_WINDOW_US)

    run_with_load_limit(scenario, Extra={"OrderLimit": 20 * SECOND_US})


@pytest.mark.parametrize(
    "after_reset", [HeldBytes.DELIVERED, HeldBytes.DROPPED], ids=["kept after reset", "lost by reset"]
)
def test_timed_out_orders_that_arrive_after_a_cut_stay_within_the_limit(after_reset: HeldBytes) -> None:
    """A cut lasts longer than the order timeout plus a window.

    The node has abandoned the orders and closed their connections, but the link still delivers what it holds.
    After a reset it either delivers that too, as a worker's kernel does, or drops it.
    """

    def scenario(run: LoadLimitRun) -> None:
        for worker in run.workers:
            worker.relay.after_reset = after_reset
        run.send_requests_every(100 * MILLISECOND_US)
        run.loop.sleep(2 * SECOND_US)
        run.cut_links()
        run.loop.sleep(SECOND_US + 2 * LOAD_WINDOW_US + SECOND_US)
        restored_at_us = run.loop.now()
        run.restore_links()
        run.loop.sleep(SECOND_US)
        run.stop_traffic()
        assert after_reset is HeldBytes.DROPPED or run.count_orders_read_at(restored_at_us) > 0, (
            "no order was in transit"
        )

    run_with_load_limit(scenario, Extra={"OrderLimit": SECOND_US})


@pytest.mark.parametrize("order_limit", [SECOND_US, 10 * SECOND_US], ids=["orders time out", "orders wait"])
def test_orders_read_late_by_stopped_workers_stay_within_the_limit(order_limit: int) -> None:
    """The worker processes stop, and read all waiting orders at once when they resume.

    The orders wait in the workers' kernels, where the node can't withdraw them.
    """

    def scenario(run: LoadLimitRun) -> None:
        run.send_requests_every(100 * MILLISECOND_US)
        run.loop.sleep(2 * SECOND_US)
        for worker in run.workers:
            worker.read_gate.close()
        run.loop.sleep(3 * LOAD_WINDOW_US)
        resumed_at_us = run.loop.now()
        for worker in run.workers:
            worker.read_gate.open()
        run.loop.sleep(SECOND_US)
        run.stop_traffic()
        assert run.count_orders_read_at(resumed_at_us) > 0, "no order was in transit"

    run_with_load_limit(scenario, Extra={"OrderLimit": order_limit})


def send_duplicates(run: LoadLimitRun) -> None:
    """Repeat a request on new connections, with message ids from 1.

    Only the request id and the workers' answers tell the copies from new requests.
    """
    for number in range(UNCOUNTED_REQUESTS):
        if number % MAX_REQUESTS_PER_CLIENT == 0:
            client = run.client()
        request, function = run.sent_requests[0]
        client.send(function, UNRETRIED_CLASS, rid=request)
        run.loop.sleep(2 * MILLISECOND_US)


def interrupt_at_once(run: LoadLimitRun) -> None:
    """Interrupt each request at once, when it may or may not have been answered in the same millisecond."""
    client = run.client()
    for _ in range(UNCOUNTED_REQUESTS):
        message_id = client.send(run.sent_requests[0][1], rid=run.new_id())
        client.send_raw(msgpack.packb([2, "interrupt", [message_id]]))
        run.loop.sleep(2 * MILLISECOND_US)


def disconnect_at_once(run: LoadLimitRun) -> None:
    for _ in range(UNCOUNTED_REQUESTS):
        client = run.harness.client()
        client.send(run.sent_requests[0][1], rid=run.new_id())
        client.stream.close()
        run.loop.sleep(2 * MILLISECOND_US)


@pytest.mark.parametrize("send_uncounted", [send_duplicates, interrupt_at_once, disconnect_at_once])
def test_duplicate_and_abandoned_requests_do_not_raise_the_limit(
    send_uncounted: Callable[[LoadLimitRun], None],
) -> None:
    """Hundreds of duplicate or abandoned requests precede a burst of requests that each need a load."""

    def scenario(run: LoadLimitRun) -> None:
        run.send_request(UNRETRIED_CLASS)
        run.loop.sleep(LOAD_WINDOW_US + SECOND_US)
        send_uncounted(run)
        for _ in range(30):
            run.send_request()
            run.loop.sleep(10 * MILLISECOND_US)
        run.stop_traffic()

    run_with_load_limit(scenario, workers=8)


@pytest.mark.parametrize("orders_in_transit", [False, True], ids=["at once", "held by the link"])
def test_restarted_node_stays_within_the_limit_with_its_predecessor(orders_in_transit: bool) -> None:
    """A node uses up its free loads and is killed; its successor starts at once under a burst of requests.

    The successor has the same name and address. With `orders_in_transit`, the orders of the first node are
    still on the link and arrive together with those of the successor.
    """

    def scenario(run: LoadLimitRun) -> None:
        if orders_in_transit:
            run.cut_links()
        for _ in range(FREE_LOADS + 2):
            run.send_request()
        run.loop.sleep(100 * MILLISECOND_US)
        run.restart()
        run.restore_links()
        for _ in range(FREE_LOADS + 2):
            run.send_request()
        run.stop_traffic()

    run_with_load_limit(scenario)


def test_quickly_restarted_nodes_stay_within_the_limit_together() -> None:
    """Within a window, four incarnations of a node are each killed as soon as they have sent orders."""

    def scenario(run: LoadLimitRun) -> None:
        for incarnation in range(4):
            if incarnation:
                run.restart()
            for _ in range(FREE_LOADS):
                run.send_request()
            run.loop.sleep(200 * MILLISECOND_US)
        run.stop_traffic()

    run_with_load_limit(scenario)


@pytest.mark.parametrize("order_limit", [SECOND_US, 10 * SECOND_US], ids=["orders time out", "orders wait"])
def test_orders_that_arrive_after_the_traffic_stops_stay_within_the_limit(order_limit: int) -> None:
    """A burst of requests allows load orders that the link then holds back.

    When the orders arrive, the requests are older than a window and no new ones have come.
    """

    def scenario(run: LoadLimitRun) -> None:
        run.send_request(UNRETRIED_CLASS)
        run.loop.sleep(LOAD_WINDOW_US + SECOND_US)  # orders of an earlier incarnation no longer count
        run.cut_links()
        for _ in range(60):
            run.send_request()
            run.loop.sleep(20 * MILLISECOND_US)
        run.loop.sleep(LOAD_WINDOW_US + SECOND_US)
        restored_at_us = run.loop.now()
        run.restore_links()
        run.stop_traffic()
        assert run.count_orders_read_at(restored_at_us) > 0, "no order was in transit"

    run_with_load_limit(scenario, Extra={"OrderLimit": order_limit})


def test_orders_that_wait_for_slow_connects_stay_within_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each connect to a worker takes up to a second."""
    on_connect_result, delays = WorkerConnection._on_connect_result, random.Random(39)

    def delay_connect_result(connection: WorkerConnection) -> None:
        connection._loop.call_later(delays.randrange(SECOND_US), partial(on_connect_result, connection))

    monkeypatch.setattr(WorkerConnection, "_on_connect_result", delay_connect_result)

    def scenario(run: LoadLimitRun) -> None:
        run.send_requests_every(50 * MILLISECOND_US)
        run.loop.sleep(8 * SECOND_US)
        run.stop_traffic(2 * SECOND_US)

    run_with_load_limit(scenario, PolicyLimits={"DialTimeout": 1_100 * MILLISECOND_US})
