"""Records by key, with the set of keys whose records are not persisted yet."""

from __future__ import annotations

from collections.abc import Collection, Hashable, Iterable, ValuesView
from typing import Generic, Protocol, TypeVar

KeyOut = TypeVar("KeyOut", bound=Hashable, covariant=True)


class Keyed(Protocol[KeyOut]):
    """A record that has a key."""

    @property
    def key(self) -> KeyOut:
        """Return the key of the record."""


Key = TypeVar("Key", bound=Hashable)
Record = TypeVar("Record", bound=Keyed[Hashable])


class TrackedRecords(Generic[Key, Record]):
    """Records by key. A record that replaces another must be persisted again."""

    def __init__(self) -> None:
        self._records: dict[Key, Record] = {}
        self._unwritten: dict[Key, None] = {}  # in the order of their changes

    def get(self, key: Key) -> Record | None:
        """Return the record of a key, or None."""
        return self._records.get(key)

    def values(self) -> ValuesView[Record]:
        """Return all records."""
        return self._records.values()

    def put(self, key: Key, record: Record) -> None:
        """Add or replace the record of a key."""
        self._records[key] = record
        self._unwritten[key] = None

    def remove(self, keys: Collection[Key]) -> None:
        """Remove records, persisted or not."""
        for key in keys:
            del self._records[key]
            self._unwritten.pop(key, None)

    @property
    def has_unwritten(self) -> bool:
        """Whether any record is not persisted yet."""
        return bool(self._unwritten)

    def unwritten(self) -> list[Record]:
        """Return the records that are not persisted yet."""
        return [self._records[key] for key in self._unwritten]

    def mark_written(self, records: Iterable[Record]) -> None:
        """Mark records as persisted. A key whose record was replaced meanwhile stays unwritten."""
        written = {id(record) for record in records}
        for key in list(self._unwritten):
            if id(self._records[key]) in written:
                del self._unwritten[key]

    def mark_all_written(self) -> None:
        """Mark all records as persisted."""
        self._unwritten.clear()
