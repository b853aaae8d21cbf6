"""Plays abusive clients against a node process that serves usual clients, and reports what these got."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.testsupport.node.abusive_client import (
    UNANSWERED_FUNCTION,
    UNLOADABLE_FUNCTION,
    AbuseKind,
    Departure,
)
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    SECOND_US,
    Command,
    FakeWorker,
    reply,
    settings,
)
from walnutpost.testsupport.node.node_process import NodeProcess, known_workers
from walnutpost.testsupport.node.usual_load import SAFE_CLASS, UNSAFE_CLASS, LoadResult, UsualLoad

WORKER_COUNT = 12
REQUESTS_PER_SECOND = 100
CONNECTION_COUNT = 20
BUDGET_US = 2_500 * MILLISECOND_US
QUIET_US = SECOND_US  # before the abuse starts
TAIL_US = 3 * SECOND_US  # after it has ended; longer than the budget
MAX_SOCKETS = 1024
MAX_AFTER_DEPARTURE_S = 0.15  # 100 ms, and 50 ms of slack
PROFILE = {"Aim": 1_000_000, "HardLimit": BUDGET_US, "Importance": 1.0, "LateWorth": 0.3}
SETTINGS = settings(
    Extra={"KeepAlive": 8_199_999, "OrderLimit": 10_000_000, "FreeLoads": 6.0, "LoadShare": 0.2},
    Profiles=[
        {**PROFILE, "Name": SAFE_CLASS, "Idempotency": "free"},
        {**PROFILE, "Name": UNSAFE_CLASS, "Idempotency": "single_shot"},
    ],
)


@dataclass(frozen=True, slots=True)
class AbuseResult:
    """What a node process and its usual clients went through."""

    usual: LoadResult
    peak_memory_mb: float
    memory_after_mb: float
    exit_code: int | None  # None if the process still ran at the end
    calls_after_departure: int  # that arrived at a worker more than 150 ms after their client had left
    calls_run_twice: int  # of the class whose calls must not run twice
    abuse_report: str
    log: str


class ExecutingWorker(FakeWorker):
    """A worker that has some functions loaded, loads others on order, and counts the calls that it runs."""

    def __init__(self, loop: Loop, name: str, loaded: set[str], runs: dict[bytes, int]) -> None:
        super().__init__(loop, name)
        self.loaded = loaded
        self.arrivals: list[tuple[bytes, float]] = []  # ids of abusive calls, and their Unix times
        self._runs = runs
        self.answer = self.execute

    def execute(self, command: Command) -> bytes | None:
        """Answer one command as an executor does."""
        self.received_commands.clear()
        if command[0] == b"SPAWN":
            if _field(command[2], b"path") == UNLOADABLE_FUNCTION:
                return reply(command[1], b"ERR", b"slots_up=0")
            self.loaded.add(_field(command[2], b"path"))
            return reply(command[1], b"OK", b"slots_up=1")
        if command[0] != b"FN":
            return None
        function = _field(command[2], b"path")
        if command[1].startswith(b"f"):
            self.arrivals.append((command[1], time.time()))
        if function == UNANSWERED_FUNCTION:
            return None
        if function not in self.loaded:
            return reply(command[1], b"MISS")
        self._runs[command[1]] = self._runs.get(command[1], 0) + 1
        return reply(command[1], b"OK", b"detail=resident", b"did " + command[3])


def _field(fields: bytes, name: bytes) -> str:
    return next(
        (
            value.decode()
            for key, _, value in (part.partition(b"=") for part in fields.split(b","))
            if key == name
        ),
        "",
    )


def count_after_departure(workers: list[ExecutingWorker], departures: list[Departure]) -> int:
    """Return how many calls of clients that had left arrived at the workers too late."""
    left_at = {
        number: departure.left_at
        for departure in departures
        for number in range(departure.first_id, departure.last_id + 1)
    }
    arrivals = [arrival for worker in workers for arrival in worker.arrivals]
    return sum(
        arrived_at > left_at.get(int(request_id[8:], 16), arrived_at) + MAX_AFTER_DEPARTURE_S
        for request_id, arrived_at in arrivals
    )


def play_abuse(
    folder: Path,
    kinds: list[AbuseKind],
    abuse_s: float = 6.0,
    memory_mb: int = 192,
    core_share: float = 1.0,
    seed: int = 1,
) -> AbuseResult:
    """Play these kinds of abuse at the same time, while usual clients send requests."""
    loop = Loop()
    results: list[AbuseResult] = []
    node_processes: list[NodeProcess] = []
    abusers: list[subprocess.Popen[bytes]] = []
    limiters: list[subprocess.Popen[bytes]] = []
    runs: dict[bytes, int] = {}

    def run() -> None:
        workers = [ExecutingWorker(loop, f"s-{n:08x}", set(), runs) for n in range(WORKER_COUNT)]
        node = NodeProcess(
            loop,
            folder,
            known=known_workers([worker.target for worker in workers]),
            settings=SETTINGS,
            limits={"cores": 1.0, "memory_mb": memory_mb, "sockets": MAX_SOCKETS},
        )
        node_processes.append(node)
        node.start()
        if core_share < 1:
            limiters.append(start_core_limiter(node.process.pid, core_share))
        usual = UsualLoad(loop, node.address, REQUESTS_PER_SECOND, BUDGET_US, seed)
        for worker in workers:
            worker.loaded.update(usual.functions, {UNANSWERED_FUNCTION})
        usual.start(CONNECTION_COUNT)
        loop.sleep(QUIET_US)
        reports_by_kind = {kind: folder / f"{kind.value}.txt" for kind in kinds}
        abusers.extend(
            start_abuse(kind, node.address, abuse_s, seed, report) for kind, report in reports_by_kind.items()
        )
        loop.sleep(int(abuse_s * SECOND_US))
        usual_sending_until_us = loop.now() + SECOND_US
        while loop.now() < usual_sending_until_us or any(each.poll() is None for each in abusers):
            loop.sleep(10 * MILLISECOND_US)
        usual.stop()
        loop.sleep(TAIL_US)
        exit_code = node.process.poll()
        is_running = exit_code is None
        reports = [report.read_text().splitlines() for report in reports_by_kind.values()]
        departures = [Departure(*each) for report in reports for each in json.loads(report[-1])]
        results.append(
            AbuseResult(
                usual.result(),
                node.peak_memory_mb() if is_running else 0.0,
                node.memory_mb() if is_running else 0.0,
                exit_code,
                count_after_departure(workers, departures),
                sum(
                    runs.get(request.request_id.encode(), 0) > 1
                    for request in usual.requests
                    if request.request_class == UNSAFE_CLASS
                ),
                " ".join(f"{kind.value}: {lines[0]}" for kind, lines in zip(kinds, reports, strict=True)),
                node.log_path.read_text(),
            )
        )

    try:
        loop.run(run)
    finally:
        for helper in (*abusers, *limiters):
            helper.kill()
            helper.wait()
        for node in node_processes:
            node.kill()
    return results[0]


def start_abuse(
    kind: AbuseKind, address: tuple[str, int], seconds: float, seed: int, report: Path
) -> subprocess.Popen[bytes]:
    """Start a process that plays one kind of abuse, and writes its report to a file."""
    module = "walnutpost.testsupport.node.abusive_client"
    arguments = [kind.value, address[0], str(address[1]), str(seconds), str(seed)]
    with report.open("wb") as output:
        return subprocess.Popen([sys.executable, "-m", module, *arguments], stdout=output)


def start_core_limiter(pid: int, share: float) -> subprocess.Popen[bytes]:
    """Start a process that limits another one to a part of a core."""
    module = "walnutpost.testsupport.node.core_limiter"
    return subprocess.Popen([sys.executable, "-m", module, str(pid), str(share)])
