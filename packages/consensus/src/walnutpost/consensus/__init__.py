"""Raft without I/O and clock: one log for a few processes that may crash, pause and be partitioned.

Source: see `log_entries.py`.
"""

from walnutpost.consensus.effects import (
    LEADER_NOT_READY,
    LEADERSHIP_LOST,
    NOT_LEADER,
    Apply,
    Effect,
    ReadReady,
    Rejected,
    Restore,
    Role,
    RoleChanged,
    Send,
    Write,
)
from walnutpost.consensus.errors import CommittedEntryConflictError, ConsensusError, LogGapError
from walnutpost.consensus.inputs import (
    ChangeMembership,
    Compact,
    Input,
    MessageReceived,
    Propose,
    ReadIndex,
    Tick,
    TransferLeadership,
    WriteCompleted,
)
from walnutpost.consensus.log_entries import (
    EntryKind,
    LogEntry,
    Members,
    Snapshot,
)
from walnutpost.consensus.messages import Message, VoteRequest, VoteResponse
from walnutpost.consensus.raft import Raft
from walnutpost.consensus.safety import RAFT_RULES, SafetyRules
from walnutpost.consensus.state import PersistentState, Timing

__all__ = [
    "LEADERSHIP_LOST",
    "LEADER_NOT_READY",
    "NOT_LEADER",
    "RAFT_RULES",
    "Apply",
    "ChangeMembership",
    "CommittedEntryConflictError",
    "Compact",
    "ConsensusError",
    "Effect",
    "EntryKind",
    "Input",
    "LogEntry",
    "LogGapError",
    "Members",
    "Message",
    "MessageReceived",
    "PersistentState",
    "Propose",
    "Raft",
    "ReadIndex",
    "ReadReady",
    "Rejected",
    "Restore",
    "Role",
    "RoleChanged",
    "SafetyRules",
    "Send",
    "Snapshot",
    "Tick",
    "Timing",
    "TransferLeadership",
    "VoteRequest",
    "VoteResponse",
    "Write",
    "WriteCompleted",
]
