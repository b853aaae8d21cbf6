"""Case 1: a name server that answers each query 1 s late. Rule 3: nothing new to a draining executor."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import standins
from standins import Client, Executor, FrontEnd, NameServer, Record, Requests, function_id, outcome_of, run_case

ANSWER_DELAY_S = 1.0  # of each answer of the name server, while it is slow
SLOW_FROM_S, DRAIN_AT_S, SLOW_UNTIL_S, END_S = 4.0, 4.5, 10.0, 13.0
TOLD_AT_LATEST_S = 1.5  # after the event (PROTOCOL, "The name server")
# The settings of WIRE section 13, with the drain grace of the brief of sofia-quotes.
SETTINGS = {**standins.SETTINGS, "Guarantees": {**standins.SETTINGS["Guarantees"], "DrainGrace": 250000}}
SLACK_S = 0.05  # "every time limit is 50 ms longer"
RANDOM = random.Random(1)
FUNCTIONS, REQUESTS_PER_S = 40, 40


async def main(record: Record, trouble: bool) -> list[str]:
    executors = [Executor(f"s-0000000{i}", record) for i in range(4)]
    for each in executors:
        await each.start()
    names = NameServer(record)
    names.executors = list(executors)
    await names.start()
    front = FrontEnd(record, names, SETTINGS)
    try:
        await front.start()
        return await play(record, trouble, executors, names, front)
    finally:
        front.stop()
        for each in executors:
            await each.stop()


async def play(record, trouble, executors, names, front) -> list[str]:
    ids, start, counts = Requests(), time.time(), {}
    leaving = executors[0]
    client = await Client(front.port, record).connect()
    answers = []
    is_slow = has_drained = False
    drained_at = 0.0
    number = 0
    while (at := time.time() - start) < END_S:
        if trouble and not is_slow and SLOW_FROM_S <= at < SLOW_UNTIL_S:
            is_slow, names.delay_s = True, ANSWER_DELAY_S
            record("nameserver-slow", delay_s=ANSWER_DELAY_S)
        if is_slow and at >= SLOW_UNTIL_S:
            is_slow, names.delay_s = False, 0.0
            record("nameserver-quick")
        if not has_drained and at >= DRAIN_AT_S:
            has_drained, leaving.is_draining, drained_at = True, True, time.time()
            names.serial += 1
            record("executor-drains", executor=leaving.name, serial=names.serial)
        number += 1
        _, future = client.call(function_id(RANDOM.randrange(FUNCTIONS)), ids.next(), lanes=2)
        answers.append(future)
        await asyncio.sleep(1 / REQUESTS_PER_S)
    for answer in await asyncio.gather(*answers):
        counts[outcome_of(answer)] = counts.get(outcome_of(answer), 0) + 1
    client.close()
    told_at = min(names.first_sent.get(names.serial, drained_at + 99), drained_at + TOLD_AT_LATEST_S)
    limit = told_at + SETTINGS["Guarantees"]["DrainGrace"] / 1e6 + SLACK_S
    calls = [at for at, _, _ in leaving.calls if at > drained_at]
    orders = [at for at, _, _ in leaving.orders if at > drained_at]
    late = [("call", at) for at in calls if at > limit] + [("order to load", at) for at in orders if at > limit]
    record("summary", told_s=told_at - drained_at, answers=counts, calls_since_drain=len(calls), late=len(late))
    print(f"told {told_at - drained_at:.2f} s after the drain began; answers {counts}; calls received by each executor:",
          [len(e.calls) for e in executors])
    if not any(at < drained_at for at, _, _ in leaving.calls):
        raise RuntimeError("the executor that drains got no call before it drained")
    return [
        f"{kind} arrived at {leaving.name} {at - limit:.2f} s after the grace had ended" for kind, at in late
    ]


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
