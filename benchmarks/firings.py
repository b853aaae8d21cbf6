"""Clients' calls while ten thousand schedules come due in the same second, against the quiet minute
before.

One front end, stand-in workers that answer at once, a client that asks at a steady pace; prints the
client's percentiles for both, the calls of the schedules that ended each second, and the load orders
against the ration that the front end's calls of the window give.
"""

from __future__ import annotations

import json
import os
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.calls import FORK, LOCAL, Served, Silent, null_worker, refusal
from walnutpost.config import Config, WorkerConfig
from walnutpost.daemon.composition import build_front_end
from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Exchange, Response, encode_request
from walnutpost.http.server import start_server

SCHEDULES, PACE, SECONDS = 10_000, 5_000, 8
WALL = 1_800_000_000 * 1_000_000 - 20_000_000  # twenty seconds before a full hour
WINDOW, FREE, SHARE = 10_000_000, 6, 0.2
ORDERS, CALLS = FORK.SimpleQueue(), FORK.SimpleQueue()
STORE = Path(tempfile.mkdtemp()) / "calls.db"


def counting_worker(loop: Loop) -> tuple[str, int]:
    """Answers at once, and says when each load order and each hundredth call came."""
    calls = 0

    def handle(exchange: Exchange) -> Response:
        nonlocal calls
        if not exchange.request.target.endswith(b"/load"):
            calls += 1
            if calls % 100 == 0:
                CALLS.put(loop.now())
        elif json.loads(exchange.request.body)["parameters"]["copies"] > 0:
            ORDERS.put(loop.now())
        return null_worker(exchange)

    return start_server(loop, LOCAL, handle, refusal).address


def ration_left(orders: list[int], calls: list[int]) -> float:
    """The fewest orders left of the ration at any order; `calls` holds the time of each hundredth."""
    left = FREE + 0.0
    for at in orders:
        since = at - WINDOW
        asked = 100 * sum(since < t <= at for t in calls)
        left = min(left, FREE + SHARE * asked - sum(since < t <= at for t in orders))
    return left


def ended_a_second() -> list[int]:
    """Firings whose call had ended by each second from the due time."""
    db = sqlite3.connect(STORE)
    rows = db.execute(
        "select (ended_at - (select min(accepted_at) from executions)) / 1000000, count(*) from executions"
        " where status='SUCCEEDED' group by 1 order by 1"
    ).fetchall()
    db.close()
    return [count for _, count in rows]


def front_end(address: tuple[str, int]) -> Callable[[Loop], tuple[str, int]]:
    lines = {f"s{n}": {"cron": "0 * * * *", "function": "price"} for n in range(SCHEDULES)}
    told: dict[str, Any] = {
        "site": {
            "classes": {"look": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500}},
            "functions": {"price": {"class": "look", "memory_mb": 100, "lanes": 512}},
            "rules": {"load_window_ms": WINDOW / 1000, "free_loads": FREE, "load_share": SHARE},
        },
        "front": {"listen": "127.0.0.1:0", "seed": 1, "store": str(STORE)},
        "schedules": lines,
    }
    config = Config.model_validate(told)
    workers = [WorkerConfig(name=f"w{n}", address="{}:{}".format(*address)) for n in range(4)]
    front = config.front.model_copy(update={"workers": workers})

    def start(loop: Loop) -> tuple[str, int]:
        began = time.time_ns() // 1000
        end = build_front_end(
            loop,
            config.model_copy(update={"front": front}),
            Silent(),
            wall_clock=lambda: WALL + time.time_ns() // 1000 - began,
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


def drained(queue: Any) -> list[int]:
    out = []
    while not queue.empty():
        out.append(queue.get())
    return out


def main() -> None:
    store = Served(counting_worker)
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
    orders, calls = drained(ORDERS), drained(CALLS)
    print(f"{len(orders)} load orders; fewest left of the ration: {ration_left(orders, calls):.1f}")
    ended = ended_a_second()
    whole = ended[1:-1] or ended
    print(f"firings ended a second: {min(whole)} to {max(whole)}; {sum(ended)} by the end of the window")


if __name__ == "__main__":
    main()
