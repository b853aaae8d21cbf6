"""Inputs of `Raft.handle`. They pass between objects of one process and are never written."""

from __future__ import annotations

from walnutpost.consensus.log_entries import Members, Record
from walnutpost.consensus.messages import Message


class Tick(Record, frozen=True):
    """The time of `Raft.next_deadline_us` has come."""


class MessageReceived(Record, frozen=True):
    """A message arrived for replica `to`."""

    to: str
    message: Message


class WriteCompleted(Record, frozen=True):
    """All writes up to `number` are durable."""

    number: int


class Propose(Record, frozen=True):
    """Append a command to the log. It is answered by Apply, by Rejected, or not at all."""

    id: str
    data: bytes


class ReadIndex(Record, frozen=True):
    """Ask for a linearizable read: ReadReady follows once nothing newer than this request can be missed."""

    id: str


class ChangeMembership(Record, frozen=True):
    """Replace the membership; at most one voter may be added or removed."""

    id: str
    members: Members


class TransferLeadership(Record, frozen=True):
    """Hand the leadership over to voter `to`. Ignored if this replica doesn't lead."""

    to: str


class Compact(Record, frozen=True):
    """Replace the log up to `index` by `data`, the state machine's state after it."""

    index: int
    data: bytes


Input = (
    Tick
    | MessageReceived
    | WriteCompleted
    | Propose
    | ReadIndex
    | ChangeMembership
    | TransferLeadership
    | Compact
)
