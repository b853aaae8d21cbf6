"""Fleets and configurations of a wanted size, of names and lines as long as real ones."""

from __future__ import annotations

import json
from typing import Any

from walnutpost.config import Config, parse
from walnutpost.fleet import (
    FRONT_END,
    WORKER,
    Acknowledgement,
    BeginPermit,
    CommandResult,
    DisruptionBudget,
    EndpointAges,
    Fleet,
    RegisterMember,
    SetBudgets,
    encode,
)

ZONES = [f"region-{r}-zone-{z}" for r, count in ((1, 4), (2, 3), (3, 3)) for z in range(1, count + 1)]
MEMORY = (128.0, 256.0, 512.0, 1024.0)


class Agreed:
    """A state machine that commands are put to, one after another."""

    def __init__(self) -> None:
        self.fleet, self.index = Fleet(), 0

    def do(self, command: Any, id: str = "") -> CommandResult:
        self.index += 1
        return self.fleet.apply(self.index, id, encode(command))


def front_name(n: int) -> str:
    return f"front-{n:05d}"


def worker_name(n: int) -> str:
    return f"worker-{n:06d}"


def fleet(fronts: int, workers: int) -> Agreed:
    """All in, and a budget for workers as the operators have it: 5% in all, a tenth in each zone."""
    out = Agreed()
    out.do(
        SetBudgets(
            (
                DisruptionBudget(WORKER, max_unavailable_ratio=0.05),
                DisruptionBudget(WORKER, "*", max_unavailable_ratio=0.1),
            )
        )
    )
    for n in range(fronts):
        zone = ZONES[n % len(ZONES)]
        out.do(
            RegisterMember(front_name(n), FRONT_END, zone, f"{n:012x}", "4f2a9c01d7e3", True),
            f"enter-{n:012x}",
        )
    for n in range(workers):
        zone, address = ZONES[n % len(ZONES)], f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000"
        out.do(
            RegisterMember(worker_name(n), WORKER, zone, f"{n:012x}", "4f2a9c01d7e3", False, address),
            f"w-{n:x}",
        )
    return out


def taken_out(agreed: Agreed, worker: str) -> str:
    """The permit of one that has begun to leave."""
    from walnutpost.fleet import RequestPermit

    permit = agreed.do(RequestPermit(worker, f"{worker}@0a1b2c3d", "a release")).permit
    agreed.do(BeginPermit(permit, f"{worker}@0a1b2c3d"))
    return permit


def acted(fronts: int, index: int) -> tuple[Acknowledgement, ...]:
    return tuple(Acknowledgement(front_name(n), f"{n:012x}", index) for n in range(fronts))


def ages(agreed: Agreed) -> EndpointAges:
    out = EndpointAges()
    out.observe(1_000_000, agreed.fleet.state)
    return out


def function_line(n: int) -> dict[str, Any]:
    line = {"class": "safe" if n % 3 else "unsafe", "memory_mb": MEMORY[n % 4], "lanes": 1 + n % 4}
    return line | {"load_ms": 200 + n % 400, "cost_ms": 20 + n % 80, "version": str(1 + n % 9)}


def function_name(n: int) -> str:
    return f"tenant-{n % 400:03d}_function-{n:06d}"


def config_text(functions: int, workers: int = 0) -> str:
    """A configuration as a program writes it, in plain JSON."""
    classes = {
        "safe": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
        "unsafe": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 2500},
    }
    site = {
        "classes": classes,
        "functions": {function_name(n): function_line(n) for n in range(functions)},
        "tenants": {f"tenant-{n:03d}": {"share": 0.0025, "quota_per_s": 400} for n in range(400)},
        "default_tenant": "tenant-000",
        "zones": ZONES,
    }
    lines = [
        {"name": worker_name(n), "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:9000"}
        for n in range(workers)
    ]
    return json.dumps({"site": site, "front": {"front_ends": 900, "workers": lines}})


def config(functions: int) -> Config:
    return parse(config_text(functions), "made", Config)
