"""A node among fakes on loopback: workers that answer by script, a name server, clients."""

from __future__ import annotations

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

MS, SECOND = 1000, 1_000_000
FUNCTION = "7f3a9c21e0b4d655"
REFUSED, FAILED = ["Overloaded", {}], ["Internal", {}]
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


def config_text(**changes: Any) -> bytes:
    """Return the node's configuration with keys changed, as its file's bytes."""
    return json.dumps({**CONFIG, **changes}).encode()


class RecordingLog:
    """A log that collects its lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def info(self, event: str, **fields: object) -> None:
        """Record an event with its fields."""
        self.lines.append(f"{event} {fields}")

    warning = error = info


Words = list[bytes]


def words_of(data: bytes) -> tuple[list[Words], bytes]:
    """Whole arrays of bulk strings, and what follows."""
    out: list[Words] = []
    while data:
        at, words = data.find(b"\r\n") + 2, list[bytes]()
        for _ in range(int(data[1 : at - 2]) if at > 1 else 0):
            end = data.find(b"\r\n", at)
            if end < 0 or len(data) < (stop := end + 2 + int(data[at + 1 : end])) + 2:
                return out, data
            words.append(data[end + 2 : stop])
            at = stop + 2
        if not words:
            break
        out.append(words)
        data = data[at:]
    return out, data


class Worker:
    """Keeps every command it got; `answer` says what goes back for one, None for nothing, b"" for a close."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.name = name
        self.state = WorkerState.READY
        self.got: list[Words] = []
        self.streams: list[Stream] = []
        self.ends: list[str] = []  # how each connection that the other side ended has ended: closed or reset
        self.answer: Callable[[Words], bytes | None] = self.good
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self._loop = loop
        loop.spawn(self._accept)

    @property
    def target(self) -> dict[str, Any]:
        """Return the worker's entry in the name server's list."""
        where = "{}:{}".format(*self._listener.address)
        return {"uid": self.name, "endpoint": where, "az": "east", "model": "std", "state": "Ready"}

    @staticmethod
    def good(words: Words) -> bytes | None:
        """Answer as a worker whose copies are all loaded."""
        if words[0] == b"FN":
            return reply(words[1], b"OK", b"detail=resident", b"did " + words[3])
        return reply(words[1], b"OK", b"slots_up=1") if words[0] == b"SPAWN" else None

    def calls(self) -> list[Words]:
        """Return the calls that have arrived."""
        return [words for words in self.got if words[0] == b"FN"]

    def _accept(self) -> None:
        while True:
            stream = self._listener.accept()
            self.streams.append(stream)
            self._loop.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        rest = b""
        try:
            while data := stream.recv():
                complete, rest = words_of(rest + data)
                for words in complete:
                    self.got.append(words)
                    back = self.answer(words)
                    if back == b"":
                        return stream.reset()
                    if back is not None:
                        stream.send_all(back)
            self.ends.append("closed")
        except OSError:
            if not stream.closed:
                self.ends.append("reset")
        finally:
            stream.close()


def listing(query: bytes, serial: int, workers: list[Worker], weight: int = 10) -> bytes:
    """Return the name server's answer to a query: all workers, as they are."""
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


def reply(id: bytes, word: bytes, fields: bytes = b"-", body: bytes = b"") -> bytes:
    """Return a worker's answer to message `id` as the bytes of its wire form."""
    return b"*4\r\n" + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in (id, word, fields, body))


class Client:
    """A client on one connection, which numbers its requests from 1."""

    def __init__(self, loop: Loop, address: tuple[str, int]) -> None:
        self._loop = loop
        self.stream = connect(loop, address)
        self._unpacker = msgpack.Unpacker()
        self._number = 0

    def send(self, function: str = "7f3a9c21e0b4d655", method: str = "valuation", **fields: str) -> int:
        """Send a call; return its number."""
        self._number += 1
        request_fields = {
            "rid": f"{id(self) & 0xFFFFFFFF:08x}{self._number:08x}",
            "budget": "1000",
            "obj": function,
            **fields,
        }
        params = [request_fields, b"body %d" % self._number]
        self.stream.send_all(msgpack.packb([0, self._number, method, params]))
        return self._number

    def raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self.stream.send_all(data)

    def next(self) -> Any:
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


class World:
    """A node, its workers and its name server in one event loop."""

    def __init__(
        self,
        loop: Loop,
        workers: int,
        make_worker: Callable[[Loop, str], Worker] = Worker,
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
        self._changes = {"known": known, "dns": dns, **changes}
        self.node = Node(loop, parse_config(config_text(**self._changes)), self.log)

    def restart(self) -> None:
        """Start a new node of the same name, address and settings; the former one's listener is closed."""
        listen = "{}:{}".format(*self.node.listener.address)
        changes = {**self._changes, "listen": listen}
        self.node = Node(self.loop, parse_config(config_text(**changes)), self.log)

    def client(self) -> Client:
        """Return a new client that is connected to the node."""
        return Client(self.loop, self.node.listener.address)

    def until(self, condition: Callable[[], Any], step: int = 5_000) -> None:
        """Sleep until the condition holds, `step` microseconds at a time.

        Raises AssertionError after 4000 steps.
        """
        for _ in range(4000):
            if condition():
                return
            self.loop.sleep(step)
        raise AssertionError("it never came to that")


def play(
    script: Callable[[World], None],
    workers: int = 2,
    make_worker: Callable[[Loop, str], Worker] = Worker,
    **changes: Any,
) -> None:
    """Run `script` beside a node; an error anywhere in the loop is the test's."""
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    worlds: list[World] = []

    def body() -> None:
        worlds.append(World(loop, workers, make_worker, **changes))
        script(worlds[0])

    try:
        loop.run(body)
    finally:
        for world in worlds:
            world.name_server.close()
            world.node.listener.close()
            world.node.discovery.close()
    if errors:
        raise errors[0]


def settings(**changes: Any) -> dict[str, Any]:
    """Return the harness's settings with parts of them changed."""
    defaults = CONFIG["settings"]
    changed = {
        key: {**defaults[key], **value} if type(value) is dict else value for key, value in changes.items()
    }
    return {**defaults, **changed}


class HeldConnections:
    """Connections to workers come up for the kernel, but the node is notified by `come_up`."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.waiting: list[Callable[[], None]] = []
        self.is_holding = False
        on_connect_result = WorkerConnection._on_connect_result

        def hold(connection: WorkerConnection) -> None:
            if self.is_holding:
                self.waiting.append(partial(on_connect_result, connection))
            else:
                on_connect_result(connection)

        patch.setattr(WorkerConnection, "_on_connect_result", hold)

    def come_up(self) -> None:
        """Let the held connections come up, and hold no others."""
        self.is_holding = False
        while self.waiting:
            self.waiting.pop(0)()


def leave_by_interrupt(client: Client) -> None:
    """Interrupt the client's first call."""
    client.raw(msgpack.packb([2, "interrupt", [1]]))


def leave_by_close(client: Client) -> None:
    """Close the client's connection."""
    client.stream.close()


def leave_by_reset(client: Client) -> None:
    """Reset the client's connection."""
    client.stream.reset()


LEAVE = [leave_by_interrupt, leave_by_close, leave_by_reset]


def call_that_waits(world: World, held: HeldConnections, **fields: str) -> Client:
    """Return a client whose second call is on its way to a warm worker, on a connection that is coming up."""
    client = world.client()
    worker = warm(world, client)
    world.node.workers.close_idle_connections(worker.name)
    held.is_holding = True
    client.send(**fields)
    world.until(lambda: held.waiting)
    return client


def warm(world: World, client: Any) -> Worker:
    """One call served; the worker that did it."""
    client.send()
    client.next()
    return next(worker for worker in world.workers if worker.calls())


def after(first: bytes | None) -> Callable[[Words], bytes | None]:
    """Answers the next call with `first`, and all else well."""
    left = [first]

    def answer(words: Words) -> bytes | None:
        if words[0] == b"FN" and left:
            response = left.pop()
            return response if response is None else response.replace(b"ID", words[1])
        return Worker.good(words)

    return answer
