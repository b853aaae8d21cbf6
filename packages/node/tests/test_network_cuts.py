"""Random network cuts under traffic whose clients cancel: which calls reach the workers, and when.

Workers stand behind relays in virtual time. A relay that is cut holds back the bytes of both directions, and
connections made to it meanwhile don't come up. It drops the bytes that the node sent before it reset the
connection, as the kernel of the node's machine would, or keeps them as a proxy may.
"""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

import msgpack
import pytest

from walnutpost.eventloop import Loop, Stream
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    PROFILE,
    SECOND_US,
    Client,
    Command,
    FakeWorker,
    NodeHarness,
    parse_commands,
    reply,
    run_scenario,
    settings,
)
from walnutpost.testsupport.node.witness import HeldBytes, Relay

CANCELLED_CALL_LIMIT_US = 150 * MILLISECOND_US  # 100 ms, and 50 ms more on sockets (STANDING, PROTOCOL)
KEY_WINDOW_US = 220 * MILLISECOND_US
WORKER_COUNT, CLIENT_COUNT, FUNCTION_COUNT = 5, 6, 4
DURATION_US = 12 * SECOND_US
REQUEST_INTERVAL_US = 15 * MILLISECOND_US
CANCELLED_RATIO = 0.3
METHODS = ["valuation", "reservation", "booking"]  # safe, not idempotent, keyed
CLASSES = [
    PROFILE,
    {**PROFILE, "Idempotency": "single_shot", "Name": "reservation"},
    {**PROFILE, "Idempotency": "guarded", "DedupScope": "all", "Window": KEY_WINDOW_US, "Name": "booking"},
]


class KeyGroup:
    """Drops repeats of a key for `KEY_WINDOW_US` from its first arrival at any worker."""

    def __init__(self) -> None:
        self._first_arrival_us: dict[str, int] = {}

    def is_repeat(self, key: str, now_us: int) -> bool:
        """Return whether the key is remembered; remember it if not."""
        if now_us - self._first_arrival_us.get(key, -KEY_WINDOW_US - 1) <= KEY_WINDOW_US:
            return True
        self._first_arrival_us[key] = now_us
        return False


class BusyWorker(FakeWorker):
    """A fake worker behind a relay, which needs a while for each call and drops repeats of a key."""

    def __init__(
        self, loop: Loop, name: str, group: KeyGroup, chance: random.Random, after_reset: HeldBytes
    ) -> None:
        super().__init__(loop, name)
        self._group = group
        self._chance = chance
        self.relay = Relay(loop, self._listener.address, after_reset)
        self.arrivals: list[tuple[int, str]] = []  # of calls: time and request id
        self.runs: list[tuple[int, str]] = []  # of calls that are no repeats

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in a list of endpoints, with the address of its relay."""
        return {**super().target, "endpoint": "{}:{}".format(*self.relay.address)}

    def _serve(self, stream: Stream) -> None:
        rest = b""
        try:
            while data := stream.recv():
                commands, rest = parse_commands(rest + data)
                for command in commands:
                    self._handle(command, stream)
        except OSError:
            pass
        finally:
            stream.close()

    def _handle(self, command: Command, stream: Stream) -> None:
        self.received_commands.append(command)
        if command[0] == b"FN":
            self._begin(command, stream)
        elif command[0] == b"SPAWN":
            stream.send_all(reply(command[1], b"OK", b"slots_up=1"))

    def _begin(self, command: Command, stream: Stream) -> None:
        request, now_us = command[1].decode(), self._loop.now()
        fields = dict(part.partition("=")[::2] for part in command[2].decode().split(","))
        self.arrivals.append((now_us, request))
        if "uniq" not in fields or not self._group.is_repeat(fields["uniq"], now_us):
            self.runs.append((now_us, request))
        self._loop.spawn(self._respond, command, stream, self._chance.randrange(50, 400) * MILLISECOND_US)

    def _respond(self, command: Command, stream: Stream, work_us: int) -> None:
        self._loop.sleep(work_us)
        try:
            stream.send_all(reply(command[1], b"OK", b"detail=resident", b"did " + command[3]))
        except OSError:
            stream.close()


class Traffic:
    """Clients that send calls at random, cancel some of them, and record when."""

    def __init__(self, harness: NodeHarness, chance: random.Random) -> None:
        self._harness = harness
        self._loop = harness.loop
        self._chance = chance
        self._clients = [harness.client() for _ in range(CLIENT_COUNT)]
        self._numbers = itertools.count(1)
        self.methods: dict[str, str] = {}  # by request id
        self.cancelled_us: dict[str, int] = {}  # by request id
        for client in self._clients:
            harness.loop.spawn(self._read_answers, client)

    def send_one(self) -> None:
        """Send a call, and let its client cancel it later in some cases."""
        client, method = self._chance.choice(self._clients), self._chance.choice(METHODS)
        request = f"{next(self._numbers):016x}"
        function = f"{self._chance.randrange(FUNCTION_COUNT):016x}"
        fields = {"token": request} if method == "booking" else {}
        self.methods[request] = method
        message_id = client.send(function, method, rid=request, attrs="memory_mb:300;lanes:8", **fields)
        if self._chance.random() < CANCELLED_RATIO:
            delay_us = self._chance.randrange(20, 500) * MILLISECOND_US
            self._loop.call_later(delay_us, partial(self._cancel, client, message_id, request))

    def _cancel(self, client: Client, message_id: int, request: str) -> None:
        self.cancelled_us[request] = self._loop.now()
        self._loop.spawn(client.send_raw, msgpack.packb([2, "interrupt", [message_id]]))

    def _read_answers(self, client: Client) -> None:
        while client.next_answer() is not None:
            pass


def cut_at_random(harness: NodeHarness, workers: list[BusyWorker], chance: random.Random) -> None:
    """Cut off one or two workers at a time, for up to 2 s."""
    end_us = harness.loop.now() + DURATION_US
    while harness.loop.now() < end_us:
        harness.loop.sleep(chance.randrange(200, 600) * MILLISECOND_US)
        cut = chance.sample(workers, chance.choice([1, 2]))
        for worker in cut:
            worker.relay.cut()
        harness.loop.sleep(chance.randrange(100, 2000) * MILLISECOND_US)
        for worker in cut:
            worker.relay.heal()


def find_late_arrivals(workers: list[BusyWorker], traffic: Traffic) -> list[str]:
    """Describe each call that reached a worker too long after its client had cancelled it."""
    return [
        f"{request} ({traffic.methods[request]}) reached {worker.name} {at_us - cancelled_us} us late"
        for worker in workers
        for at_us, request in worker.arrivals
        if (cancelled_us := traffic.cancelled_us.get(request)) is not None
        and at_us > cancelled_us + CANCELLED_CALL_LIMIT_US
    ]


def find_second_runs(workers: list[BusyWorker], traffic: Traffic) -> list[str]:
    """Describe each call that ran more than once although its class forbids it."""
    runs: dict[str, list[int]] = defaultdict(list)
    for worker in workers:
        for at_us, request in worker.runs:
            runs[request].append(at_us)
    return [
        f"{request} ({traffic.methods[request]}) ran {len(times)} times, {max(times) - min(times)} us apart"
        for request, times in runs.items()
        if len(times) > 1 and traffic.methods[request] != "valuation"
    ]


def stop_connects_during_cuts(patch: pytest.MonkeyPatch, harness: NodeHarness) -> None:
    """Let no connection to a worker that is cut off come up, so that its connect times out."""
    relays = {worker.name: worker.relay for worker in harness.workers if isinstance(worker, BusyWorker)}
    on_connect_result = WorkerConnection._on_connect_result

    def connect_unless_cut(connection: WorkerConnection) -> None:
        if not relays[connection.worker].to_worker.is_closed:
            on_connect_result(connection)

    patch.setattr(WorkerConnection, "_on_connect_result", connect_unless_cut)


def find_problems_after_cuts(
    seed: int,
    connections_per_worker: int,
    may_cancel: bool,
    after_reset: HeldBytes,
    prepare: Callable[[NodeHarness], None] = lambda harness: None,
) -> list[str]:
    """Play traffic over a network that is cut at random; return what broke a rule."""
    group = KeyGroup()
    problems: list[str] = []

    def scenario(harness: NodeHarness) -> None:
        prepare(harness)
        chance = random.Random(seed)
        max_connections = connections_per_worker * WORKER_COUNT
        harness.node.pool.limits = replace(harness.node.pool.limits, max_connections=max_connections)
        workers = [worker for worker in harness.workers if isinstance(worker, BusyWorker)]
        traffic = Traffic(harness, chance)
        harness.loop.spawn(cut_at_random, harness, workers, chance)
        end_us = harness.loop.now() + DURATION_US
        while harness.loop.now() < end_us:
            traffic.send_one()
            harness.loop.sleep(chance.randrange(2 * REQUEST_INTERVAL_US))
        harness.loop.sleep(3 * SECOND_US)
        assert sum(len(worker.runs) for worker in workers) > len(traffic.methods) / 2
        assert traffic.cancelled_us
        problems.extend(find_late_arrivals(workers, traffic) + find_second_runs(workers, traffic))

    def make_worker(loop: Loop, name: str) -> BusyWorker:
        return BusyWorker(loop, name, group, random.Random(f"{seed} {name}"), after_reset)

    changed = settings(Profiles=CLASSES, PolicyLimits={"Cancel": may_cancel})
    run_scenario(scenario, WORKER_COUNT, make_worker, settings=changed)
    return problems


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("connections_per_worker", [1, 3])
@pytest.mark.parametrize("seed", [0, 1, 2, 4, 5, 22])
def test_cut_network_delivers_no_abandoned_call_later(
    seed: int, connections_per_worker: int, may_cancel: bool
) -> None:
    """Guards against review cases 1 and 3: abandoned calls that reach a worker when the network is back.

    Seeds 4, 5 and 22 also guard against attempts of an open keyed call that arrive after the key's window.
    """
    problems = find_problems_after_cuts(seed, connections_per_worker, may_cancel, HeldBytes.DROPPED)
    assert not problems, "\n".join(problems)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("connections_per_worker", [1, 3])
@pytest.mark.parametrize("seed", [0, 1, 2, 3, 4, 5])
def test_cut_network_that_keeps_bytes_after_a_reset_delivers_no_abandoned_call_later(
    monkeypatch: pytest.MonkeyPatch, seed: int, connections_per_worker: int, may_cancel: bool
) -> None:
    """Guards against review case 3: a reset does not take back the bytes that the network holds."""
    problems = find_problems_after_cuts(
        seed,
        connections_per_worker,
        may_cancel,
        HeldBytes.DELIVERED_BEHIND_AN_ANSWER,
        partial(stop_connects_during_cuts, monkeypatch),
    )
    assert not problems, "\n".join(problems)
