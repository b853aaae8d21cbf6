"""The configuration store: a versioned key-value map with a log of its last change sets. No I/O, no clock.

Invariants:
- `_commit` alone changes entries; a change set is applied completely or not at all.
- `digest` is the sum of the entries' digests at each revision.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import count
from typing import Self

from immutables import Map

from walnutpost.configstore.change_log import ChangeLog
from walnutpost.configstore.errors import (
    DigestMismatchError,
    InvalidChangeError,
    InvalidSnapshotError,
    OutOfOrderError,
)
from walnutpost.configstore.messages import ChangeSet, Entry, Mutation
from walnutpost.configstore.sorted_keys import SortedKeys
from walnutpost.configstore.store_digests import StoreDigests, compute_bucket_digests
from walnutpost.configstore.stored_snapshot import StoredSnapshot, decode_snapshot, encode_snapshot
from walnutpost.configstore.validation import validate_mutations

MAX_LOG_CHANGE_SETS = 5000
"""Change sets in the log: two days at 2,200 a day."""
MAX_LOG_BYTES = 8 * 1024 * 1024
_store_ids = count(1)


class ConfigStore:
    """The entries at one revision, and the change sets that led to it as far as the log goes back.

    A store starts empty; see `from_entries` and `restore`.

    `max_log_entries`: change sets in the log for watchers that are behind, 0 if this store is not watched;
    `max_log_bytes`: their encoded size.
    `entries`: a persistent map; a reader's reference is not affected by later changes.
    `revision`: of the last change set.
    `store_id`: differs for each store of this process.
    """

    def __init__(
        self, max_log_entries: int = MAX_LOG_CHANGE_SETS, max_log_bytes: int = MAX_LOG_BYTES
    ) -> None:
        self.store_id = next(_store_ids)
        self.entries: Map[str, Entry] = Map()
        self.revision = 0
        self._digests = StoreDigests()
        self._log = ChangeLog(0, max_log_entries, max_log_bytes)
        self._sorted_keys = SortedKeys()

    @classmethod
    def from_entries(
        cls,
        entries: Mapping[str, Entry],
        revision: int,
        log: Iterable[ChangeSet] = (),
        compacted_revision: int | None = None,
        max_log_entries: int = MAX_LOG_CHANGE_SETS,
        max_log_bytes: int = MAX_LOG_BYTES,
    ) -> Self:
        """Create the store with these entries at `revision`; computes the digests of all of them.

        `log`: all change sets after `compacted_revision`, which is `revision` if there are none.
        """
        store = cls(max_log_entries, max_log_bytes)
        store.entries = entries if isinstance(entries, Map) else Map(entries)
        store.revision = revision
        store._digests = StoreDigests.of_entries(store.entries)
        store._log.compacted_revision = revision if compacted_revision is None else compacted_revision
        for change in log:
            store._log.append(change)
        store._log.compact()
        return store

    @classmethod
    def restore(
        cls, data: bytes, max_log_entries: int = MAX_LOG_CHANGE_SETS, max_log_bytes: int = MAX_LOG_BYTES
    ) -> Self:
        """Decode a snapshot; raise InvalidSnapshotError if it is none, or damaged."""
        content = decode_snapshot(data)
        entries = {entry.key: entry for entry in content.entries}
        store = cls.from_entries(
            entries,
            content.revision,
            content.log,
            content.compacted_revision,
            max_log_entries,
            max_log_bytes,
        )
        if store.digest != content.digest:
            raise InvalidSnapshotError(
                f"digest {store.digest:016x} of the entries at revision {content.revision}, "
                f"committed was {content.digest:016x}"
            )
        return store

    @property
    def digest(self) -> int:
        """The sum of the entries' digests."""
        return self._digests.digest

    @property
    def compacted_revision(self) -> int:
        """The log has all change sets after it."""
        return self._log.compacted_revision

    def propose(self, revision: int, mutations: Sequence[Mutation]) -> ChangeSet:
        """Validate and apply the mutations that were committed at `revision`; return their change set.

        Raises InvalidChangeError; the store is unchanged then.
        """
        faults = validate_mutations(mutations)
        if revision <= self.revision:
            faults.append(f"change set: found revision {revision}, wanted one after {self.revision}")
        if faults:
            raise InvalidChangeError(faults)
        change = ChangeSet(revision, tuple(mutations), self._digest_after(revision, mutations))
        self._commit(change)
        return change

    def apply(self, change: ChangeSet) -> None:
        """Apply a committed change set.

        Raises OutOfOrderError or DigestMismatchError; the store is unchanged then.
        """
        if change.revision <= self.revision:
            raise OutOfOrderError(change.revision, self.revision)
        self._commit(change)

    def changes_since(self, revision: int, max_bytes: int | None = None) -> list[ChangeSet] | None:
        """Return the change sets after `revision` in order, or None if it is compacted or in the future.

        `max_bytes`: their encoded size; the first one is returned even if it alone is larger.
        """
        if not self.compacted_revision <= revision <= self.revision:
            return None
        return self._log.changes_since(revision, max_bytes)

    def keys_after(self, key: str) -> Iterator[str]:
        """Iterate over the keys after `key` in order; the store must not change meanwhile."""
        return self._sorted_keys.after(key, self.entries)

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket as the change sets made it."""
        return self._digests.bucket_digests()

    def compute_bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket, computed from all entries as they are in memory."""
        return compute_bucket_digests(self.entries)

    def snapshot(self) -> bytes:
        """Encode the store with its log: the same bytes at each replica at the same entry of the log."""
        entries = [self.entries[key] for key in sorted(self.entries)]
        content = StoredSnapshot(
            self.revision, self.compacted_revision, self.digest, entries, self._log.changes()
        )
        return encode_snapshot(content)

    def _digest_after(self, revision: int, mutations: Sequence[Mutation]) -> int:
        return self._digests.after(self.entries, revision, mutations).digest

    def _commit(self, change: ChangeSet) -> None:
        """Replace entries, revision and digest together, at the end, so that no reader sees a part."""
        digests = self._digests.after(self.entries, change.revision, change.mutations)
        if digests.digest != change.digest:
            raise DigestMismatchError(change.revision, digests.digest, change.digest)
        entries = self._entries_after(change)
        self._sorted_keys.update(change.mutations, self.entries)
        self._digests.apply(digests)
        self.entries = entries
        self.revision = change.revision
        self._log.append(change)
        self._log.compact()

    def _entries_after(self, change: ChangeSet) -> Map[str, Entry]:
        mutable = self.entries.mutate()
        for mutation in change.mutations:
            if mutation.value is None:
                mutable.pop(mutation.key, None)
                continue
            # The same key object as before, or the map would keep both in memory.
            previous = self.entries.get(mutation.key)
            key = mutation.key if previous is None else previous.key
            mutable[key] = Entry(key, mutation.value, change.revision)
        return mutable.finish()
