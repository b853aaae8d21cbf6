"""The cluster of a configuration store under test: its names and regions, its site, and its files."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from walnutpost.config import Config, parse
from walnutpost.configstore import Mutation
from walnutpost.faultinjection.network import Address
from walnutpost.faultinjection.simulated_members import TWIN_KEYS, MemberFault

REPLICAS = ("k1", "k2", "k3")
RELAYS = ("r1", "r2", "r3")
FRONT_ENDS = ("f1", "f2", "f3")
MEMBER_PROCESSES = ("h1", "h2")  # of simulated members
REGIONS = {
    "one": ("k1", "r1", "f1", "h1"),
    "two": ("k2", "r2", "f2", "h2"),
    "three": ("k3", "r3", "f3"),
}
FUNCTIONS = ("twin-a", "twin-b", "steady")
PADDING_PREFIX = "padding"
PADDING_NAME = "x" * 100
WORKERS = 2
WORKERS_FILE = "workers.json"
ANY_PORT = "127.0.0.1:0"
NO_ADDRESS = "127.0.0.1:1"
TIMINGS = {"election_ms": 600, "heartbeat_ms": 100, "lease_ms": 60_000}
CALL_CLASS = {"effect": "safe", "aim_ms": 5_000, "deadline_ms": 20_000}
KEEP_ALIVE_MS = 600_000
LinkAddress = Callable[[str, str], Address]  # where the first process reaches the second


def region_of(name: str) -> str:
    """Return the region of a process."""
    return next(region for region, names in REGIONS.items() if name in names)


def site(padding: int) -> dict[str, Any]:
    """Return the site's section; `padding` functions that nobody calls let a snapshot have several pages."""
    line = {"class": "plain", "memory_mb": 64, "lanes": 4, "load_ms": 20}
    padded = [f"{PADDING_PREFIX}-{number:05d}-{PADDING_NAME}" for number in range(padding)]
    functions = dict.fromkeys([*FUNCTIONS, *padded], line)
    return {"classes": {"plain": CALL_CLASS}, "functions": functions, "keep_alive_ms": KEEP_ALIVE_MS}


def twin_mutations(concurrency: int) -> tuple[Mutation, ...]:
    """Return the change that all scenarios are made of: both twins get the same settings at once."""
    settings = {"class": "plain", "lanes": concurrency, "load_ms": 20.0, "memory_mb": 64.0}
    value = json.dumps(settings, sort_keys=True, separators=(",", ":")).encode()
    return tuple(Mutation(key, value) for key in TWIN_KEYS)


def front_end_config(name: str, padding: int, link_address: LinkAddress) -> dict[str, Any]:
    """Return the configuration of a front end, which has the workers of the cluster, too."""
    front = {
        "listen": ANY_PORT,
        "index": FRONT_ENDS.index(name),
        "front_ends": len(FRONT_ENDS),
        "store": f"{name}.db",
        "workers_file": WORKERS_FILE,
    }
    fleet = {
        "work": {function: {"work_ms": 2, "load_ms": 20} for function in FUNCTIONS},
        "workers": [{"name": f"w{number}", "cores": 8, "memory_mb": 4096} for number in range(WORKERS)],
    }
    agreement = {"member": name, "relays": relay_addresses(name, link_address)}
    return {"site": site(padding), "front": front, "fleet": fleet, "agreement": agreement}


def checked_config(content: dict[str, Any], name: str) -> Config:
    """Return a configuration as the programs read it; raises ConfigError."""
    return parse(json.dumps(content), name, Config)


def control_plane_config(name: str, link_address: LinkAddress) -> dict[str, Any]:
    """Return the configuration of a replica or relay: others are reached by the proxied links to them."""

    def line(other: str) -> dict[str, str]:
        if other == name:
            return {"name": other, "address": NO_ADDRESS, "listen": ANY_PORT}
        return {"name": other, "address": "{}:{}".format(*link_address(name, other))}

    lines = {"keepers": [line(other) for other in REPLICAS], "relays": [line(other) for other in RELAYS]}
    return lines | TIMINGS


def members_config(
    name: str, count: int, faults: dict[str, MemberFault], link_address: LinkAddress
) -> dict[str, Any]:
    """Return the specification of a process with so many simulated members."""
    members = [f"{name}-{number}" for number in range(count)]
    relays = relay_addresses(name, link_address)
    return {"members": members, "relays": relays, "faults": faults}


def relay_addresses(name: str, link_address: LinkAddress) -> dict[str, str]:
    """Return where a process reaches each relay: at the proxied link that leads there."""
    return {relay: "{}:{}".format(*link_address(name, relay)) for relay in RELAYS}
