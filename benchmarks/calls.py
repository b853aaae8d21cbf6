"""A synchronous call through the front end, against the same loop with a bare echo and against the
worker alone.

Every server is a process, and so is each client. Workers answer at once, so that the front end is what
is measured. Prints calls a second, latency percentiles, and CPU microseconds of the measured process for
each call; the ratios are of one run. `python -m benchmarks.calls [--workers N ...] [--seconds S]`.
"""

from __future__ import annotations

import argparse
import multiprocessing as mp
import os
import resource
import tempfile
import time
from collections.abc import Callable
from multiprocessing.connection import Connection as Pipe
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from walnutpost.config import Config, WorkerConfig
from walnutpost.daemon.composition import build_front_end
from walnutpost.eventloop import Event, Loop, connect
from walnutpost.http import Exchange, HttpMessageError, Response, encode_request
from walnutpost.http.server import start_server

FORK = mp.get_context("fork")
LOCAL = ("127.0.0.1", 0)
WORKERS, CLIENTS = 3, 2
IN_FLIGHT = (1, 32, 256)
WARM_UP = 0.5
PAYLOAD = b'{"isbn": "0-14-044913-6", "shelf": 12}'
ANSWER = Response(
    200,
    {
        "content-type": "application/json",
        "endpoint-load-metrics": "TEXT cpu_utilization=0.2, mem_utilization=0.1, named_metrics.warmth=1",
    },
    b'{"price": 12.5, "worker": "null"}',
)


def null_worker(exchange: Exchange) -> Response:
    if exchange.request.target.endswith(b"/load"):
        return Response(200, {}, b'{"copies": 1}')
    return Response(200, ANSWER.headers, ANSWER.body)


def refusal(error: HttpMessageError) -> Response:
    return Response(error.status)


class Silent:
    def info(self, *_: Any, **__: Any) -> None:
        pass

    warning = error = info


def cpu_us() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return (used.ru_utime + used.ru_stime) * 1e6


def serve(pipe: Pipe, start: Callable[[Loop], tuple[str, int]]) -> None:
    """A server in this process: says where it listens, then its CPU time and memory whenever asked."""
    loop = Loop()

    def main() -> None:
        address = start(loop)
        pipe.send(address)
        over = Event(loop)

        def asked() -> None:
            if pipe.recv() == "stop":
                over.set()
            else:
                pipe.send((cpu_us(), memory_kb()))
                loop.on_readable(pipe.fileno(), asked)

        loop.on_readable(pipe.fileno(), asked)
        over.wait()

    loop.run(main)
    os._exit(0)


def memory_kb() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() // 1024


class Served:
    def __init__(self, start: Callable[[Loop], tuple[str, int]]) -> None:
        self.pipe, theirs = FORK.Pipe()
        self.process = FORK.Process(target=serve, args=(theirs, start), daemon=True)
        self.process.start()
        self.address: tuple[str, int] = self.pipe.recv()

    def used(self) -> tuple[float, int]:
        self.pipe.send("used")
        told: tuple[float, int] = self.pipe.recv()
        return told

    def stop(self) -> None:
        self.pipe.send("stop")
        self.process.join()


def echo(loop: Loop) -> tuple[str, int]:
    return start_server(loop, LOCAL, lambda e: Response(200, {}, e.request.body), refusal).address


def worker(loop: Loop) -> tuple[str, int]:
    return start_server(loop, LOCAL, null_worker, refusal).address


def front_end(addresses: list[tuple[str, int]], listed: int) -> Callable[[Loop], tuple[str, int]]:
    """A front end that lists so many workers; they share the processes that are there."""
    config = Config.model_validate(
        {
            "site": {
                "classes": {"look": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500}},
                "functions": {"price": {"class": "look", "memory_mb": 100, "lanes": 512}},
            },
            "front": {
                "listen": "127.0.0.1:0",
                "store": str(Path(tempfile.mkdtemp()) / "calls.db"),
                "seed": 1,
            },
        }
    )
    lines = [
        WorkerConfig(name=f"w{i}", address="{}:{}".format(*addresses[i % len(addresses)]))
        for i in range(listed)
    ]
    front = config.front.model_copy(update={"workers": lines})

    def start(loop: Loop) -> tuple[str, int]:
        address = build_front_end(loop, config.model_copy(update={"front": front}), Silent()).address
        return address

    return start


def load(pipe: Pipe, address: tuple[str, int], in_flight: int, seconds: float, request: bytes) -> None:
    """One client process: so many connections, each asking again as soon as it is answered."""
    loop = Loop()
    histogram = HdrHistogram(1, 60_000_000, 3)
    errors = [0]
    end = [0.0, 0.0]

    def one() -> None:
        stream = connect(loop, address)
        while time.perf_counter() < end[1]:
            began = time.perf_counter()
            stream.send_all(request)
            data = stream.recv()
            if began >= end[0]:
                histogram.record_value(max(1, int((time.perf_counter() - began) * 1e6)))
                errors[0] += not data.startswith(b"HTTP/1.1 200")

    def main() -> None:
        end[0] = time.perf_counter() + WARM_UP
        end[1] = end[0] + seconds
        tasks = [loop.spawn(one) for _ in range(in_flight)]
        for task in tasks:
            task.join()

    loop.run(main)
    pipe.send((histogram.encode(), errors[0]))


def measure(server: Served, request: bytes, in_flight: int, seconds: float) -> dict[str, float]:
    clients = min(CLIENTS, in_flight)
    pipes = []
    for number in range(clients):
        ours, theirs = FORK.Pipe()
        share = in_flight // clients + (number < in_flight % clients)
        FORK.Process(target=load, args=(theirs, server.address, share, seconds, request), daemon=True).start()
        pipes.append(ours)
    time.sleep(WARM_UP)
    before, _ = server.used()
    time.sleep(seconds)
    after, memory = server.used()
    total = HdrHistogram(1, 60_000_000, 3)
    errors = 0
    for pipe in pipes:
        encoded, wrong = pipe.recv()
        total.add(HdrHistogram.decode(encoded))
        errors += wrong
    count = total.get_total_count()
    return {
        "rate": count / seconds,
        "p50": total.get_value_at_percentile(50),
        "p99": total.get_value_at_percentile(99),
        "p99.9": total.get_value_at_percentile(99.9),
        "cpu": (after - before) / max(1, count),
        "memory": memory,
        "errors": errors,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="*", default=[10, 100, 1000])
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    invoke = encode_request(
        "POST", "/2015-03-31/functions/price/invocations", "x", {"content-type": "application/json"}, PAYLOAD
    )
    workers = [Served(worker) for _ in range(WORKERS)]
    addresses = [w.address for w in workers]
    servers = [("bare echo", Served(echo)), ("worker alone", Served(worker))]
    servers += [(f"front end, {n} workers", Served(front_end(addresses, n))) for n in options.workers]
    print("| what | in flight | calls/s | of echo | p50 us | p99 us | p99.9 us | CPU us a call | errors |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for in_flight in IN_FLIGHT:
        base = 0.0
        for name, server in servers:
            got = measure(server, invoke, in_flight, options.seconds)
            base = base or got["rate"]
            print(
                f"| {name} | {in_flight} | {got['rate']:.0f} | {got['rate'] / base:.2f} | {got['p50']:.0f} |"
                f" {got['p99']:.0f} | {got['p99.9']:.0f} | {got['cpu']:.0f} | {got['errors']:.0f} |",
                flush=True,
            )
    for _, server in servers:
        server.stop()
    for each in workers:
        each.stop()


if __name__ == "__main__":
    main()
