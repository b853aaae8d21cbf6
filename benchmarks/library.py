"""CPU of the library alone: an arrival and its answer through the Gateway, and through the Router by
itself.

Prints microseconds for each call with so many in flight and so many workers listed.
"""

from __future__ import annotations

import gc
import time
from collections import deque

from walnutpost import interface as api
from walnutpost.gateway import (
    AttemptDone,
    CallArrived,
    Catalogue,
    Function,
    Gateway,
    HoldDone,
    Order,
    Start,
    WorkersTold,
    WorkerTold,
)
from walnutpost.interface import ListKind, Outcome, Warmth

SECOND = 1_000_000
CALLS, GAP = 10_000, 400  # microseconds between two calls
SETTINGS = api.Settings(
    classes=(
        api.RequestClass(SECOND, 5 * SECOND // 2, 1.0, 0.2, api.Effect.SAFE, api.Group.ALL, 0, False, 0.0),
    ),
    tenants=(),
    limits=api.Limits(True, True, True, True, 5, SECOND),
    guards=api.Guards(16_000, SECOND, 0, 1.0, 1.0, 0, 0, 0.0, 0.0, 0),
    prices=api.Prices(0.0, 0.0, 0.0, 0.0, 0.0, 0.0),
    zone=0,
    front_ends=1,
    index=0,
    tick=4_000,
    keep_alive=10 * SECOND,
    order_timeout=10 * SECOND,
    may_load=True,
    loads_on_miss=False,
    tells_warmth=True,
    tells_crowd=False,
    must_ask_list=False,
    weighted=False,
    worth_by_work=False,
    over_share_worth=0.1,
    report_fields=("busy",),
    memory_by_kind=(),
)
CATALOGUE = Catalogue({"price": Function("price", 0, 100.0, 512.0)})


def gateway_us(workers: int, in_flight: int) -> float:
    gateway = Gateway(SETTINGS, CATALOGUE, 1)
    now = 1_000 * SECOND
    listed = tuple(WorkerTold(f"w{i}") for i in range(workers))
    gateway.handle(now, WorkersTold(ListKind.CACHED, 1, listed))
    out: deque[Start] = deque()
    began = 0.0
    for number in range(CALLS + in_flight):
        if number == in_flight:
            gc.collect()
            began = time.perf_counter()
        now += GAP
        effects = gateway.handle(now, CallArrived(number + 1, "price", b"{}", 5 * SECOND // 2))
        for effect in effects:
            if isinstance(effect, Order):
                done = HoldDone(effect.worker, "price", Outcome.OK, 1000, 1)
                out.extend(e for e in gateway.handle(now, done) if isinstance(e, Start))
        out.extend(e for e in effects if isinstance(e, Start))
        if len(out) >= in_flight:
            start = out.popleft()
            answer = AttemptDone(
                start.call, start.attempt, Outcome.OK, 1000, b"{}", False, Warmth.STOOD, 0, (0.2,)
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
