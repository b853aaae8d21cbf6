"""A replica's entries after its snapshot, and the members that hold at its end."""

from __future__ import annotations

from collections.abc import Sequence

from walnutpost.consensus.messages import EntryKind, LogEntry, Members, Snapshot


class Log:
    """Entries `snapshot.index` + 1 to `last`; nothing here is durable by itself."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        if any(e.index != snapshot.index + 1 + n for n, e in enumerate(self._entries)):
            raise ValueError("entries that don't follow one on the other")
        self.members, self.members_index = self._members()

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """None where the entry isn't held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self._entries[place].term if 0 <= place < len(self._entries) else None

    def entries_after(self, index: int, max_entries: int | None = None) -> tuple[LogEntry, ...]:
        place = max(0, index - self.snapshot.index)
        return tuple(self._entries[place : None if max_entries is None else place + max_entries])

    def append(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise ValueError(f"entry {entry.index} after {self.last_index}")
            self._entries.append(entry)
            if entry.kind is EntryKind.MEMBERS:
                self.members, self.members_index = entry.members, entry.index

    def truncate(self, last_retained_index: int) -> None:
        """Drops entries above `last_retained_index`; members are those that then hold."""
        del self._entries[max(0, last_retained_index - self.snapshot.index) :]
        self.members, self.members_index = self._members()

    def last_index_before_term_run(self, index: int) -> int:
        """The index before the run of entries of one term that ends at `index`: where to look next when that
        term is not the leader's."""
        term = self.term_at(index)
        while index > self.snapshot.index and self.term_at(index) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """Takes the snapshot in place of what it covers; what follows stays where it is the same history."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = snapshot
        self.members, self.members_index = self._members()

    def _members(self) -> tuple[Members, int]:
        for entry in reversed(self._entries):
            if entry.kind is EntryKind.MEMBERS:
                return entry.members, entry.index
        return self.snapshot.members, self.snapshot.index

    def members_as_of(self, index: int) -> Members:
        """Those that held once entry `index` was applied."""
        for entry in reversed(self._entries[: max(0, index - self.snapshot.index)]):
            if entry.kind is EntryKind.MEMBERS:
                return entry.members
        return self.snapshot.members
