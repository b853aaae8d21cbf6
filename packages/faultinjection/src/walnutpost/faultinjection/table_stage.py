"""The processes of a trial of the agreed table, the ways between them, and an observer beside those ways."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, TypeVar

from walnutpost.config import Config, parse
from walnutpost.config.entries import encode_site
from walnutpost.configstore import (
    ApplyOutcome,
    ConfigStore,
    InvalidSnapshotError,
    Mutation,
    PropagationStatus,
    WatchState,
)
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.consensus import Members
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import replica_name
from walnutpost.eventloop import Loop, Task
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.faultinjection.fleet_stage import (
    ADDRESS,
    START_PATIENCE,
    Address,
    StageError,
    confirmed,
    ended_processes,
    wait_until,
)
from walnutpost.faultinjection.hollow import TWINS, NoLog
from walnutpost.faultinjection.mesh import Mesh
from walnutpost.fleet import Fleet
from walnutpost.watch import Watcher

SECOND = 1_000_000
LOOK_EVERY = 20_000
REPLICA = re.compile(r'"replica": "([^"]+)"')
STATUS_EVERY = 150_000
KEEPERS, RELAYS, FRONTS, HOLLOW = ("k1", "k2", "k3"), ("r1", "r2", "r3"), ("f1", "f2", "f3"), ("h1", "h2")
REGIONS = {"one": ("k1", "r1", "f1", "h1"), "two": ("k2", "r2", "f2", "h2"), "three": ("k3", "r3", "f3")}
TIMES = {"election_ms": 600, "heartbeat_ms": 100, "lease_ms": 60_000}
CLASS = {"effect": "safe", "aim_ms": 5_000, "deadline_ms": 20_000}
T = TypeVar("T")
FUNCTIONS = ("twin-a", "twin-b", "steady")


def site(padding: int) -> dict[str, Any]:
    """`padding`: further functions that nobody calls, so that a whole state has several pages."""
    line = {"class": "plain", "memory_mb": 64, "lanes": 4, "load_ms": 20}
    names = [*FUNCTIONS, *(f"padding-{n:05d}-{'x' * 100}" for n in range(padding))]
    return {"classes": {"plain": CLASS}, "functions": dict.fromkeys(names, line), "keep_alive_ms": 600_000}


def twin_ops(lanes: int) -> tuple[Mutation, ...]:
    """The change that all days are made of: both twins get the same settings at once."""
    value = json.dumps({"class": "plain", "lanes": lanes, "load_ms": 20.0, "memory_mb": 64.0}, sort_keys=True)
    return tuple(Mutation(key, value.replace(" ", "").encode()) for key in TWINS)


@dataclass(slots=True)
class Acts:
    """What one process of a member has written that it acts on, oldest first. `digests` where it tells
    them."""

    revisions: list[int] = field(default_factory=list)
    digests: list[int | None] = field(default_factory=list)
    torn: int = 0  # times that it acted on a part of a change set


@dataclass
class TableStage:
    loop: Loop
    folder: Path
    hollow: int = 40
    padding: int = 0
    faults: dict[str, str] = field(default_factory=dict)  # rules that hollow members break on purpose
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    acts: dict[tuple[str, str], Acts] = field(default_factory=dict)
    digests: dict[int, int] = field(default_factory=dict)  # by revision, as the observer holds it
    broken: list[str] = field(default_factory=list)
    claims: int = 0  # words on what is in force that were held against the members' own
    figures: dict[str, list[dict[str, int]]] = field(default_factory=dict)
    _read: dict[Path, int] = field(default_factory=dict)
    _tasks: list[Task[Any]] = field(default_factory=list)
    _changes: int = 0

    def __post_init__(self) -> None:
        names = (*KEEPERS, *RELAYS, *FRONTS, *HOLLOW)
        self.region = {name: region for region, held in REGIONS.items() for name in held}
        self.mesh = Mesh(self.loop, names, self.where)
        self.observer = WatchState("", "observer", self.loop.now())

    # Starting

    def start(self) -> None:
        """All processes, and settings that all act on; raises StageError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for name in KEEPERS:
            self.start_one(name, "--found")
        self.until(lambda: all(map(self.where, KEEPERS)), "keepers")
        self.seed()
        self._tasks.append(self.loop.spawn(self._observe().run, name="observer"))
        for name in RELAYS:
            self.start_one(name)
        self.until(lambda: all(map(self.where, RELAYS)), "relays")
        self._workers()
        for name in (*FRONTS, *HOLLOW):
            self.start_one(name)
        self.until(lambda: all(map(self.where, FRONTS)), "front ends")
        self.until(self.all_agreed, "all members to be agreed on")
        self.settled()
        self._tasks.append(self.loop.spawn(self._look_on, name="look on"))

    def seed(self) -> None:
        checked = self._config("f1")
        ops = [Mutation(key, value) for key, value in encode_site(checked.site).items()]
        first = [op for op in ops if not op.key.startswith("function/padding")]
        self.change(tuple(first))
        rest = [op for op in ops if op.key.startswith("function/padding")]
        for at in range(0, len(rest), 400):
            self.change(tuple(rest[at : at + 400]))

    def _workers(self) -> None:
        config = self._config("f1")
        assert config.fleet is not None
        store = local_store(self.loop, config)
        servers = [start_worker(self.loop, config, line, store) for line in config.fleet.workers]
        lines = [
            {"name": line.name, "address": "{}:{}".format(*server.address)}
            for line, server in zip(config.fleet.workers, servers, strict=True)
        ]
        (self.folder / "workers.json").write_text(json.dumps({"version": 1, "workers": lines}))

    def _config(self, name: str) -> Config:
        return parse(json.dumps(self._front(name)), name, Config)

    def _front(self, name: str) -> dict[str, Any]:
        front = {"listen": "127.0.0.1:0", "index": FRONTS.index(name), "front_ends": len(FRONTS)}
        front |= {"store": f"{name}.db", "workers_file": "workers.json"}
        work = {function: {"work_ms": 2, "load_ms": 20} for function in FUNCTIONS}
        workers = [{"name": f"w{n}", "cores": 8, "memory_mb": 4096} for n in range(2)]
        told = {"site": site(self.padding), "front": front, "fleet": {"work": work, "workers": workers}}
        return told | {"agreement": {"member": name, "relays": self._relays(name)}}

    def _relays(self, name: str) -> dict[str, str]:
        """Where this process reaches each relay: at the way that leads there."""
        return {r: "{}:{}".format(*self.mesh.address(name, r)) for r in RELAYS}

    def _keepers_file(self, name: str) -> dict[str, Any]:
        def at(other: str) -> str:
            return "127.0.0.1:1" if other == name else "{}:{}".format(*self.mesh.address(name, other))

        told: dict[str, Any] = {
            "keepers": [{"name": k, "address": at(k)} for k in KEEPERS],
            "relays": [{"name": r, "address": at(r)} for r in RELAYS],
        }
        for line in (*told["keepers"], *told["relays"]):
            if line["name"] == name:
                line["listen"] = "127.0.0.1:0"
        return told | TIMES

    def start_one(self, name: str, *options: str) -> None:
        self.starts[name] = self.starts.get(name, 0) + 1
        path = self.folder / f"{name}.json"
        cli = ["walnutpost.cli", "--log", "json"]
        if name in KEEPERS or name in RELAYS:
            path.write_text(json.dumps(self._keepers_file(name)))
            kind = "control-plane" if name in KEEPERS else "relay"
            command = [*cli, kind, str(path), "--name", name, *options]
        elif name in FRONTS:
            path.write_text(json.dumps(self._front(name)))
            command = [*cli, "serve", str(path)]
        else:
            members = [f"{name}-{n}" for n in range(self.hollow // len(HOLLOW))]
            relays = self._relays(name)
            path.write_text(json.dumps({"members": members, "relays": relays, "faults": self.faults}))
            command = ["walnutpost.faultinjection.hollow", str(path)]
        with self._log(name).open("wb") as out:
            run = [sys.executable, "-m", *command]
            self.processes[name] = subprocess.Popen(run, stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def where(self, name: str) -> Address | None:
        """Where a process listens now."""
        if name not in self.processes:
            return None
        word = '"control_plane_listening"' if name in KEEPERS else '"listening"'
        with suppress(OSError):
            for line in self._log(name).read_text().splitlines():
                found = ADDRESS.search(line) if f'"event": {word}' in line else None
                if found is not None:
                    return found[1], int(found[2])
        return None

    def up(self, name: str) -> bool:
        """Whether a process that was started has said that it is there."""
        if name not in HOLLOW:
            return self.where(name) is not None
        with suppress(OSError):
            return '"listening"' in self._log(name).read_text()
        return False

    def until(self, condition: Callable[[], object], what: str, patience: int = START_PATIENCE) -> None:
        wait_until(self.loop, condition, what, self.folder, patience, self._ended)

    # Asking, beside the ways that fail

    def client(self, patience: int) -> ControlPlaneClient:
        known = {n: w for n in KEEPERS if (w := self.where(n)) is not None}
        return ControlPlaneClient(self.loop, known, patience, max(patience // 3, 300_000))

    def change(self, ops: tuple[Mutation, ...]) -> int:
        """Asks until it is agreed on, always under one id; its revision. Raises StageError."""
        self._changes += 1
        id = f"change-{self._changes}"
        answer, errors = self._confirmed(lambda client: client.submit_change_set(id, ops))
        if errors or not answer.ok:
            raise StageError(f"{id}: {errors or answer.error}")
        return answer.index

    def questions(self) -> tuple[int, int, int]:
        """Of all hollow members of the present processes: how many there are, their questions so far, and the
        time of the count, in microseconds."""
        self.read()
        last = [self.figures[self._log(name).name][-1] for name in HOLLOW]
        count = self.hollow // len(HOLLOW) * len(HOLLOW)
        return count, sum(told["questions"] for told in last), last[0]["at"]

    def status(self) -> PropagationStatus:
        return self._confirmed(lambda client: client.status())

    def leader(self) -> str:
        return self._confirmed(lambda client: client.state())[0].replica

    def agreed(self) -> dict[str, str]:
        """Those who follow the table, by name, as a quorum confirms it."""
        return dict(self._confirmed(lambda client: client.state())[1].state.followers)

    def _confirmed(self, ask: Callable[[ControlPlaneClient], T]) -> T:
        """What a quorum says, which may be lost for a while. Raises StageError with its reason."""
        return confirmed(self.loop, lambda: ask(self.client(3 * SECOND)), self.folder, self._ended)

    def _ended(self) -> str:
        return ended_processes(self.processes, self._log)

    def all_agreed(self) -> bool:
        self.read()
        return len(self.agreed()) == len(FRONTS) + self.hollow

    def settled(self, revision: int = 0) -> int:
        """Waits until what is agreed on now, or `revision`, is told to be in force everywhere; how long that
        took, in microseconds."""
        began = self.loop.now()
        revision = revision or self.status().revision
        self.until(
            lambda: self.status().min_applied_revision >= revision, f"revision {revision} to be in force"
        )
        return self.loop.now() - began

    # The observer

    def _observe(self) -> Watcher:
        def taken(taken: ApplyOutcome) -> None:
            table = self.observer.store
            self.digests |= {change.revision: change.digest for change in taken.changes}
            self.digests[table.revision] = table.digest
            self.observer.mark_applied(table.revision)

        def at(name: str) -> Callable[[], Address]:
            def where() -> Address:
                found = self.where(name)
                if found is None:
                    raise ConnectionRefusedError(f"{name} is down")
                return found

            return where

        servers = {name: at(name) for name in KEEPERS}
        choice = RelaySelector("observer", dict.fromkeys(KEEPERS, ""), "", Random(1))
        return Watcher(self.loop, servers, self.observer, choice, taken, NoLog(), 500_000, 50_000_000)

    def read(self) -> None:
        """What members have written since the last look, each held against what was agreed on."""
        for path in sorted(self.folder.glob("[fh]*.log")):
            with path.open("rb") as log:
                log.seek(self._read.get(path, 0))
                whole = log.read().rpartition(b"\n")[0]
            if whole:
                self._read[path] = self._read.get(path, 0) + len(whole) + 1
                for line in whole.splitlines():
                    self._line(path, line)

    def _line(self, path: Path, line: bytes) -> None:
        try:
            told = json.loads(line)
        except ValueError:
            self.broken.append(f"{path.name}: {line[:300]!r}")
            return
        if "questions" in told:
            self.figures.setdefault(path.name, []).append(told)
        if told.get("event") == "task_failed":
            self.broken.append(f"{path.name}: {told}")
        if "revision" not in told or told.get("event", "config_applied") != "config_applied":
            return
        member = told.get("member", path.name.split(".")[0])
        acts = self.acts.setdefault((member, told.get("incarnation", path.name)), Acts())
        revision, digest = told["revision"], told.get("digest")
        if acts.revisions and revision <= acts.revisions[-1]:
            self.broken.append(f"{member}: acted on {acts.revisions[-1]}, then on {revision}")
        if not told.get("agree", True):
            self.broken.append(f"{member}: acted on a part of a change set at {revision}")
        acts.revisions.append(revision)
        acts.digests.append(digest)

    def _look_on(self) -> None:
        """Until cancelled: whatever is told to be in force, each agreed member has written that it acts
        on it."""
        while True:
            self.loop.sleep(STATUS_EVERY)
            with suppress(ControlPlaneUnavailableError):
                client = self.client(SECOND)
                agreed = dict(Fleet.restore(client.state()[0].state).state.followers)
                status = client.status()
                self.read()
                self._hold_against(status.min_applied_revision, agreed)

    def _hold_against(self, lowest: int, agreed: dict[str, str]) -> None:
        self.claims += 1
        newest: dict[str, int] = {}
        for (name, incarnation), acts in self.acts.items():
            # A front end's log doesn't name its incarnation: its present process is the last one that wrote.
            if agreed.get(name) == incarnation or name in FRONTS:
                newest[name] = acts.revisions[-1]
        for name in agreed:
            if newest.get(name, 0) < lowest:
                self.broken.append(f"{lowest} told to be in force, {name} acts on {newest.get(name, 0)}")

    # What goes wrong

    def kill(self, name: str) -> None:
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def lose_disk(self, name: str) -> None:
        """A keeper's; it is back as another replica once the others have taken it in."""
        self.kill(name)
        for path in (self.folder / "keepers").glob(f"{name}.db*"):
            path.unlink()

    def take_in(self, name: str) -> None:
        """A keeper whose disk is new votes under another name: one voter less, then one more."""
        found = REPLICA.search(self._log(name).read_text())
        assert found is not None
        voters = tuple(
            v for v in self.client(3 * SECOND).state()[0].members.voters if replica_name(v) != name
        )
        for number, wanted in enumerate((voters, (*voters, found[1]))):
            self.client(START_PATIENCE).change_members(f"{found[1]} {number}", Members(wanted))

    def pause(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.processes[name].send_signal(signal.SIGCONT)

    def cut(self, region: str, says: bool = True, hears: bool = True) -> None:
        """A region's ways to all others: what it says, what it hears, or both are swallowed."""
        for (a, b), way in self.mesh.relays.items():
            if (self.region[a] == region) == (self.region[b] == region):
                continue
            out, back = (way.there, way.back) if self.region[a] == region else (way.back, way.there)
            if says:
                out.hold()
            if hears:
                back.hold()

    def ways(self, *names: str) -> list[Any]:
        """Those to these processes."""
        return [way for (_, b), way in self.mesh.relays.items() if b in names]

    # The end

    def finish(self) -> None:
        """Ends the members, and compares what each holds with what was agreed on."""
        agreed, last = self.observer.store, self.status()
        if (agreed.revision, agreed.digest) != (last.revision, last.digest):
            self.broken.append(f"the observer holds {agreed.revision}, the keepers tell {last.revision}")
        self.read()
        for task in self._tasks:
            task.cancel()
        self._end(*FRONTS, *HOLLOW)
        self.read()
        for (name, incarnation), acts in self.acts.items():
            for revision, digest in zip(acts.revisions, acts.digests, strict=True):
                if digest is not None and revision in self.digests and digest != self.digests[revision]:
                    self.broken.append(f"{name} ({incarnation}): another table at revision {revision}")
        for name in FRONTS:
            try:
                held = ConfigStore.restore((self.folder / f"{name}.db.table").read_bytes())
            except (OSError, InvalidSnapshotError) as error:
                self.broken.append(f"{name}: its table: {error}")
                continue
            if (held.revision, held.digest) != (agreed.revision, agreed.digest):
                self.broken.append(f"{name}: holds {held.revision}, agreed is {agreed.revision}")
            elif dict(held.entries) != dict(agreed.entries):
                self.broken.append(f"{name}: other entries under the same digest")

    def _end(self, *names: str) -> None:
        for name in names:
            if name in self.processes:
                self.processes[name].terminate()
        for name in names:
            process = self.processes.pop(name, None)
            if process is not None:
                self.until(lambda p=process: p.poll() is not None, f"{name} to end")  # type: ignore[misc]

    def stop(self) -> None:
        """Whatever stands; each process by its own id."""
        for process in self.processes.values():
            with suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
