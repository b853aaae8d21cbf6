"""Replicas in one process on real files with scripted disk faults, and the invariants of the cluster."""

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
from walnutpost.controlplane import (
    ControlPlaneClient,
    ControlPlaneReplica,
    ControlPlaneUnavailableError,
    ReplicaFailedError,
    ReplicaSettings,
)
from walnutpost.eventloop import Loop, Task
from walnutpost.fleet import FRONT_END, Fleet, RegisterMember
from walnutpost.http import Connection, Response
from walnutpost.store import StoreError
from walnutpost.store.replica import ConsensusStore, StoredConsensusState
from walnutpost.testsupport.watch.harness import Log

SECOND = 1_000_000
NAMES = ("k1", "k2", "k3")
TIMING = Timing(election_timeout_us=400_000, heartbeat_interval_us=50_000)
MAX_LOG_ENTRIES = 30  # so few that snapshots are taken within a test


class Fault(Enum):
    """The part of a failed commit that is visible in the file when it is opened again."""

    REFUSED = "nothing of it"
    TORN = "a part of its pages"
    UNSYNCED = "all of it, though none of it is on the disk"


def io_error(operation: str) -> sqlite3.OperationalError:
    """Return the error that SQLite raises for a failed fsync."""
    error = sqlite3.OperationalError(f"disk I/O error: {operation}")
    error.sqlite_errorcode = sqlite3.SQLITE_IOERR_FSYNC
    return error


class Disk:
    """One replica's disk, over all openings of its file.

    `commit_fault(number)`: how the commit of this number fails. `reopen_fails`: how many further openings
    and checkpoints fail. `reopen_blocked`: whether all of them fail.
    """

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
        """Let the next commits fail, and then as many openings as given."""
        first = self.commits
        self.commit_fault = lambda number: fault if first < number <= first + commits else None
        self.reopen_fails = reopenings

    def heal(self) -> None:
        """Stop all faults."""
        self.commit_fault, self.reopen_fails, self.reopen_blocked = lambda _: None, 0, False

    def check(self, operation: str) -> None:
        """Raise StoreError if an opening or checkpoint is to fail now."""
        if self.reopen_blocked or self.reopen_fails > 0:
            self.reopen_fails -= 1
            error = io_error(operation)
            raise StoreError(str(error)) from error

    def save(self, path: Path, former_wal_bytes: int, fault: Fault) -> None:
        """Save the image that the next opening finds; `former_wal_bytes`: size before the commit."""
        self.failures += 1
        wal = _wal(path).read_bytes() if _wal(path).exists() else b""
        size = former_wal_bytes if fault is Fault.REFUSED else len(wal)
        if fault is Fault.TORN and len(wal) > former_wal_bytes:
            size = self._random.randrange(former_wal_bytes, len(wal))
        self._image = path.read_bytes(), wal[:size]

    def restore(self, path: Path) -> None:
        """Put the saved image in place of the file, if there is one."""
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


class FaultyStore(ConsensusStore):
    """A replica's store on a disk with scripted faults."""

    def __init__(self, disk: Disk, loop: Loop, path: Path, max_history_entries: int) -> None:
        self._disk = disk
        disk.reopenings += 1
        disk.restore(path)
        disk.before_reopen(path)
        disk.check("open")
        super().__init__(loop, path, max_history_entries)

    def _commit(self, batch: Any) -> None:
        self._disk.commits += 1
        fault = self._disk.commit_fault(self._disk.commits)
        if fault is None:
            super()._commit(batch)
            return
        former_wal_bytes = _wal(self._path).stat().st_size if _wal(self._path).exists() else 0
        if fault is not Fault.REFUSED:
            super()._commit(batch)
        self._disk.save(self._path, former_wal_bytes, fault)
        raise io_error("commit")

    def make_durable(self) -> None:
        """Sync the log, unless the disk fails."""
        self._disk.check("sync")
        super().make_durable()

    def load(self) -> StoredConsensusState | None:
        """Load the replica's state; after a reopening, record it with what the main file alone holds."""
        stored = super().load()
        if stored is not None and self._disk.reopenings > 1:
            self._disk.read_back.append((stored.state, _main_file_alone(self._loop, self._path)))
        return stored


def _main_file_alone(loop: Loop, path: Path) -> PersistentState | None:
    """Return the state that is left if the whole log is lost, which no sync has proven durable."""
    copy = path.with_suffix(".copy")
    shutil.copyfile(path, copy)
    store = ConsensusStore(loop, copy)
    try:
        stored = store.load()
        return None if stored is None else stored.state
    finally:
        store.close()
        for side in (copy, _wal(copy), Path(f"{copy}-shm")):
            side.unlink(missing_ok=True)


class ObservedReplica(ControlPlaneReplica):
    """A replica that records votes; `votes`: the candidates by term, as votes are sent."""

    votes: dict[int, set[str]]

    def _execute(self, effect: Effect) -> None:
        if not hasattr(self, "votes"):
            self.votes = {}
        match effect:
            case Send(to, VoteResponse(term, _, True, False)):
                self.votes.setdefault(term, set()).add(to)
            case Send(_, VoteRequest(term, sender, _, _, False)):
                self.votes.setdefault(term, set()).add(sender)
        super()._execute(effect)


class Cluster:
    """Three replicas; `check` asserts the invariants."""

    def __init__(self, loop: Loop, folder: Path, seed: int = 0) -> None:
        self.loop, self.folder = loop, folder
        self.disks = {name: Disk(seed + number) for number, name in enumerate(NAMES)}
        self.logs = {name: Log() for name in NAMES}
        self.lost: dict[str, ReplicaFailedError] = {}
        self.replicas: dict[str, ObservedReplica] = {}
        self.acknowledged: list[str] = []
        for number, name in enumerate(NAMES):
            self.replicas[name] = self._start(name, seed + number)
        self.addresses = {name: replica.address for name, replica in self.replicas.items()}

    def _start(self, name: str, seed: int) -> ObservedReplica:
        def open_store(loop: Loop, path: Path, max_history_entries: int) -> ConsensusStore:
            return FaultyStore(self.disks[name], loop, path, max_history_entries)

        return ObservedReplica(
            self.loop,
            ReplicaSettings(
                name=name,
                addresses={n: lambda n=n: self.addresses[n] for n in NAMES},  # type: ignore[misc]
                listen=("127.0.0.1", 0),
                folder=self.folder,
                timing=TIMING,
                lease_us=60 * SECOND,
                is_bootstrap=True,
                max_log_entries=MAX_LOG_ENTRIES,
            ),
            self.logs[name],
            seed,
            on_failed=lambda error: self.lost.__setitem__(name, error),
            open_store=open_store,
        )

    def client(self, *names: str, timeout_us: int = 30 * SECOND) -> ControlPlaneClient:
        """Return a client of these replicas, or of all."""
        known = {name: self.addresses[name] for name in names or NAMES}
        return ControlPlaneClient(self.loop, known, timeout_us, 2 * SECOND)

    def register(self, member: str) -> None:
        """Register a member, and retry until it is acknowledged."""
        assert self.client().command(member, RegisterMember(member, FRONT_END, "a", "1")).ok
        self.acknowledged.append(member)

    def register_all(self, members: Iterable[str]) -> Task[None]:
        """Register members one after another, in a new task."""

        def register_each() -> None:
            for member in members:
                self.register(member)

        return self.loop.spawn(register_each)

    def post(self, name: str, target: str, body: bytes) -> Response:
        """Send one request to one replica, without retries."""
        connection = Connection.open(self.loop, self.addresses[name])
        try:
            return connection.request("POST", target, {"Content-Type": "application/msgpack"}, body)
        finally:
            connection.close()

    def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until the condition is true, at most 60 s."""
        end = self.loop.now() + 60 * SECOND
        while not condition():
            assert self.loop.now() < end, "the condition was never met"
            self.loop.sleep(10_000)

    def leader(self) -> str:
        """Return the leader's name."""
        return self.client().state()[0].replica

    def recoveries(self, name: str) -> int:
        """Return how often the replica has recovered from a disk failure."""
        return len(self.logs[name].fields("disk_recovered"))

    def in_service(self, names: Sequence[str] = NAMES) -> bool:
        """Whether no disk of these replicas is failing."""
        return not any(self.replicas[name]._context.disk.reason for name in names)

    def check(self, names: Sequence[str] = NAMES) -> None:
        """Check the invariants once the faults are over.

        Everything acknowledged is on each replica, and each term has one leader and one vote of each
        replica.
        """
        self.register("last")
        newest = self.client().state()[0].index
        self.wait_until(lambda: all(self._applied_index(name) >= newest for name in names))
        for name in names:
            members = Fleet.restore(self.client().local_status(name).state).state.members
            assert set(self.acknowledged) <= set(members), f"{name} is without what was acknowledged"
        leaders: dict[int, set[str]] = {}
        for name, log in self.logs.items():
            for fields in log.fields("role_changed"):
                if fields["role"] == "leader":
                    leaders.setdefault(fields["term"], set()).add(name)
        assert all(len(names) == 1 for names in leaders.values()), "two leaders in a term"
        for replica in self.replicas.values():
            assert all(len(voted) == 1 for voted in replica.votes.values()), "two votes in a term"
        for disk in self.disks.values():
            for loaded, proven in disk.read_back:
                assert loaded == proven, "it uses what no sync has proven"

    def _applied_index(self, name: str) -> int:
        with suppress(ControlPlaneUnavailableError):
            return self.client().local_status(name).index
        return -1

    def end(self) -> None:
        """Stop all replicas."""
        for replica in self.replicas.values():
            replica.stop()


def play(folder: Path, script: Callable[[Cluster], None], seed: int = 0) -> None:
    """Run `script` with a new cluster, and fail the test on errors of its tasks."""
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
            for replica in cluster.replicas.values():
                replica.close()
    assert not errors, errors
