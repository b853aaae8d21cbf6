"""The processes of a fleet under test: control plane, package store, agents with their members."""

from __future__ import annotations

import json
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from walnutpost.agent.child_process import process_ids_of
from walnutpost.config import Config
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import ReplicaStatus
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX
from walnutpost.faultinjection.errors import WaitError
from walnutpost.faultinjection.facts import facts_of, write_facts
from walnutpost.faultinjection.fleet_observer import FleetObserver, address_in
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.faultinjection.network import Address, ProxiedNetwork
from walnutpost.faultinjection.waits import START_TIMEOUT_US, describe_ended, wait_for_quorum, wait_until
from walnutpost.fleet import DisruptionBudget, Fleet, FleetState, SetBudgets

SECOND_US = 1_000_000
QUORUM_TIMEOUT_US = 5 * SECOND_US
OPERATOR_TIMEOUT_S = 60  # of one `walnutpost fleet`, which gives up sooner by itself
STOP_TIMEOUT_S = 30
SEEDS_PER_SCENARIO = 1000
STORE = "store"
CLI = (sys.executable, "-m", "walnutpost.cli", "--log", "json")
REPLICA_EVENT = '"event": "control_plane_listening"'
LISTENING = '"listening"'
ANY_PORT = "127.0.0.1:0"
NO_ADDRESS: Address = ("127.0.0.1", 1)


class FleetCluster:
    """The processes, the network between them, and an observer beside it.

    `stop` ends the processes; whatever goes wrong meanwhile is in `failures`.
    """

    def __init__(self, loop: Loop, config: Config, scenario: FleetScenario, folder: Path) -> None:
        assert config.fleet is not None
        self.loop = loop
        self.config = config
        self.scenario = scenario
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.starts: dict[str, int] = {}
        self.failures: list[str] = []
        self.replicas = tuple(f"k{number + 1}" for number in range(scenario.keepers))
        self.front_ends = tuple(f"f{number}" for number in range(scenario.front_ends))
        self.workers = tuple(worker.name for worker in config.fleet.workers)
        self.members = (*self.front_ends, *self.workers)
        self.network = ProxiedNetwork(loop, (*self.replicas, *self.members), self.replica_address)
        self.observer = FleetObserver(loop, folder, self.front_ends, self.workers)
        self.zones: dict[str, str] = {}
        for names in (self.front_ends, self.workers):
            for number, name in enumerate(names):
                self.zones[name] = scenario.zones[number % len(scenario.zones)]

    # Starting and ending

    def start(self) -> None:
        """Start a control plane that agrees on the budgets, then all members; raises ClusterError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        write_facts(self.folder, facts_of(self.config))
        self._write("site", self.config.model_dump(mode="json", by_alias=True))
        self._start_process(STORE, "store", str(self.folder / "site"))
        self.wait_until(lambda: self._log_line(STORE, LISTENING), "the store")
        self.start_replicas()
        budgets = [
            DisruptionBudget(b.kind, b.zone, b.max_unavailable, b.max_unavailable_ratio)
            for b in self.scenario.budgets
        ]
        self.client(START_TIMEOUT_US).command("budgets", SetBudgets(tuple(budgets)))
        for name in self.members:
            self.start_agent(name)
        self.wait_until(lambda: len(self.state().members) == len(self.members), "members")
        self.wait_until(lambda: self.observer.check() == set(), "all to be up")
        self.observer.is_recording = True

    def start_replicas(self) -> None:
        """Start a new control plane, and wait until all of its replicas listen; raises ClusterError."""
        for name in self.replicas:
            self.start_replica(name, "--found")
        self.wait_until(lambda: all(map(self.replica_address, self.replicas)), "keepers")

    def start_replica(self, name: str, *options: str) -> None:
        """Start one replica of the control plane."""
        config = self._write(f"{name}.json", self._control_plane_config(name))
        self._start_process(name, "control-plane", config, "--name", name, *options)

    def start_agent(self, name: str) -> None:
        """Start the agent of a member, which starts the member's process."""
        line: dict[str, Any] = {
            "member": name,
            "kind": "front_end" if name in self.front_ends else "worker",
            "zone": self.zones[name],
            "command": self._member_command(name),
            "first": "site",
            "ready": LISTENING,
        }
        if name in self.front_ends:
            line["follows"] = True
        config = self._write(f"{name}.json", self._control_plane_config(name) | {"agents": [line]})
        self._start_process(name, "agent", config, "--member", name)

    def start_second_agent(self, member: str) -> str:
        """Start another agent under the name of one that runs, as from a folder on another machine."""
        second = f"{member}.second"
        config = json.loads((self.folder / f"{member}.json").read_text())
        folder = self.folder / second
        folder.mkdir()
        for file in ("site", f"{member}.own"):
            (folder / file).write_text((self.folder / file).read_text())
        command = [part.replace(str(self.folder), str(folder)) for part in config["agents"][0]["command"]]
        config["agents"][0]["command"] = command[: command.index("--capture")]
        (folder / f"{member}.json").write_text(json.dumps(config))
        self._start_process(second, "agent", str(folder / f"{member}.json"), "--member", member)
        return second

    def stop_second_agent(self, name: str) -> None:
        """End a second agent, and wait for it; raises ClusterError."""
        process = self.processes.pop(name)
        process.terminate()
        self.wait_until(lambda: process.poll() is not None, f"{name} to end")

    def stop(self) -> None:
        """End all processes, agents first: they end their members' processes."""
        for name in sorted(self.processes, key=lambda n: n in (*self.replicas, STORE)):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for name, process in self.processes.items():
            try:
                process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                self.failures.append(f"{name} did not end when asked")
        shutil.rmtree(self.folder / "keepers", ignore_errors=True)

    def _start_process(self, name: str, *arguments: str) -> None:
        self.starts[name] = self.starts.get(name, 0) + 1
        with self._log(name).open("wb") as log:
            command = [*CLI, *arguments]
            self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def _log_line(self, name: str, text: str) -> str:
        """Return the first line of the present incarnation with this text; empty where there is none."""
        with suppress(OSError):
            return next((line for line in self._log(name).read_text().splitlines() if text in line), "")
        return ""

    # Configurations

    def _write(self, file: str, content: dict[str, Any]) -> str:
        (self.folder / file).write_text(json.dumps(content))
        return str(self.folder / file)

    def _control_plane_config(self, name: str) -> dict[str, Any]:
        """Return a process's configuration: it reaches each replica by the proxied link to it."""
        scenario = self.scenario
        return {
            "keepers": [self._replica_line(name, replica) for replica in self.replicas],
            "judge": scenario.judge.model_dump(mode="json"),
            "election_ms": scenario.election_ms,
            "heartbeat_ms": scenario.heartbeat_ms,
            "lease_ms": scenario.lease_ms,
            "begin_within_ms": scenario.begin_within_ms,
        }

    def _replica_line(self, name: str, replica: str) -> dict[str, Any]:
        if replica == name:
            return {"name": replica, "address": "{}:{}".format(*NO_ADDRESS), "listen": ANY_PORT}
        return {"name": replica, "address": "{}:{}".format(*self.network.address(name, replica))}

    def _member_command(self, name: str) -> list[str]:
        capture = ["--capture", str(self.folder / (name + CAPTURE_SUFFIX))]
        if name in self.front_ends:
            return [*CLI, "serve", "{config}", "--own", self._write_own_config(name), *capture]
        store = address_in(self._log_line(STORE, LISTENING))
        assert store is not None
        command = [*CLI, "worker", "{config}", "--name", name, "--cold", *capture]
        return [*command, "--store", "{}:{}".format(*store)]

    def _write_own_config(self, name: str) -> str:
        """Write the sections of a front end that are its own, not the site's."""
        index = self.front_ends.index(name)
        front = {
            "listen": ANY_PORT,
            "index": index,
            "front_ends": len(self.front_ends),
            "seed": self.scenario.seed * SEEDS_PER_SCENARIO + index,
            "store": f"{name}.db",
            "workers": [],
        }
        replicas = {each: "{}:{}".format(*self.network.address(name, each)) for each in self.replicas}
        agreement = {"keepers": replicas, "member": name, "report_ms": self.scenario.report_ms}
        return self._write(f"{name}.own", {"front": front, "agreement": agreement})

    # Queries, beside the proxied links

    def replica_address(self, name: str) -> Address | None:
        """Return where a replica of the control plane listens now."""
        return address_in(self._log_line(name, REPLICA_EVENT)) if name in self.processes else None

    def _replica_addresses(self) -> dict[str, Address]:
        found = {name: self.replica_address(name) for name in self.replicas}
        return {name: address for name, address in found.items() if address is not None}

    def client(self, timeout_us: int) -> ControlPlaneClient:
        """Return a client of the replicas that listen."""
        return ControlPlaneClient(self.loop, self._replica_addresses(), timeout_us, timeout_us // 2)

    def state(self) -> FleetState:
        """Return what a quorum confirms; waits until one does. Raises ClusterError."""
        return self._confirmed()[1].state

    def newest_state(self) -> FleetState | None:
        """Return the newest state of the replicas that answer, confirmed or not."""
        found: list[FleetState] = []
        client = self.client(SECOND_US)
        for name in client.replicas:
            with suppress(ControlPlaneUnavailableError):
                found.append(Fleet.restore(client.local_status(name).state).state)
        return max(found, key=lambda state: state.index, default=None)

    def leader(self) -> str:
        """Return the leader's name; waits until there is one. Raises ClusterError."""
        return self._confirmed()[0].replica

    def _confirmed(self) -> tuple[ReplicaStatus, Fleet]:
        return wait_for_quorum(
            self.loop, lambda: self.client(QUORUM_TIMEOUT_US).state(), self.folder, self._describe_ended
        )

    def _describe_ended(self) -> str:
        return describe_ended(self.processes, self._log)

    def operator(self, *arguments: str) -> str:
        """Return what `walnutpost fleet` prints; raises ClusterError if it hangs."""
        lines = [
            {"name": name, "address": "{}:{}".format(*address)}
            for name, address in self._replica_addresses().items()
        ]
        config = self._write("operator.json", {"keepers": lines})
        command = [sys.executable, "-m", "walnutpost.cli", "fleet", arguments[0], config, *arguments[1:]]
        try:
            done = self.loop.run_blocking(
                lambda: subprocess.run(
                    command, check=False, capture_output=True, text=True, timeout=OPERATOR_TIMEOUT_S
                )
            )
        except subprocess.TimeoutExpired as error:
            raise WaitError(str(error), "", self.folder) from error
        if done.returncode:
            self.failures.append(f"fleet {' '.join(arguments)}: {done.stderr.strip()}")
        return done.stdout

    def wait_until(
        self, condition: Callable[[], object], what: str, timeout_us: int = START_TIMEOUT_US
    ) -> None:
        """Wait for a condition; raises ClusterError."""
        wait_until(self.loop, condition, what, self.folder, timeout_us, self._describe_ended)

    # Faults

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def restart(self, name: str) -> None:
        """Start a killed replica or agent again."""
        if name in self.replicas:
            self.start_replica(name)
        else:
            self.start_agent(name)

    def wait_until_up(self, member: str) -> None:
        """Wait until a member serves; what happens to it then is its own doing. Raises ClusterError."""
        self.wait_until(lambda: not self.observer.is_down(member), f"{member} to be back")
        self.observer.end_injected(member)

    def child_pid(self, member: str) -> int | None:
        """Return the process in the care of a member's agent; None where there is none."""
        with suppress(OSError, ValueError, IndexError):
            agent = json.loads((self.folder / "agents" / f"{member}.json").read_text())
            return process_ids_of(agent["agent"])[0]
        return None

    def lose_disk(self, name: str) -> None:
        """Kill a replica and remove its files."""
        self.kill(name)
        for path in (self.folder / "keepers").glob(f"{name}.db*"):
            path.unlink()
