"""The ration of load orders with whole processes: nodes that are stopped, killed and begun anew, links that
are cut and heal, clients that keep calling.

Workers, links and clients live in the test's own process, in real time; the arrivals at the workers are the
witness.
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
from walnutpost.testsupport.node.harness import MS, SECOND, Client, config_text, settings
from walnutpost.testsupport.node.ration_checker import Ration, RationLog, describe_breaches
from walnutpost.testsupport.node.witness import Witness

FREE_LOADS, LOAD_SHARE, LOAD_WINDOW = 4, 0.2, 2 * SECOND
RATION = Ration.on_sockets(FREE_LOADS, LOAD_SHARE, LOAD_WINDOW)
ORDER_LIMIT = 3 * SECOND  # shorter than the longest cut, longer than the others
FRONT_ENDS, WORKERS = 3, 4
PATIENCE = 30 * SECOND  # until a process listens
ASK_EVERY = 80 * MS
OPEN_AT_ONCE = 16  # requests on one connection before the next one is used
CROWD = 12  # requests at once
STOPPED_CROWDS = 8  # so many of them while a process stands still
NO_NAME_SERVER = "127.0.0.1:9"
LISTENING = re.compile(r"listening role='node' address=\('127\.0\.0\.1', (\d+)\)")
EXTRA = {
    "FreeLoads": FREE_LOADS,
    "LoadShare": LOAD_SHARE,
    "LoadWindow": LOAD_WINDOW,
    "OrderLimit": ORDER_LIMIT,
}


class FrontEnd:
    """One node's process, its links to the workers, and its clients."""

    def __init__(self, loop: Loop, number: int, log: RationLog, copies: list[set[str]], folder: Path) -> None:
        self._loop = loop
        self._log = log
        self._number = number
        self.name = f"n{number}"
        self._folder = folder
        self._port = 0
        self._lives = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._client: Client | None = None
        self._clients: list[Client] = []  # all, so that none is closed before the end
        self._sent = 0
        self.witnesses = [Witness(loop, f"s-{n}", log, self.name) for n in range(len(copies))]
        for witness, loaded in zip(self.witnesses, copies, strict=True):
            witness.loaded = loaded  # one worker to all front ends

    # The process

    def start(self) -> None:
        """A life under the same name and, but for the first, the same address."""
        self._lives += 1
        path = self._folder / f"{self.name}.json"
        path.write_bytes(self._config())
        said = self._folder / f"{self.name}-{self._lives}.log"
        with said.open("wb") as out:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "walnutpost.node"],
                env={**os.environ, "NODE_CONFIG": str(path)},
                stdout=out,
                stderr=out,
            )
        with self._loop.timeout(PATIENCE):
            while (found := LISTENING.search(said.read_text())) is None:
                assert self._process.poll() is None, said.read_text()
                self._loop.sleep(10 * MS)
        self._port = int(found[1])

    def _config(self) -> bytes:
        topology = {"all": True, "rev": 0, "targets": [witness.target for witness in self.witnesses]}
        return config_text(
            name=self.name,
            listen=f"127.0.0.1:{self._port}",
            seed=f"{self._number + 1:x}",
            dns=NO_NAME_SERVER,
            known={"offset": 1, "batch": [{"offset": 1, "topology": topology}]},
            settings=settings(Extra=EXTRA),
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

    # Its links

    def cut(self) -> None:
        for witness in self.witnesses:
            witness.relay.cut()

    def heal(self) -> None:
        for witness in self.witnesses:
            witness.relay.heal()

    @property
    def orders(self) -> int:
        return sum(len(witness.orders) for witness in self.witnesses)

    def until_more_orders(self, than: int) -> None:
        """What a healed link held takes a moment to be read."""
        with self._loop.timeout(PATIENCE):
            while self.orders <= than:
                self._loop.sleep(5 * MS)

    # Its clients

    def ask(self) -> None:
        """A request for a function of its own. It counts once its last byte is written to a connection that
        the machine has accepted; while no process listens there is none."""
        if self._client is None or self._sent % OPEN_AT_ONCE == 0:
            self._client = None
            with suppress(OSError):
                self._client = Client(self._loop, ("127.0.0.1", self._port))
                self._clients.append(self._client)
        if self._client is None:
            return
        self._sent += 1
        try:
            self._client.send(
                f"{self._number + 1:04x}{self._sent:012x}", rid=f"{self._number + 1:04x}{self._sent:012x}"
            )
        except OSError:
            self._client = None
        else:
            self._log.request_written(self.name, self._loop.now())

    def crowd(self) -> None:
        for _ in range(CROWD):
            self.ask()

    def ask_on(self, asking: Callable[[], bool]) -> None:
        while asking():
            self.ask()
            self._loop.sleep(ASK_EVERY)


def cut_for_some_windows(loop: Loop, front_end: FrontEnd) -> None:
    """Orders of three windows, given up or not, arrive together; then those of half a second."""
    front_end.cut()
    loop.sleep(3 * LOAD_WINDOW)
    before = front_end.orders
    front_end.heal()
    front_end.until_more_orders(before)
    front_end.cut()
    loop.sleep(SECOND // 2)
    front_end.heal()


def stop_before_a_crowd(loop: Loop, front_end: FrontEnd) -> None:
    """The process reads requests when they are nearly a window old, and its answers late."""
    for stopped_for in (LOAD_WINDOW - 100 * MS, SECOND):
        front_end.signal(signal.SIGSTOP)
        for _ in range(STOPPED_CROWDS):
            front_end.crowd()
        loop.sleep(stopped_for)
        front_end.signal(signal.SIGCONT)
        loop.sleep(LOAD_WINDOW)


def kill_while_orders_are_on_their_way(loop: Loop, front_end: FrontEnd) -> None:
    """The orders of two former lives arrive beside those of the third."""
    front_end.cut()
    for _ in range(2):
        front_end.crowd()
        loop.sleep(300 * MS)
        front_end.kill()
        front_end.start()
    before = front_end.orders
    front_end.heal()
    front_end.crowd()
    front_end.until_more_orders(before)
    loop.sleep(LOAD_WINDOW)


TROUBLES = (cut_for_some_windows, stop_before_a_crowd, kill_while_orders_are_on_their_way)


def test_processes_in_trouble_keep_the_ration_each_by_itself(tmp_path: Path) -> None:
    """Each of three processes has its own kind of trouble, all at the same time."""
    errors: list[BaseException] = []
    loop = Loop(on_error=lambda name, error: errors.append(error))
    log = RationLog()
    front_ends: list[FrontEnd] = []

    def whole() -> None:
        copies: list[set[str]] = [set() for _ in range(WORKERS)]
        front_ends.extend(FrontEnd(loop, n, log, copies, tmp_path) for n in range(FRONT_ENDS))
        for starting in [loop.spawn(front_end.start) for front_end in front_ends]:
            starting.join()
        asking = [True]
        for front_end in front_ends:
            loop.spawn(front_end.ask_on, lambda: asking[0], name="clients")
        loop.sleep(SECOND)
        troubles = [loop.spawn(trouble, loop, it) for trouble, it in zip(TROUBLES, front_ends, strict=True)]
        for trouble in troubles:
            trouble.join()
        asking[0] = False
        loop.sleep(SECOND)

    try:
        loop.run(whole)
    finally:
        for front_end in front_ends:
            front_end.kill()
    assert not errors, errors
    assert all(front_end.orders for front_end in front_ends)
    breaches = log.breaches(RATION)
    assert not breaches, describe_breaches(breaches)
