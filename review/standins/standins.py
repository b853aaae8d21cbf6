"""Stand-ins for the platform's name server, executors, network and clients (PROTOCOL.md), for review cases.

Everything listens on 127.0.0.1 with ports that the kernel chooses. One asyncio process holds all stand-ins;
the front end is a process of its own, started with the `run` command of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ZONE, KIND = "ormond-quay", "quad-slow"

# The example of WIRE section 13 (dublin-quays).
SETTINGS: dict[str, Any] = {
    "ClientHabits": {"MarksRetry": True},
    "DomainType": "warm",
    "Extra": {
        "FreeLoads": 6.0,
        "KeepAlive": 8199999,
        "LoadShare": 0.2,
        "LoadWindow": 10000000,
        "MayLoad": True,
        "MemoryMbByKind": [5888.0, 11136.0],
        "NotesPeersInHand": True,
        "OrderLimit": 10000000,
        "PriceOfIdle": 0.05,
        "ReportX0": "share of memory that is at work or loading",
        "ReportX1": "loads under way or waiting",
        "WarmNotes": True,
        "WhenAbsent": "miss",
    },
    "Guarantees": {
        "AnswerSlack": 16000,
        "AskWithin": 10000000,
        "Cold": 16000000,
        "DrainGrace": 2000000,
        "OverloadFactor": 4.0,
        "OverloadFor": 1500000,
        "StartCapacity": 0.17,
    },
    "Kinds": ["twin-fast", "quad-slow"],
    "MyZone": 0,
    "OverShareWorth": 0.1,
    "PolicyLimits": {
        "Cancel": True,
        "ConnIdle": 15000000,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 641416,
        "DialTimeout": 250000,
        "MaxAttempts": 5,
        "MaxOpen": 25656,
        "MaxRetryAfter": 2000000,
        "ParallelTries": True,
        "Peers": False,
        "Probes": True,
        "RetryAfter": False,
        "StreamsPerConn": 32,
    },
    "Prices": {"LateFail": 0.03, "Origin": 0.063, "Probe": 0.007, "Waste": 0.08},
    "Profiles": [
        {
            "Aim": 1000000,
            "DedupScope": "all",
            "HardLimit": 2500000,
            "Idempotency": "free",
            "Importance": 1.0,
            "LateWorth": 0.3,
            "Name": "valuation",
            "Stream": False,
            "Window": 5000000,
        },
        {
            "Aim": 1000000,
            "DedupScope": "all",
            "HardLimit": 2500000,
            "Idempotency": "single_shot",
            "Importance": 2.0,
            "LateWorth": 0.2,
            "Name": "reservation",
            "Stream": False,
            "Window": 5000000,
        },
    ],
    "Quantum": 4000,
    "Realms": [],
    "RegistryMode": "push",
    "Reporting": {"Fields": ["utilization", "x0"], "How": "answers"},
    "ResultMix": {"Whole": 0.7, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.1},
    "SelfIndex": 0,
    "Siblings": 1,
    "Tier": 0,
    "Tiers": ["pricing-workers"],
    "Weights": "none",
    "WorthBy": "request",
    "Zones": ["ormond-quay"],
}


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run, with Unix seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.start = time.time()

    def __call__(self, what: str, **values: object) -> None:
        text = " ".join(f"{key}={value}" for key, value in values.items())
        self._file.write(f"{time.time() - self.start:9.4f} {what} {text}\n")

    def close(self) -> None:
        self._file.close()


# Executors


def encode_array(*elements: bytes) -> bytes:
    return b"*%d\r\n" % len(elements) + b"".join(b"$%d\r\n%b\r\n" % (len(e), e) for e in elements)


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    head = await reader.readuntil(b"\r\n")
    elements = []
    for _ in range(int(head[1:-2])):
        length = int((await reader.readuntil(b"\r\n"))[1:-2])
        elements.append((await reader.readexactly(length + 2))[:-2])
    return elements


def parse_fields(text: bytes) -> dict[str, str]:
    return dict(p.partition("=")[::2] for p in text.decode().split(",")) if text != b"-" else {}


class KeyGroup:
    """What a group of executors remembers of keyed requests: a key for `window_s` from its first arrival."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._known: dict[str, tuple[float, asyncio.Future[bytes]]] = {}

    def first_result(self, key: str) -> asyncio.Future[bytes] | None:
        """Return the result of the first request with this key; None if this one is the first."""
        since, result = self._known.get(key, (0.0, None))
        if result is not None and time.time() - since <= self._window_s:
            return result
        self._known[key] = (time.time(), asyncio.get_running_loop().create_future())
        return None

    def set_result(self, key: str, body: bytes) -> None:
        result = self._known[key][1]
        if not result.done():
            result.set_result(body)


class Executor:
    """A sound executor: loads copies on order, runs calls where a copy is loaded, else answers MISS."""

    def __init__(self, name: str, record: Record, work_s: float = 0.1, load_s: float = 0.3) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.load_s = load_s
        self.copies: dict[str, int] = {}
        self.calls: list[tuple[float, str, str]] = []  # when a call arrived whole, its id and class
        self.orders: list[tuple[float, str, int]] = []  # load orders as they arrive
        self.runs: list[str] = []  # ids of the calls that began to run
        self.run_times: list[tuple[float, str]] = []  # when each of them began
        self.ended: dict[str, float] = {}
        self.group: KeyGroup | None = None  # drops repeats of keyed requests
        self.is_draining = False
        self.rejects_while_draining = True  # new calls, with BUSY; orders to load are always rejected then
        self.started_ms = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def endpoint(self) -> tuple[str, int]:
        return HOST, self.port

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        tasks: dict[bytes, asyncio.Task[None]] = {}
        try:
            while True:
                command = await read_array(reader)
                self._take(command, writer, tasks)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            self._writers.discard(writer)
            writer.close()

    def _take(
        self, command: list[bytes], writer: asyncio.StreamWriter, tasks: dict[bytes, asyncio.Task[None]]
    ) -> None:
        word = command[0]
        if word == b"FN":
            rid, fields = command[1].decode(), parse_fields(command[2])
            self.calls.append((time.time(), rid, fields["queue"]))
            self.record("executor-call", executor=self.name, rid=rid, budget=fields["budget"])
            tasks[command[1]] = asyncio.create_task(self._run(command, fields, writer))
        elif word == b"KILL":
            self.record("executor-kill", executor=self.name, rid=command[1].decode())
            if task := tasks.pop(command[1], None):
                task.cancel()
        elif word == b"SPAWN":
            fields = parse_fields(command[2])
            if int(fields["slots_up"]):
                self.orders.append((time.time(), fields["path"], int(fields["slots_up"])))
            self.record("executor-order", executor=self.name, path=fields["path"], n=fields["slots_up"])
            tasks[command[1]] = asyncio.create_task(self._load(command[1], fields, writer))
        elif word == b"REAP":
            self.copies.pop(command[1].decode(), None)
        elif word in (b"HELO", b"TOP"):
            writer.write(encode_array(command[1], b"UP", b"-", b""))

    def _report(self) -> str:
        return "use=util:0.30;x0:0.20"

    async def _run(self, command: list[bytes], fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        rid, path = command[1].decode(), fields["path"]
        if self.is_draining and self.rejects_while_draining:
            writer.write(encode_array(command[1], b"BUSY", self._report().encode(), b""))
            return
        if not self.copies.get(path):
            writer.write(encode_array(command[1], b"MISS", self._report().encode(), b""))
            return
        answer = f"detail=resident,{self._report()}".encode()
        body = b"done " + self.name.encode() + b" " + command[1]
        first = self.group.first_result(fields.get("uniq") or rid) if self.group else None
        if first is not None:  # the group remembers the key: nothing runs
            self.record("executor-repeat", executor=self.name, rid=rid)
            writer.write(encode_array(command[1], b"OK", answer, await asyncio.shield(first)))
            return
        self.runs.append(rid)
        self.run_times.append((time.time(), rid))
        self.record("executor-run", executor=self.name, rid=rid)
        await asyncio.sleep(self.work_s)
        self.ended[rid] = time.time()
        self.record("executor-answer", executor=self.name, rid=rid)
        if self.group:
            self.group.set_result(fields.get("uniq") or rid, body)
        writer.write(encode_array(command[1], b"OK", answer, body))

    async def _load(self, tag: bytes, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        path, wanted = fields["path"], int(fields["slots_up"])
        if wanted and self.is_draining:
            writer.write(encode_array(tag, b"BUSY", b"slots_up=%d" % self.copies.get(path, 0), b""))
            return
        if wanted > self.copies.get(path, 0):
            await asyncio.sleep(self.load_s)
            self.copies[path] = max(wanted, self.copies.get(path, 0))
        writer.write(encode_array(tag, b"OK", b"slots_up=%d" % self.copies.get(path, 0), b""))


# The name server


def _name(text: str) -> bytes:
    return b"".join(bytes([len(part)]) + part.encode() for part in text.split(".")) + b"\0"


def _rr(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack("!HHIH", kind, 1, 0, len(data)) + data


class NameServer(asyncio.DatagramProtocol):
    """Answers SRV queries with the whole list; `delay_s` is how long each answer takes."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.executors: list[Executor] = []
        self.endpoints: dict[str, tuple[str, int]] = {}  # where it differs from the executor's own
        self.serial = 1
        self.delay_s = 0.0
        self.is_silent = False
        self.first_sent: dict[int, float] = {}  # when an answer with this serial was first sent
        self.answers = 0
        self.port = 0

    async def start(self) -> None:
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(HOST, 0)
        )
        self.port = self._transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if not self.is_silent:
            asyncio.get_running_loop().call_later(self.delay_s, self._answer, data, address)

    def _answer(self, query: bytes, address: tuple[str, int]) -> None:
        if self.is_silent:
            return
        question = query[12 : query.index(b"\0", 12) + 5]
        service = _name("_api._tcp.svc.local")
        answers, additional = b"", b""
        for each in self.executors:
            host, port = self.endpoints.get(each.name, each.endpoint)
            target = _name(f"{each.name}.{ZONE}.hosts")
            answers += _rr(service, 33, struct.pack("!HHH", int(each.is_draining), 10, port) + target)
            additional += _rr(target, 1, socket.inet_aton(host))
            texts = (f"kind={KIND}", "cell=1", f"started={each.started_ms}")
            additional += _rr(target, 16, b"".join(bytes([len(t)]) + t.encode() for t in texts))
        soa = _name("ns.local") + _name("root.local") + struct.pack("!IIIII", self.serial, 1, 1, 1, 1)
        authority = _rr(_name("svc.local"), 6, soa)
        n = len(self.executors)
        header = query[:2] + struct.pack("!HHHHH", 0x8400, 1, n, 1, 2 * n)
        if self.serial not in self.first_sent:
            self.first_sent[self.serial] = time.time()
            self.record("nameserver-first-answer", serial=self.serial)
        self.answers += 1
        self._transport.sendto(header + question + answers + authority + additional, address)

    def known(self) -> dict[str, Any]:
        targets = []
        for each in self.executors:
            host, port = self.endpoints.get(each.name, each.endpoint)
            targets.append(
                {
                    "uid": each.name,
                    "endpoint": f"{host}:{port}",
                    "az": ZONE,
                    "model": KIND,
                    "pod_group": 1,
                    "state": "Terminating" if each.is_draining else "Ready",
                    "capacity_hint": 1,
                    "boot_ms": each.started_ms,
                }
            )
        event = {"offset": self.serial, "topology": {"rev": self.serial, "all": True, "targets": targets}}
        return {"offset": self.serial, "batch": [event]}


# Clients


class Client:
    """One connection of a client; ids start at 1, at most 32 requests are open."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.open: dict[int, asyncio.Future[tuple[float, Any, Any]]] = {}
        self._rids: dict[int, str] = {}
        self._last_id = 0

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        self._task = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for _, id, error, result in unpacker:
                    future, rid = self.open.pop(id, None), self._rids.pop(id, "")
                    answer = (time.time(), error, result)
                    if rid:
                        self.record("client-answer", rid=rid, outcome=outcome_of(answer))
                    if future is not None and not future.done():
                        future.set_result(answer)
        except ConnectionError:
            pass
        for future in self.open.values():
            if not future.done():
                future.set_exception(ConnectionError("closed without an answer"))
        self.open.clear()

    def call(
        self,
        function: str,
        rid: str,
        budget_ms: int = 2500,
        kind: str = "valuation",
        body: bytes = b"x",
        lanes: int = 2,
        token: str = "",
    ) -> tuple[int, asyncio.Future[tuple[float, Any, Any]]]:
        self._last_id += 1
        fields = {
            "rid": rid,
            "budget": str(budget_ms),
            "obj": function,
            "attrs": f"memory_mb:300;lanes:{lanes}",
        }
        if token:
            fields["token"] = token
        future: asyncio.Future[tuple[float, Any, Any]] = asyncio.get_running_loop().create_future()
        self.open[self._last_id] = future
        self._rids[self._last_id] = rid
        self.record("client-call", rid=rid, kind=kind, path=function, budget=budget_ms)
        self.writer.write(msgpack.packb([0, self._last_id, kind, [fields, body]]))
        return self._last_id, future

    def interrupt(self, id: int, rid: str = "") -> None:
        self.open.pop(id, None)
        self.record("client-interrupt", rid=rid)
        self.writer.write(msgpack.packb([2, "interrupt", [id]]))

    async def check(self) -> bool:
        self._last_id += 1
        future: asyncio.Future[tuple[float, Any, Any]] = asyncio.get_running_loop().create_future()
        self.open[self._last_id] = future
        self.writer.write(msgpack.packb([0, self._last_id, "check", [{}]]))
        _, error, result = await asyncio.wait_for(future, 5)
        return error is None and result[0] is True

    def close(self) -> None:
        self._task.cancel()
        self.writer.close()


def outcome_of(answer: tuple[float, Any, Any]) -> str:
    _, error, result = answer
    if error is None:
        return "served"
    return "refused" if error[0] == "Overloaded" else "failed"


# The platform


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class FrontEnd:
    """One front end process, started with `run` of the deploy file as the platform starts it."""

    def __init__(
        self, record: Record, names: NameServer, settings: dict[str, Any] | None = None, sockets: int = 256
    ) -> None:
        self.record = record
        self.names = names
        self.settings = settings or SETTINGS
        self.sockets = sockets
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, dns_port: int | None = None) -> None:
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "dns": f"{HOST}:{dns_port or self.names.port}",
            "known": self.names.known(),
            "settings": self.settings,
        }
        path = self.folder / "config.json.new"
        path.write_text(json.dumps(config))
        path.replace(self.folder / "config.json")

    async def start(self) -> None:
        self.write_config()
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / "config.json"),
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(self.folder / "tmp"),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        end = time.time() + 30
        while time.time() < end:
            if self.process.poll() is not None:
                break
            try:
                client = await Client(self.port, self.record).connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            is_ready = await client.check()
            client.close()
            if is_ready:
                self.record("front-end-ready", pid=self.process.pid)
                return
        raise RuntimeError(f"the front end did not start: {self.log()[-2000:]}")

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record("front-end-signal", signal=number.name)
        self.process.send_signal(number)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def function_id(number: int) -> str:
    return f"{0x7F3A9C2100000000 + number:016x}"


class Requests:
    """Makes request ids."""

    def __init__(self) -> None:
        self._last = int.from_bytes(os.urandom(4), "big") << 24

    def next(self) -> str:
        self._last += 1
        return f"{self._last:016x}"


def run_case(main: Callable[[Record, bool], Any], folder: Path) -> int:
    """Run one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        problems = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as error:
        record("could-not-run", error=repr(error))
        print("could not run:", repr(error))
        return 2
    finally:
        record.close()
    for problem in problems[:10]:
        print(problem)
    print(f"{'BROKEN' if problems else 'held'}: {len(problems)} violations")
    return 1 if problems else 0
