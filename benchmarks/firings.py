"""Clients' calls while ten thousand schedules come due in the same second, against the quiet minute
before.

One front end, stand-in workers that answer at once, a client that asks at a steady pace; prints the
client's percentiles for both, firings a second, and the load orders of the window.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.calls import FORK, Served, Silent, worker
from walnutpost.config import Config, WorkerLine
from walnutpost.daemon import FrontEnd
from walnutpost.http import Connection, encode_request
from walnutpost.loop import Loop

SCHEDULES, PACE, SECONDS = 10_000, 5_000, 8
WALL = 1_800_000_000 * 1_000_000 - 20_000_000  # twenty seconds before a full hour


def front_end(address: tuple[str, int]) -> Callable[[Loop], tuple[str, int]]:
    lines = {f"s{n}": {"cron": "0 * * * *", "function": "price"} for n in range(SCHEDULES)}
    told: dict[str, Any] = {
        "site": {
            "classes": {"look": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500}},
            "functions": {"price": {"class": "look", "memory_mb": 100, "lanes": 512}},
            "rules": {"load_window_ms": 10_000, "free_loads": 6, "load_share": 0.2},
        },
        "front": {"listen": "127.0.0.1:0", "seed": 1, "store": str(Path(tempfile.mkdtemp()) / "calls.db")},
        "schedules": lines,
    }
    config = Config.model_validate(told)
    workers = [WorkerLine(name=f"w{n}", address="{}:{}".format(*address)) for n in range(4)]
    front = config.front.model_copy(update={"workers": workers})

    def start(loop: Loop) -> tuple[str, int]:
        began = time.time_ns() // 1000
        end = FrontEnd(
            loop,
            config.model_copy(update={"front": front}),
            Silent(),
            wall=lambda: WALL + time.time_ns() // 1000 - began,
        )
        return end.address

    return start


def client(pipe: Any, address: tuple[str, int], seconds: int) -> None:
    """Asks every PACE microseconds, each on time whatever became of the last."""
    loop = Loop()
    request = encode_request("POST", "/2015-03-31/functions/price/invocations", "x", {}, b"1")
    histogram = HdrHistogram(1, 60_000_000, 3)
    idle: list[Connection] = []

    def ask(meant: int) -> None:
        connection = idle.pop() if idle else Connection.open(loop, address)
        if connection.exchange(request).status == 200:
            histogram.record_value(max(1, loop.now() - meant))
        idle.append(connection)

    def main() -> None:
        began = loop.now()
        tasks = []
        for number in range(seconds * 1_000_000 // PACE):
            meant = began + number * PACE
            loop.sleep(max(0, meant - loop.now()))
            tasks.append(loop.spawn(ask, meant))
        for task in tasks:
            task.join()

    loop.run(main)
    pipe.send(histogram.encode())
    os._exit(0)


def asked(address: tuple[str, int], seconds: int = SECONDS) -> HdrHistogram:
    ours, theirs = FORK.Pipe()
    FORK.Process(target=client, args=(theirs, address, seconds), daemon=True).start()
    return HdrHistogram.decode(ours.recv())


def main() -> None:
    store = Served(worker)
    began = time.perf_counter()
    front = Served(front_end(store.address))
    print(f"start with {SCHEDULES} schedules: {time.perf_counter() - began:.1f} s")
    rows: list[tuple[str, Any, float]] = []
    asked(front.address, 1)
    for name in ("quiet", f"{SCHEDULES} due"):
        if rows:
            time.sleep(max(0.0, 19.0 - (time.perf_counter() - began)))
        cpu, _ = front.used()
        got = asked(front.address)
        rows.append((name, got, front.used()[0] - cpu))
    print("| client's calls | count | p50 us | p99 us | p99.9 us | front end's CPU s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, got, cpu in rows:
        p50, p99, p999 = (got.get_value_at_percentile(p) for p in (50, 99, 99.9))
        print(f"| {name} | {got.get_total_count()} | {p50} | {p99} | {p999} | {cpu / 1e6:.2f} |")
    front.stop()
    store.stop()


if __name__ == "__main__":
    main()
