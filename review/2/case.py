"""Case 2: a name server that answers each query 1 s late. Rule 3: nothing new to a draining executor."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import standins
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

ANSWER_DELAY_S = 1.0  # of each answer of the name server, while it is slow
SLOW_FROM_S, DRAIN_AT_S, GONE_AT_S, SLOW_UNTIL_S, END_S = 4.0, 4.5, 7.0, 9.9, 12.0
TOLD_AT_LATEST_S = 1.5  # after the event (PROTOCOL, "The name server")
SLACK_S = 0.05  # "every time limit is 50 ms longer" (PROTOCOL, "The rules on sockets")
FUNCTIONS, REQUESTS_PER_S, UNSAFE_SHARE, WORK_S = 20, 60, 0.5, 0.25
RANDOM = random.Random(1)

# The settings of WIRE section 13, with the drain grace of the brief of sofia-quotes.
SETTINGS = {**standins.SETTINGS, "Guarantees": {**standins.SETTINGS["Guarantees"], "DrainGrace": 250000}}


async def main(record: Record, trouble: bool) -> list[str]:
    executors = [Executor(f"s-0000000{i}", record, WORK_S) for i in range(5)]
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
    # Two executors drain. The first answers BUSY to new calls, the second goes on serving them until its process
    # ends, 2.5 s later: 0.7 s after the last time at which a new call may have been sent to it.
    busy, serving = executors[:2]
    busy.rejects_while_draining, serving.rejects_while_draining = True, False
    ids, start = Requests(), time.time()
    client = await Client(front.port, record).connect()
    rids, answers, done = [], [], set()
    drained_at = 0.0
    while (at := time.time() - start) < END_S:
        if trouble and "slow" not in done and at >= SLOW_FROM_S:
            done.add("slow")
            names.delay_s = ANSWER_DELAY_S
            record("nameserver-slow", delay_s=ANSWER_DELAY_S)
        if trouble and "quick" not in done and at >= SLOW_UNTIL_S:
            done.add("quick")
            names.delay_s = 0.0
            record("nameserver-quick")
        if "drain" not in done and at >= DRAIN_AT_S:
            done.add("drain")
            drained_at = time.time()
            busy.is_draining = serving.is_draining = True
            names.serial += 1
            record("executors-drain", executors=f"{busy.name},{serving.name}", serial=names.serial)
        if "gone" not in done and at >= GONE_AT_S:
            done.add("gone")
            names.serial += 1
            names.executors.remove(serving)
            record("executor-ends", executor=serving.name, serial=names.serial)
            await serving.stop()
        function, kind = function_id(RANDOM.randrange(FUNCTIONS)), "valuation"
        if RANDOM.random() < UNSAFE_SHARE:
            kind = "reservation"
        rids.append(ids.next())
        answers.append(client.call(function, rids[-1], kind=kind)[1])
        await asyncio.sleep(1 / REQUESTS_PER_S)
    counts: dict[str, int] = {}
    failed = set()
    for rid, answer in zip(rids, await asyncio.gather(*answers), strict=True):
        counts[outcome_of(answer)] = counts.get(outcome_of(answer), 0) + 1
        if outcome_of(answer) == "failed":
            failed.add(rid)
    client.close()
    told_at = min(names.first_sent.get(2, drained_at + 99), drained_at + TOLD_AT_LATEST_S)
    limit = told_at + SETTINGS["Guarantees"]["DrainGrace"] / 1e6 + SLACK_S
    problems, before = [], 0
    for each in (busy, serving):
        before += sum(came < drained_at for came, _, _ in each.calls)
        for what, times in (("call", each.calls), ("order to load", each.orders)):
            for came, *_ in times:
                if came > limit:
                    problems.append(
                        f"{what} arrived at {each.name} {came - limit:.2f} s after the grace had ended"
                    )
    late = {rid for came, rid, _ in serving.calls if came > limit}
    lost = late & set(serving.runs) - set(serving.ended) & failed
    record("summary", told_s=told_at - drained_at, answers=counts, late=len(problems))
    print(
        f"told {told_at - drained_at:.2f} s after the drain began; answers {counts}; "
        f"late calls that began to run, were cut off by the executor's end and failed: {len(lost)}"
    )
    if not before or not counts.get("served"):
        raise RuntimeError("the executors that drain got no call before they drained")
    return problems


if __name__ == "__main__":
    sys.exit(run_case(main, Path(__file__).resolve().parent))
