"""Journals of deferred calls: records numbered by their origin, replicated to other sites, merged. No I/O.

`records` defines the entries, `batches` how a replica accepts them, `replication` how the origin counts
acknowledgements, `placement` which front ends are replicas, `merge` how the journals of several replicas are
merged.
"""

from walnutpost.journal.batches import (
    BatchWrite,
    InvalidBatchError,
    JournalBatch,
    JournalOffset,
    make_batch,
    plan_batch_write,
)
from walnutpost.journal.errors import JournalError
from walnutpost.journal.intervals import IntervalSet
from walnutpost.journal.merge import CallStage, CallState, MergedJournal
from walnutpost.journal.placement import ReplicaHost, choose_replicas
from walnutpost.journal.records import (
    AnyRecord,
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallRecord,
    CallWithdrawn,
    CorruptEntryError,
    JournalEntry,
    ResultsPurged,
    call_id_of,
    encode_entry,
)
from walnutpost.journal.replication import ReplicationPolicy, ReplicationState
from walnutpost.journal.replication_effects import (
    QuorumFailed,
    QuorumReached,
    ReplicaAhead,
    ReplicationEffect,
    SendBatch,
)
from walnutpost.journal.replication_inputs import (
    BatchSendFailed,
    EntriesPersisted,
    ReplicaAcknowledged,
    ReplicasAssigned,
    ReplicationInput,
    ReplicationRequested,
    Tick,
)

__all__ = [
    "AnyRecord",
    "AttemptIntended",
    "BatchSendFailed",
    "BatchWrite",
    "CallAccepted",
    "CallEnded",
    "CallRecord",
    "CallStage",
    "CallState",
    "CallWithdrawn",
    "CorruptEntryError",
    "EntriesPersisted",
    "IntervalSet",
    "InvalidBatchError",
    "JournalBatch",
    "JournalEntry",
    "JournalError",
    "JournalOffset",
    "MergedJournal",
    "QuorumFailed",
    "QuorumReached",
    "ReplicaAcknowledged",
    "ReplicaAhead",
    "ReplicaHost",
    "ReplicasAssigned",
    "ReplicationEffect",
    "ReplicationInput",
    "ReplicationPolicy",
    "ReplicationRequested",
    "ReplicationState",
    "ResultsPurged",
    "SendBatch",
    "Tick",
    "call_id_of",
    "choose_replicas",
    "encode_entry",
    "make_batch",
    "plan_batch_write",
]
