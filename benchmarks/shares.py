"""Where a front end's CPU goes, by package, and what idle connections and open calls take in memory.

The CPU is sampled in the front end's process by its own profiling timer; a sample belongs to the
innermost frame of this project.
"""

from __future__ import annotations

import signal
import socket
import tempfile
import time
from collections import Counter
from pathlib import Path
from types import FrameType
from typing import Any

from benchmarks.calls import FORK as fork
from benchmarks.calls import PAYLOAD, Served, echo, front_end, load, worker
from walnutpost.eventloop import Loop
from walnutpost.http import encode_request
from walnutpost.http.server import Server, start_server

ROOT = str(Path(__file__).parent.parent / "packages")
EVERY = 0.002
SECONDS = 5.0
CONNECTIONS, OPEN_CALLS = 4_000, 2_000


def package_of(frame: FrameType | None) -> str:
    while frame is not None:
        name = frame.f_code.co_filename
        if name.startswith(ROOT):
            return name[len(ROOT) + 1 :].split("/")[0].removesuffix(".py")
        frame = frame.f_back
    return "other"


def sampled(start: object, out: Path) -> object:
    """The same server, which counts samples and writes them down when it ends."""

    def begin(loop: Loop) -> tuple[str, int]:
        counts: Counter[str] = Counter()

        def sample(_: int, frame: FrameType | None) -> None:
            counts[package_of(frame)] += 1

        address: tuple[str, int] = start(loop)  # type: ignore[operator]
        signal.signal(signal.SIGPROF, sample)
        signal.setitimer(signal.ITIMER_PROF, EVERY, EVERY)

        def write() -> None:
            out.write_text("\n".join(f"{name} {count}" for name, count in counts.items()))
            loop.call_later(200_000, write)

        loop.call_later(200_000, write)
        return address

    return begin


def silent_worker(loop: Loop) -> tuple[str, int]:
    """Says that it holds copies, and never answers a call."""
    from walnutpost.http import Exchange, Response

    def handle(exchange: Exchange) -> Response:
        if not exchange.request.target.endswith(b"/load"):
            loop.sleep(3_600_000_000)
        return Response(200, {}, b'{"copies": 1}')

    server: Server = start_server(loop, ("127.0.0.1", 0), handle, lambda error: Response(error.status))
    return server.address


def shares() -> None:
    workers = [Served(worker) for _ in range(3)]
    out = Path(tempfile.mkdtemp()) / "shares"
    front = Served(sampled(front_end([w.address for w in workers], 10), out))  # type: ignore[arg-type]
    request = encode_request("POST", "/2015-03-31/functions/price/invocations", "x", {}, PAYLOAD)
    ours, theirs = fork.Pipe()
    client = fork.Process(target=load, args=(theirs, front.address, 32, SECONDS, request), daemon=True)
    client.start()
    ours.recv()
    time.sleep(0.5)
    counts = {line.split()[0]: int(line.split()[1]) for line in out.read_text().splitlines()}
    out.unlink()
    total = sum(counts.values())
    print("| package | share of the front end's CPU, 32 in flight |\n| --- | --- |")
    for name, count in sorted(counts.items(), key=lambda item: -item[1]):
        print(f"| {name} | {count / total:.2f} |")
    for each in (front, *workers):
        each.stop()


def held(server: Served, count: int, data: bytes) -> tuple[float, int]:
    """Kilobytes that the server grew by for each connection on which `data` was sent and not answered,
    and how many those were."""
    _, before = server.used()
    socks = []
    for _ in range(count):
        sock = socket.create_connection(server.address)
        sock.sendall(data)
        socks.append(sock)
    time.sleep(1.0)
    _, after = server.used()
    still = 0
    for sock in socks:
        sock.setblocking(False)
        try:
            sock.recv(1)
        except BlockingIOError:
            still += 1
        sock.close()
    return (after - before) / max(1, still), still


def memory() -> None:
    quiet = Served(silent_worker)
    request = encode_request("POST", "/2015-03-31/functions/price/invocations", "x", {}, PAYLOAD)
    print("| what | how many | KB each |\n| --- | --- | --- |")
    cases: list[tuple[str, Any, int, bytes]] = [
        ("idle connection, bare echo", echo, CONNECTIONS, b""),
        ("idle connection, front end", front_end([quiet.address], 4), CONNECTIONS, b""),
        ("open call and its two connections, front end", front_end([quiet.address], 4), OPEN_CALLS, request),
    ]
    for name, start, count, data in cases:
        server = Served(start)
        each, still = held(server, count, data)
        print(f"| {name} | {still} | {each:.1f} |")
        server.stop()
    quiet.stop()


if __name__ == "__main__":
    shares()
    memory()
