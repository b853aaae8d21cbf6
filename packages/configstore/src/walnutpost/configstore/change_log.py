"""The log of a store's last change sets, for watchers that are behind. No I/O."""

from __future__ import annotations

from bisect import bisect_right

from walnutpost.configstore.messages import ChangeSet
from walnutpost.configstore.validation import encoded_size


class ChangeLog:
    """All change sets after `compacted_revision`, in order.

    `compact` moves `compacted_revision` by the log alone, so all replicas do it at the same entry.
    `max_entries`: change sets in the log, 0 for a store that is not watched; `max_bytes`: their encoded size.
    """

    def __init__(self, compacted_revision: int, max_entries: int, max_bytes: int) -> None:
        self.compacted_revision = compacted_revision
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._changes: list[ChangeSet] = []
        self._sizes: list[int] = []
        self._size_bytes = 0

    def changes(self) -> list[ChangeSet]:
        """Return all change sets in order; the caller must not change the list."""
        return self._changes

    def append(self, change: ChangeSet) -> None:
        """Add the next change set; without a log it is compacted at once."""
        if not self._max_entries:
            self.compacted_revision = change.revision
            return
        size = encoded_size(change)
        self._changes.append(change)
        self._sizes.append(size)
        self._size_bytes += size

    def compact(self) -> None:
        """Drop the oldest change sets until the log is within its limits."""
        dropped = 0
        while len(self._changes) - dropped > self._max_entries or self._size_bytes > self._max_bytes:
            self._size_bytes -= self._sizes[dropped]
            self.compacted_revision = self._changes[dropped].revision
            dropped += 1
        del self._changes[:dropped], self._sizes[:dropped]

    def changes_since(self, revision: int, max_bytes: int | None = None) -> list[ChangeSet]:
        """Return the change sets after `revision` in order; it must not be compacted.

        `max_bytes`: their encoded size; the first one is returned even if it alone is larger.
        """
        first = bisect_right(self._changes, revision, key=lambda change: change.revision)
        if max_bytes is None:
            return self._changes[first:]
        end = first
        while end < len(self._changes) and (end == first or max_bytes >= self._sizes[end]):
            max_bytes -= self._sizes[end]
            end += 1
        return self._changes[first:end]
