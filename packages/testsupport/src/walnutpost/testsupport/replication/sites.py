"""Front ends of several sites as processes."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from functools import partial
from pathlib import Path
from random import Random

from walnutpost.config.base import parse_address
from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.faultinjection.network import LinkProxy
from walnutpost.http import Connection, HttpMessageError
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, INVOKE_PATH, SECOND, merge_settings

TIMEOUT_US = 30 * SECOND
SITES = {"a1": ("east", "a"), "b1": ("east", "b"), "c1": ("west", "c")}


class Sites:
    """Front ends of three sites as processes; each one's journal is reached through a proxy."""

    def __init__(self, path: Path, loop: Loop, copies: int) -> None:
        self.path, self.loop = path, loop
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.relays = {
            name: LinkProxy(loop, partial(self.listening_address, name, "journal_address")) for name in SITES
        }
        holders = [
            {"name": n, "address": "{}:{}".format(*self.relays[n].address), "region": r, "zone": z}
            for n, (r, z) in SITES.items()
        ]
        requirement = {"copies": copies}
        self.overrides: dict[str, object] = {}  # laid over the configuration of each site
        self.journal: dict[str, object] = {
            "listen": "127.0.0.1:0",
            "holders": holders,
            "classes": {"valuation": requirement, "reservation": requirement},
            "lost_after_ms": 1000,
            "answer_ms": 500,
            "pause_ms": 50,
        }

    def start(self, name: str) -> None:
        """Start a site: the first with workers, which are lost with it; the others are replicas only."""
        journal = {"journal": self.journal | {"name": name}} if self.journal else {}
        section = journal | {"front": {"store": f"{name}.db"}}
        config = self.path / f"{name}.json"
        config.write_text(json.dumps(merge_settings(merge_settings(BASE_SETTINGS, section), self.overrides)))
        command = [sys.executable, "-m", "walnutpost.cli", "--log", "json"]
        command += ["up" if name == "a1" else "serve", str(config)]
        with (self.path / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, start_new_session=True)
        deadline_us = self.loop.now() + TIMEOUT_US
        while self.listening_address(name, "address") is None:
            assert self.loop.now() < deadline_us, (self.path / f"{name}.log").read_text()
            self.loop.sleep(20_000)

    def listening_address(self, name: str, field: str) -> tuple[str, int] | None:
        """Return where a site listens, by its log; None before it does."""
        log = self.path / f"{name}.log"
        lines = log.read_bytes().splitlines() if log.exists() else []
        found = [json.loads(line) for line in lines if b'"event": "listening"' in line]
        return parse_address(found[-1][field]) if found else None

    def stop(self) -> None:
        """Terminate all processes, including paused ones, and wait for their end."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            process.wait(15)

    def send_deferred_call(self, name: str, function: str) -> int:
        """Send a deferred call on a new connection; return the status, 0 if there was no answer."""
        headers = {"x-amz-invocation-type": "Event", "x-amz-durable-execution-name": name}
        address = self.listening_address("a1", "address")
        assert address is not None
        try:
            with self.loop.timeout(3 * SECOND):
                connection = Connection.open(self.loop, address)
                try:
                    return connection.request("POST", INVOKE_PATH.format(function), headers, b"{}").status
                finally:
                    connection.close()
        except (OSError, HttpMessageError, WaitTimeoutError):
            return 0

    def inject_faults(self, random: Random) -> None:
        """Tear, pause and cut off replicas, before the origin is lost."""
        for name in ("b1", "c1"):
            if random.random() < 0.5:
                torn_at = random.randrange(20_000)  # in the middle of a message
                self.relays[name].forward.reset_after_bytes = torn_at
        paused = random.choice(("b1", "c1"))
        self.processes[paused].send_signal(signal.SIGSTOP)
        self.loop.sleep(random.randrange(SECOND))
        self.processes[paused].send_signal(signal.SIGCONT)
        cut = random.choice(("b1", "c1"))
        self.relays[cut].cut()
        self.loop.sleep(random.randrange(SECOND))
        self.relays[cut].heal()
        self.loop.sleep(random.randrange(SECOND // 2))
