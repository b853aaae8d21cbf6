"""Day files of the simulator as scenarios.

A day's fleet is cut down to what one machine plays in real time: at most MAX_WORKERS workers and
MAX_FRONT_ENDS front ends, with traffic at the day's load of the workers that are left. Parts of the fleet
keep their share. What a day holds that has no counterpart here is named. Times of a day are microseconds.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from walnutpost.config import Config, ConfigError
from walnutpost.config.files import parse
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.faultinjection.simulator_faults import played_faults

MAX_WORKERS = 12
MAX_FRONT_ENDS = 3
FUNCTIONS_PER_CLASS = 12
ONE_OFF_FUNCTIONS = 2000
US_PER_MS = 1000.0
US_PER_S = 1_000_000.0
MAX_SEED = 1 << 31
ANSWER_SLACK_MS = 250.0  # processes share a machine here; no other rule is eased
FETCHES_AT_ONCE = 4
FETCH_LIMIT = 16
# Figures of a day that the fakes do not follow, if a day gives them.
NOT_PLAYED = {
    "net": "delays of the network: loopback has its own",
    "prices": "prices: nothing is scored here",
}
Day = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ImportedDay:
    """A day as this package plays it."""

    scenario: Scenario
    config: Config


def read_day(path: Path) -> ImportedDay:
    """Read a day file; raises ConfigError where it is none."""
    try:
        day = json.loads(path.read_text(encoding="utf-8"))
        if not isinstance(day, dict) or day.get("family") != "warm":
            raise ConfigError([f"{path}: family: found {str(day.get('family'))!r}; wanted 'warm'"])
        config = _config(day)
        scenario = _scenario(day)
    except (OSError, ValueError) as error:
        raise ConfigError([f"{path}: cannot be read as a day file: {error}"]) from None
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise ConfigError([f"{path}: not a day file as expected: {error!r}"]) from None
    source = f"{path} (as a script)"
    checked = parse(json.dumps(scenario), source, Scenario)
    return ImportedDay(checked, parse(json.dumps(config), source, Config))


def _played_servers(day: Day) -> list[Day]:
    """Return the servers that are played: evenly chosen, so that kinds keep their shares."""
    servers: list[Day] = day["servers"]
    count = min(MAX_WORKERS, len(servers))
    return [servers[i * len(servers) // count] for i in range(count)]


def _front_end_count(day: Day) -> int:
    return min(MAX_FRONT_ENDS, len(day["balancers"]))


# Configuration


def _config(day: Day) -> Day:
    family = day["fam"]
    tenants = {tenant["name"]: {"share": min(1.0, tenant["share"])} for tenant in day["tenants"]}
    kinds = day["tiers"][0]["kinds"]
    site = {
        "classes": {line["name"]: _class(line) for line in day["classes"]},
        "functions": _functions(day),
        "tenants": tenants,
        "default_tenant": next(iter(tenants), None),
        "zones": day["zones"],
        "kinds": {kind["name"]: {"memory_mb": family["memory"][i]} for i, kind in enumerate(kinds)},
        "rules": _rules(day),
        "limits": {
            "max_attempts": day["allow"]["max_attempts"],
            "parallel_tries": day["allow"]["second_copies"],
            "retry_after": day["allow"]["retry_after"],
        },
        "keep_alive_ms": family["stated_keep"] / US_PER_MS,
        "order_timeout_ms": family["order_timeout"] / US_PER_MS,
        "on_absence": "load" if family["self_load"] else "miss",
    }
    fleet = {
        "store": {"fetches_at_once": FETCHES_AT_ONCE, "fetch_limit": FETCH_LIMIT},
        "work": _work(day),
        "workers": [_worker(day, number, server) for number, server in enumerate(_played_servers(day))],
    }
    return {"site": site, "fleet": fleet}


def _class(line: Day) -> Day:
    return {
        "effect": line["effect"],
        "aim_ms": line["aim"] / US_PER_MS,
        "deadline_ms": line["deadline"] / US_PER_MS,
        "worth": line["worth"],
        "late_worth": line["late_worth"],
        "group": line["group"],
        "window_ms": line["window"] / US_PER_MS,
    }


def _function_names(line: Day) -> list[str]:
    return [f"{line['name']}-{number}" for number in range(FUNCTIONS_PER_CLASS)]


def _sort(day: Day, place: int) -> Day:
    """Return the sort of the functions of a class, by the class's place."""
    sorts: list[Day] = day["fam"]["sorts"]
    return sorts[min(place, len(sorts) - 1)]


def _functions(day: Day) -> Day:
    functions: Day = {}
    for place, line in enumerate(day["classes"]):
        sort = _sort(day, place)
        function = {
            "class": line["name"],
            "memory_mb": sort["memory"],
            "lanes": int(sort["lanes"]),
            "load_ms": sort["load"] / US_PER_MS if day["fam"].get("tells_load") else 0.0,
        }
        functions |= dict.fromkeys(_function_names(line), function)
    return functions


def _work(day: Day) -> Day:
    works: Day = {}
    for place, line in enumerate(day["classes"]):
        work = {
            "work_ms": line["work"] / US_PER_MS,
            "wait_ms": line["io"] / US_PER_MS,
            "load_ms": _sort(day, place)["load"] / US_PER_MS,
            "fetch_share": day["fam"]["fetch_share"],
        }
        works |= dict.fromkeys(_function_names(line), work)
    return works


def _rules(day: Day) -> Day:
    tier = day["tiers"][0]
    family = day["fam"]
    return {
        "answer_slack_ms": ANSWER_SLACK_MS,
        "drain_grace_ms": day["drain_grace"] / US_PER_MS,
        "cold_ms": tier["stated_cold"] / US_PER_MS,
        "start_capacity": tier["stated_cold_from"],
        "overload_factor": day["fall_multiple"],
        "overload_for_ms": day["fall_for"] / US_PER_MS,
        "load_window_ms": family["load_window"] / US_PER_MS,
        "free_loads": family["load_free"],
        "load_share": family["load_share"],
    }


def _worker(day: Day, number: int, server: Day) -> Day:
    kind = day["tiers"][0]["kinds"][server["kind"]]
    return {
        "name": f"worker-{number}",
        "zone": day["zones"][server["zone"]],
        "kind": kind["name"],
        "cores": kind["cores"],
        "speed": server["speed"],
        "memory_mb": day["fam"]["memory"][server["kind"]],
        "loads_at_once": day["fam"]["loads_at_once"],
        "queue": kind["queue"],
    }


# Scenario


def _scenario(day: Day) -> Day:
    workers = len(_played_servers(day))
    front_ends = _front_end_count(day)
    faults: list[Day] = []
    missing = [reason for key, reason in NOT_PLAYED.items() if key in day]
    for fault in day["troubles"]:
        played = played_faults(day, fault, workers, front_ends)
        faults += played
        if not played:
            missing.append(f"trouble {fault['kind']}: no stand-in does this")
    return {
        "config": "(the day)",
        "seed": day["noise"] % MAX_SEED,
        "duration_s": day["length"] / US_PER_S,
        "front_ends": front_ends,
        "list_delay_s": day["discovery"]["notice"] / US_PER_S,
        "traffic": _traffic(day),
        "troubles": faults,
        "no_counterpart": missing,
        "one_off_functions": ONE_OFF_FUNCTIONS,
    }


def _traffic(day: Day) -> Day:
    clients = day["clients"]
    zipf = day["fam"]["zipf"]
    functions = {
        name: line["share"] / (number + 1) ** zipf
        for line in day["classes"]
        for number, name in enumerate(_function_names(line))
    }
    return {
        "rate_per_s": _rate_per_s(day),
        "functions": functions,
        "tenants": {tenant["name"]: tenant["share"] for tenant in day["tenants"]},
        "retries": clients["retries"],
        "retry_wait_ms": clients["backoff_us"] / US_PER_MS if clients["backoff"] != "none" else 0.0,
        "try_share": clients["try_share"],
    }


def _rate_per_s(day: Day) -> float:
    """Return the rate at which the played workers have the day's load."""
    kinds = day["tiers"][0]["kinds"]
    strength = sum(kinds[server["kind"]]["cores"] * server["speed"] for server in _played_servers(day))
    shares = sum(line["share"] for line in day["classes"])
    mean_work_s = sum(line["share"] * line["work"] for line in day["classes"]) / shares / US_PER_S
    rate: float = day["traffic"]["load"] * strength / mean_work_s
    return rate
