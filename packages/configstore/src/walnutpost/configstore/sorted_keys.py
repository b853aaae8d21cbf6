"""The keys of a store in order, for the pages of snapshots. No I/O."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator, Mapping

from walnutpost.configstore.messages import Entry, Mutation


class SortedKeys:
    """A sorted list of the keys, built at its first use: a member's store, which is not watched, has none."""

    def __init__(self) -> None:
        self._keys: list[str] | None = None

    def after(self, key: str, entries: Mapping[str, Entry]) -> Iterator[str]:
        """Iterate over the keys of `entries` after `key`; they must not change meanwhile."""
        if self._keys is None:
            self._keys = sorted(entries)
        keys = self._keys
        return (keys[place] for place in range(bisect_right(keys, key), len(keys)))

    def update(self, mutations: Iterable[Mutation], entries: Mapping[str, Entry]) -> None:
        """Follow the mutations; `entries` are those before them."""
        if self._keys is None:
            return
        for mutation in mutations:
            if mutation.value is None and mutation.key in entries:
                del self._keys[bisect_right(self._keys, mutation.key) - 1]
            elif mutation.value is not None and mutation.key not in entries:
                insort(self._keys, mutation.key)
