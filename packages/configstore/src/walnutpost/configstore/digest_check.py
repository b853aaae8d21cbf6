"""An incremental check of a store's entries in memory against its bucket digests. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from walnutpost.configstore.digests import (
    DIGEST_BUCKETS,
    add_entry_digests,
    differing_buckets,
    mask_digests,
)
from walnutpost.configstore.messages import Entry
from walnutpost.configstore.store import ConfigStore


class DigestCheck:
    """Reads the store as it was when the check began, a part at a time, while changes go on."""

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
