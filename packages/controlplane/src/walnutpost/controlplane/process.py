"""One keeper: a replica of the history on its disk, its peers, and those who ask. Adds no decision."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from msgspec import UNSET

from walnutpost.configstore import messages as table
from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import (
    NOT_LEADER,
    Apply,
    ChangeMembership,
    Compact,
    Effect,
    EntryKind,
    Input,
    LogEntry,
    Members,
    MessageReceived,
    PersistentState,
    Propose,
    Raft,
    ReadIndex,
    ReadReady,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    Send,
    Tick,
    Timing,
    TransferLeadership,
    Write,
    WriteCompleted,
)
from walnutpost.controlplane import wire
from walnutpost.controlplane.changes import Changes, Check
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.controlplane.peers import Peer
from walnutpost.eventloop import Loop, Task
from walnutpost.eventloop.timers import Timer
from walnutpost.fleet import (
    AnalysisPolicy,
    CallCounts,
    Command,
    CommandResult,
    EndpointAges,
    Fleet,
    FleetMonitor,
    InvalidCommandError,
    InvalidStateError,
    MemberReport,
    UpdateFollowers,
    command_name,
    decode_with_time,
    describe_command,
    encode,
    endpoint_snapshot,
)
from walnutpost.http import BadMessage, Exchange, Limits, Response
from walnutpost.http.server import serve_on
from walnutpost.store import StoreError
from walnutpost.store.replica import ReplicaStore
from walnutpost.watch.serving import WatchServer

LOOK_MOST = 500_000
HISTORY_MOST = 10_000
LOG_BYTES = 32 << 20  # of entries after the snapshot, where their number allows more
NEVER = 10**15  # microseconds: the age of what nobody has vouched for
FOLLOWERS_MOST = 500  # in one command
ANSWER_ELECTIONS = 3  # elections that an asker is kept waiting for, at the most
LOOKS_IN_A_LEASE = 5
DISK_FAILED = "its disk failed before it had an answer"
Address = tuple[str, int]


class KeeperError(Exception):
    """It can't go on: its disk did not take a write, or holds what can't be read."""


class Keeper:
    """`addresses` tells where each keeper of the configuration is reached. `found`: all of them
    start for the first time, and are each other's members. Without it an empty disk waits to be taken in.
    `check`: what the settings themselves have against a change set, given the table; None: nothing."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        addresses: Mapping[str, Callable[[], Address]],
        listen: Address,
        folder: Path,
        timing: Timing,
        lease: int,
        log: Any,
        seed: int,
        found: bool = False,
        log_most: int = 5000,
        past_most: int = 100_000,
        terms: AnalysisPolicy | None = None,
        failed: Callable[[KeeperError], None] | None = None,
        check: Check | None = None,
        open_store: Callable[[Loop, Path, int], ReplicaStore] = ReplicaStore,
    ) -> None:
        self.name = name
        self._loop, self._log, self._timing, self._lease = loop, log, timing, lease
        self._log_most = log_most
        self._failed = failed
        folder.mkdir(parents=True, exist_ok=True)

        def open_file() -> ReplicaStore:
            return open_store(loop, folder / f"{name}.db", past_most)

        self._store = open_file()
        self._disk = DiskRecovery(loop, open_file, self._resume, self._fail, log)
        self._terms = terms or AnalysisPolicy()
        identity, kept = self._kept(found, tuple(addresses), seed)
        self._seed = seed
        self.raft = Raft(identity, kept, timing, seed)
        self.fleet = Fleet()
        self._peers = {
            n: Peer(loop, a, timing.election_timeout_us) for n, a in addresses.items() if n != name
        }
        self._inbox: deque[Input] = deque()
        self._busy = self._writing = self.ended = False
        self._writes: list[Write] = []
        self._askers: dict[str, list[tuple[Task[Any], int]]] = {}
        self._timer: Timer | None = None
        self._watch: FleetMonitor | None = None
        self._standings: FleetProgress | None = None
        self._ages = EndpointAges()
        self._applied = 0
        self._uncompacted = 0  # bytes
        self._count = 0
        self.watches = WatchServer(loop, self._table, self._age, batch_interval_us=0)
        self._changes = Changes(
            loop,
            lambda: self.fleet,
            lambda id, command: self._ask(id, Propose(id, command)),
            self._confirm,
            check,
            ANSWER_ELECTIONS * timing.election_timeout_us,
            log,
        )
        self._server = serve_on(
            loop, listen, self._serve, self._refusal, Limits(body=wire.BODY_MOST), role="keeper", log=log
        )
        self._feed(Tick())
        log.info("keeper", replica=identity, address="{}:{}".format(*self.address))

    def _kept(self, found: bool, names: tuple[str, ...], seed: int) -> tuple[str, Any]:
        self._store.prove_durable()  # the process before this one may have ended at a failed sync
        known = self._store.load()
        if known is not None:
            if found:
                self._log.warning("founded before", replica=known[0])
            return known
        identity = self.name if found else f"{self.name}#{seed & 0xFFFFFFFF:08x}"
        return identity, self._store.make_new(identity, Members(names) if found else Members())

    @property
    def address(self) -> Address:
        return self._server.address

    def stop(self) -> None:
        """Hands over if it leads, and ends. What is not durable is as if it had never been."""
        others = [n for n in self.raft.members.voters if n != self.raft.replica_id]
        if self.raft.role is Role.LEADER and others:
            self._feed(TransferLeadership(others[0]))
            self._loop.sleep(self._timing.heartbeat_interval_us)
        self.ended = True
        self._disk.stop()
        self._server.stop_accepting()
        self._server.group.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for peer in self._peers.values():
            peer.close()

    def close(self) -> None:
        """After the loop has ended."""
        self._store.close()

    # The replica

    def _feed(self, event: Input) -> None:
        if self.ended or self._disk.is_failing:
            return  # what comes while the disk fails is lost, as a message may be
        self._inbox.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._inbox:
                for effect in self.raft.handle(self._loop.now(), self._inbox.popleft()):
                    self._carry_out(effect)
        finally:
            self._busy = False
        if self._timer is not None:
            self._timer.cancel()
        wait = max(1000, self.raft.next_deadline_us - self._loop.now())
        self._timer = self._loop.call_later(wait, lambda: self._feed(Tick()))

    def _carry_out(self, effect: Effect) -> None:
        if self.ended:
            return
        match effect:
            case Write():
                self._writes.append(effect)
                if not self._writing:
                    self._writing = True
                    self._loop.spawn(self._write, name="writes")
            case Send(to, message):
                peer = self._peers.get(wire.keeper_of(to))
                if peer is not None:
                    peer.send(to, message)
            case Apply(entries):
                revision, rolls = self.fleet.table.revision, self.fleet.followers_version
                for entry in entries:
                    self._applied = entry.index
                    self._uncompacted += len(entry.data)
                    if entry.kind is EntryKind.COMMAND:
                        answer = self.fleet.apply(entry.index, entry.id, entry.data)
                        self._answer(entry.id, wire.Told(answer))
                        if self._standings is not None:
                            self._standings.revision_committed(self._loop.now(), self.fleet.table.revision)
                        if self.raft.role is Role.LEADER:
                            self._log_entry(entry, answer)
                    elif entry.kind is EntryKind.MEMBERS:
                        self._log.info("keepers", index=entry.index, members=entry.members.all)
                        self._answer(entry.id, wire.Told(CommandResult(True, entry.index)))
                self._ages.observe(self._loop.now(), self.fleet.state)
                if self.fleet.followers_version != rolls and self._standings is not None:
                    self._standings.set_members(self._loop.now(), self.fleet.state.followers)
                if self.fleet.table.revision != revision:
                    self.watches.store_changed()
                since = self._applied - self.raft.log.snapshot.index
                if since > self._log_most or self._uncompacted > LOG_BYTES:
                    self._uncompacted = 0
                    self._inbox.append(Compact(self._applied, self.fleet.snapshot()))
            case Restore(snapshot):
                try:
                    self.fleet, self._applied = Fleet.restore(snapshot.data), snapshot.index
                except InvalidStateError as error:
                    self._fail(f"snapshot {snapshot.index}: {error}")
                    return
                self._uncompacted = 0
                self._ages.observe(self._loop.now(), self.fleet.state)
                self.watches.store_changed()
            case ReadReady(id):
                self._answer(id, wire.Told())
            case Rejected(id, why, leader):
                self._answer(id, wire.Told(None, True, why, wire.keeper_of(leader)))
            case RoleChanged(role, term, leader):
                self._log.info("role", role=role.value, term=term, leader=leader)
                self._watch = self._standings = None
                if role is Role.LEADER:
                    now = self._loop.now()
                    self._standings = FleetProgress(now, self.fleet.table.revision)
                    self._standings.set_members(now, self.fleet.state.followers)
                    self._watch = FleetMonitor(now, self._lease, self._terms)
                    self._look(self._watch)

    def _write(self) -> None:
        """A task: one commit for all that waits. A disk that fails takes the replica out of service."""
        try:
            while self._writes and not self.ended:
                batch, self._writes = self._writes, []
                self._store.write(batch)
                self._feed(WriteCompleted(batch[-1].number))
        except StoreError as error:
            if not self.ended:
                self._disk.begin(self._store, self.raft.replica_id, error)
                self._suspend()
        finally:
            self._writing = False

    def _suspend(self) -> None:
        """What the core still held back for the failed write never leaves, and nobody is kept waiting."""
        self._inbox.clear()
        self._writes.clear()
        self._watch = self._standings = None
        if self._timer is not None:
            self._timer.cancel()
        for peer in self._peers.values():
            peer.discard()
        for id in list(self._askers):
            self._answer(id, wire.Told(None, False, DISK_FAILED))
        self.watches.store_changed()

    def _resume(self, store: ReplicaStore, state: PersistentState) -> None:
        """As after a restart: a new core on what was read back, whose stamps are its own, and an empty
        state machine that it fills anew."""
        self._store = store
        self._seed += 1
        self.raft = Raft(self.raft.replica_id, state, self._timing, self._seed)
        self.fleet, self._ages = Fleet(), EndpointAges()
        self._applied = self._uncompacted = 0
        self.watches.store_changed()
        self._feed(Tick())

    def _fail(self, why: str) -> None:
        self._log.error("disk_lost", why=why)
        self.ended = True
        self._suspend()
        if self._failed is not None:
            self._failed(KeeperError(why))

    def _look(self, watch: FleetMonitor) -> None:
        """Over and over while it leads; what it proposes is logged once it is agreed on."""
        if watch is not self._watch or self.ended:
            return
        for command in [*watch.propose(self._loop.now(), self.fleet.state), *self._roll()]:
            self._count += 1
            id = f"{self.raft.replica_id}.{self.raft.term}.{self._count}"
            self._loop.call_soon(lambda id=id, c=command: self._feed(Propose(id, encode(c, time.time()))))  # type: ignore[misc]
        self._loop.call_later(min(self._lease // LOOKS_IN_A_LEASE, LOOK_MOST), lambda: self._look(watch))

    def _roll(self) -> list[Command]:
        """Who relays say has come to follow the table, or has ended. A later look proposes the rest, and
        again what is not agreed yet."""
        assert self._standings is not None
        now, followers = self._loop.now(), self.fleet.state.followers
        joined = tuple(self._standings.unregistered_members(now)[:FOLLOWERS_MOST])
        left = tuple((name, followers[name]) for name in self._standings.ended_members() if name in followers)
        return [UpdateFollowers(joined, left[:FOLLOWERS_MOST])] if joined or left else []

    def _table(self) -> ConfigStore | None:
        """What watchers are served from; none while the disk fails: they go on at another keeper."""
        return None if self._disk.is_failing else self.fleet.table

    def _age(self) -> int:
        """Microseconds since a leader last vouched for what is held here."""
        at = self.raft.fresh_as_of(self._applied)
        return NEVER if at is None else self._loop.now() - at

    # Those who ask

    def _leader(self) -> str:
        """The keeper that may know more; none is known while the disk fails."""
        return "" if self._disk.is_failing else wire.keeper_of(self.raft.leader)

    def _answer(self, id: str, told: wire.Told) -> None:
        for task, token in self._askers.pop(id, ()):
            self._loop.wake(task, token, told)

    def _ask(self, id: str, event: Input) -> wire.Told:
        """Waits for the answer to `id`. What gets none in time may have been agreed on all the same."""
        if self.ended or self._disk.is_failing:
            return wire.Told(None, True, NOT_LEADER)
        task, token = self._loop.begin_wait()
        self._askers.setdefault(id, []).append((task, token))
        unsure = wire.Told(None, False, "no quorum has answered in time", self._leader())
        wait = ANSWER_ELECTIONS * self._timing.election_timeout_us
        timer = self._loop.call_later(wait, lambda: self._loop.wake(task, token, unsure))
        self._feed(event)
        try:
            told: wire.Told = self._loop.park()
        finally:
            timer.cancel()
            waiting = self._askers.get(id, [])
            if (task, token) in waiting:
                waiting.remove((task, token))
            if not waiting:
                self._askers.pop(id, None)
        return told

    def _serve(self, exchange: Exchange) -> Response:
        request = exchange.request
        target = request.target.decode("ascii", "replace").partition("?")
        try:
            match request.method, target[0]:
                case "POST", wire.MESSAGES:
                    post = wire.decode(request.body, wire.Post)
                    for message in post.messages:
                        self._feed(MessageReceived(post.to, message))
                    return Response(204)
                case "POST", wire.COMMANDS:
                    order = wire.decode(request.body, wire.Order)
                    return self._told(self._ask(order.id, Propose(order.id, order.command)))
                case "POST", wire.MEMBERS:
                    wanted = wire.decode(request.body, wire.Membership)
                    return self._told(self._ask(wanted.id, ChangeMembership(wanted.id, wanted.members)))
                case "POST", wire.REPORTS:
                    return self._told(self._report(wire.decode(request.body, wire.Report)))
                case "POST", wire.CHANGE:
                    return self._told(self._changes.order(request.body))
                case "POST", table.WATCH_PATH:
                    return self.watches.handle(request.body, exchange.stream)
                case "POST", table.PROGRESS_PATH:
                    return self._sums(table.decode(request.body, table.ProgressSummary))
                case "GET", table.STATUS_PATH:
                    return self._status()
                case "GET", wire.ENTRIES:
                    return self._entries(target[2])
                case "GET", wire.HISTORY if self._disk.is_failing:
                    return Response(503, body=DISK_FAILED.encode())
                case "GET", wire.HISTORY:
                    return self._history(target[2])
                case "GET", wire.STATE:
                    return self._state(target[2] == "here")
        except (wire.BadWire, table.InvalidMessageError) as error:
            return Response(400, body=str(error).encode())
        return Response(404, body=b"no such thing here")

    def _report(self, said: wire.Report) -> wire.Told:
        if self._watch is None:
            return wire.Told(None, True, NOT_LEADER, self._leader())
        figures = None if said.figures is None else CallCounts(*said.figures)
        report = MemberReport(said.member, said.incarnation, said.acts, figures)
        known = self._watch.report(self._loop.now(), report, self.fleet.state)
        answer = CommandResult(
            known, self._applied, "" if known else f"{said.member} is not {said.incarnation} here"
        )
        newer = said.acts is not None and self.fleet.state.endpoints_index > said.acts
        return wire.Told(
            answer, sight=endpoint_snapshot(self.fleet.state, self._loop.now(), self._ages) if newer else None
        )

    # The agreed table

    def _sums(self, sums: table.ProgressSummary) -> Response:
        if self._standings is None:
            return self._told(wire.Told(None, True, NOT_LEADER, self._leader()))
        return _packed(table.encode(self._standings.handle_summary(self._loop.now(), sums)))

    def _status(self) -> Response:
        told = self._confirm()
        if not told.why and self._standings is None:
            told = wire.Told(None, True, NOT_LEADER, self._leader())
        if told.why or self._standings is None:
            return self._told(told)
        fleet = self.fleet
        return _packed(
            table.encode(self._standings.status(self._loop.now(), fleet.table, fleet.state.followers))
        )

    def _entries(self, query: str) -> Response:
        """Of one `kind`, the one under `key`, or all."""
        told = self._confirm()
        if told.why:
            return self._told(told)
        asked = parse_qs(query)
        kind, only = (asked.get(name, [""])[0] for name in ("kind", "key"))
        held = self.fleet.table
        if only:
            keys = [only] if only in held.entries else []
        else:
            keys = sorted(key for key in held.entries if not kind or key.startswith(f"{kind}/"))
        body = wire.encode(wire.Entries(held.revision, tuple(held.entries[key] for key in keys)))
        if len(body) > wire.BODY_MOST:
            why = f"entries: found {len(body)} bytes, wanted {wire.BODY_MOST} at most: ask for one kind"
            return Response(413, body=why.encode())
        return _packed(body)

    def _history(self, query: str) -> Response:
        """`after` an index, at the most so many lines; what this keeper has agreed on, oldest first."""
        asked = parse_qs(query)
        try:
            after, most = (
                int(asked.get(name, [usual])[0]) for name, usual in (("after", "0"), ("most", "1000"))
            )
        except ValueError:
            return Response(400, body=b"after and most: whole numbers are wanted")
        first, entries = self._store.past(after, min(most, HISTORY_MOST), self._applied)
        lines = tuple(self._line(entry) for entry in entries)
        return _packed(wire.encode(wire.History(first, lines)))

    def _line(self, entry: LogEntry) -> wire.Line:
        what, told, at = entry.kind.name.lower(), "", 0.0
        if entry.kind is EntryKind.MEMBERS:
            told = f"votes: {', '.join(entry.members.voters)}; learns: {', '.join(entry.members.learners)}"
        elif entry.kind is EntryKind.COMMAND:
            try:
                command, at = decode_with_time(entry.data)
                what, told = command_name(command), describe_command(command)
            except InvalidCommandError as error:
                what, told = "unreadable", str(error)
        answer = self.fleet.state.results.get(entry.id) if entry.id else None
        return wire.Line(entry.index, entry.term, at, entry.id, what, told, answer)

    def _log_entry(self, entry: LogEntry, answer: CommandResult) -> None:
        line = self._line(entry)
        why = line.told if answer.ok else f"{line.told}: {answer.error}"
        self._log.info("agreed" if answer.ok else "not agreed", index=line.index, what=line.what, why=why)

    def _confirm(self) -> wire.Told:
        """Whether a quorum says, after the question, that nothing newer is agreed than what is held here."""
        self._count += 1
        id = f"read {self.raft.replica_id} {self._count}"
        return self._ask(id, ReadIndex(id))

    def _state(self, here: bool) -> Response:
        """With `here` what this keeper holds, however old; else what a quorum confirms."""
        told = wire.Told() if here else self._confirm()
        if told.why:
            return self._told(told)
        raft = self.raft
        view = wire.View(
            self._applied,
            self.name,
            self._leader(),
            raft.term,
            raft.members,
            self.fleet.snapshot(table=False),
            not here,
            dict(self._watch.pending_verdicts) if self._watch is not None else {},
            self._disk.reason or UNSET,
        )
        return _packed(wire.encode(view))

    def _told(self, told: wire.Told) -> Response:
        status = 200 if told.answer is not None else 421 if told.sure else 504
        return Response(status, {"Content-Type": "application/msgpack"}, wire.encode(told))

    @staticmethod
    def _refusal(error: BadMessage) -> Response:
        return Response(error.status, body=str(error).encode())


def _packed(body: bytes) -> Response:
    return Response(200, {"Content-Type": "application/msgpack"}, body)
