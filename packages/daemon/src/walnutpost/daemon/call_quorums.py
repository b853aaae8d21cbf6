"""Quorums of deferred calls: admission checks, and waits until an entry is replicated."""

from __future__ import annotations

from walnutpost.daemon.quorum_requirements import QuorumRequirements
from walnutpost.gateway import Function, Rejected
from walnutpost.journal import QuorumFailed, QuorumReached
from walnutpost.replication import ReplicationSender
from walnutpost.store import EntryAppend, JournalStore


class CallQuorums:
    """Starts the replication of committed entries, and waits for the quorum that a call's class requires.

    `quorum_timeout_us` limits each wait, except one that lasts until the call's deadline.
    """

    def __init__(
        self,
        store: JournalStore,
        sender: ReplicationSender,
        requirements: QuorumRequirements,
        quorum_timeout_us: int,
    ) -> None:
        self._store = store
        self._sender = sender
        self._requirements = requirements
        self._quorum_timeout_us = quorum_timeout_us

    def admission_error(self, function: Function, size_bytes: int) -> Rejected | None:
        """Return a rejection if the call can't be replicated now as its class requires, else None."""
        required = self._requirements.of_function(function)
        retry_after_us = self._sender.state.retry_after_us(
            required.replicas, required.accepts_fewer, size_bytes
        )
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

        The wait is limited by `quorum_timeout_us` and by `time_left_us`: by the shorter of them or, with
        `until_deadline`, by the longer. If the class accepts fewer replicas, any number counts as a quorum.
        """
        self.start_replication(append)
        required = self._requirements.of_function(function)
        timeout_us = min(max(time_left_us, 0), self._quorum_timeout_us)
        if until_deadline:
            timeout_us = max(time_left_us, self._quorum_timeout_us)
        result = self._sender.wait_for_quorum(
            append.entry.seq, required.replicas, required.accepts_fewer, timeout_us
        )
        if required.accepts_fewer:
            return QuorumReached(result.token, result.replicas)
        return result

    def start_replication(self, append: EntryAppend) -> None:
        """Start the replication of a committed entry."""
        self._store.mark_durable(append)
        self._sender.entries_persisted(append.entry.seq, append.entry.size_bytes)
