"""Case 1: a fifth of the executors is cut off for 6 s under keyed requests. Rule 2: no effect happens twice."""

from __future__ import annotations

import asyncio
import collections
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import standins
from network import Link
from standins import (
    Client,
    Executor,
    FrontEnd,
    KeyGroup,
    NameServer,
    Record,
    Requests,
    function_id,
    outcome_of,
    run_case,
)

EXECUTORS, SOCKETS = 36, 256
CUT_FROM_S, CUT_S, END_S, DEADLINE_S = 6.0, 5.9, 14.0, 2.5
FUNCTIONS, REQUESTS_PER_S, WORK_S = 8, 80, 0.15
WINDOW_S = 5.0
RANDOM = random.Random(3)

# The settings of WIRE section 13, with the keyed class of the site form (BENCH: group = "all", window_ms = 5000).
SETTINGS = json.loads(json.dumps(standins.SETTINGS))
SETTINGS["Profiles"][1].update(Idempotency="guarded", DedupScope="all", Window=int(WINDOW_S * 1e6))


async def main(record: Record, trouble: bool) -> list[str]:
    group = KeyGroup(WINDOW_S)
    executors = [Executor(f"s-000000{i:02d}", record, work_s=WORK_S) for i in range(EXECUTORS)]
    links: dict[str, Link] = {}
    names = NameServer(record)
    for each in executors:
        each.group = group
        await each.start()
        links[each.name] = Link(each.port)
        names.endpoints[each.name] = (standins.HOST, links[each.name].port)
    names.executors = list(executors)
    await names.start()
    front = FrontEnd(record, names, SETTINGS, sockets=SOCKETS)
    try:
        await front.start()
        return await play(record, trouble, executors, links, front)
    finally:
        front.stop()
        for each in executors:
            links[each.name].close()
            await each.stop()


async def play(record, trouble, executors, links, front) -> list[str]:
    ids, start = Requests(), time.time()
    clients = [await Client(front.port, record).connect() for _ in range(12)]
    answers = []
    cut: list[str] = []
    is_restored = False
    while (at := time.time() - start) < END_S:
        if trouble and not cut and at >= CUT_FROM_S:
            in_use = sorted(executors, key=lambda e: -sum(came > time.time() - 2 for came, _, _ in e.calls))
            cut = [each.name for each in in_use[: EXECUTORS // 5]]
            for name in cut:
                links[name].cut()
            record("cut", executors=",".join(cut))
        if cut and not is_restored and at >= CUT_FROM_S + CUT_S:
            is_restored = True
            for name in cut:
                links[name].restore()
            record("restored")
        client, rid = RANDOM.choice(clients), ids.next()
        if len(client.open) < 32:
            function = function_id(RANDOM.randrange(FUNCTIONS))
            _, answer = client.call(function, rid, int(DEADLINE_S * 1000), "reservation", lanes=8, token=rid)
            answers.append((rid, answer))
        await asyncio.sleep(RANDOM.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(DEADLINE_S + 0.5)
    counts: dict[str, int] = {}
    outcomes = {}
    for rid, answer in answers:
        outcome = outcome_of(answer.result()) if answer.done() and not answer.exception() else "none"
        outcomes[rid] = outcome
        counts[outcome] = counts.get(outcome, 0) + 1
    record("summary", **counts)
    print(counts)
    if counts.get("served", 0) < 500:
        raise RuntimeError("the front end served too little for the case to mean anything")
    runs = collections.defaultdict(list)
    for each in executors:
        for began, rid in each.run_times:
            runs[rid].append((began, each.name))
    problems = []
    for rid, times in runs.items():
        if len(times) > 1:
            (first, first_name), *_, (last, last_name) = sorted(times)
            where = f"at {first_name} and {last - first:.2f} s later at {last_name}"
            problems.append(
                f"the keyed request {rid}, answered {outcomes.get(rid)}, ran {len(times)} times: {where}"
            )
    return problems


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
