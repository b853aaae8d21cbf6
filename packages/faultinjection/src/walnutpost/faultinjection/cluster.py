"""A cluster under test: a package store, workers, front ends, and the list of workers that these read."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from walnutpost.config import Config, FakeWorkerConfig
from walnutpost.config.fakes import FakeFleetConfig, FakeFunctionConfig
from walnutpost.config.site import FunctionConfig
from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError, replace_file
from walnutpost.faultinjection.call_results import one_off_name
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX
from walnutpost.faultinjection.cluster_process import ClusterProcess
from walnutpost.faultinjection.facts import facts_of, write_facts
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.http import Connection, HttpMessageError

SECOND_US = 1_000_000
COMMAND_TIMEOUT_US = 5 * SECOND_US
LIST_FILE = "workers.json"
STORE = "store"
SEEDS_PER_SCENARIO = 1000
MAX_SHOWN_BYTES = 80


@dataclass(slots=True)
class ListedWorker:
    """A worker's line in the list; `started_at_s` in seconds since the epoch."""

    address: str
    worker: FakeWorkerConfig
    state: str = "ready"
    started_at_s: float = 0.0

    def line(self, name: str) -> dict[str, Any]:
        """Return the line as the list file has it."""
        line = {"name": name, "address": self.address, "state": self.state, "started_at": self.started_at_s}
        placement = (("zone", self.worker.zone), ("kind", self.worker.kind))
        return line | {key: value for key, value in placement if value is not None}


class Cluster:
    """The processes of a scenario. `stop` ends them; whatever goes wrong meanwhile is in `failures`."""

    def __init__(self, loop: Loop, config: Config, scenario: Scenario, folder: Path) -> None:
        self.loop = loop
        self.config = with_one_offs(config, scenario.one_off_functions)
        self.scenario = scenario
        self.folder = folder
        self.processes: dict[str, ClusterProcess] = {}
        self.listed: dict[str, ListedWorker] = {}
        self.failures: list[str] = []
        self.kills_us: dict[str, list[int]] = {}  # when each process was killed
        self._down: set[str] = set()
        self._list_version = 0

    @property
    def fleet(self) -> FakeFleetConfig:
        """The fleet of the configuration."""
        assert self.config.fleet is not None
        return self.config.fleet

    @property
    def front_ends(self) -> list[str]:
        """The names of the front ends."""
        return [front_end_name(index) for index in range(self.scenario.front_ends)]

    @property
    def front_end_addresses(self) -> list[tuple[str, int]]:
        """Where the front ends listen."""
        addresses = []
        for name in self.front_ends:
            host, _, port = self.processes[name].address.rpartition(":")
            addresses.append((host, int(port)))
        return addresses

    # Starting and ending

    def start(self) -> None:
        """Start everything; raises ClusterError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        write_facts(self.folder, facts_of(self.config))
        self._start_process(STORE, ["store", self._write_config("fleet.json", {})])
        self._wait_until_listening(STORE)
        for worker in self.fleet.workers:
            self._start_process(worker.name, self._worker_arguments(worker))
        for worker in self.fleet.workers:
            self._wait_until_listening(worker.name)
            self.listed[worker.name] = ListedWorker(self.processes[worker.name].address, worker)
        self.publish_list()
        for index, name in enumerate(self.front_ends):
            self._start_process(name, self._front_end_arguments(index, "127.0.0.1:0"))
        for name in self.front_ends:
            self._wait_until_listening(name)

    def stop(self) -> None:
        """End all processes, the front ends first: they read the workers' last books."""
        front_ends = set(self.front_ends)
        self._end([process for process in self.processes.values() if process.name in front_ends])
        self._end([process for process in self.processes.values() if process.name not in front_ends])

    def _end(self, processes: Sequence[ClusterProcess]) -> None:
        for process in processes:
            process.terminate()
        for process in processes:
            self.failures += process.wait_for_end()

    def _start_process(self, name: str, arguments: list[str]) -> None:
        process = self.processes.setdefault(name, ClusterProcess(name, self.folder / f"{name}.log"))
        process.start(arguments)

    def _wait_until_listening(self, name: str) -> None:
        self.processes[name].wait_until_listening(self.loop)

    def _worker_arguments(self, worker: FakeWorkerConfig) -> list[str]:
        known = self.processes.get(worker.name)
        listen = known.address if known and known.address else worker.listen
        alone = self.fleet.model_copy(update={"workers": [worker.model_copy(update={"listen": listen})]})
        config = self._write_config(f"{worker.name}.json", {"fleet": alone.model_dump(mode="json")})
        arguments = ["worker", config, "--name", worker.name, "--store", self.processes[STORE].address]
        return [*arguments, "--capture", str(self.folder / (worker.name + CAPTURE_SUFFIX))]

    def _front_end_arguments(self, index: int, listen: str) -> list[str]:
        name = front_end_name(index)
        front = self.config.front.model_dump(mode="json") | {
            "listen": listen,
            "index": index,
            "front_ends": self.scenario.front_ends,
            "seed": self.scenario.seed * SEEDS_PER_SCENARIO + index,
            "store": f"{name}.db",
            "workers": [],
            "workers_file": LIST_FILE,
        }
        sections: dict[str, Any] = {"front": front}
        if self.config.metering is not None:
            metering = self.config.metering.model_copy(update={"file": ledger_name(index)})
            sections["metering"] = metering.model_dump(mode="json")
        config = self._write_config(f"{name}.json", sections)
        return ["serve", config, "--capture", str(self.folder / (name + CAPTURE_SUFFIX))]

    def _write_config(self, file: str, sections: dict[str, Any]) -> str:
        config = self.config.model_dump(mode="json", by_alias=True) | sections
        path = self.folder / file
        path.write_text(json.dumps(config, indent=1))
        return str(path)

    # The list of workers

    def publish_list(self) -> None:
        """Replace the list file as a whole; raises OSError."""
        self._list_version += 1
        lines = [worker.line(name) for name, worker in self.listed.items()]
        content = json.dumps({"version": self._list_version, "workers": lines})
        replace_file(self.folder / LIST_FILE, content.encode())

    def publish_list_later(self) -> None:
        """Replace the list file after the scenario's delay."""
        self.loop.call_later(round(self.scenario.list_delay_s * SECOND_US), self.publish_list)

    # Faults

    def command(self, names: Sequence[str], commands: dict[str, Any]) -> None:
        """Command workers, all at once; one that is down is left out, and will have lost its state."""
        with TaskGroup(self.loop) as group:
            for name in names:
                if name not in self._down:
                    address = self.processes[name].address
                    group.spawn(self._post, address, "/control", json.dumps(commands).encode())

    def slow_store_down(self, factor: float) -> None:
        """Let the package store take `factor` times as long."""
        self._post(self.processes[STORE].address, f"/slow/{factor}", b"")

    def _post(self, address: str, target: str, body: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            with self.loop.timeout(COMMAND_TIMEOUT_US):
                connection = Connection.open(self.loop, (host, int(port)))
                try:
                    if connection.request("POST", target, {}, body).status != 200:
                        self.failures.append(f"{address} refused {target} {body[:MAX_SHOWN_BYTES]!r}")
                finally:
                    connection.close()
        except (OSError, WaitTimeoutError, HttpMessageError) as error:
            self.failures.append(f"{address}{target}: {error}")

    def pause(self, name: str) -> None:
        """Stop a process as it is: connections are accepted, and nothing is answered."""
        self._down.add(name)
        self.processes[name].pause()

    def kill(self, name: str) -> None:
        """Kill a process."""
        self._down.add(name)
        if self.processes[name].kill():
            self.kills_us.setdefault(name, []).append(self.loop.now())

    def restart_worker(self, name: str) -> None:
        """Start a killed worker again, cold and at its address; the list has it later.

        Raises ClusterError.
        """
        listed = self.listed.get(name)
        worker = listed.worker if listed else next(w for w in self.fleet.workers if w.name == name)
        self._start_process(name, [*self._worker_arguments(worker), "--cold"])
        self._wait_until_listening(name)
        self._down.discard(name)
        address = self.processes[name].address
        self.listed[name] = ListedWorker(address, worker, started_at_s=time.time())
        self.publish_list_later()

    def restart_front_end(self, index: int) -> None:
        """Start a killed front end again at its address; raises ClusterError."""
        name = front_end_name(index)
        self._start_process(name, self._front_end_arguments(index, self.processes[name].address))
        self._wait_until_listening(name)


def front_end_name(index: int) -> str:
    """Return the name of the front end with this index."""
    return f"front-{index}"


def ledger_name(index: int) -> str:
    """Return the file of a front end's ledger."""
    return f"{front_end_name(index)}-usage.db"


def with_one_offs(config: Config, count: int) -> Config:
    """Return the configuration with functions that are called once only; each is like the first safe one."""
    if not count:
        return config
    site, fleet = config.site, config.fleet
    assert fleet is not None
    model = next(name for name, f in site.functions.items() if site.classes[f.class_].effect == "safe")
    names = [one_off_name(number) for number in range(count)]
    functions: dict[str, FunctionConfig] = {**site.functions, **dict.fromkeys(names, site.functions[model])}
    work = {**fleet.work, **dict.fromkeys(names, fleet.work.get(model, FakeFunctionConfig()))}
    return config.model_copy(
        update={
            "site": site.model_copy(update={"functions": functions}),
            "fleet": fleet.model_copy(update={"work": work}),
        }
    )
