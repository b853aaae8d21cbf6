"""The components that replicate deferred calls to other sites, grouped for use by the rest of the front end.

Synchronous calls use none of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.daemon.call_queries import CallQueries
from walnutpost.daemon.call_quorums import CallQuorums
from walnutpost.daemon.entry_builder import EntryBuilder
from walnutpost.daemon.replica_selection import ReplicaReplacement
from walnutpost.replication import ReplicaServer, ReplicationSender
from walnutpost.store import JournalStore


@dataclass(frozen=True, slots=True)
class CallReplication:
    """What it takes to record and purge replicated calls: entries, quorums, and calls of other origins."""

    entries: EntryBuilder
    quorums: CallQuorums
    queries: CallQueries


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReplication:
    """The journal of a front end, which also serves as a replica for the journals of other front ends."""

    store: JournalStore
    server: ReplicaServer
    sender: ReplicationSender
    replacement: ReplicaReplacement
    calls: CallReplication

    @property
    def address(self) -> str:
        """The address at which this front end serves as a replica, as IP:PORT."""
        return "{}:{}".format(*self.server.server.address)

    def close(self) -> None:
        """Stop accepting connections from other front ends, and stop sending entries."""
        self.server.server.stop_accepting()
        self.sender.close()
