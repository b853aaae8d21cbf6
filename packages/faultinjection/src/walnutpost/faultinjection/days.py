"""Day files of the simulator as trial scripts.

A day's fleet is cut down to what one machine plays in real time: at most MOST_WORKERS workers and
MOST_FRONTS front ends, with traffic at the day's load of the workers that are left. Parts of the fleet
keep their share. What a day holds that has no counterpart here is named.
"""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

from walnutpost.config import Config, ConfigError
from walnutpost.config.files import parse
from walnutpost.faultinjection.script import Script

MOST_WORKERS, MOST_FRONTS = 12, 3
FUNCTIONS_A_CLASS = 12
MS, SECOND = 1000.0, 1_000_000.0
ONE_OFFS = 2000
# Figures of a day that the stand-ins do not follow, if a day gives them.
UNPLAYED = {
    "net": "delays of the network: loopback has its own",
    "prices": "prices: nothing is scored here",
}


def read_day(path: Path) -> tuple[Script, Config]:
    """A script and a configuration for a day file; ConfigError where it is none."""
    try:
        day = json.loads(path.read_text(encoding="utf-8"))
        if not isinstance(day, dict) or day.get("family") != "warm":
            raise ConfigError([f"{path}: family: found {str(day.get('family'))!r}; wanted 'warm'"])
        config, script = _config(day), _script(day)
    except (OSError, ValueError) as error:
        raise ConfigError([f"{path}: cannot be read as a day file: {error}"]) from None
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ConfigError([f"{path}: not a day file as expected: {error!r}"]) from None
    source = f"{path} (as a script)"
    return parse(json.dumps(script), source, Script), parse(json.dumps(config), source, Config)


def _workers(day: dict[str, Any]) -> list[dict[str, Any]]:
    """The workers that are played: evenly taken, so that kinds keep their shares."""
    servers: list[dict[str, Any]] = day["servers"]
    count = min(MOST_WORKERS, len(servers))
    return [servers[i * len(servers) // count] for i in range(count)]


def _config(day: dict[str, Any]) -> dict[str, Any]:
    tier, fam = day["tiers"][0], day["fam"]
    classes = {
        c["name"]: {
            "effect": c["effect"],
            "aim_ms": c["aim"] / MS,
            "deadline_ms": c["deadline"] / MS,
            "worth": c["worth"],
            "late_worth": c["late_worth"],
            "group": c["group"],
            "window_ms": c["window"] / MS,
        }
        for c in day["classes"]
    }
    functions: dict[str, Any] = {}
    work: dict[str, Any] = {}
    for place, c in enumerate(day["classes"]):
        sort = fam["sorts"][min(place, len(fam["sorts"]) - 1)]
        for number in range(FUNCTIONS_A_CLASS):
            name = f"{c['name']}-{number}"
            functions[name] = {
                "class": c["name"],
                "memory_mb": sort["memory"],
                "lanes": int(sort["lanes"]),
                "load_ms": sort["load"] / MS if fam.get("tells_load") else 0.0,
            }
            work[name] = {
                "work_ms": c["work"] / MS,
                "wait_ms": c["io"] / MS,
                "load_ms": sort["load"] / MS,
                "fetch_share": fam["fetch_share"],
            }
    kinds = {k["name"]: {"memory_mb": fam["memory"][i]} for i, k in enumerate(tier["kinds"])}
    workers = [
        {
            "name": f"worker-{i}",
            "zone": day["zones"][s["zone"]],
            "kind": tier["kinds"][s["kind"]]["name"],
            "cores": tier["kinds"][s["kind"]]["cores"],
            "speed": s["speed"],
            "memory_mb": fam["memory"][s["kind"]],
            "loads_at_once": fam["loads_at_once"],
            "queue": tier["kinds"][s["kind"]]["queue"],
        }
        for i, s in enumerate(_workers(day))
    ]
    tenants = {t["name"]: {"share": min(1.0, t["share"])} for t in day["tenants"]}
    return {
        "site": {
            "classes": classes,
            "functions": functions,
            "tenants": tenants,
            "default_tenant": next(iter(tenants), None),
            "zones": day["zones"],
            "kinds": kinds,
            "rules": {
                "answer_slack_ms": 250.0,  # processes share a machine here; nothing else is eased
                "drain_grace_ms": day["drain_grace"] / MS,
                "cold_ms": tier["stated_cold"] / MS,
                "start_capacity": tier["stated_cold_from"],
                "overload_factor": day["fall_multiple"],
                "overload_for_ms": day["fall_for"] / MS,
                "load_window_ms": fam["load_window"] / MS,
                "free_loads": fam["load_free"],
                "load_share": fam["load_share"],
            },
            "limits": {
                "max_attempts": day["allow"]["max_attempts"],
                "parallel_tries": day["allow"]["second_copies"],
                "retry_after": day["allow"]["retry_after"],
            },
            "keep_alive_ms": fam["stated_keep"] / MS,
            "order_timeout_ms": fam["order_timeout"] / MS,
            "on_absence": "load" if fam["self_load"] else "miss",
        },
        "fleet": {
            "store": {"fetches_at_once": 4, "fetch_limit": 16},
            "work": work,
            "workers": workers,
        },
    }


def _script(day: dict[str, Any]) -> dict[str, Any]:
    workers = _workers(day)
    strength = sum(day["tiers"][0]["kinds"][s["kind"]]["cores"] * s["speed"] for s in workers)
    shares = sum(c["share"] for c in day["classes"])
    mean = sum(c["share"] * c["work"] for c in day["classes"]) / shares / SECOND
    rate = day["traffic"]["load"] * strength / mean
    zipf = day["fam"]["zipf"]
    functions = {
        f"{c['name']}-{number}": c["share"] / (number + 1) ** zipf
        for c in day["classes"]
        for number in range(FUNCTIONS_A_CLASS)
    }
    troubles: list[dict[str, Any]] = []
    missing = [why for key, why in UNPLAYED.items() if key in day]
    for trouble in day["troubles"]:
        played = _trouble(day, trouble, len(workers))
        troubles += played
        if not played:
            missing.append(f"trouble {trouble['kind']}: no stand-in does this")
    clients = day["clients"]
    return {
        "config": "(the day)",
        "seed": day["noise"] % (1 << 31),
        "duration_s": day["length"] / SECOND,
        "front_ends": min(MOST_FRONTS, len(day["balancers"])),
        "list_delay_s": day["discovery"]["notice"] / SECOND,
        "traffic": {
            "rate_per_s": rate,
            "functions": functions,
            "tenants": {t["name"]: t["share"] for t in day["tenants"]},
            "retries": clients["retries"],
            "retry_wait_ms": clients["backoff_us"] / MS if clients["backoff"] != "none" else 0.0,
            "try_share": clients["try_share"],
        },
        "troubles": troubles,
        "no_counterpart": missing,
        "one_off_functions": ONE_OFFS,
    }


def _trouble(day: dict[str, Any], t: dict[str, Any], workers: int) -> list[dict[str, Any]]:
    """The trials' troubles for one of a day's; none where there is no counterpart."""
    at, length = t["at"] / SECOND, t["len"] / SECOND
    size, extra = t["size"], t["extra"]
    base: dict[str, Any] = {"at_s": at, "for_s": length}
    some = {"workers": max(1, math.ceil(len(t["on"]) / len(day["servers"]) * workers))}
    fronts = min(MOST_FRONTS, len(day["balancers"]))
    match t["kind"]:
        case "burst":
            return [base | {"what": "burst", "factor": size}]
        case "flush":
            return [{"at_s": at, "what": "released", "share": min(1.0, size)}]
        case "vanish":
            return [base | some | {"what": "silent"}]
        case "mass_restart":
            return [base | some | {"what": "restart"}]
        case "slow":
            return [base | some | {"what": "slow", "factor": size}]
        case "neighbour":
            taken = min(0.95, size)
            return [base | some | {"what": "slow", "factor": 1 / (1 - taken), "every_s": max(0.1, extra)}]
        case "ageing":
            return [base | some | {"what": "ageing", "factor": max(1.01, size)}]
        case "origin_slow":
            return [base | {"what": "store_slow", "factor": size}]
        case "report_late":
            return [base | {"what": "reports_late", "by_s": size, "workers": workers}]
        case "heavy_tail":
            return [base | {"what": "heavy", "factor": size, "share": min(1.0, extra)}]
        case "scan":
            return [base | {"what": "one_offs", "share": min(1.0, size)}]
        case "balancer_crash":
            count = max(1, round(len(t["on"]) / len(day["balancers"]) * fronts))
            return [base | {"what": "kill_front", "fronts": min(count, fronts)}]
        case "balancer_roll":
            down = max(0.2, float(extra))
            return [
                {"at_s": at + i * length / fronts, "for_s": down, "what": "kill_front", "on": [i]}
                for i in range(fronts)
            ]
    return []
