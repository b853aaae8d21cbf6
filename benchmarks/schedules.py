"""Schedules: the cost of finding what is due, memory, a simulated year against brute force.

`python -m benchmarks.schedules [--year]`. The heap of the planner is measured against a plain scan and
against the scheduler's wheel, each handing out the same due times.
"""

from __future__ import annotations

import argparse
import multiprocessing
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from random import Random

from walnutpost.cron import InvalidScheduleError, Planner, Schedule, check_cron, iterate_due_times
from walnutpost.eventloop.timers import TimerWheel
from walnutpost.testsupport.cron.fixtures import (
    START_US,
    count_decisions,
    find_matching_minutes,
    make_random_cron,
)

SECOND = 1_000_000
MINUTE, DAY = 60 * SECOND, 86_400 * SECOND
LOOKS, PROCESSES = 60, 6


def lines(count: int, seed: int) -> list[Schedule]:
    """Hourly schedules at random minutes: a sixtieth comes due each minute."""
    rng = Random(seed)
    return [
        Schedule(f"s{n}", f"{rng.randrange(60)} * * * *", "UTC", "f", None, b"1", MINUTE)
        for n in range(count)
    ]


def heap(schedules: list[Schedule]) -> Callable[[int], int]:
    planner = Planner(schedules, {}, START_US)

    def look(now: int) -> int:
        decisions = planner.decide(now)
        for d in decisions:
            planner.mark_ended(d.schedule.name, d.due_us)
        return len(decisions)

    return look


def scan(schedules: list[Schedule]) -> Callable[[int], int]:
    times = [iterate_due_times(s, START_US) for s in schedules]
    upcoming = [next(t) for t in times]

    def look(now: int) -> int:
        found = 0
        for place, due in enumerate(upcoming):
            if due <= now:
                found += 1
                upcoming[place] = next(times[place])
        return found

    return look


def wheel(schedules: list[Schedule]) -> Callable[[int], int]:
    timers = TimerWheel(START_US)
    found = [0]

    def come(times: object, due: int) -> None:
        found[0] += 1
        following = next(times)  # type: ignore[call-overload]
        timers.add(following, partial(come, times, following))

    for schedule in schedules:
        times = iterate_due_times(schedule, START_US)
        due = next(times)
        timers.add(due, partial(come, times, due))

    def look(now: int) -> int:
        found[0] = 0
        for callback in timers.pop_due(now):
            callback()
        return found[0]

    return look


def costs() -> None:
    print("| schedules | structure | us a look, nothing due | us a firing | KB a schedule |")
    print("| --- | --- | --- | --- | --- |")
    for count in (10, 1_000, 100_000):
        schedules = lines(count, 1)
        for make in (heap, scan, wheel):
            tracemalloc.start()
            look = make(schedules)
            memory = tracemalloc.get_traced_memory()[0] / 1024 / count
            tracemalloc.stop()
            idle = due = 0.0
            fired = 0
            for minute in range(1, LOOKS + 1):
                began = time.perf_counter()
                fired += look(START_US + minute * MINUTE)
                middle = time.perf_counter()
                look(START_US + minute * MINUTE + 30 * SECOND)
                due, idle = due + middle - began, idle + time.perf_counter() - middle
            print(
                f"| {count} | {make.__name__} | {idle / LOOKS * 1e6:.1f} | {due / max(1, fired) * 1e6:.1f} |"
                f" {memory:.2f} |",
                flush=True,
            )


def one_year(seed: int) -> int:
    """One random schedule through a year with restarts and deaths before commits at random points; how
    many due times it had, 0 where its expression never comes due."""
    rng = Random(seed)
    cron, fields = make_random_cron(rng)
    try:
        check_cron(cron)
    except InvalidScheduleError:
        return 0
    schedule = Schedule("s", cron, "UTC", "f", None, b"1", MINUTE)
    found = count_decisions(schedule, START_US, START_US + 365 * DAY, rng)
    wanted = find_matching_minutes(fields, START_US + MINUTE, START_US + 365 * DAY + 1)
    assert set(found) == wanted and set(found.values()) <= {1}, cron
    return len(found)


def year(count: int, processes: int) -> None:
    with multiprocessing.Pool(processes) as pool:
        fates = pool.map(one_year, range(count), chunksize=1)
    print(
        f"{count} schedules, one year: {sum(fates)} due times, each with one fate, the same as by brute force"
    )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--year", type=int, default=0, metavar="SCHEDULES")
    options = parser.parse_args()
    if options.year:
        year(options.year, PROCESSES)
    else:
        costs()
