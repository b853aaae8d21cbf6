"""Effects of consensus: writes, messages, applied entries, replies, and changes of role."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from walnutpost.consensus import (
    Apply,
    Effect,
    EntryKind,
    LogEntry,
    Message,
    ReadReady,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    Send,
    Snapshot,
    Write,
)
from walnutpost.controlplane import wire
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.history import describe_entry
from walnutpost.controlplane.leadership import LeaderDuties
from walnutpost.controlplane.peers import PeerConnection
from walnutpost.eventloop import Logger
from walnutpost.fleet import CommandResult, InvalidStateError


class EffectExecutor:
    """Executes the effects of one replica's consensus core on `context`, in their order; never waits.

    `on_failed` is called with the reason if the replica has failed for good.
    """

    def __init__(
        self,
        context: ReplicaContext,
        peers: Mapping[str, PeerConnection],
        on_failed: Callable[[str], None],
        log: Logger,
    ) -> None:
        self._context = context
        self._peers = peers
        self._on_failed = on_failed
        self._log = log

    def execute(self, effect: Effect) -> None:
        """Execute one effect."""
        match effect:
            case Write():
                self._context.writer.submit(effect)
            case Send(to, message):
                self._send(to, message)
            case Apply(entries):
                self._apply(entries)
            case Restore(snapshot):
                self._restore(snapshot)
            case ReadReady(request_id):
                self._context.replies.complete(request_id, wire.CommandReply())
            case Rejected(request_id, reason, leader):
                reply = wire.CommandReply(reason=reason, leader=wire.replica_name(leader))
                self._context.replies.complete(request_id, reply)
            case RoleChanged():
                self._change_role(effect)

    def _send(self, to: str, message: Message) -> None:
        peer = self._peers.get(wire.replica_name(to))
        if peer is not None:
            peer.send(to, message)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        context = self._context
        fleet = context.applied.fleet
        former_revision = fleet.config_store.revision
        former_followers_version = fleet.followers_version
        for entry in entries:
            self._apply_entry(entry)
        context.applied.observe_endpoints()
        if fleet.followers_version != former_followers_version and context.leadership is not None:
            context.leadership.progress.set_members(context.loop.now(), fleet.state.followers)
        if fleet.config_store.revision != former_revision:
            context.watches.store_changed()
        compaction = context.applied.take_due_compaction(context.driver.raft.log.snapshot.index)
        if compaction is not None:
            context.driver.enqueue(compaction)

    def _apply_entry(self, entry: LogEntry) -> None:
        context = self._context
        result = context.applied.apply(entry)
        if result is None:
            return
        if entry.kind is EntryKind.MEMBERS:
            self._log.info("membership_changed", index=entry.index, members=entry.members.all)
        context.replies.complete(entry.id, wire.CommandReply(result))
        if entry.kind is EntryKind.COMMAND:
            if context.leadership is not None:
                revision = context.applied.fleet.config_store.revision
                context.leadership.progress.revision_committed(context.loop.now(), revision)
            if context.driver.raft.role is Role.LEADER:
                self._log_command(entry, result)

    def _log_command(self, entry: LogEntry, result: CommandResult) -> None:
        described = describe_entry(entry, self._context.applied.fleet.state.results)
        fields = {
            "index": described.index,
            "command": described.command,
            "detail": described.description,
        }
        if result.ok:
            self._log.info("command_applied", **fields)
        else:
            self._log.info("command_rejected", **fields, reason=result.error)

    def _restore(self, snapshot: Snapshot) -> None:
        try:
            self._context.applied.restore(snapshot)
        except InvalidStateError as error:
            self._on_failed(f"snapshot {snapshot.index}: {error}")
            return
        self._context.applied.observe_endpoints()
        self._context.watches.store_changed()

    def _change_role(self, change: RoleChanged) -> None:
        context = self._context
        self._log.info("role_changed", role=change.role.value, term=change.term, leader=change.leader)
        context.end_leadership()
        if change.role is not Role.LEADER:
            return
        context.leadership = LeaderDuties(
            context.loop,
            context.applied,
            context.settings.lease_us,
            context.settings.analysis_policy,
            context.submitter.propose,
        )
        context.leadership.check()
