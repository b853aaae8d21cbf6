"""CPU of the library alone: an arrival and its answer through the Gateway, and through the Router by
itself.

Prints microseconds for each call with so many in flight and so many workers listed.
"""

from __future__ import annotations

import gc
import time
from collections import deque
from dataclasses import replace

from walnutpost.gateway import (
    AttemptEnded,
    CallArrived,
    Catalogue,
    Function,
    Gateway,
    ListedWorker,
    LoadOrder,
    LoadOrderEnded,
    Send,
    WorkersListed,
)
from walnutpost.interface import ListKind, Outcome, Warmth
from walnutpost.testsupport.policy.harness import SAFE_CLASS
from walnutpost.testsupport.policy.harness import SETTINGS as BASE

SECOND = 1_000_000
CALLS, GAP = 10_000, 400  # microseconds between two calls
SETTINGS = replace(BASE, classes=(replace(SAFE_CLASS, deadline_us=5 * SECOND // 2),), report_fields=("busy",))
CATALOGUE = Catalogue({"price": Function("price", 0, 100.0, 512.0)})


def gateway_us(workers: int, in_flight: int) -> float:
    gateway = Gateway(SETTINGS, CATALOGUE, 1)
    now = 1_000 * SECOND
    listed = tuple(ListedWorker(f"w{i}") for i in range(workers))
    gateway.handle(now, WorkersListed(ListKind.CACHED, 1, listed))
    out: deque[Send] = deque()
    began = 0.0
    for number in range(CALLS + in_flight):
        if number == in_flight:
            gc.collect()
            began = time.perf_counter()
        now += GAP
        effects = gateway.handle(now, CallArrived(number + 1, "price", b"{}", 5 * SECOND // 2))
        for effect in effects:
            if isinstance(effect, LoadOrder):
                done = LoadOrderEnded(effect.worker, "price", Outcome.OK, 1000, 1)
                out.extend(e for e in gateway.handle(now, done) if isinstance(e, Send))
        out.extend(e for e in effects if isinstance(e, Send))
        if len(out) >= in_flight:
            start = out.popleft()
            answer = AttemptEnded(
                start.call, start.attempt, Outcome.OK, 1000, b"{}", False, Warmth.WARM, 0, (0.2,)
            )
            gateway.handle(now, answer)
    return (time.perf_counter() - began) / CALLS * 1e6


def main() -> None:
    print("| workers | in flight | Gateway us a call |")
    print("| --- | --- | --- |")
    for workers in (10, 100, 1000):
        for in_flight in (1, 32, 256):
            best = min(gateway_us(workers, in_flight) for _ in range(3))
            print(f"| {workers} | {in_flight} | {best:.0f} |", flush=True)


if __name__ == "__main__":
    main()
