"""What the cases of the platform's front end share: its process, clients, executors and the name server.

The stand-ins follow ../given/kit/more/node/PROTOCOL.md. They use the libraries of requirements.txt alone, which the
build of the deploy file installs. All addresses are loopback addresses.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import threading
import time
import tomllib
from collections.abc import Callable
from typing import Any

import dns.flags
import dns.message
import dns.rdatatype
import dns.rrset
import msgpack

from daemon_case import ROOT, Case, CouldNotRun, free_port

SERVICE = "_api._tcp.svc.local."
# The settings are those of the example in the page WIRE, section 13, which is the site dublin-quays.
SETTINGS: dict[str, Any] = {
    "ClientHabits": {"MarksRetry": True},
    "DomainType": "warm",
    "Extra": {
        "FreeLoads": 6.0, "KeepAlive": 8199999, "LoadShare": 0.2, "LoadWindow": 10000000, "MayLoad": True,
        "MemoryMbByKind": [5888.0, 11136.0], "NotesPeersInHand": True, "OrderLimit": 10000000, "PriceOfIdle": 0.05,
        "ReportX0": "share of memory that is at work or loading", "ReportX1": "loads under way or waiting",
        "WarmNotes": True, "WhenAbsent": "miss",
    },
    "Guarantees": {
        "AnswerSlack": 16000, "AskWithin": 10000000, "Cold": 16000000, "DrainGrace": 2000000,
        "OverloadFactor": 4.0, "OverloadFor": 1500000, "StartCapacity": 0.17,
    },
    "Kinds": ["twin-fast", "quad-slow"],
    "MyZone": 0,
    "OverShareWorth": 0.1,
    "PolicyLimits": {
        "Cancel": True, "ConnIdle": 15000000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 641416, "DialTimeout": 250000,
        "MaxAttempts": 5, "MaxOpen": 25656, "MaxRetryAfter": 2000000, "ParallelTries": True, "Peers": False,
        "Probes": True, "RetryAfter": False, "StreamsPerConn": 32,
    },
    "Prices": {
        "Connection": 0.0, "CrossZone": 0.0, "Handshake": 0.0, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.063,
        "Peer": 0.0, "Probe": 0.007, "RegistryMode": 0.0, "Waste": 0.08,
    },
    "Profiles": [
        {"Aim": 1000000, "DedupScope": "all", "HardLimit": 2500000, "Idempotency": "free", "Importance": 1.0,
         "LateWorth": 0.3, "Name": "valuation", "Stream": False, "Window": 5000000},
        {"Aim": 1000000, "DedupScope": "all", "HardLimit": 2500000, "Idempotency": "single_shot", "Importance": 2.0,
         "LateWorth": 0.2, "Name": "reservation", "Stream": False, "Window": 5000000},
    ],
    "Quantum": 4000,
    "Realms": [],
    "RegistryMode": "push",
    "Reporting": {"Fields": ["utilization", "x0"], "How": "answers"},
    "ResultMix": {"Whole": 0.7, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.1},
    "SelfIndex": 0,
    "Siblings": 2,
    "Tier": 0,
    "Tiers": ["pricing-workers"],
    "Weights": "none",
    "WorthBy": "request",
    "Zones": ["ormond-quay"],
}
ZONE, KIND = "ormond-quay", "twin-fast"


class Executor:
    """An executor that holds every function; it refuses calls with BUSY while it drains."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name = case, name
        self.state = "Ready"
        self.work_s = 0.03
        self.calls: list[tuple[float, str]] = []  # time of arrival and request id
        self.orders: list[tuple[float, str]] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        sending = threading.Lock()
        stream = connection.makefile("rb")

        def answer(*elements: bytes) -> None:
            data = b"*%d\r\n" % len(elements) + b"".join(b"$%d\r\n%b\r\n" % (len(e), e) for e in elements)
            try:
                with sending:
                    connection.sendall(data)
            except OSError:
                pass

        try:
            while line := stream.readline():
                command = []
                for _ in range(int(line[1:])):
                    size = int(stream.readline()[1:])
                    command.append(stream.read(size + 2)[:size])
                self._handle(command, answer)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def _handle(self, command: list[bytes], answer: Callable[..., None]) -> None:
        report = b"use=util:0.10;x0:0.10"
        if command[0] == b"FN":
            with self._lock:
                self.calls.append((time.time(), command[1].decode()))
            if self.state != "Ready":
                answer(command[1], b"BUSY", report, b"")
                return
            body = b"done " + command[3]
            fields = b"detail=resident," + report
            threading.Timer(self.work_s, answer, (command[1], b"OK", fields, body)).start()
        elif command[0] == b"SPAWN":
            wanted = int(command[2].rpartition(b"slots_up=")[2])
            if wanted:
                with self._lock:
                    self.orders.append((time.time(), command[2].decode()))
            if wanted and self.state != "Ready":
                answer(command[1], b"BUSY", b"slots_up=1", b"")
            else:
                answer(command[1], b"OK", b"slots_up=%d" % max(1, wanted), b"")
        elif command[0] in (b"HELO", b"TOP"):
            answer(command[1], b"UP", report, b"")


class NameServer:
    """The name server: sends each answer `delay_s` after its query, with the list as it is when it sends."""

    def __init__(self, executors: list[Executor]) -> None:
        self.executors = executors
        self.serial = 1
        self.delay_s = 0.0
        self.sent: list[tuple[float, int]] = []  # time and serial of each answer
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self.port = int(self._socket.getsockname()[1])
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                data, sender = self._socket.recvfrom(4096)
            except OSError:
                return
            query = dns.message.from_wire(data)
            if self.delay_s:
                threading.Timer(self.delay_s, self._answer, (query, sender)).start()
            else:
                self._answer(query, sender)

    def _answer(self, query: dns.message.Message, sender: Any) -> None:
        response = dns.message.make_response(query)
        serial = self.serial
        listed = [each for each in self.executors if each.state != "Gone"]
        lines = [f"{int(e.state != 'Ready')} 10 {e.port} {e.name}.{ZONE}.hosts." for e in listed]
        if lines:
            response.answer.append(dns.rrset.from_text(SERVICE, 1, "IN", "SRV", *lines))
        soa = f"ns.local. op.local. {serial} 1 1 1 1"
        response.authority.append(dns.rrset.from_text(SERVICE, 1, "IN", "SOA", soa))
        for each in listed:
            host = f"{each.name}.{ZONE}.hosts."
            response.additional.append(dns.rrset.from_text(host, 1, "IN", "A", "127.0.0.1"))
            text = f'"kind={KIND}" "cell=0" "started=0"'
            response.additional.append(dns.rrset.from_text(host, 1, "IN", "TXT", text))
        self.sent.append((time.time(), serial))
        self._socket.sendto(response.to_wire(), sender)


class Client:
    """A client on one connection: sends requests, each with a new id, and collects the answers."""

    def __init__(self, port: int, seed: int) -> None:
        self._socket = socket.create_connection(("127.0.0.1", port), timeout=10)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._seed = seed
        self._last_id = 0
        self.requests: dict[int, dict[str, Any]] = {}
        self._lock = threading.Lock()
        threading.Thread(target=self._read, daemon=True).start()

    def call(self, request_class: str, function: int, body: bytes = b"isbn", budget_ms: int = 2500) -> dict[str, Any]:
        """Send a request; the answer is put into the returned record."""
        with self._lock:
            self._last_id += 1
            number = self._last_id
            rid = f"{self._seed:04x}{number:012x}"
            record = {"rid": rid, "class": request_class, "sent": time.time(), "answers": [], "body": body}
            self.requests[number] = record
            fields = {
                "rid": rid, "budget": str(budget_ms), "obj": f"{function:016x}", "attrs": "memory_mb:512;lanes:2",
            }
            self._socket.sendall(msgpack.packb([0, number, request_class, [fields, body]]))
        return record

    def _read(self) -> None:
        unpacker = msgpack.Unpacker()
        while True:
            try:
                data = self._socket.recv(65536)
            except OSError:
                return
            if not data:
                return
            unpacker.feed(data)
            for _, number, error, result in unpacker:
                if number in self.requests:
                    self.requests[number]["answers"].append((time.time(), error, result))


def start_node(case: Case, executors: list[Executor], name_server: NameServer, settings: dict[str, Any]) -> int:
    """Start a front end with the command `run` of the deploy file, wait until it is ready, return its port."""
    port = free_port()
    targets = [
        {"uid": each.name, "endpoint": f"127.0.0.1:{each.port}", "az": ZONE, "model": KIND, "pod_group": 0,
         "state": each.state, "capacity_hint": 1, "boot_ms": 0}
        for each in executors
    ]
    topology = {"rev": 1, "all": True, "targets": targets}
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "dns": f"127.0.0.1:{name_server.port}",
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": topology}]},
        "settings": settings,
    }
    path = case.folder / "node.json"
    path.write_text(json.dumps(config))
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    environment = {**os.environ, "NODE_NAME": "n0", "NODE_LISTEN": config["listen"], "NODE_CONFIG": str(path),
                   "TMPDIR": str(case.folder)}
    with (case.folder / "node.log").open("ab") as log:
        case.processes["node"] = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
    case.note(f"started node: {command}")

    def is_ready() -> bool:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as probe:
                probe.sendall(msgpack.packb([0, 1, "check", [{}]]))
                return msgpack.unpackb(probe.recv(4096))[3][0] is True
        except (OSError, ValueError, IndexError, TypeError):
            return False

    case.wait_for("the front end to be ready", is_ready)
    return port


__all__ = ["Client", "CouldNotRun", "Executor", "NameServer", "SETTINGS", "signal", "start_node"]
