"""Incremental checks of a store's entries in memory against its bucket digests, and when they run. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from walnutpost.configstore.digests import (
    DIGEST_BUCKETS,
    add_entry_digests,
    differing_buckets,
    mask_digests,
)
from walnutpost.configstore.messages import Entry
from walnutpost.configstore.store import ConfigStore

VERIFY_INTERVAL_US = 5_000_000
"""Minimum time between the beginnings of two digest checks while changes arrive."""


class DigestCheck:
    """Reads the store as it was when the check began, a part at a time, while changes continue."""

    def __init__(self, store: ConfigStore) -> None:
        self._expected = store.bucket_digests()
        self._entries: Iterator[Entry] = iter(store.entries.values())
        self._bucket_sums = [0] * DIGEST_BUCKETS

    def advance(self, max_entries: int) -> set[int] | None:
        """Read up to `max_entries`; return the buckets that differ once all are read, None before."""
        batch = list(islice(self._entries, max_entries))
        add_entry_digests(batch, self._bucket_sums)
        if len(batch) == max_entries:
            return None
        return differing_buckets(mask_digests(self._bucket_sums), self._expected)


class _CheckedPosition(NamedTuple):
    """When the last digest check began, and what it checked."""

    began_us: int
    store_id: int
    revision: int


class DigestChecks:
    """The digest checks of a store: one at a time, after changes, at most one each VERIFY_INTERVAL_US."""

    def __init__(self) -> None:
        self._current: DigestCheck | None = None
        self._last: _CheckedPosition | None = None

    @property
    def is_running(self) -> bool:
        """Whether a check is in progress."""
        return self._current is not None

    def cancel(self) -> None:
        """End the check in progress without a result, because its store is being replaced."""
        self._current = None

    def advance(self, now: int, store: ConfigStore, max_entries: int) -> set[int]:
        """Begin a check of `store` if one is due, or continue; return the buckets that were found to differ.

        The set is empty until the check is complete.
        """
        if self._current is None:
            self._current = self._begin_if_due(now, store)
        if self._current is None:
            return set()
        differing = self._current.advance(max_entries)
        if differing is None:
            return set()
        self._current = None
        return differing

    def _begin_if_due(self, now: int, store: ConfigStore) -> DigestCheck | None:
        last = self._last
        if last is not None:
            is_unchanged = (last.store_id, last.revision) == (store.store_id, store.revision)
            if now - last.began_us < VERIFY_INTERVAL_US or is_unchanged:
                return None
        self._last = _CheckedPosition(now, store.store_id, store.revision)
        return DigestCheck(store)
