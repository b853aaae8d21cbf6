"""Test harness that runs a node on loopback with fake workers, a fake name server and test clients."""

from __future__ import annotations

import itertools
import json
import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import dns.message
import dns.rrset
import msgpack
import pytest

from walnutpost.eventloop import Listener, Loop, Stream, VirtualClock, connect
from walnutpost.interface import WorkerState
from walnutpost.node.config import parse_config
from walnutpost.node.directory import SERVICE
from walnutpost.node.node import Node
from walnutpost.node.worker_connection import WorkerConnection

MILLISECOND_US, SECOND_US = 1000, 1_000_000  # in microseconds, the unit of the event loop
FUNCTION = "7f3a9c21e0b4d655"
OVERLOADED_ERROR, INTERNAL_ERROR = ["Overloaded", {}], ["Internal", {}]
PROFILE = {"Aim": 430000, "HardLimit": 1060000, "Importance": 1.0, "Idempotency": "free", "Name": "valuation"}
CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "seed": "8c1f",
    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
    "dns": "127.0.0.1:9",
    "known": {"offset": 1, "batch": []},
    "settings": {
        "Extra": {"KeepAlive": 4099999, "OrderLimit": 4000000, "MayLoad": True, "WhenAbsent": "miss"},
        "Guarantees": {"DrainGrace": 2000000},
        "Kinds": ["std"],
        "PolicyLimits": {
            "Cancel": True,
            "ConnIdle": 15000000,
            "DialTimeout": 250000,
            "MaxAttempts": 5,
            "ParallelTries": True,
            "StreamsPerConn": 32,
        },
        "Profiles": [
            PROFILE,
            {**PROFILE, "Idempotency": "single_shot", "Name": "reservation", "Importance": 2.0},
        ],
        "Quantum": 1000,
        "Reporting": {"Fields": ["utilization", "x0"], "How": "answers"},
        "Siblings": 1,
        "Zones": ["east"],
    },
}


def encode_config(**changes: Any) -> bytes:
    """Return the content of the node's configuration file, with the given top-level keys replaced."""
    return json.dumps({**CONFIG, **changes}).encode()


class RecordingLog:
    """A log that keeps its lines in memory."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        """Record an event with its fields."""
        self.lines.append(f"{event} {fields}")

    warning = error = info


Command = list[bytes]


def parse_commands(data: bytes) -> tuple[list[Command], bytes]:
    """Return the complete RESP arrays of bulk strings in `data`, and the remaining bytes."""
    commands: list[Command] = []
    while data:
        position, command = data.find(b"\r\n") + 2, list[bytes]()
        for _ in range(int(data[1 : position - 2]) if position > 1 else 0):
            end = data.find(b"\r\n", position)
            if end < 0 or len(data) < (stop := end + 2 + int(data[position + 1 : end])) + 2:
                return commands, data
            command.append(data[end + 2 : stop])
            position = stop + 2
        if not command:
            break
        commands.append(command)
        data = data[position:]
    return commands, data


class FakeWorker:
    """A fake worker that records every command it receives.

    `answer` returns the response to a command, None to send nothing, or b"" to reset the connection.
    """

    def __init__(self, loop: Loop, name: str) -> None:
        self.name = name
        self.state = WorkerState.READY
        self.received_commands: list[Command] = []
        self.streams: list[Stream] = []
        self.connection_ends: list[str] = []  # "closed" or "reset", for each connection that the node ended
        self.answer: Callable[[Command], bytes | None] = self.default_answer
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self._loop = loop
        loop.spawn(self._accept)

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in a list of endpoints."""
        endpoint = "{}:{}".format(*self._listener.address)
        return {"uid": self.name, "endpoint": endpoint, "az": "east", "model": "std", "state": "Ready"}

    @staticmethod
    def default_answer(command: Command) -> bytes | None:
        """Answer as a worker that has every function loaded."""
        if command[0] == b"FN":
            return reply(command[1], b"OK", b"detail=resident", b"did " + command[3])
        return reply(command[1], b"OK", b"slots_up=1") if command[0] == b"SPAWN" else None

    def calls(self) -> list[Command]:
        """Return the calls that the worker has received."""
        return [command for command in self.received_commands if command[0] == b"FN"]

    def _accept(self) -> None:
        while True:
            stream = self._listener.accept()
            self.streams.append(stream)
            self._loop.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        rest = b""
        try:
            while data := stream.recv():
                commands, rest = parse_commands(rest + data)
                for command in commands:
                    self.received_commands.append(command)
                    response = self.answer(command)
                    if response == b"":
                        return stream.reset()
                    if response is not None:
                        stream.send_all(response)
            self.connection_ends.append("closed")
        except OSError:
            if not stream.closed:
                self.connection_ends.append("reset")
        finally:
            stream.close()


def encode_discovery_response(
    query: bytes, serial: int, workers: list[FakeWorker], weight: int = 10
) -> bytes:
    """Return the name server's response to `query`, with all workers in their present state."""
    message = dns.message.make_response(dns.message.from_wire(query))
    rows = [(message.authority, "svc.local.", "SOA", f"a. b. {serial} 1 1 1 1")]
    for w in workers:
        host, _, port = w.target["endpoint"].partition(":")
        name, draining = f"{w.name}.east.hosts.", int(w.state is not WorkerState.READY)
        rows.append((message.answer, SERVICE, "SRV", f"{draining} {weight} {port} {name}"))
        rows.append((message.additional, name, "A", host))
        rows.append((message.additional, name, "TXT", '"kind=std" "cell=0" "started=0"'))
    for section, name, kind, text in rows:
        section.append(dns.rrset.from_text(name, 0, "IN", kind, text))
    return message.to_wire()


def reply(id: bytes, status: bytes, fields: bytes = b"-", body: bytes = b"") -> bytes:
    """Return a worker's response to message `id` in its wire form."""
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in (id, status, fields, body))


class Client:
    """A client with one connection, whose message ids count up from 1."""

    _client_numbers = itertools.count(0xC0000000)  # request ids are never used twice

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self.stream = connect(loop, address)
        self._unpacker = msgpack.Unpacker()
        self._client_number = next(self._client_numbers)
        self._number = 0

    def send(self, function: str = "7f3a9c21e0b4d655", method: str = "valuation", **fields: str) -> int:
        """Send a call and return its message id."""
        self._number += 1
        request_fields = {
            "rid": f"{self._client_number:08x}{self._number:08x}",
            "budget": "1000",
            "obj": function,
            **fields,
        }
        params = [request_fields, b"body %d" % self._number]
        self.stream.send_all(msgpack.packb([0, self._number, method, params]))
        return self._number

    def send_raw(self, data: bytes) -> None:
        """Send `data` unchanged."""
        self.stream.send_all(data)

    def next_answer(self) -> Any:
        """Return the next answer, or None once the connection has ended."""
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                try:
                    data = self.stream.recv()
                except OSError:
                    return None
                if not data:
                    return None
                self._unpacker.feed(data)


class NodeHarness:
    """A node with its fake workers and name server in one event loop."""

    def __init__(
        self,
        loop: Loop,
        workers: int,
        make_worker: Callable[[Loop, str], FakeWorker] = FakeWorker,
        **changes: Any,
    ) -> None:
        self.loop = loop
        self.log = RecordingLog()
        self.workers = [make_worker(loop, f"s-{i}") for i in range(workers)]
        topology = {"all": True, "rev": 0, "targets": [w.target for w in self.workers]}
        self.name_server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.name_server.setblocking(False)
        self.name_server.bind(("127.0.0.1", 0))
        known = {"offset": 1, "batch": [{"offset": 1, "topology": topology}]}
        dns = "{}:{}".format(*self.name_server.getsockname())
        self._config_changes = {"known": known, "dns": dns, **changes}
        self.node = Node(loop, parse_config(encode_config(**self._config_changes)), self.log)

    def restart(self) -> None:
        """Start a new node with the same name, address and settings.

        The listener of the previous node must be closed.
        """
        listen = "{}:{}".format(*self.node.listener.address)
        changes = {**self._config_changes, "listen": listen}
        self.node = Node(self.loop, parse_config(encode_config(**changes)), self.log)

    def client(self) -> Client:
        """Connect a new client to the node and return it."""
        return Client(self.loop, self.node.listener.address)

    def wait_until(self, condition: Callable[[], Any], step: int = 5_000) -> None:
        """Wait until the condition holds; check it every `step` microseconds.

        Raises AssertionError if it does not hold after 4000 steps.
        """
        for _ in range(4000):
            if condition():
                return
            self.loop.sleep(step)
        raise AssertionError("condition not met within 4000 steps")


def run_scenario(
    scenario: Callable[[NodeHarness], None],
    workers: int = 2,
    make_worker: Callable[[Loop, str], FakeWorker] = FakeWorker,
    **changes: Any,
) -> None:
    """Run `scenario` against a node on virtual time; raise the first error of any task in the event loop."""
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    harnesses: list[NodeHarness] = []

    def body() -> None:
        harnesses.append(NodeHarness(loop, workers, make_worker, **changes))
        scenario(harnesses[0])

    try:
        loop.run(body)
    finally:
        for harness in harnesses:
            harness.name_server.close()
            harness.node.listener.close()
            harness.node.discovery.close()
    if errors:
        raise errors[0]


def settings(**changes: Any) -> dict[str, Any]:
    """Return the default settings with `changes` applied; objects are merged, other values are replaced."""
    defaults = CONFIG["settings"]
    changed = {
        key: {**defaults[key], **value} if type(value) is dict else value for key, value in changes.items()
    }
    return {**defaults, **changed}


class DelayedConnections:
    """Delays the notification that a worker connection is established.

    The kernel connects as usual, but the node is notified only when the test allows it.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.waiting: list[Callable[[], None]] = []
        self.is_delaying = False  # whether new connections are delayed
        on_connect_result = WorkerConnection._on_connect_result

        def delay(connection: WorkerConnection) -> None:
            if self.is_delaying:
                self.waiting.append(partial(on_connect_result, connection))
            else:
                on_connect_result(connection)

        patch.setattr(WorkerConnection, "_on_connect_result", delay)

    def release(self) -> None:
        """Notify the node of the delayed connections and delay no others."""
        self.is_delaying = False
        while self.waiting:
            self.waiting.pop(0)()


def interrupt_first_call(client: Client) -> None:
    """Send an interrupt for the client's first call."""
    client.send_raw(msgpack.packb([2, "interrupt", [1]]))


def close_connection(client: Client) -> None:
    """Close the client's connection."""
    client.stream.close()


def reset_connection(client: Client) -> None:
    """Reset the client's connection."""
    client.stream.reset()


CLIENT_DEPARTURES = [interrupt_first_call, close_connection, reset_connection]


def start_call_waiting_for_connection(
    harness: NodeHarness, delayed: DelayedConnections, **fields: str
) -> Client:
    """Return a client whose second call waits for a new connection to a warm worker."""
    client = harness.client()
    worker = warm_up_worker(harness, client)
    harness.node.workers.close_idle_connections(worker.name)
    delayed.is_delaying = True
    client.send(**fields)
    harness.wait_until(lambda: delayed.waiting)
    return client


def warm_up_worker(harness: NodeHarness, client: Any) -> FakeWorker:
    """Let a worker serve one call and return that worker."""
    client.send()
    client.next_answer()
    return next(worker for worker in harness.workers if worker.calls())


def answer_first_call_with(first: bytes | None) -> Callable[[Command], bytes | None]:
    """Return an answer function that gives `first` to the next call and the default to everything else.

    "ID" in `first` stands for the id of the call.
    """
    responses = [first]

    def answer(command: Command) -> bytes | None:
        if command[0] == b"FN" and responses:
            response = responses.pop()
            return response if response is None else response.replace(b"ID", command[1])
        return FakeWorker.default_answer(command)

    return answer
