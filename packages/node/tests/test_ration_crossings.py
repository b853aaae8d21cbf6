"""The ration of load orders, judged by their arrivals, while links hold, workers stall and nodes begin anew.

The witness is the workers' own log of the moment at which a whole order was read; no count of the node's is
looked at. A `Relay` between node and worker, or a worker that does not read, forces orders that were decided
at different times to arrive together.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

import msgpack
import pytest

from walnutpost.eventloop import Listener, Loop, Queue, Stream, Task, connect
from walnutpost.node.node import Node
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import (
    MS,
    SECOND,
    Client,
    Words,
    Worker,
    World,
    play,
    reply,
    settings,
    words_of,
)
from walnutpost.testsupport.node.ration_checker import Ration, RationLog, describe_breaches

FRONT_END = "n0"
FREE_LOADS, LOAD_SHARE, LOAD_WINDOW = 4, 0.2, 2 * SECOND
CHUNKS_MOST = 100_000  # that one direction of a connection may hold back
OPEN_AT_ONCE = 16  # requests of one client before the next one is used
USELESS_REQUESTS = 300
SINGLE_SHOT = "reservation"  # a class whose requests are not tried again after an error


class Valve:
    """Lets tasks pass while it is open; those that come while it is shut wait in order."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waits: list[tuple[Task[Any], int]] = []
        self.is_shut = False

    def shut(self) -> None:
        self.is_shut = True

    def open(self) -> None:
        self.is_shut = False
        waits, self._waits = self._waits, []
        for task, token in waits:
            self._loop.wake(task, token)

    def wait(self) -> None:
        while self.is_shut:
            self._waits.append(self._loop.begin_wait())
            self._loop.park()


class Relay:
    """A link to one worker. Connections to it always come up; bytes in either direction wait while its valve
    is shut. What was taken before the sender closed is delivered all the same, in order, before the end; of a
    sender that reset its connection only where `keeps_after_reset`. `delay` gives the time that each piece
    takes, and of each that finds the valve shut the first `leaks` bytes pass."""

    def __init__(self, loop: Loop, upstream: tuple[str, int], keeps_after_reset: bool = True) -> None:
        self._loop = loop
        self._upstream = upstream
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self.keeps_after_reset = keeps_after_reset
        self.to_worker = Valve(loop)
        self.to_node = Valve(loop)
        self.delay: Callable[[], int] = lambda: 0
        self.leaks = 0
        loop.spawn(self._accept, name="relay")

    def cut(self) -> None:
        self.to_worker.shut()
        self.to_node.shut()

    def heal(self) -> None:
        self.to_worker.open()
        self.to_node.open()

    def _accept(self) -> None:
        while True:
            self._loop.spawn(self._carry, self._listener.accept(), name="link")

    def _carry(self, near: Stream) -> None:
        try:
            far = connect(self._loop, self._upstream)
        except OSError:
            return near.reset()
        back = self._loop.spawn(self._pass_on, far, near, self.to_node, name="towards the node")
        self._pass_on(near, far, self.to_worker)
        back.join()
        near.close()
        far.close()

    def _pass_on(self, source: Stream, sink: Stream, valve: Valve) -> None:
        """Reads on while the valve is shut, so that the sender's end is seen whenever it comes."""
        held: Queue[bytes | None] = Queue(self._loop, CHUNKS_MOST)
        reading = self._loop.spawn(self._take, source, held, name="link's reader")
        while True:
            data = held.get()
            try:
                if data and valve.is_shut and self.leaks:
                    sink.send_all(data[: self.leaks])
                    data = data[self.leaks :]
                if data and (delay := self.delay()):
                    self._loop.sleep(delay)
                valve.wait()
                if reading.is_done and reading.result and not self.keeps_after_reset:
                    return sink.reset()
                if data is None:
                    return sink.reset() if reading.result else sink.end_writing()
                sink.send_all(data)
            except OSError:  # nobody is there to get it
                return reading.cancel()

    def _take(self, source: Stream, held: Queue[bytes | None]) -> bool:
        """All that comes, and None for the end; says whether that was a reset."""
        try:
            while data := source.recv():
                held.put(data)
        except OSError:
            return True
        finally:
            held.put(None)
        return False


class Witness(Worker):
    """A worker behind a relay. It logs each order to load as it has read it whole; `reads` shut, it is a
    process that has stopped: connections come up and bytes wait in its kernel."""

    def __init__(self, loop: Loop, name: str, log: RationLog, front_end: str = FRONT_END) -> None:
        super().__init__(loop, name)
        self.log = log
        self.front_end = front_end
        self.reads = Valve(loop)
        self.relay = Relay(loop, self._listener.address)
        self.loaded: set[str] = set()
        self.served: set[bytes] = set()
        self.orders: list[int] = []  # when each had been read whole
        self.answer = self.model

    @property
    def target(self) -> dict[str, Any]:
        return {**super().target, "endpoint": "{}:{}".format(*self.relay.address)}

    def model(self, words: Words) -> bytes | None:
        """Copies stand as soon as they are ordered, and for ever; a request that was served before is one
        that somebody copied, and ends as an error."""
        fields = dict(part.partition("=")[::2] for part in words[2].decode().split(",")) if words[2:] else {}
        if words[0] == b"SPAWN":
            if int(fields["slots_up"]):
                self.loaded.add(fields["path"])
            copies = b"slots_up=%d" % (fields["path"] in self.loaded)
            return reply(words[1], b"OK", copies)
        if words[0] != b"FN":
            return None
        if fields["path"] not in self.loaded:
            return reply(words[1], b"MISS")
        if words[1] in self.served:
            return reply(words[1], b"ERR")
        self.served.add(words[1])
        return reply(words[1], b"OK", b"detail=resident", b"did " + words[3])

    def _serve(self, stream: Stream) -> None:
        rest = b""
        with suppress(OSError):
            while True:
                self._loop.wait_readable(stream.fd)
                self.reads.wait()
                data = stream.recv()
                if not data:
                    break
                whole, rest = words_of(rest + data)
                for words in whole:  # all are here now, whatever becomes of the answers
                    self._arrived(words)
                for words in whole:
                    if (back := self.answer(words)) is not None:
                        with suppress(OSError):
                            stream.send_all(back)
        stream.close()

    def _arrived(self, words: Words) -> None:
        self.got.append(words)
        if words[0] == b"SPAWN" and not words[2].endswith(b"slots_up=0"):
            self.orders.append(self._loop.now())
            self.log.order_arrived(self.front_end, self._loop.now())


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
