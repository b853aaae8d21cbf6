"""Log entries, snapshots and memberships: what replicas store and send each other.

Indexes of log entries count from 1.

Invariant: all records are written by position, so field and class names are free, but the order of fields and
the values of enums are part of the wire form and of stored logs. New fields go at the end, with a default.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014); Ongaro's thesis,
chapters 3 (leadership transfer), 4 (membership changes, one voter at a time), 5 (snapshots), 6.4 (ReadIndex),
9.6 (pre-vote).
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen value that `msgspec.msgpack` writes and reads by position."""


class EntryKind(IntEnum):
    """The kind of a log entry. Values are stored; the control plane's history shows the names."""

    OPENING = 0
    """A no-op: the first entry of a leader's term, which commits with it what older terms left."""
    COMMAND = 1
    """A command for the state machine."""
    MEMBERS = 2
    """A membership change; it takes effect as soon as it is in a replica's log."""


class Members(Record, frozen=True):
    """The membership: `voters` form quorums, `learners` receive the log and have no vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return (*self.voters, *self.learners)


class LogEntry(Record, frozen=True):
    """A log entry. `id`: the client's request id, by which its reply is found. `members`: for MEMBERS."""

    index: int
    term: int
    kind: EntryKind
    id: str = ""
    data: bytes = b""
    members: Members = Members()


class Snapshot(Record, frozen=True):
    """The state machine's state after entry `index`, which replaces all entries up to it."""

    index: int
    term: int
    members: Members
    data: bytes
