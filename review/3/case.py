"""Case 3: a fifth of the executors is cut off for 1.5 s while clients give up requests.

Rule 1, as the standing test words it: no attempt begins over 0.1 s after its client has cancelled the request.
"""

from __future__ import annotations

import asyncio
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
    NameServer,
    Record,
    Requests,
    function_id,
    outcome_of,
    run_case,
)

EXECUTORS, SOCKETS = 52, 256
CUT_FROM_S, CUT_S, END_S, DEADLINE_S = 8.0, 1.5, 14.0, 6.0
FUNCTIONS, REQUESTS_PER_S, WORK_S = 8, 100, 0.4
UNSAFE_SHARE, GIVEN_UP_SHARE = 0.75, 0.35
LEFT_LIMIT_S, SLACK_S = 0.1, 0.05  # FLEET, "The whole fleet"; PROTOCOL, "The rules on sockets"
RANDOM = random.Random(2)

# The settings of WIRE section 13 with the times of the classes yield-check and warranty-swap of bilbao-models.
SETTINGS = json.loads(json.dumps(standins.SETTINGS))
SETTINGS["Profiles"][0].update(Aim=1500000, HardLimit=6000000)
SETTINGS["Profiles"][1].update(Aim=2000000, HardLimit=6000000)


async def main(record: Record, trouble: bool) -> list[str]:
    executors = [Executor(f"s-000000{i:02d}", record, work_s=WORK_S) for i in range(EXECUTORS)]
    links: dict[str, Link] = {}
    names = NameServer(record)
    for each in executors:
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
    answers, left, giving_up = [], {}, []
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
        kind = "reservation" if RANDOM.random() < UNSAFE_SHARE else "valuation"
        function, gives_up = function_id(RANDOM.randrange(FUNCTIONS)), RANDOM.random() < GIVEN_UP_SHARE
        if len(client.open) < 32:
            id, answer = client.call(function, rid, int(DEADLINE_S * 1000), kind, lanes=8)
            answers.append(answer)
            if gives_up:
                giving_up.append(asyncio.create_task(give_up(client, id, rid, answer, left)))
        await asyncio.sleep(RANDOM.expovariate(REQUESTS_PER_S))
    await asyncio.sleep(DEADLINE_S + 0.5)
    counts: dict[str, int] = {"given up": len(left)}
    for answer in answers:
        if answer.done() and not answer.exception():
            outcome = outcome_of(answer.result())
            counts[outcome] = counts.get(outcome, 0) + 1
    record("summary", **{name.replace(" ", "_"): count for name, count in counts.items()})
    print(counts)
    if counts.get("served", 0) < 500:
        raise RuntimeError("the front end served too little for the case to mean anything")
    return [
        f"an attempt of {rid} ({kind}) arrived at {each.name} {at - left[rid]:.2f} s after its client had cancelled it"
        for each in executors
        for at, rid, kind in each.calls
        if rid in left and at > left[rid] + LEFT_LIMIT_S + SLACK_S
    ]


async def give_up(client, id, rid, answer, left) -> None:
    await asyncio.sleep(RANDOM.uniform(0.1, 0.5))
    if not answer.done():
        left[rid] = time.time()
        client.interrupt(id, rid)


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
