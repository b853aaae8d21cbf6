"""A replica's entries after its snapshot, and the members that hold at its end."""

from __future__ import annotations

from collections.abc import Sequence

from walnutpost.consensus.messages import Entry, Kind, Members, Snapshot


class Log:
    """Entries `snapshot.index` + 1 to `last`; nothing here is durable by itself."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry] = ()) -> None:
        self.snapshot = snapshot
        self._entries = list(entries)
        if any(e.index != snapshot.index + 1 + n for n, e in enumerate(self._entries)):
            raise ValueError("entries that don't follow one on the other")
        self.members, self.members_at = self._members()

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """None where the entry isn't held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self._entries[place].term if 0 <= place < len(self._entries) else None

    def after(self, index: int, most: int | None = None) -> tuple[Entry, ...]:
        place = max(0, index - self.snapshot.index)
        return tuple(self._entries[place : None if most is None else place + most])

    def add(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.index != self.last + 1:
                raise ValueError(f"entry {entry.index} after {self.last}")
            self._entries.append(entry)
            if entry.kind is Kind.MEMBERS:
                self.members, self.members_at = entry.members, entry.index

    def cut(self, keep: int) -> None:
        """Drops entries above `keep`; members are those that then hold."""
        del self._entries[max(0, keep - self.snapshot.index) :]
        self.members, self.members_at = self._members()

    def back(self, index: int) -> int:
        """The index before the run of entries of one term that ends at `index`: where to look next when that
        term is not the leader's."""
        term = self.term(index)
        while index > self.snapshot.index and self.term(index) == term:
            index -= 1
        return index

    def compact(self, snapshot: Snapshot) -> None:
        """Takes the snapshot in place of what it covers; what follows stays where it is the same history."""
        if self.term(snapshot.index) == snapshot.term:
            self._entries = self._entries[snapshot.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = snapshot
        self.members, self.members_at = self._members()

    def _members(self) -> tuple[Members, int]:
        for entry in reversed(self._entries):
            if entry.kind is Kind.MEMBERS:
                return entry.members, entry.index
        return self.snapshot.members, self.snapshot.index

    def members_by(self, index: int) -> Members:
        """Those that held once entry `index` was applied."""
        for entry in reversed(self._entries[: max(0, index - self.snapshot.index)]):
            if entry.kind is Kind.MEMBERS:
                return entry.members
        return self.snapshot.members
