"""Faults of the simulator's day files as faults of scenarios."""

from __future__ import annotations

import math
from typing import Any

US_PER_S = 1_000_000.0
MAX_NEIGHBOUR_SHARE = 0.95
MIN_NEIGHBOUR_PERIOD_S = 0.1
MIN_AGEING_FACTOR = 1.01
MIN_ROLL_DOWN_S = 0.2
Day = dict[str, Any]


def played_faults(day: Day, fault: Day, workers: int, front_ends: int) -> list[Day]:
    """Return the counterparts of one fault in a scenario with so many machines; none where there is none."""
    kind = fault["kind"]
    timing = {"at_s": fault["at"] / US_PER_S, "for_s": fault["len"] / US_PER_S}
    size, extra = fault["size"], fault["extra"]
    hit_workers = max(1, math.ceil(len(fault["on"]) / len(day["servers"]) * workers))
    match kind:
        case "burst":
            return [timing | {"what": "burst", "factor": size}]
        case "flush":
            return [{"at_s": timing["at_s"], "what": "released", "share": min(1.0, size)}]
        case "origin_slow":
            return [timing | {"what": "store_slow", "factor": size}]
        case "report_late":
            return [timing | {"what": "reports_late", "by_s": size, "workers": workers}]
        case "heavy_tail":
            return [timing | {"what": "heavy", "factor": size, "share": min(1.0, extra)}]
        case "scan":
            return [timing | {"what": "one_offs", "share": min(1.0, size)}]
        case "balancer_crash":
            hit = max(1, round(len(fault["on"]) / len(day["balancers"]) * front_ends))
            return [timing | {"what": "kill_front", "fronts": min(hit, front_ends)}]
        case "balancer_roll":
            return _rolling_restart(timing, max(MIN_ROLL_DOWN_S, float(extra)), front_ends)
    worker_fault = _worker_fault(kind, size, extra)
    return [timing | {"workers": hit_workers} | worker_fault] if worker_fault else []


def _worker_fault(kind: str, size: float, extra: float) -> Day | None:
    match kind:
        case "vanish":
            return {"what": "silent"}
        case "mass_restart":
            return {"what": "restart"}
        case "slow":
            return {"what": "slow", "factor": size}
        case "neighbour":
            factor = 1 / (1 - min(MAX_NEIGHBOUR_SHARE, size))
            return {"what": "slow", "factor": factor, "every_s": max(MIN_NEIGHBOUR_PERIOD_S, extra)}
        case "ageing":
            return {"what": "ageing", "factor": max(MIN_AGEING_FACTOR, size)}
    return None


def _rolling_restart(timing: Day, down_s: float, front_ends: int) -> list[Day]:
    return [
        {
            "at_s": timing["at_s"] + index * timing["for_s"] / front_ends,
            "for_s": down_s,
            "what": "kill_front",
            "on": [index],
        }
        for index in range(front_ends)
    ]
