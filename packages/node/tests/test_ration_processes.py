"""The limit on load orders, checked with node processes that are stopped, killed and restarted.

Links are cut and restored, and clients keep sending requests.
Workers, links and clients run in the test process, in real time; the tests check when orders reach the
workers.
"""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.testsupport.node.harness import MILLISECOND_US, SECOND_US, Client, encode_config, settings
from walnutpost.testsupport.node.ration_checker import LoadOrderLog, SlidingWindowLimit, describe_violations
from walnutpost.testsupport.node.witness import LoggingWorker

FREE_LOADS, LOAD_SHARE, LOAD_WINDOW_US = 4, 0.2, 2 * SECOND_US
LOAD_LIMIT = SlidingWindowLimit.with_network_slack(FREE_LOADS, LOAD_SHARE, LOAD_WINDOW_US)
ORDER_TIMEOUT_US = 3 * SECOND_US  # shorter than the longest cut, longer than the others
FRONT_END_COUNT, WORKER_COUNT = 3, 4
WAIT_TIMEOUT_US = 30 * SECOND_US  # for a process to listen, or an order to arrive
REQUEST_INTERVAL_US = 80 * MILLISECOND_US
MAX_REQUESTS_PER_CLIENT = 16  # then a new client connects
BURST_SIZE = 12  # requests sent at once
BURSTS_WHILE_STOPPED = 8  # bursts sent while a process is stopped
NO_NAME_SERVER = "127.0.0.1:9"
LISTENING_LINE = re.compile(r"listening role='node' address=\('127\.0\.0\.1', (\d+)\)")
EXTRA_SETTINGS = {
    "FreeLoads": FREE_LOADS,
    "LoadShare": LOAD_SHARE,
    "LoadWindow": LOAD_WINDOW_US,
    "OrderLimit": ORDER_TIMEOUT_US,
}


class FrontEnd:
    """A node process, its links to the workers, and its clients."""

    def __init__(
        self, loop: Loop, number: int, order_log: LoadOrderLog, loaded_by_worker: list[set[str]], folder: Path
    ) -> None:
        self._loop = loop
        self._order_log = order_log
        self._number = number
        self.name = f"n{number}"
        self._folder = folder
        self._port = 0
        self._incarnations = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._client: Client | None = None
        self._clients: list[Client] = []  # keeps all clients connected until the end
        self._sent_count = 0
        self.workers = [
            LoggingWorker(loop, f"s-{n}", order_log, self.name) for n in range(len(loaded_by_worker))
        ]
        for worker, loaded in zip(self.workers, loaded_by_worker, strict=True):
            worker.loaded = loaded  # shared by the fakes of this worker in all front ends

    # Process

    def start(self) -> None:
        """Start a process with the same name as the last and, except for the first one, the same address."""
        self._incarnations += 1
        path = self._folder / f"{self.name}.json"
        path.write_bytes(self._config())
        log_file = self._folder / f"{self.name}-{self._incarnations}.log"
        with log_file.open("wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "walnutpost.node"],
                env={**os.environ, "NODE_CONFIG": str(path)},
                stdout=output,
                stderr=output,
            )
        with self._loop.timeout(WAIT_TIMEOUT_US):
            while (found := LISTENING_LINE.search(log_file.read_text())) is None:
                assert self._process.poll() is None, log_file.read_text()
                self._loop.sleep(10 * MILLISECOND_US)
        self._port = int(found[1])

    def _config(self) -> bytes:
        topology = {"all": True, "rev": 0, "targets": [worker.target for worker in self.workers]}
        return encode_config(
            name=self.name,
            listen=f"127.0.0.1:{self._port}",
            seed=f"{self._number + 1:x}",
            dns=NO_NAME_SERVER,
            known={"offset": 1, "batch": [{"offset": 1, "topology": topology}]},
            settings=settings(Extra=EXTRA_SETTINGS),
        )

    def signal(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            self._process = None
            self._client = None

    # Links

    def cut_links(self) -> None:
        for worker in self.workers:
            worker.relay.cut()

    def restore_links(self) -> None:
        for worker in self.workers:
            worker.relay.heal()

    @property
    def order_count(self) -> int:
        return sum(len(worker.orders) for worker in self.workers)

    def wait_for_more_orders(self, count: int) -> None:
        """Wait until the workers have read orders that a restored link had held back."""
        with self._loop.timeout(WAIT_TIMEOUT_US):
            while self.order_count <= count:
                self._loop.sleep(5 * MILLISECOND_US)

    # Clients

    def send_request(self) -> None:
        """Send a request for a function that no other request uses.

        The request counts once its last byte is written to a connection that the kernel has accepted. No
        request is sent while no process listens.
        """
        if self._client is None or self._sent_count % MAX_REQUESTS_PER_CLIENT == 0:
            self._client = None
            with suppress(OSError):
                self._client = Client(self._loop, ("127.0.0.1", self._port))
                self._clients.append(self._client)
        if self._client is None:
            return
        self._sent_count += 1
        try:
            self._client.send(
                f"{self._number + 1:04x}{self._sent_count:012x}",
                rid=f"{self._number + 1:04x}{self._sent_count:012x}",
            )
        except OSError:
            self._client = None
        else:
            self._order_log.log_request(self.name, self._loop.now())

    def send_burst(self) -> None:
        for _ in range(BURST_SIZE):
            self.send_request()

    def send_requests_while(self, condition: Callable[[], bool]) -> None:
        while condition():
            self.send_request()
            self._loop.sleep(REQUEST_INTERVAL_US)


def cut_links_for_some_windows(loop: Loop, front_end: FrontEnd) -> None:
    """Let the orders of three windows, some abandoned, arrive together; then those of half a second."""
    front_end.cut_links()
    loop.sleep(3 * LOAD_WINDOW_US)
    orders_before = front_end.order_count
    front_end.restore_links()
    front_end.wait_for_more_orders(orders_before)
    front_end.cut_links()
    loop.sleep(SECOND_US // 2)
    front_end.restore_links()


def stop_process_during_bursts(loop: Loop, front_end: FrontEnd) -> None:
    """Make the process read requests that are nearly a window old, and read responses late."""
    for stopped_us in (LOAD_WINDOW_US - 100 * MILLISECOND_US, SECOND_US):
        front_end.signal(signal.SIGSTOP)
        for _ in range(BURSTS_WHILE_STOPPED):
            front_end.send_burst()
        loop.sleep(stopped_us)
        front_end.signal(signal.SIGCONT)
        loop.sleep(LOAD_WINDOW_US)


def kill_process_with_orders_in_transit(loop: Loop, front_end: FrontEnd) -> None:
    """Let the orders of two earlier incarnations arrive together with those of the third."""
    front_end.cut_links()
    for _ in range(2):
        front_end.send_burst()
        loop.sleep(300 * MILLISECOND_US)
        front_end.kill()
        front_end.start()
    orders_before = front_end.order_count
    front_end.restore_links()
    front_end.send_burst()
    front_end.wait_for_more_orders(orders_before)
    loop.sleep(LOAD_WINDOW_US)


FAULTS = (cut_links_for_some_windows, stop_process_during_bursts, kill_process_with_orders_in_transit)


def test_each_faulty_process_stays_within_its_own_limit(tmp_path: Path) -> None:
    """Each of three processes suffers its own kind of fault, all at the same time."""
    errors: list[BaseException] = []
    loop = Loop(on_error=lambda name, error: errors.append(error))
    order_log = LoadOrderLog()
    front_ends: list[FrontEnd] = []

    def run_all() -> None:
        loaded_by_worker: list[set[str]] = [set() for _ in range(WORKER_COUNT)]
        front_ends.extend(
            FrontEnd(loop, n, order_log, loaded_by_worker, tmp_path) for n in range(FRONT_END_COUNT)
        )
        for start_task in [loop.spawn(front_end.start) for front_end in front_ends]:
            start_task.join()
        is_sending = [True]
        for front_end in front_ends:
            loop.spawn(front_end.send_requests_while, lambda: is_sending[0], name="clients")
        loop.sleep(SECOND_US)
        fault_tasks = [
            loop.spawn(fault, loop, front_end) for fault, front_end in zip(FAULTS, front_ends, strict=True)
        ]
        for fault_task in fault_tasks:
            fault_task.join()
        is_sending[0] = False
        loop.sleep(SECOND_US)

    try:
        loop.run(run_all)
    finally:
        for front_end in front_ends:
            front_end.kill()
    assert not errors, errors
    assert all(front_end.order_count for front_end in front_ends)
    violations = order_log.violations(LOAD_LIMIT)
    assert not violations, describe_violations(violations)
