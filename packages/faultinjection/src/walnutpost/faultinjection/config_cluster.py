"""The processes of a configuration store under test: replicas, relays, front ends, simulated members."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

from walnutpost.config.entries import encode_site
from walnutpost.configstore import Mutation, PropagationStatus
from walnutpost.consensus import Members
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import replica_name
from walnutpost.eventloop import Loop, Task
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.faultinjection.config_observer import ConfigObserver, RequestCount
from walnutpost.faultinjection.config_topology import (
    FRONT_ENDS,
    MEMBER_PROCESSES,
    PADDING_PREFIX,
    RELAYS,
    REPLICAS,
    WORKERS_FILE,
    checked_config,
    control_plane_config,
    front_end_config,
    members_config,
    region_of,
)
from walnutpost.faultinjection.errors import ChangeRejectedError
from walnutpost.faultinjection.fleet_observer import address_in
from walnutpost.faultinjection.network import Address, LinkProxy, ProxiedNetwork
from walnutpost.faultinjection.simulated_members import MemberFault
from walnutpost.faultinjection.waits import START_TIMEOUT_US, describe_ended, wait_for_quorum, wait_until
from walnutpost.fleet import Fleet

SECOND_US = 1_000_000
QUORUM_TIMEOUT_US = 3 * SECOND_US
MIN_REPLICA_TIMEOUT_US = 300_000
STATUS_INTERVAL_US = 150_000
STOP_TIMEOUT_S = 10
MAX_SEED_MUTATIONS = 400  # in one change set
REPLICA_ID = re.compile(r'"replica": "([^"]+)"')
REPLICA_EVENT = '"event": "control_plane_listening"'
LISTENING_EVENT = '"event": "listening"'
LISTENING = '"listening"'
CLI = ("walnutpost.cli", "--log", "json")
T = TypeVar("T")


class ConfigCluster:
    """The processes, the network between them, and an observer beside it."""

    def __init__(
        self,
        loop: Loop,
        folder: Path,
        simulated_members: int = 40,
        padding: int = 0,
        member_faults: dict[str, MemberFault] | None = None,
    ) -> None:
        """Take the folder for configurations and logs; `member_faults` has rules to break, by member."""
        self.loop = loop
        self.folder = folder
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.starts: dict[str, int] = {}
        self.network = ProxiedNetwork(
            loop, (*REPLICAS, *RELAYS, *FRONT_ENDS, *MEMBER_PROCESSES), self.find_address
        )
        self.observer = ConfigObserver(loop, folder, self.find_address)
        self._members_per_process = simulated_members // len(MEMBER_PROCESSES)
        self._follower_count = len(FRONT_ENDS) + simulated_members
        self._padding = padding
        self._member_faults = member_faults or {}
        self._tasks: list[Task[Any]] = []
        self._change_count = 0

    @property
    def simulated_members(self) -> int:
        """How many simulated members run."""
        return self._members_per_process * len(MEMBER_PROCESSES)

    # Starting and ending

    def start(self) -> None:
        """Start all processes, and settings that all act on; raises ClusterError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in REPLICAS:
            self.start_process(name, "--found")
        self.wait_until(lambda: all(map(self.find_address, REPLICAS)), "keepers")
        self._seed()
        self._tasks.append(self.loop.spawn(self.observer.follow, name="observer"))
        for name in RELAYS:
            self.start_process(name)
        self.wait_until(lambda: all(map(self.find_address, RELAYS)), "relays")
        self._start_workers()
        for name in (*FRONT_ENDS, *MEMBER_PROCESSES):
            self.start_process(name)
        self.wait_until(lambda: all(map(self.find_address, FRONT_ENDS)), "front ends")
        self.wait_until(self._are_followers_agreed, "all members to be agreed on")
        self.wait_until_applied()
        self._tasks.append(self.loop.spawn(self._check_status, name="status checks"))

    def start_process(self, name: str, *options: str) -> None:
        """Start a process, also one that was killed before."""
        self.starts[name] = self.starts.get(name, 0) + 1
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._process_config(name)))
        command = [sys.executable, "-m", *self._command(name, path), *options]
        with self._log(name).open("wb") as log:
            self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def finish(self) -> None:
        """End the members, and compare what each has with what was agreed on; raises ClusterError."""
        self.observer.check_observed(self.status())
        self.observer.read_logs()
        for task in self._tasks:
            task.cancel()
        names = [name for name in (*FRONT_ENDS, *MEMBER_PROCESSES) if name in self.processes]
        for name in names:
            self.processes[name].terminate()
        for name in names:
            process = self.processes.pop(name)
            self.wait_until(lambda p=process: p.poll() is not None, f"{name} to end")  # type: ignore[misc]
        self.observer.check_stores()

    def stop(self) -> None:
        """End all processes that are left, each by its own id."""
        for process in self.processes.values():
            with suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    def _command(self, name: str, config: Path) -> list[str]:
        if name in REPLICAS:
            return [*CLI, "control-plane", str(config), "--name", name]
        if name in RELAYS:
            return [*CLI, "relay", str(config), "--name", name]
        if name in FRONT_ENDS:
            return [*CLI, "serve", str(config)]
        return ["walnutpost.faultinjection.simulated_members", str(config)]

    def _process_config(self, name: str) -> dict[str, Any]:
        if name in REPLICAS or name in RELAYS:
            return control_plane_config(name, self.network.address)
        if name in FRONT_ENDS:
            return front_end_config(name, self._padding, self.network.address)
        return members_config(name, self._members_per_process, self._member_faults, self.network.address)

    def _seed(self) -> None:
        """Put the site's settings into the store, the functions that are called first."""
        config = checked_config(self._process_config(FRONT_ENDS[0]), FRONT_ENDS[0])
        mutations = [Mutation(key, value) for key, value in encode_site(config.site).items()]
        prefix = f"function/{PADDING_PREFIX}"
        self.change(tuple(each for each in mutations if not each.key.startswith(prefix)))
        padding = [each for each in mutations if each.key.startswith(prefix)]
        for at in range(0, len(padding), MAX_SEED_MUTATIONS):
            self.change(tuple(padding[at : at + MAX_SEED_MUTATIONS]))

    def _start_workers(self) -> None:
        """Start the workers in this process, and list them."""
        config = checked_config(self._process_config(FRONT_ENDS[0]), FRONT_ENDS[0])
        assert config.fleet is not None
        store = local_store(self.loop, config)
        servers = [start_worker(self.loop, config, line, store) for line in config.fleet.workers]
        lines = [
            {"name": line.name, "address": "{}:{}".format(*server.address)}
            for line, server in zip(config.fleet.workers, servers, strict=True)
        ]
        (self.folder / WORKERS_FILE).write_text(json.dumps({"version": 1, "workers": lines}))

    # Processes

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def find_address(self, name: str) -> Address | None:
        """Return where a process listens now."""
        if name not in self.processes:
            return None
        event = REPLICA_EVENT if name in REPLICAS else LISTENING_EVENT
        with suppress(OSError):
            for line in self._log(name).read_text().splitlines():
                address = address_in(line) if event in line else None
                if address is not None:
                    return address
        return None

    def is_up(self, name: str) -> bool:
        """Whether a process that was started has written that it listens."""
        if name not in MEMBER_PROCESSES:
            return self.find_address(name) is not None
        with suppress(OSError):
            return LISTENING in self._log(name).read_text()
        return False

    def wait_until(
        self, condition: Callable[[], object], what: str, timeout_us: int = START_TIMEOUT_US
    ) -> None:
        """Wait for a condition; raises ClusterError."""
        wait_until(self.loop, condition, what, self.folder, timeout_us, self._describe_ended)

    def wait_until_up(self, *names: str) -> None:
        """Wait until processes listen; raises ClusterError."""
        self.wait_until(lambda: all(map(self.is_up, names)), f"{', '.join(names)} to be back")

    def _describe_ended(self) -> str:
        return describe_ended(self.processes, self._log)

    # Queries and changes, beside the proxied links

    def client(self, timeout_us: int) -> ControlPlaneClient:
        """Return a client of the replicas that listen."""
        found = {name: self.find_address(name) for name in REPLICAS}
        known = {name: address for name, address in found.items() if address is not None}
        return ControlPlaneClient(self.loop, known, timeout_us, max(timeout_us // 3, MIN_REPLICA_TIMEOUT_US))

    def change(self, mutations: tuple[Mutation, ...]) -> int:
        """Have a change set agreed on, always under one id; return its revision. Raises ClusterError."""
        self._change_count += 1
        change_id = f"change-{self._change_count}"
        answer, errors = self._confirmed(lambda client: client.submit_change_set(change_id, mutations))
        if errors or not answer.ok:
            raise ChangeRejectedError(change_id, str(errors or answer.error))
        return answer.index

    def status(self) -> PropagationStatus:
        """Return which revision is applied everywhere, as a quorum has it. Raises ClusterError."""
        return self._confirmed(lambda client: client.status())

    def leader(self) -> str:
        """Return the leader's name. Raises ClusterError."""
        return self._confirmed(lambda client: client.state())[0].replica

    def followers(self) -> dict[str, str]:
        """Return the agreed followers with their incarnations. Raises ClusterError."""
        return dict(self._confirmed(lambda client: client.state())[1].state.followers)

    def _confirmed(self, ask: Callable[[ControlPlaneClient], T]) -> T:
        return wait_for_quorum(
            self.loop, lambda: ask(self.client(QUORUM_TIMEOUT_US)), self.folder, self._describe_ended
        )

    def _are_followers_agreed(self) -> bool:
        self.observer.read_logs()
        return len(self.followers()) == self._follower_count

    def wait_until_applied(self, revision: int = 0) -> int:
        """Wait until a revision, or the newest, is reported as applied everywhere.

        Returns how long that took, in microseconds; raises ClusterError.
        """
        began_us = self.loop.now()
        revision = revision or self.status().revision
        what = f"revision {revision} to be in force"
        self.wait_until(lambda: self.status().min_applied_revision >= revision, what)
        return self.loop.now() - began_us

    def request_count(self) -> RequestCount:
        """Return the watch requests of the simulated members in their present processes."""
        return self.observer.request_count([self._log(name) for name in MEMBER_PROCESSES])

    def _check_status(self) -> None:
        """Let the observer check each status that any replica gives, until cancelled."""
        while True:
            self.loop.sleep(STATUS_INTERVAL_US)
            with suppress(ControlPlaneUnavailableError):
                client = self.client(SECOND_US)
                followers = dict(Fleet.restore(client.state()[0].state).state.followers)
                self.observer.check_status(client.status(), followers)

    # Faults

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def lose_disk(self, name: str) -> None:
        """Kill a replica and remove its files; `add_voter` has it back as another replica."""
        self.kill(name)
        for path in (self.folder / "keepers").glob(f"{name}.db*"):
            path.unlink()

    def add_voter(self, name: str) -> None:
        """Let a replica whose disk is new vote under another id: one voter less, then one more."""
        found = REPLICA_ID.search(self._log(name).read_text())
        assert found is not None
        replica = found[1]
        members = self.client(QUORUM_TIMEOUT_US).state()[0].members
        voters = tuple(voter for voter in members.voters if replica_name(voter) != name)
        for number, wanted in enumerate((voters, (*voters, replica))):
            self.client(START_TIMEOUT_US).change_members(f"{replica} {number}", Members(wanted))

    def pause(self, name: str) -> None:
        """Stop a process as it is."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def cut_region(self, region: str, outbound: bool = True, inbound: bool = True) -> None:
        """Block a region's links to all others, in one direction or both."""
        for (source, target), link in self.network.links.items():
            is_from_region = region_of(source) == region
            if is_from_region == (region_of(target) == region):
                continue
            sent, received = link.forward, link.backward
            if not is_from_region:
                sent, received = received, sent
            if outbound:
                sent.block()
            if inbound:
                received.block()

    def links_to(self, *names: str) -> list[LinkProxy]:
        """Return the links to these processes."""
        return [link for (_, target), link in self.network.links.items() if target in names]
