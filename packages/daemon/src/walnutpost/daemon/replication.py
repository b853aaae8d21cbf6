"""Replication of deferred calls to other sites: a call's entries, and how many replicas it waits for.

Times in entries are stored time (store/stored_time.py), so that one purge time is valid for entries from
before and after a step of the wall clock, here and at the replicas, which do not see the step. No synchronous
call passes through this module.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from walnutpost.config import Config
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.journal import JournalConfig, ReplicationConfig
from walnutpost.eventloop import Logger, Loop
from walnutpost.fronts.errors import SitesUnreachableError
from walnutpost.gateway import Execution, Function, Rejected, Status
from walnutpost.interface import RequestClass
from walnutpost.journal import (
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallStage,
    CallState,
    CallWithdrawn,
    IntervalSet,
    JournalBatch,
    MergedJournal,
    QuorumFailed,
    QuorumReached,
    ReplicaHost,
    ReplicationPolicy,
    ResultsPurged,
    choose_replicas,
    plan_batch_write,
)
from walnutpost.replication import (
    ReplicaClient,
    ReplicaServer,
    ReplicationSender,
    query_call,
    recover_batches,
)
from walnutpost.store import EntryAppend, ExecutionStore, JournalStore

CHECK_INTERVAL_US = 500_000  # of the check whether a replica is unreachable for too long
AVOID_FACTOR = 10  # times `replace_after_ms`: how long a replica that was replaced is avoided
BYTES_PER_MB = 1 << 20


class JournalReplication:
    """The journal of one front end: replicates its own entries, and is a replica of others' journals."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        section: JournalConfig,
        executions: ExecutionStore,
        classes: tuple[RequestClass, ...],
        log: Logger,
    ) -> None:
        self._loop = loop
        self._section = section
        self._log = log
        self._classes = classes
        self._requirements = [section.classes.get(name, ReplicationConfig()) for name in config.site.classes]
        self._strictest = max(self._requirements, key=_strictness)
        self._hosts = {
            holder.name: ReplicaHost(holder.name, holder.region, holder.zone) for holder in section.hosts
        }
        self._avoided_until_us: dict[str, int] = {}
        self._unreachable_since_us: dict[str, int] = {}
        self._executions = executions
        self.store = JournalStore(loop, executions, section.name)
        self.server = ReplicaServer(loop, self.store, parse_address(section.listen), log)
        self._addresses: dict[str, Callable[[], tuple[str, int]]] = {
            holder.name: partial(parse_address, holder.address) for holder in section.hosts
        }
        self._other_addresses = {
            name: address for name, address in self._addresses.items() if name != section.name
        }
        self._timeout_us = ms_to_us(section.answer_timeout_ms)
        self._recover_lost_entries()
        replicas = self._choose_replicas()
        policy = _replication_policy(section)
        client = ReplicaClient(loop, self._addresses, self._timeout_us)
        self.sender = ReplicationSender(loop, self.store, client, replicas, policy, log)

    # Recovery

    def _recover_lost_entries(self) -> None:
        """Restore the entries and calls that replicas have and this disk lacks, before any entry is numbered.

        The disk may be older than its replicas: restored from a backup, or it lost durable entries.
        """
        own = self.store.own_origin
        last = self.store.offsets[own]
        batches, unreachable = recover_batches(self._loop, self._other_addresses, own, last, self._timeout_us)
        if unreachable:
            self._log.warning("journal_recovery_incomplete", unreachable=sorted(unreachable))
        if not batches:
            return
        calls = self._write_recovered(batches)
        withdrawn = [call_id for call_id, call in calls.items() if call.stage is CallStage.WITHDRAWN]
        recovered = [_execution_of(call) for call_id, call in calls.items() if call_id not in withdrawn]
        self._executions.upsert_recovered(
            [self._executions.with_epoch_times(each) for each in recovered if each is not None], withdrawn
        )
        self._log.error("journal_recovered", after_sequence=last, calls=len(calls))

    def _write_recovered(self, batches: list[JournalBatch]) -> dict[str, CallState]:
        """Write the batches to the own journal; return the state of each call that they are about."""
        merged = MergedJournal()
        for batch in sorted(batches, key=lambda batch: batch.after):
            write = plan_batch_write(self.store.offsets, batch)
            if write is not None:
                self.store.write_batch(write)
            merged.add(IntervalSet(), batch.entries)
        recovered_ids = set(merged.calls)
        covered, entries = self.store.read_journal(self.store.own_origin)
        merged.add(covered, entries)  # what the disk already had of these calls
        return {call_id: merged.calls[call_id] for call_id in recovered_ids}

    # Choice of replicas

    def _choose_replicas(self) -> tuple[str, ...]:
        now = self._loop.now()
        hosts = [host for host in self._hosts.values() if self._avoided_until_us.get(host.name, 0) <= now]
        return choose_replicas(self._hosts[self._section.name], hosts)

    def run(self) -> None:
        """Replace replicas that stay unreachable, and avoid them for a while; until cancelled."""
        replicas = self._choose_replicas()
        while True:
            self._loop.sleep(CHECK_INTERVAL_US)
            self._avoid_unreachable()
            chosen = self._choose_replicas()
            if chosen != replicas:
                self._log.warning("journal_replicas_changed", previous=replicas, current=chosen)
                replicas = chosen
                self.sender.assign(replicas)

    def _avoid_unreachable(self) -> None:
        now = self._loop.now()
        replace_after_us = ms_to_us(self._section.replace_after_ms)
        for name, is_reachable in self.sender.state.reachability().items():
            since_us = self._unreachable_since_us.setdefault(name, now)
            if is_reachable:
                del self._unreachable_since_us[name]
            elif now - since_us >= replace_after_us:
                self._avoided_until_us[name] = now + AVOID_FACTOR * replace_after_us
                del self._unreachable_since_us[name]

    @property
    def address(self) -> str:
        """Where this front end serves as a replica, as IP:PORT."""
        return "{}:{}".format(*self.server.server.address)

    def close(self) -> None:
        """Accept no more connections, and send nothing more."""
        self.server.server.stop_accepting()
        self.sender.close()

    # Quorums

    def _requirement_of(self, function: Function | None) -> ReplicationConfig:
        """Return what the function's class requires; the strictest class's if the function was removed."""
        return self._requirements[function.class_index] if function is not None else self._strictest

    def admission_error(self, function: Function, size_bytes: int) -> Rejected | None:
        """Return the rejection of a call that can't be replicated now as its class requires, else None."""
        required = self._requirement_of(function)
        accepts_fewer = _accepts_fewer(required)
        retry_after_us = self.sender.state.retry_after_us(required.replicas, accepts_fewer, size_bytes)
        if retry_after_us is None:
            return None
        return Rejected(f"{required.replicas} copies at other sites can't be made now", retry_after_us)

    def wait_for_quorum(
        self,
        append: EntryAppend,
        function: Function | None,
        time_left_us: int,
        until_deadline: bool = False,
    ) -> QuorumReached | QuorumFailed:
        """Wait until a committed entry has the quorum that the call's class requires.

        No longer than `copy_wait_ms`, or, with `until_deadline`, than `time_left_us` if that is more. If the
        class accepts fewer replicas, any number is a quorum.
        """
        self.entries_persisted(append)
        required = self._requirement_of(function)
        accepts_fewer = _accepts_fewer(required)
        max_wait_us = ms_to_us(self._section.quorum_timeout_ms)
        timeout_us = min(max(time_left_us, 0), max_wait_us)
        if until_deadline:
            timeout_us = max(time_left_us, max_wait_us)
        result = self.sender.wait_for_quorum(append.entry.seq, required.replicas, accepts_fewer, timeout_us)
        if accepts_fewer:
            return QuorumReached(result.token, result.replicas)
        return result

    def entries_persisted(self, append: EntryAppend) -> None:
        """Start the replication of a committed entry."""
        self.store.mark_durable(append)
        self.sender.entries_persisted(append.entry.seq, append.entry.size_bytes)

    # Queries

    def find_call(self, call_id: str) -> Execution | None:
        """Return a call that another front end accepted, as recorded by journals here and at other sites.

        Raises SitesUnreachableError if none knows it, and some did not answer.
        """
        merged = MergedJournal()
        unreachable: list[str] = []
        merged.add(IntervalSet(), self.store.read_call_entries(call_id))
        call = merged.calls.get(call_id, CallState())
        if call.stage is not CallStage.ENDED:  # its origin, or another replica, may know more
            entries, unreachable = query_call(self._loop, self._other_addresses, call_id, self._timeout_us)
            merged.add(IntervalSet(), entries)
            call = merged.calls.get(call_id, CallState())
        execution = None if call.stage is CallStage.WITHDRAWN else _execution_of(call)
        if execution is None and unreachable and call.stage is CallStage.UNKNOWN:
            raise SitesUnreachableError(unreachable)
        return execution

    # Entries, to be committed together with the change that they record

    def append_accepted(self, execution: Execution, function: Function) -> EntryAppend:
        """Return the entry of a call that is being accepted."""
        required = self._requirement_of(function)
        execution = self._executions.with_stored_times(execution)
        return self.store.new_append(
            CallAccepted(
                execution.id,
                execution.name,
                execution.function,
                execution.version,
                execution.tenant,
                execution.payload,
                execution.digest,
                execution.accepted_at,
                execution.expires_at,
                self._classes[function.class_index].effect.value,
                0 if _accepts_fewer(required) else required.replicas,
            )
        )

    def append_intended(self, execution: Execution, attempt: int, worker: str) -> EntryAppend:
        """Return the entry of an attempt that is about to be sent."""
        return self.store.new_append(AttemptIntended(execution.id, attempt, worker))

    def append_withdrawn(self, execution: Execution) -> EntryAppend:
        """Return the entry of a call that is rejected after it was stored."""
        return self.store.new_append(CallWithdrawn(execution.id))

    def append_ended(self, execution: Execution) -> EntryAppend:
        """Return the entry of a call's final status."""
        execution = self._executions.with_stored_times(execution)
        record = CallEnded(
            execution.id,
            execution.status.value,
            execution.ended_at,
            execution.result,
            execution.error_type,
            execution.error_message,
        )
        return self.store.new_append(record)

    def append_purged(self, before_us: int) -> EntryAppend:
        """Return the entry of a purge of all calls that ended before a time."""
        return self.store.new_append(ResultsPurged(self._executions.clock.to_stored(before_us)))


def _replication_policy(section: JournalConfig) -> ReplicationPolicy:
    return ReplicationPolicy(
        replica_timeout_us=ms_to_us(section.lost_after_ms),
        retry_interval_us=ms_to_us(section.retry_delay_ms),
        max_backlog_bytes=int(section.max_backlog_mb * BYTES_PER_MB),
    )


def _strictness(requirement: ReplicationConfig) -> tuple[bool, int]:
    return requirement.on_shortage == "refuse", requirement.replicas


def _accepts_fewer(requirement: ReplicationConfig) -> bool:
    """Whether a call is accepted with fewer replicas than its class asks for."""
    return requirement.on_shortage == "less"


def _execution_of(call: CallState) -> Execution | None:
    """Return the call in its origin's stored time; None if the entry of its acceptance is not known."""
    accepted = call.accepted
    if accepted is None:
        return None
    execution = Execution(
        accepted.call_id,
        accepted.name,
        accepted.function,
        accepted.version,
        accepted.tenant,
        accepted.payload,
        accepted.digest,
        accepted.accepted_at_us,
        accepted.expires_at_us,
        bool(call.intents),
    )
    ended = call.ended
    if ended is None:
        return execution
    return replace(
        execution,
        status=Status(ended.status),
        ended_at=ended.ended_at_us,
        result=ended.result,
        error_type=ended.error_type,
        error_message=ended.error_message,
    )
