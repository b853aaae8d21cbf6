"""Replicas on real files whose disks fail by script, in one process, and what must hold of them."""

from __future__ import annotations

import shutil
import sqlite3
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from enum import Enum
from pathlib import Path
from random import Random
from typing import Any

from walnutpost.consensus import Effect, PersistentState, Send, Timing, VoteRequest, VoteResponse
from walnutpost.controlplane import Keeper, KeeperClient, KeeperError, NoAnswer
from walnutpost.eventloop import Loop, Task
from walnutpost.fleet import FRONT_END, Fleet, RegisterMember
from walnutpost.http import Connection, Response
from walnutpost.store import StoreError
from walnutpost.store.replica import ReplicaStore
from watch_rig import Log

SECOND = 1_000_000
NAMES = ("k1", "k2", "k3")
TIMING = Timing(election_timeout_us=400_000, heartbeat_interval_us=50_000)
LOG_MOST = 30  # entries: snapshots are taken within a test


class Fault(Enum):
    """What the file shows, once it is opened again, of a commit that failed."""

    REFUSED = "nothing of it"
    TORN = "a part of its pages"
    UNSYNCED = "all of it, though none of it is on the disk"


def io_error(what: str) -> sqlite3.OperationalError:
    error = sqlite3.OperationalError(f"disk I/O error: {what}")
    error.sqlite_errorcode = sqlite3.SQLITE_IOERR_FSYNC
    return error


class Disk:
    """One replica's disk, over all openings of its file. `commit_fault(number)`: how the commit of this
    number fails; `reopen_fails`: how many further openings and checkpoints fail."""

    def __init__(self, seed: int = 0) -> None:
        self.commit_fault: Callable[[int], Fault | None] = lambda _: None
        self.reopen_fails = 0
        self.reopen_blocked = False
        self.before_reopen: Callable[[Path], None] = lambda _: None
        self.commits = self.failures = self.reopenings = 0
        self.read_back: list[
            tuple[PersistentState, PersistentState | None]
        ] = []  # what was loaded; what the main file alone holds
        self._random = Random(seed)
        self._image: tuple[bytes, bytes] | None = None

    def fail_span(self, fault: Fault, commits: int, reopenings: int = 0) -> None:
        """The next commits fail, and then as many openings."""
        first = self.commits
        self.commit_fault = lambda number: fault if first < number <= first + commits else None
        self.reopen_fails = reopenings

    def heal(self) -> None:
        self.commit_fault, self.reopen_fails, self.reopen_blocked = lambda _: None, 0, False

    def check(self, what: str) -> None:
        if self.reopen_blocked or self.reopen_fails > 0:
            self.reopen_fails -= 1
            error = io_error(what)
            raise StoreError(str(error)) from error

    def save(self, path: Path, kept: int, fault: Fault) -> None:
        """The image that the next opening finds. `kept`: bytes of the log before the commit that failed."""
        self.failures += 1
        wal = _wal(path).read_bytes() if _wal(path).exists() else b""
        size = kept if fault is Fault.REFUSED else len(wal)
        if fault is Fault.TORN and len(wal) > kept:
            size = self._random.randrange(kept, len(wal))
        self._image = path.read_bytes(), wal[:size]

    def restore(self, path: Path) -> None:
        if self._image is None:
            return
        (data, wal), self._image = self._image, None
        for side in (_wal(path), Path(f"{path}-shm")):
            side.unlink(missing_ok=True)
        path.write_bytes(data)
        if wal:
            _wal(path).write_bytes(wal)


def _wal(path: Path) -> Path:
    return Path(f"{path}-wal")


class FaultyStore(ReplicaStore):
    def __init__(self, disk: Disk, loop: Loop, path: Path, past_most: int) -> None:
        self._disk = disk
        disk.reopenings += 1
        disk.restore(path)
        disk.before_reopen(path)
        disk.check("open")
        super().__init__(loop, path, past_most)

    def _commit(self, batch: Any) -> None:
        self._disk.commits += 1
        fault = self._disk.commit_fault(self._disk.commits)
        if fault is None:
            super()._commit(batch)
            return
        kept = _wal(self._path).stat().st_size if _wal(self._path).exists() else 0
        if fault is not Fault.REFUSED:
            super()._commit(batch)
        self._disk.save(self._path, kept, fault)
        raise io_error("commit")

    def prove_durable(self) -> None:
        self._disk.check("sync")
        super().prove_durable()

    def load(self) -> tuple[str, PersistentState] | None:
        found = super().load()
        if found is not None and self._disk.reopenings > 1:
            self._disk.read_back.append((found[1], _main_file_alone(self._loop, self._path)))
        return found


def _main_file_alone(loop: Loop, path: Path) -> PersistentState | None:
    """What is left where all of the log is lost, which no sync has proven."""
    copy = path.with_suffix(".copy")
    shutil.copyfile(path, copy)
    store = ReplicaStore(loop, copy)
    try:
        known = store.load()
        return None if known is None else known[1]
    finally:
        store.close()
        for side in (copy, _wal(copy), Path(f"{copy}-shm")):
            side.unlink(missing_ok=True)


class ObservedKeeper(Keeper):
    """Its votes, as they leave: for whom, by term."""

    votes: dict[int, set[str]]

    def _carry_out(self, effect: Effect) -> None:
        if not hasattr(self, "votes"):
            self.votes = {}
        match effect:
            case Send(to, VoteResponse(term, _, True, False)):
                self.votes.setdefault(term, set()).add(to)
            case Send(_, VoteRequest(term, sender, _, _, False)):
                self.votes.setdefault(term, set()).add(sender)
        super()._carry_out(effect)


class Cluster:
    """Three replicas. What no run may break is looked at by `check`."""

    def __init__(self, loop: Loop, folder: Path, seed: int = 0) -> None:
        self.loop, self.folder = loop, folder
        self.disks = {name: Disk(seed + number) for number, name in enumerate(NAMES)}
        self.logs = {name: Log() for name in NAMES}
        self.lost: dict[str, KeeperError] = {}
        self.keepers: dict[str, ObservedKeeper] = {}
        self.acknowledged: list[str] = []
        for number, name in enumerate(NAMES):
            self.keepers[name] = self._start(name, seed + number)
        self.addresses = {name: keeper.address for name, keeper in self.keepers.items()}

    def _start(self, name: str, seed: int) -> ObservedKeeper:
        def open_store(loop: Loop, path: Path, past_most: int) -> ReplicaStore:
            return FaultyStore(self.disks[name], loop, path, past_most)

        return ObservedKeeper(
            self.loop,
            name,
            {n: lambda n=n: self.addresses[n] for n in NAMES},  # type: ignore[misc]
            ("127.0.0.1", 0),
            self.folder,
            TIMING,
            60 * SECOND,
            self.logs[name],
            seed,
            found=True,
            log_most=LOG_MOST,
            failed=lambda error: self.lost.__setitem__(name, error),
            open_store=open_store,
        )

    def client(self, *names: str, patience: int = 30 * SECOND) -> KeeperClient:
        known = {name: self.addresses[name] for name in names or NAMES}
        return KeeperClient(self.loop, known, patience, 2 * SECOND)

    def enter(self, member: str) -> None:
        """A command that is asked until it is acknowledged."""
        assert self.client().command(member, RegisterMember(member, FRONT_END, "a", "1")).ok
        self.acknowledged.append(member)

    def enter_all(self, members: Iterable[str]) -> Task[None]:
        """The same one after another, in a task of its own."""

        def enter_each() -> None:
            for member in members:
                self.enter(member)

        return self.loop.spawn(enter_each)

    def post(self, name: str, target: str, body: bytes) -> Response:
        """One question to one replica, which nobody repeats elsewhere."""
        connection = Connection.open(self.loop, self.addresses[name])
        try:
            return connection.ask("POST", target, {"Content-Type": "application/msgpack"}, body)
        finally:
            connection.close()

    def until(self, condition: Callable[[], object]) -> None:
        end = self.loop.now() + 60 * SECOND
        while not condition():
            assert self.loop.now() < end, "it never came to that"
            self.loop.sleep(10_000)

    def leader(self) -> str:
        return self.client().state()[0].keeper

    def recoveries(self, name: str) -> int:
        return len(self.logs[name].fields("disk_recovered"))

    def in_service(self, names: Sequence[str] = NAMES) -> bool:
        return not any(self.keepers[name]._disk.reason for name in names)

    def check(self, names: Sequence[str] = NAMES) -> None:
        """Call it once the faults are over: all that was acknowledged is on each, and nobody led or voted
        where another did."""
        self.enter("last")
        newest = self.client().state()[0].index
        self.until(lambda: all(self._here(name) >= newest for name in names))
        for name in names:
            members = Fleet.restore(self.client().here(name).state).state.members
            assert set(self.acknowledged) <= set(members), f"{name} lacks what was acknowledged"
        leaders: dict[int, set[str]] = {}
        for name, log in self.logs.items():
            for fields in log.fields("role"):
                if fields["role"] == "leader":
                    leaders.setdefault(fields["term"], set()).add(name)
        assert all(len(names) == 1 for names in leaders.values()), "two leaders in a term"
        for keeper in self.keepers.values():
            assert all(len(voted) == 1 for voted in keeper.votes.values()), "two votes in a term"
        for disk in self.disks.values():
            for acted_on, proven in disk.read_back:
                assert acted_on == proven, "it acts on what no sync has proven"

    def _here(self, name: str) -> int:
        with suppress(NoAnswer):
            return self.client().here(name).index
        return -1

    def end(self) -> None:
        for keeper in self.keepers.values():
            keeper.stop()


def play(folder: Path, script: Callable[[Cluster], None], seed: int = 0) -> None:
    errors: list[str] = []
    loop = Loop(on_error=lambda name, error: errors.append(f"{name}: {error!r}"))
    clusters: list[Cluster] = []

    def body() -> None:
        clusters.append(Cluster(loop, folder, seed))
        script(clusters[0])
        clusters[0].end()

    try:
        loop.run(body)
    finally:
        for cluster in clusters:
            for keeper in cluster.keepers.values():
                keeper.close()
    assert not errors, errors
