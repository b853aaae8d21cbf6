"""Replication of deferred calls to other sites: the parts, as the rest of the front end uses them.

No synchronous call passes through any of them.
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
    """What records and purges of calls need: entries to commit, their quorums, calls of other origins."""

    entries: EntryBuilder
    quorums: CallQuorums
    queries: CallQueries


@dataclass(frozen=True, kw_only=True, slots=True)
class JournalReplication:
    """The journal of one front end: replicates its own entries, and is a replica of others' journals."""

    store: JournalStore
    server: ReplicaServer
    sender: ReplicationSender
    replacement: ReplicaReplacement
    calls: CallReplication

    @property
    def address(self) -> str:
        """Where this front end serves as a replica, as IP:PORT."""
        return "{}:{}".format(*self.server.server.address)

    def close(self) -> None:
        """Accept no more connections, and send nothing more."""
        self.server.server.stop_accepting()
        self.sender.close()
