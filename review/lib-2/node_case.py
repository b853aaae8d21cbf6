"""What a case of the platform's front end needs: its process, its configuration, and the name server.

The stand-ins, and those of load_executors.py and load_client.py, follow ../given/kit/more/node/PROTOCOL.md. They use the libraries of requirements.txt alone, which the
build of the deploy file installs. All addresses are loopback addresses.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import threading
import tomllib
from dataclasses import dataclass
from typing import Any

import dns.message
import dns.rrset
import msgpack

from daemon_case import ROOT, Case, free_port

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
    "Siblings": 1,
    "Tier": 0,
    "Tiers": ["pricing-workers"],
    "Weights": "none",
    "WorthBy": "request",
    "Zones": ["ormond-quay"],
}
ZONE = "ormond-quay"
KINDS = ("twin-fast", "quad-slow")


@dataclass
class Listed:
    """An executor in the list; `kind` is one of the settings' kinds."""

    name: str
    port: int
    kind: str
    state: str = "Ready"


class NameServer:
    """The name server: answers each query with the list as it is."""

    def __init__(self, executors: list[Listed]) -> None:
        self.executors = executors
        self.serial = 1
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
            self._answer(dns.message.from_wire(data), sender)

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
            text = f'"kind={each.kind}" "cell=0" "started=0"'
            response.additional.append(dns.rrset.from_text(host, 1, "IN", "TXT", text))
        self._socket.sendto(response.to_wire(), sender)


def start_node(case: Case, executors: list[Listed], name_server: NameServer, settings: dict[str, Any]) -> int:
    """Start a front end with the command `run` of the deploy file, wait until it is ready, return its port."""
    port = free_port()
    targets = [
        {"uid": each.name, "endpoint": f"127.0.0.1:{each.port}", "az": ZONE, "model": each.kind, "pod_group": 0,
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
