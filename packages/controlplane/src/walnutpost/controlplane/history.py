"""Entries of the log for people."""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.consensus import EntryKind, LogEntry
from walnutpost.controlplane.wire import HistoryEntry
from walnutpost.fleet import (
    CommandResult,
    InvalidCommandError,
    command_name,
    decode_frame,
    describe_command,
)


def describe_entry(entry: LogEntry, results: Mapping[str, CommandResult]) -> HistoryEntry:
    """Return an entry with its description and, as far as `results` by id still has it, its result."""
    name = entry.kind.name.lower()
    description = ""
    sent_at_s = 0.0
    if entry.kind is EntryKind.MEMBERS:
        voters = ", ".join(entry.members.voters)
        learners = ", ".join(entry.members.learners)
        description = f"votes: {voters}; learns: {learners}"
    elif entry.kind is EntryKind.COMMAND:
        try:
            frame = decode_frame(entry.data)
            sent_at_s = frame.sent_at_s
            name = command_name(frame.command)
            description = describe_command(frame.command)
        except InvalidCommandError as error:
            name = "unreadable"
            description = str(error)
    result = results.get(entry.id) if entry.id else None
    return HistoryEntry(entry.index, entry.term, sent_at_s, entry.id, name, description, result)
