"""The log: entries after the snapshot, and the membership at its end."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from walnutpost.consensus.errors import LogGapError
from walnutpost.consensus.log_entries import (
    EntryKind,
    LogEntry,
    Members,
    Snapshot,
)


class Log:
    """Entries `snapshot.index` + 1 to `last_index`; being in this log does not make an entry durable.

    `members`: the membership at the end of the log, which entry `members_index` (or the snapshot) set. Raises
    LogGapError if the entries don't follow the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        for wanted_index, entry in enumerate(self._entries, snapshot.index + 1):
            if entry.index != wanted_index:
                raise LogGapError(entry.index, wanted_index)
        self._update_members()

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of entry `index`, None if this log doesn't have it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        return self._entries[position].term if 0 <= position < len(self._entries) else None

    def entries_after(self, index: int, max_entries: int | None = None) -> tuple[LogEntry, ...]:
        """Return the entries after `index`, at most `max_entries` of them."""
        start = max(0, index - self.snapshot.index)
        end = None if max_entries is None else start + max_entries
        return tuple(self._entries[start:end])

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries at the end. Raises LogGapError at the first that doesn't follow."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise LogGapError(entry.index, self.last_index + 1)
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERS:
                self.members = entry.members
                self.members_index = entry.index

    def truncate(self, last_retained_index: int) -> None:
        """Drop the entries above `last_retained_index`; the membership is the one in force there."""
        del self._entries[max(0, last_retained_index - self.snapshot.index) :]
        self._update_members()

    def last_index_before_term_run(self, index: int) -> int:
        """Return the index before the run of entries of one term that ends at `index`.

        The leader tries there next if that term is not its own.
        """
        term = self.term_at(index)
        while index > self.snapshot.index and self.term_at(index) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries that a snapshot (own or leader's) covers; later ones stay if they follow it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = snapshot
        self._update_members()

    def members_as_of(self, index: int) -> Members:
        """Return the membership after entry `index`."""
        for entry in reversed(self._entries[: max(0, index - self.snapshot.index)]):
            if entry.kind is EntryKind.MEMBERS:
                return entry.members
        return self.snapshot.members

    def _update_members(self) -> None:
        self.members = self.snapshot.members
        self.members_index = self.snapshot.index
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.MEMBERS:
                self.members = entry.members
                self.members_index = entry.index
                return
