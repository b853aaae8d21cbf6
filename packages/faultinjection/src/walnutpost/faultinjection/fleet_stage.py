"""The processes of a fleet's trial, the relays between them, and an observer who asks them themselves."""

from __future__ import annotations

import json
import re
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from walnutpost.agent.child_process import processes_of
from walnutpost.config import Config
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import ReplicaStatus
from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.faultinjection.facts import SUFFIX, facts_of, write_facts
from walnutpost.faultinjection.fleet_script import FleetScript
from walnutpost.faultinjection.mesh import Mesh
from walnutpost.fleet import DisruptionBudget, Fleet, FleetState, SetBudgets
from walnutpost.http import Connection, HttpMessageError

SECOND = 1_000_000
START_PATIENCE = 60 * SECOND
OPERATOR_TIMEOUT_S = 60  # of one `walnutpost fleet`, which gives up sooner by itself
LOOK_EVERY, ASK_WITHIN = 30_000, 1_000_000
MAX_LOG_TAIL_BYTES = 2_000  # of an ended process, in the reason of a wait that ended in vain
ADDRESS = re.compile(r"address\W+([\d.]+):(\d+)")
Address = tuple[str, int]
T = TypeVar("T")


class StageError(Exception):
    """A wait that ended in vain: a process that did not start, or an answer that nobody gave."""


def wait_until(
    loop: Loop,
    condition: Callable[[], object],
    what: str,
    folder: Path,
    patience: int = START_PATIENCE,
    reason: Callable[[], str] = str,
) -> None:
    """Raises StageError, which names the folder with the logs and the `reason`, after `patience`
    microseconds."""
    end = loop.now() + patience
    while not condition():
        if loop.now() > end:
            why = reason()
            raise StageError(f"waited in vain for {what}{': ' if why else ''}{why}; see {folder}")
        loop.sleep(LOOK_EVERY)


def confirmed(
    loop: Loop,
    ask: Callable[[], T],
    folder: Path,
    ended: Callable[[], str] = str,
    patience: int = START_PATIENCE,
) -> T:
    """The answer of a quorum, which may be lost for a while: `ask` raises ControlPlaneUnavailableError
    until then. Raises StageError with the last of them and the processes that `ended` names."""
    answers: list[T] = []
    last = ""

    def answered() -> bool:
        nonlocal last
        try:
            answers.append(ask())
        except ControlPlaneUnavailableError as error:
            last = str(error)
        return bool(answers)

    def reason() -> str:
        return "; ".join(filter(None, [last, ended()]))

    wait_until(loop, answered, "a quorum's answer", folder, patience, reason)
    return answers[0]


def ended_processes(
    processes: Mapping[str, subprocess.Popen[bytes]], log_of: Callable[[str], Path] | None = None
) -> str:
    """Names the processes that have ended though they should run, each with its exit code and the end of its
    log, since the folder of a run that failed elsewhere is often gone."""
    ended = []
    for name, process in processes.items():
        code = process.poll()
        if code is None:
            continue
        tail = _log_tail(log_of(name)) if log_of is not None else ""
        ended.append(f"{name} ended with {code}{f' ({tail})' if tail else ''}")
    return ", ".join(ended)


def _log_tail(log: Path) -> str:
    try:
        return log.read_bytes()[-MAX_LOG_TAIL_BYTES:].decode(errors="replace").strip()
    except OSError:
        return ""


@dataclass(slots=True)
class Gone:
    """A time in which a member was seen down: at `first` and at `last`, microseconds. `hit`: the script had
    done something to it, so that nobody had to agree."""

    member: str
    first: int
    last: int
    hit: bool


@dataclass
class FleetStage:
    loop: Loop
    config: Config
    script: FleetScript
    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    gone: list[Gone] = field(default_factory=list)
    hit: set[str] = field(default_factory=set)
    failures: list[str] = field(default_factory=list)
    watching: bool = False
    mesh: Mesh = field(init=False)
    _open: dict[str, Gone] = field(default_factory=dict)
    _up: dict[str, Address] = field(default_factory=dict)

    def __post_init__(self) -> None:
        fleet = self.config.fleet
        assert fleet is not None
        self.keepers = tuple(f"k{n + 1}" for n in range(self.script.keepers))
        self.fronts = tuple(f"f{n}" for n in range(self.script.front_ends))
        self.workers = tuple(w.name for w in fleet.workers)
        self.members = (*self.fronts, *self.workers)
        self.mesh = Mesh(self.loop, (*self.keepers, *self.members), self.where)
        self.zone = {m: self.script.zones[n % len(self.script.zones)] for n, m in enumerate(self.fronts)}
        self.zone |= {m: self.script.zones[n % len(self.script.zones)] for n, m in enumerate(self.workers)}

    # Starting

    def start(self) -> None:
        """Keepers that agree on the budgets, then all members; raises StageError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        write_facts(self.folder, facts_of(self.config))
        self._write("site", self.config.model_dump(mode="json", by_alias=True))
        self.spawn("store", "store", str(self.folder / "site"))
        self.until(lambda: self._said("store", '"listening"'), "the store")
        for name in self.keepers:
            self.start_keeper(name, "--found")
        self.until(lambda: all(map(self.where, self.keepers)), "keepers")
        told = tuple(
            DisruptionBudget(b.kind, b.zone, b.max_unavailable, b.max_unavailable_ratio)
            for b in self.script.budgets
        )
        self.client(START_PATIENCE).command("budgets", SetBudgets(told))
        for name in self.members:
            self.start_agent(name)
        self.until(lambda: len(self.state().members) == len(self.members), "members")
        self.until(lambda: self.look() == set(), "all to be up")
        self.watching = True

    def _write(self, name: str, told: dict[str, Any]) -> str:
        (self.folder / name).write_text(json.dumps(told))
        return str(self.folder / name)

    def spawn(self, name: str, *arguments: str) -> None:
        self.starts[name] = self.starts.get(name, 0) + 1
        with self._log(name).open("wb") as out:
            command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", *arguments]
            self.processes[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def _said(self, name: str, text: str) -> str:
        """The first line of its present life with this text."""
        with suppress(OSError):
            return next((line for line in self._log(name).read_text().splitlines() if text in line), "")
        return ""

    def _file(self, name: str) -> dict[str, Any]:
        """Its configuration: each other process stands at the relay that leads there."""
        script = self.script
        at = {k: self.mesh.address(name, k) for k in self.keepers if k != name}
        lines: list[dict[str, Any]] = [
            {"name": k, "address": "{}:{}".format(*at.get(k, ("127.0.0.1", 1)))} for k in self.keepers
        ]
        for line in lines:
            if line["name"] == name:
                line["listen"] = "127.0.0.1:0"
        return {
            "keepers": lines,
            "judge": script.judge.model_dump(mode="json"),
            "election_ms": script.election_ms,
            "heartbeat_ms": script.heartbeat_ms,
            "lease_ms": script.lease_ms,
            "begin_within_ms": script.begin_within_ms,
        }

    def start_keeper(self, name: str, *options: str) -> None:
        self.spawn(
            name, "control-plane", self._write(f"{name}.json", self._file(name)), "--name", name, *options
        )

    def start_agent(self, name: str) -> None:
        base = [sys.executable, "-m", "walnutpost.cli", "--log", "json"]
        capture = ["--capture", str(self.folder / (name + SUFFIX))]
        store = ADDRESS.search(self._said("store", '"listening"'))
        assert store is not None
        if name in self.fronts:
            line = {"follows": True, "kind": "front_end"}
            command = [*base, "serve", "{config}", "--own", self._own(name), *capture]
        else:
            line = {"kind": "worker"}
            command = [*base, "worker", "{config}", "--name", name, "--cold", *capture]
            command += ["--store", f"{store[1]}:{store[2]}"]
        line |= {"member": name, "zone": self.zone[name], "command": command, "first": "site"}
        line |= {"ready": '"listening"'}
        config = self._write(f"{name}.json", self._file(name) | {"agents": [line]})
        self.spawn(name, "agent", config, "--member", name)

    def _own(self, name: str) -> str:
        index = self.fronts.index(name)
        front = {
            "listen": "127.0.0.1:0",
            "index": index,
            "front_ends": len(self.fronts),
            "seed": self.script.seed * 1000 + index,
            "store": f"{name}.db",
            "workers": [],
        }
        keepers = {k: "{}:{}".format(*self.mesh.address(name, k)) for k in self.keepers}
        agreement = {"keepers": keepers, "member": name, "report_ms": self.script.report_ms}
        return self._write(f"{name}.own", {"front": front, "agreement": agreement})

    # Asking

    def where(self, name: str) -> Address | None:
        """Where a keeper listens now."""
        found = (
            ADDRESS.search(self._said(name, '"event": "control_plane_listening"'))
            if name in self.processes
            else None
        )
        return None if found is None else (found[1], int(found[2]))

    def client(self, patience: int) -> ControlPlaneClient:
        """Beside the relays."""
        known = {n: w for n in self.keepers if (w := self.where(n)) is not None}
        return ControlPlaneClient(self.loop, known, patience, patience // 2)

    def state(self) -> FleetState:
        """What a quorum confirms; waits until one does. Raises StageError."""
        return self._confirmed()[1].state

    def glance(self) -> FleetState | None:
        """What any keeper holds; the newest of those that answer."""
        found: list[FleetState] = []
        client = self.client(SECOND)
        for name in client.replicas:
            with suppress(ControlPlaneUnavailableError):
                found.append(Fleet.restore(client.local_status(name).state).state)
        return max(found, key=lambda state: state.index, default=None)

    def leader(self) -> str:
        """Waits until there is one. Raises StageError."""
        return self._confirmed()[0].replica

    def _confirmed(self) -> tuple[ReplicaStatus, Fleet]:
        return confirmed(self.loop, lambda: self.client(5 * SECOND).state(), self.folder, self._ended)

    def _ended(self) -> str:
        return ended_processes(self.processes, self._log)

    def operator(self, *words: str) -> str:
        """What `walnutpost fleet` prints, by a configuration beside the relays."""
        lines = [
            {"name": k, "address": "{}:{}".format(*w)}
            for k in self.keepers
            if (w := self.where(k)) is not None
        ]
        config = self._write("operator.json", {"keepers": lines})
        run = [sys.executable, "-m", "walnutpost.cli", "fleet", words[0], config, *words[1:]]
        try:
            done = self.loop.run_blocking(
                lambda: subprocess.run(run, capture_output=True, text=True, timeout=OPERATOR_TIMEOUT_S)
            )
        except subprocess.TimeoutExpired as error:
            raise StageError(f"waited in vain for {error}; see {self.folder}") from error
        if done.returncode:
            self.failures.append(f"fleet {' '.join(words)}: {done.stderr.strip()}")
        return done.stdout

    def until(self, condition: Callable[[], object], what: str, patience: int = START_PATIENCE) -> None:
        wait_until(self.loop, condition, what, self.folder, patience, self._ended)

    # The observer

    def front_at(self, name: str) -> Address | None:
        return self._up.get(name)

    def look(self) -> set[str]:
        """Asks each member's process itself, all at once; who does not serve."""
        down: set[str] = set()

        def ask(name: str) -> None:
            at = self.loop.now()
            if self._answers(name):
                self._open.pop(name, None)
                return
            down.add(name)
            if name not in self._open:
                self._open[name] = Gone(name, self.loop.now(), at, False)
                if self.watching:
                    self.gone.append(self._open[name])
            gone = self._open[name]
            gone.last, gone.hit = at, gone.hit or name in self.hit

        with TaskGroup(self.loop) as group:
            for name in self.members:
                group.spawn(ask, name)
        return down

    def _answers(self, name: str) -> bool:
        output = self.folder / "agents" / f"{name}.out"
        try:
            found = ADDRESS.search(output.read_text())
            if found is None:
                raise ConnectionRefusedError("it does not listen yet")
            address = found[1], int(found[2])
            target = "/v2/health/ready" if name in self.workers else "/"
            with self.loop.timeout(ASK_WITHIN):
                connection = Connection.open(self.loop, address)
                try:
                    answered = connection.request("GET", target).status
                finally:
                    connection.close()
        except (OSError, WaitTimeoutError, HttpMessageError):
            self._up.pop(name, None)
            return False
        self._up[name] = address
        return answered != 503

    def watch(self) -> None:
        """Until cancelled."""
        while True:
            self.look()
            self.loop.sleep(LOOK_EVERY)

    # What goes wrong

    def touch(self, name: str) -> None:
        """Whatever happens to a member until it is up again is the script's doing."""
        self.hit.add(name)

    def clear(self, name: str) -> None:
        """Once it is up again: what happens to it then is its own doing."""
        self.until(lambda: name not in self._open, f"{name} to be back")
        self.hit.discard(name)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def back(self, name: str) -> None:
        if name in self.keepers:
            self.start_keeper(name)
        else:
            self.start_agent(name)

    def child(self, name: str) -> int | None:
        with suppress(OSError, ValueError, IndexError):
            known = json.loads((self.folder / "agents" / f"{name}.json").read_text())
            return processes_of(known["agent"])[0]
        return None

    def second_agent(self, name: str) -> str:
        """Another agent under the name of one that runs, from a folder of its own on another machine."""
        second = f"{name}.second"
        told = json.loads((self.folder / f"{name}.json").read_text())
        folder = self.folder / second
        folder.mkdir()
        (folder / "site").write_text((self.folder / "site").read_text())
        (folder / f"{name}.own").write_text((self.folder / f"{name}.own").read_text())
        command = [part.replace(str(self.folder), str(folder)) for part in told["agents"][0]["command"]]
        at = command.index("--capture")
        told["agents"][0]["command"] = command[:at]
        (folder / f"{name}.json").write_text(json.dumps(told))
        self.spawn(second, "agent", str(folder / f"{name}.json"), "--member", name)
        return second

    def end_second(self, name: str) -> None:
        process = self.processes.pop(name)
        process.terminate()
        self.until(lambda: process.poll() is not None, f"{name} to end")

    def lose_disk(self, name: str) -> None:
        self.kill(name)
        for path in (self.folder / "keepers").glob(f"{name}.db*"):
            path.unlink()

    def stop(self) -> None:
        """Agents first: they take their processes with them."""
        for name in sorted(self.processes, key=lambda n: n in (*self.keepers, "store")):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for name, process in self.processes.items():
            try:
                process.wait(timeout=30)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                self.failures.append(f"{name} did not end when asked")
        shutil.rmtree(self.folder / "keepers", ignore_errors=True)
