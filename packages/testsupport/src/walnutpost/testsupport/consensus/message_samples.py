"""Messages, log entries and snapshots of replicas that the golden file of the protocol holds."""

from __future__ import annotations

from walnutpost import consensus
from walnutpost.consensus.log_entries import EntryKind, LogEntry, Members, Snapshot
from walnutpost.consensus.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, packed

# Inputs and effects pass between objects of one process and are neither sent nor stored.
NEVER_WRITTEN = (
    consensus.Tick,
    consensus.MessageReceived,
    consensus.WriteCompleted,
    consensus.Propose,
    consensus.ReadIndex,
    consensus.ChangeMembership,
    consensus.TransferLeadership,
    consensus.Compact,
    consensus.Write,
    consensus.Send,
    consensus.Apply,
    consensus.Restore,
    consensus.ReadReady,
    consensus.Rejected,
    consensus.RoleChanged,
)

MEMBERS = Members(voters=("k1#aa", "k2#bb"), learners=("k3#cc",))
OPENING = LogEntry(index=41, term=11, kind=EntryKind.OPENING)
COMMAND = LogEntry(index=42, term=12, kind=EntryKind.COMMAND, id="asker-1", data=b"\x00\xffcommand")
MEMBERSHIP = LogEntry(index=43, term=13, kind=EntryKind.MEMBERS, id="asker-2", data=b"note", members=MEMBERS)
SNAPSHOT = Snapshot(index=51, term=14, members=MEMBERS, data=b"\x01\xfestate")
EMPTY_SNAPSHOT = Snapshot(index=0, term=0, members=Members(), data=b"")

MESSAGES: dict[str, Message] = {
    "vote-request.all-fields": VoteRequest(
        term=21, sender="k1#aa", last_index=22, last_term=23, pre_vote=True, leadership_transfer=True
    ),
    "vote-request.trial-only": VoteRequest(
        term=21, sender="k1#aa", last_index=22, last_term=23, pre_vote=True, leadership_transfer=False
    ),
    "vote-request.defaults": VoteRequest(term=21, sender="k1#aa", last_index=22, last_term=23),
    "vote-answer.all-fields": VoteResponse(term=24, sender="k2#bb", granted=False, pre_vote=True),
    "vote-answer.defaults": VoteResponse(term=24, sender="k2#bb", granted=True),
    "append-request.all-fields": AppendEntries(
        term=25,
        sender="k1#aa",
        prev_index=26,
        prev_term=27,
        entries=(OPENING, COMMAND, MEMBERSHIP),
        commit_index=28,
        round=29,
        quorum_contact_age_us=1_500_000,
        echoed_sent_at_us=2**40,
    ),
    "append-request.defaults": AppendEntries(
        term=25, sender="k1#aa", prev_index=26, prev_term=27, entries=(), commit_index=28, round=29
    ),
    "append-answer.all-fields": AppendEntriesResponse(
        term=31, sender="k3#cc", success=True, match_index=32, round=33, sent_at_us=2**41
    ),
    "append-answer.defaults": AppendEntriesResponse(
        term=31, sender="k3#cc", success=False, match_index=32, round=33
    ),
    "install-request.all-fields": InstallSnapshot(term=34, sender="k1#aa", snapshot=SNAPSHOT, round=35),
    "take-over.all-fields": TimeoutNow(term=36, sender="k1#aa"),
}

FORMS: dict[str, Form] = {
    **{name: packed(message, Message) for name, message in MESSAGES.items()},
    "log-entry.opening": packed(OPENING),
    "log-entry.command": packed(COMMAND),
    "log-entry.membership": packed(MEMBERSHIP),
    "membership.all-fields": packed(MEMBERS),
    "membership.defaults": packed(Members()),
    "replica-snapshot.all-fields": packed(SNAPSHOT),
    "replica-snapshot.of-a-new-disk": packed(EMPTY_SNAPSHOT),
}

GOLDEN = Golden(
    golden_folder("consensus") / "replication.json",
    "Messages between replicas of the control plane, and the log entries and snapshots of a replica's disk "
    "(msgpack). Names don't follow those of classes.",
    FORMS,
)
