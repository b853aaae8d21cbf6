"""The ration of load orders, judged by their arrivals, while links hold, workers stall and nodes begin anew.

The witness is the workers' own log of the moment at which a whole order was read; no count of the node's is
looked at. A `Relay` between node and worker, or a worker that does not read, forces orders that were decided
at different times to arrive together.
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
    MS,
    SECOND,
    Client,
    World,
    play,
    settings,
)
from walnutpost.testsupport.node.ration_checker import Ration, RationLog, describe_breaches
from walnutpost.testsupport.node.witness import FRONT_END, Witness

FREE_LOADS, LOAD_SHARE, LOAD_WINDOW = 4, 0.2, 2 * SECOND
OPEN_AT_ONCE = 16  # requests of one client before the next one is used
USELESS_REQUESTS = 300
SINGLE_SHOT = "reservation"  # a class whose requests are not tried again after an error


def kill(node: Node) -> None:
    """As SIGKILL does: no code runs on, the kernel closes the sockets, and what it has taken still leaves."""
    for effect in ("start", "order", "ping", "discard", "abandon", "place"):
        setattr(node.workers, effect, lambda *_, **__: None)
    node.listener.close()
    node.discovery.close()
    for periodic in (node.reporting, node.pool.sweeping, node.clients.sweeping):
        periodic.cancel()
    for connections in list(node.pool._connections.values()):
        for connection in list(connections):
            connection.close()
    for client in list(node.clients.connections):
        client.close()


class Day:
    """A node among witnesses, and the clients that ask it."""

    def __init__(self, world: World, log: RationLog) -> None:
        self.world = world
        self.loop = world.loop
        self.log = log
        self.witnesses = [worker for worker in world.workers if isinstance(worker, Witness)]
        self._numbers = itertools.count(1)
        self._clients: list[Client] = []  # all, so that none is closed before the end
        self._sent = 0
        self.genuine: list[tuple[str, str]] = []  # request id and function
        self.asking = True

    def new_id(self) -> str:
        return f"{next(self._numbers):016x}"

    def client(self) -> Client:
        self._clients.append(self.world.client())
        return self._clients[-1]

    def ask(self, method: str = "valuation") -> None:
        """A genuine request, for a function of its own."""
        client = self.client() if self._sent % OPEN_AT_ONCE == 0 else self._clients[-1]
        self._sent += 1
        request, function = self.new_id(), self.new_id()
        client.send(function, method, rid=request)
        self.log.request_written(FRONT_END, self.loop.now())
        self.genuine.append((request, function))

    def ask_on(self, every_us: int) -> None:
        """Genuine requests, each for a function of its own, until `asking` ends."""

        def go_on() -> None:
            while self.asking:
                self.ask()
                self.loop.sleep(every_us)

        self.loop.spawn(go_on, name="clients")

    def restart(self) -> None:
        """The node is killed, and another begins under its name and address; clients connect anew."""
        kill(self.world.node)
        self.world.restart()
        self._sent = 0

    def cut(self) -> None:
        for witness in self.witnesses:
            witness.relay.cut()

    def heal(self) -> None:
        for witness in self.witnesses:
            witness.relay.heal()

    def read_at_once(self, at_us: int) -> int:
        """Orders read at that moment: of those that were held back, all."""
        return sum(at_us <= at <= at_us + 10 * MS for witness in self.witnesses for at in witness.orders)

    def settle(self, time_us: int = SECOND) -> None:
        """Lets what is on its way arrive."""
        self.asking = False
        self.loop.sleep(time_us)


def rationed(script: Callable[[Day], None], workers: int = 4, **changes: Any) -> None:
    """Plays `script`, then holds all that arrived against the ration."""
    log = RationLog()

    def whole(world: World) -> None:
        script(Day(world, log))

    extra: dict[str, Any] = {"FreeLoads": FREE_LOADS, "LoadShare": LOAD_SHARE, "LoadWindow": LOAD_WINDOW}
    extra.update(changes.pop("Extra", {}))
    told_settings = settings(Extra=extra, **changes)
    play(whole, workers, partial(Witness, log=log), settings=told_settings)
    ration = Ration.on_sockets(extra["FreeLoads"], extra["LoadShare"], extra["LoadWindow"])
    breaches = log.breaches(ration)
    assert not breaches, describe_breaches(breaches)


def test_without_faults_the_orders_that_arrive_keep_the_ration() -> None:
    """Forces nothing: the checker passes a day of steady traffic, and the node does order."""

    def script(day: Day) -> None:
        day.ask_on(100 * MS)
        day.loop.sleep(6 * SECOND)
        day.settle()
        assert sum(len(witness.orders) for witness in day.witnesses) >= FREE_LOADS

    rationed(script)


@pytest.mark.parametrize("leaks", [0, 20], ids=["whole commands held", "their first bytes pass"])
def test_orders_held_by_a_cut_within_their_time_out_keep_the_ration_as_it_heals(leaks: int) -> None:
    """Forces (a): a cut of three windows, shorter than the order time-out. The orders decided in each window
    of the cut arrive in one moment, next to those decided since; or their last bytes do."""

    def script(day: Day) -> None:
        day.ask_on(100 * MS)
        day.loop.sleep(2 * SECOND)
        for witness in day.witnesses:
            witness.relay.leaks = leaks
        day.cut()
        day.loop.sleep(3 * LOAD_WINDOW)
        healed = day.loop.now()
        day.heal()
        day.loop.sleep(SECOND)
        day.settle()
        assert day.read_at_once(healed) > 0, "no order was on its way"

    rationed(script, Extra={"OrderLimit": 10 * SECOND})


def test_orders_held_by_some_cut_links_keep_the_ration_beside_those_of_the_others() -> None:
    """Forces (a): two links of four are cut from the start, for five windows. No call goes there, so that no
    worker looks silent; the share is such that the ration is hardly spent. The others' orders arrive at once,
    and those of the cut ones with the last of them."""

    def script(day: Day) -> None:
        for witness in day.witnesses[:2]:
            witness.relay.cut()
        day.ask_on(100 * MS)
        day.loop.sleep(5 * LOAD_WINDOW)
        healed = day.loop.now()
        day.heal()
        day.settle()
        assert day.read_at_once(healed) > 0, "no order was on its way"

    rationed(script, Extra={"OrderLimit": 20 * SECOND, "LoadShare": 1.0})


def test_orders_that_take_any_time_up_to_some_windows_keep_the_ration() -> None:
    """Forces (a) without a cut: each order is on its way for another time, so that late ones meet early
    ones."""
    times = random.Random(39)

    def script(day: Day) -> None:
        for witness in day.witnesses:
            witness.relay.delay = lambda: times.randrange(2 * LOAD_WINDOW)
        day.ask_on(50 * MS)
        day.loop.sleep(6 * LOAD_WINDOW)
        day.settle(3 * LOAD_WINDOW)

    rationed(script, Extra={"OrderLimit": 20 * SECOND})


@pytest.mark.parametrize("keeps", [True, False], ids=["kept after reset", "lost by reset"])
def test_orders_that_timed_out_during_a_cut_keep_the_ration_as_they_arrive_after_all(keeps: bool) -> None:
    """Forces (b): a cut longer than the order time-out and a window. The node has given the orders up and
    ended their connections; what the link holds arrives all the same. After a reset the link delivers it too,
    as a worker's kernel does, or drops it."""

    def script(day: Day) -> None:
        for witness in day.witnesses:
            witness.relay.keeps_after_reset = keeps
        day.ask_on(100 * MS)
        day.loop.sleep(2 * SECOND)
        day.cut()
        day.loop.sleep(SECOND + 2 * LOAD_WINDOW + SECOND)
        healed = day.loop.now()
        day.heal()
        day.loop.sleep(SECOND)
        day.settle()
        assert not keeps or day.read_at_once(healed) > 0, "no order was on its way"

    rationed(script, Extra={"OrderLimit": SECOND})


@pytest.mark.parametrize("order_limit", [SECOND, 10 * SECOND], ids=["orders time out", "orders wait"])
def test_orders_that_a_stopped_worker_reads_late_keep_the_ration(order_limit: int) -> None:
    """Forces (c): the workers' processes stop. Orders wait in their kernels, beyond the reach of the node,
    and are read in one go."""

    def script(day: Day) -> None:
        day.ask_on(100 * MS)
        day.loop.sleep(2 * SECOND)
        for witness in day.witnesses:
            witness.reads.shut()
        day.loop.sleep(3 * LOAD_WINDOW)
        woken = day.loop.now()
        for witness in day.witnesses:
            witness.reads.open()
        day.loop.sleep(SECOND)
        day.settle()
        assert day.read_at_once(woken) > 0, "no order was on its way"

    rationed(script, Extra={"OrderLimit": order_limit})


def send_copies(day: Day) -> None:
    """On new connections, with ids from 1 up: only the id and the workers' answer tell them from genuine
    ones."""
    for number in range(USELESS_REQUESTS):
        if number % OPEN_AT_ONCE == 0:
            client = day.client()
        request, function = day.genuine[0]
        client.send(function, SINGLE_SHOT, rid=request)
        day.loop.sleep(2 * MS)


def take_back(day: Day) -> None:
    """Each is answered within the same millisecond, or isn't; its client takes it back at once."""
    client = day.client()
    for _ in range(USELESS_REQUESTS):
        number = client.send(day.genuine[0][1], rid=day.new_id())
        client.raw(msgpack.packb([2, "interrupt", [number]]))
        day.loop.sleep(2 * MS)


def leave_at_once(day: Day) -> None:
    for _ in range(USELESS_REQUESTS):
        client = day.world.client()
        client.send(day.genuine[0][1], rid=day.new_id())
        client.stream.close()
        day.loop.sleep(2 * MS)


@pytest.mark.parametrize("burst", [send_copies, take_back, leave_at_once])
def test_requests_that_are_of_no_use_give_no_ground_for_orders(burst: Callable[[Day], None]) -> None:
    """Forces (d): hundreds of copied requests, or of requests whose clients leave at once, then a crowd of
    genuine ones that each want a load."""

    def script(day: Day) -> None:
        day.ask(SINGLE_SHOT)
        day.loop.sleep(LOAD_WINDOW + SECOND)
        burst(day)
        for _ in range(30):
            day.ask()
            day.loop.sleep(10 * MS)
        day.settle()

    rationed(script, workers=8)


@pytest.mark.parametrize("late", [False, True], ids=["at once", "held by the link"])
def test_a_new_life_keeps_the_ration_beside_the_orders_of_the_former(late: bool) -> None:
    """Forces (e): the former life spends its free loads and is killed; the next one under its name and
    address begins at once into a crowd. `late`: the former's orders are still on their way and arrive beside
    its own."""

    def script(day: Day) -> None:
        if late:
            day.cut()
        for _ in range(FREE_LOADS + 2):
            day.ask()
        day.loop.sleep(100 * MS)
        day.restart()
        day.heal()
        for _ in range(FREE_LOADS + 2):
            day.ask()
        day.settle()

    rationed(script)


def test_several_short_lives_keep_the_ration_together() -> None:
    """Forces (e) again: a node that is killed as soon as it has ordered, four times within a window."""

    def script(day: Day) -> None:
        for life in range(4):
            if life:
                day.restart()
            for _ in range(FREE_LOADS):
                day.ask()
            day.loop.sleep(200 * MS)
        day.settle()

    rationed(script)


@pytest.mark.parametrize("order_limit", [SECOND, 10 * SECOND], ids=["orders time out", "orders wait"])
def test_orders_that_arrive_after_the_traffic_has_stopped_keep_the_ration(order_limit: int) -> None:
    """Forces (f): a crowd of requests gives ground for orders that the link holds; as they arrive, the
    requests are older than a window, and none have come since."""

    def script(day: Day) -> None:
        day.ask(SINGLE_SHOT)
        day.loop.sleep(LOAD_WINDOW + SECOND)  # no order of a former life can count any more
        day.cut()
        for _ in range(60):
            day.ask()
            day.loop.sleep(20 * MS)
        day.loop.sleep(LOAD_WINDOW + SECOND)
        healed = day.loop.now()
        day.heal()
        day.settle()
        assert day.read_at_once(healed) > 0, "no order was on its way"

    rationed(script, Extra={"OrderLimit": order_limit})


def test_orders_that_wait_for_late_connections_keep_the_ration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Forces (g): each connection to a worker comes up only after up to a second."""
    dialled, delays = WorkerConnection._on_connect_result, random.Random(39)

    def come_up_late(connection: WorkerConnection) -> None:
        connection._loop.call_later(delays.randrange(SECOND), partial(dialled, connection))

    monkeypatch.setattr(WorkerConnection, "_on_connect_result", come_up_late)

    def script(day: Day) -> None:
        day.ask_on(50 * MS)
        day.loop.sleep(8 * SECOND)
        day.settle(2 * SECOND)

    rationed(script, PolicyLimits={"DialTimeout": 1_100 * MS})
