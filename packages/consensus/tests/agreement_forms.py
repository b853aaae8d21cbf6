"""The objects behind the golden forms of replicas' messages and of what is stored of a replica."""

from __future__ import annotations

from pathlib import Path

from golden_forms import Form, Golden, packed
from walnutpost.consensus import messages as wire
from walnutpost.consensus.messages import (
    Append,
    Appended,
    Entry,
    Install,
    Kind,
    Members,
    Message,
    Snapshot,
    TakeOver,
    VoteAsked,
    VoteGiven,
)

# Inputs and effects pass between objects of one process.
NEVER_WRITTEN = (
    wire.Due,
    wire.Received,
    wire.Written,
    wire.Propose,
    wire.Read,
    wire.Change,
    wire.Transfer,
    wire.Compact,
    wire.Write,
    wire.Send,
    wire.Apply,
    wire.Restore,
    wire.ReadReady,
    wire.Rejected,
    wire.RoleChanged,
)

MEMBERS = Members(voters=("k1#aa", "k2#bb"), learners=("k3#cc",))
OPENING = Entry(index=41, term=11, kind=Kind.OPENING)
COMMAND = Entry(index=42, term=12, kind=Kind.COMMAND, id="asker-1", data=b"\x00\xffcommand")
MEMBERSHIP = Entry(index=43, term=13, kind=Kind.MEMBERS, id="asker-2", data=b"note", members=MEMBERS)
SNAPSHOT = Snapshot(index=51, term=14, members=MEMBERS, data=b"\x01\xfestate")
EMPTY_SNAPSHOT = Snapshot(index=0, term=0, members=Members(), data=b"")

MESSAGES: dict[str, Message] = {
    "vote-request.all-fields": VoteAsked(
        term=21, sender="k1#aa", last_index=22, last_term=23, trial=True, told=True
    ),
    "vote-request.trial-only": VoteAsked(
        term=21, sender="k1#aa", last_index=22, last_term=23, trial=True, told=False
    ),
    "vote-request.defaults": VoteAsked(term=21, sender="k1#aa", last_index=22, last_term=23),
    "vote-answer.all-fields": VoteGiven(term=24, sender="k2#bb", granted=False, trial=True),
    "vote-answer.defaults": VoteGiven(term=24, sender="k2#bb", granted=True),
    "append-request.all-fields": Append(
        term=25,
        sender="k1#aa",
        prev_index=26,
        prev_term=27,
        entries=(OPENING, COMMAND, MEMBERSHIP),
        commit=28,
        round=29,
        age=1_500_000,
        echo=2**40,
    ),
    "append-request.defaults": Append(
        term=25, sender="k1#aa", prev_index=26, prev_term=27, entries=(), commit=28, round=29
    ),
    "append-answer.all-fields": Appended(term=31, sender="k3#cc", ok=True, match=32, round=33, stamp=2**41),
    "append-answer.defaults": Appended(term=31, sender="k3#cc", ok=False, match=32, round=33),
    "install-request.all-fields": Install(term=34, sender="k1#aa", snapshot=SNAPSHOT, round=35),
    "take-over.all-fields": TakeOver(term=36, sender="k1#aa"),
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
    Path(__file__).parent / "golden" / "replication.json",
    "Messages between replicas of the control plane, and the log entries and snapshots of a replica's disk "
    "(msgpack). Names don't follow those of classes.",
    FORMS,
)
