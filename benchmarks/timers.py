"""Pending timers: heap against wheel, mostly re-armed, as time-outs are. Prints nanoseconds an operation."""

from __future__ import annotations

import time
from random import Random
from typing import Any

from benchmarks.heap_timers import HeapTimers
from walnutpost.eventloop.timers import TimerWheel

ROUNDS = 200_000
SPAN = 2_500_000  # microseconds; a call's time
STEP = 5  # microseconds that pass between two operations


def nothing() -> None:
    pass


def rearm(make: Any, pending: int, seed: int) -> float:
    """Cancels a random timer and adds another, while time passes; nanoseconds for both."""
    rng = Random(seed)
    picks = [rng.randrange(pending) for _ in range(ROUNDS)]
    delays = [rng.randrange(SPAN // 2, SPAN) for _ in range(ROUNDS)]
    now = 1_000_000_000
    timers = make(now)
    known = [timers.add(now + rng.randrange(SPAN), nothing) for _ in range(pending)]
    began = time.perf_counter()
    for place, delay in zip(picks, delays, strict=True):
        now += STEP
        known[place].cancel()
        known[place] = timers.add(now + delay, nothing)
        if not now % (STEP * 16):
            timers.next_due_us()
            timers.pop_due(now)
    return (time.perf_counter() - began) / ROUNDS * 1e9


def main() -> None:
    print("pending   heap ns   wheel ns   wheel / heap")
    for pending in (10, 1_000, 100_000):
        pairs = [(rearm(HeapTimers, pending, s), rearm(TimerWheel, pending, s)) for s in range(5)]
        heap, wheel = (sorted(column)[2] for column in zip(*pairs, strict=True))
        ratio = sorted(w / h for h, w in pairs)[2]
        print(f"{pending:7}  {heap:8.0f}  {wheel:9.0f}  {ratio:13.2f}")


if __name__ == "__main__":
    main()
