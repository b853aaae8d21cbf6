"""Replicas as processes; each connection between two of them is a proxied link, to be cut or slowed."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.network import ProxiedNetwork
from walnutpost.fleet import FRONT_END, DisruptionBudget, RegisterMember, SetBudgets

SECOND = 1_000_000
NAMES = ("k1", "k2", "k3")
TIMES = {"election_ms": 400, "heartbeat_ms": 60, "lease_ms": 60_000, "log_most": 40}


class ReplicaProcesses:
    """Three processes of `program`; each reaches each of the others through a proxied link."""

    program: tuple[str, ...] = ("-m", "walnutpost.cli")
    times: dict[str, int] = TIMES

    def __init__(self, loop: Loop, folder: Path) -> None:
        self.loop, self.folder = loop, folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.starts = dict.fromkeys(NAMES, 0)
        self.network = ProxiedNetwork(loop, NAMES, self.address_of)
        for name in NAMES:
            self.start(name, "--found")
        self.wait_until(lambda: all(self.address_of(name) for name in NAMES))

    def start(self, name: str, *options: str) -> None:
        """Start a replica's process with these options."""
        self.starts[name] += 1
        at = {n: self.network.address(name, n) for n in NAMES if n != name} | {name: ("127.0.0.1", 1)}
        lines = [{"name": n, "address": "{}:{}".format(*at[n])} for n in NAMES]
        own = next(line for line in lines if line["name"] == name)
        own["listen"] = "127.0.0.1:0"
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({"keepers": lines, **self.times}))
        with self._log(name).open("wb") as out:
            command = [sys.executable, *self.program, "--log", "json", "control-plane", str(config)]
            self.running[name] = subprocess.Popen(
                [*command, "--name", name, *options], stdout=out, stderr=out
            )

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def log_lines(self, name: str) -> list[dict[str, str]]:
        """Return the log events of the replica's present process."""
        out = []
        with suppress(OSError):
            for line in self._log(name).read_text().splitlines():
                with suppress(ValueError):
                    out.append(json.loads(line))
        return out

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Return the replica's address, or None while it does not run or listen."""
        if name not in self.running:
            return None
        listening = self._listening(name)
        return None if listening is None else ("127.0.0.1", int(listening["address"].rpartition(":")[2]))

    def replica_id(self, name: str) -> str:
        """Return the identity of the replica, which must have logged it."""
        listening = self._listening(name)
        assert listening is not None
        return listening["replica"]

    def _listening(self, name: str) -> dict[str, str] | None:
        lines = self.log_lines(name)
        return next((line for line in lines if line["event"] == "control_plane_listening"), None)

    def kill(self, name: str) -> None:
        """Kill the replica's process."""
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the replica's process."""
        self.running[name].send_signal(number)

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition is true, at most about 30 s."""
        for _ in range(3000):
            if condition():
                return
            self.loop.sleep(10_000)
        raise AssertionError("the condition was never met")

    def client(self, *names: str, timeout_us: int = 20 * SECOND) -> ControlPlaneClient:
        """Return a client of these replicas, or of all, as far as they run."""
        known = {n: w for n in names or NAMES if (w := self.address_of(n)) is not None}
        return ControlPlaneClient(self.loop, known, timeout_us, 2 * SECOND)

    def operator(self, *words: str) -> str:
        """Return what a command of `walnutpost fleet` prints."""
        lines = [{"name": n, "address": "{}:{}".format(*w)} for n in NAMES if (w := self.address_of(n))]
        config = self.folder / "operator.json"
        config.write_text(json.dumps({"keepers": lines}))
        run = [sys.executable, "-m", "walnutpost.cli", "fleet", words[0], str(config), *words[1:]]
        return self.loop.run_blocking(
            lambda: subprocess.run(run, check=True, capture_output=True, text=True)
        ).stdout

    def leader(self, *names: str) -> str:
        """Wait for a leader among these replicas, or all, and return its name."""
        found = ""

        def has_leader() -> bool:
            nonlocal found
            with suppress(ControlPlaneUnavailableError):
                found = self.client(*names, timeout_us=SECOND).state()[0].replica
            return bool(found)

        self.wait_until(has_leader)
        return found

    def end(self) -> None:
        """Kill all processes."""
        for name in list(self.running):
            self.kill(name)


def play(
    folder: Path, script: Callable[[ReplicaProcesses], None], kind: type[ReplicaProcesses] = ReplicaProcesses
) -> None:
    """Run `script` with new processes, which are killed at its end."""
    loop = Loop()
    clusters: list[ReplicaProcesses] = []

    def body() -> None:
        clusters.append(kind(loop, folder))
        script(clusters[0])

    try:
        loop.run(body)
    finally:
        for cluster in clusters:
            cluster.end()


def create_fleet(cluster: ReplicaProcesses, members: int = 3) -> ControlPlaneClient:
    """Register members under a budget of one unavailable front end, and return a client."""
    client = cluster.client()
    client.command("budget", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),)))
    for n in range(members):
        assert client.command(f"m{n}", RegisterMember(f"m{n}", FRONT_END, "a", "1")).ok
    return client
