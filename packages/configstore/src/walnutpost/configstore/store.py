"""The configuration store: a versioned key-value map with a log of its last change sets. No I/O, no clock.

Invariants:
- `_commit` alone changes entries; a change set is applied completely or not at all.
- `_compact` alone moves `compacted_revision`, by the log alone, so all replicas do it at the same entry.
- `digest` is the sum of the entries' digests at each revision.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import count

import msgspec
from immutables import Map
from xxhash import xxh3_64_digest

from walnutpost.configstore.digests import (
    DIGEST_BUCKETS,
    DIGEST_MASK,
    add_entry_digests,
    bucket_of,
    entry_digest,
    mask_digests,
)
from walnutpost.configstore.errors import (
    DigestMismatchError,
    InvalidChangeError,
    InvalidSnapshotError,
    OutOfOrderError,
)
from walnutpost.configstore.messages import FORMAT, ChangeSet, Entry, Mutation, Record
from walnutpost.configstore.validation import encoded_size, validate_mutations

MAX_LOG_CHANGE_SETS = 5000
"""Change sets in the log: two days at 2,200 a day."""
MAX_LOG_BYTES = 8 * 1024 * 1024
CHECKSUM_BYTES = 8
"""Size of the checksum (xxh3, 64 bits) in front of a snapshot."""
_store_ids = count(1)


class _StoredSnapshot(Record, frozen=True):
    """The body of a snapshot."""

    revision: int
    compacted_revision: int
    digest: int
    entries: list[Entry]
    log: list[ChangeSet]
    format: int = FORMAT


_snapshot_decoder = msgspec.msgpack.Decoder(_StoredSnapshot)


class ConfigStore:
    """The entries at one revision, and the change sets that led to it as far as the log goes back.

    `entries`: a persistent map; a reader's reference is not affected by later changes.
    `revision`: of the last change set.
    `compacted_revision`: the log has all change sets after it.
    `digest`: the sum of the entries' digests.
    `store_id`: differs for each store of this process.
    """

    def __init__(
        self, max_log_entries: int = MAX_LOG_CHANGE_SETS, max_log_bytes: int = MAX_LOG_BYTES
    ) -> None:
        """Create an empty store.

        `max_log_entries`: change sets in the log for watchers that are behind, 0 where nobody watches this
        store; `max_log_bytes`: their encoded size.
        """
        self.store_id = next(_store_ids)
        self.entries: Map[str, Entry] = Map()
        self.revision = 0
        self.compacted_revision = 0
        self.digest = 0
        self._bucket_sums = [0] * DIGEST_BUCKETS
        self._log: list[ChangeSet] = []
        self._log_sizes: list[int] = []
        self._log_bytes = 0
        self._max_log_entries = max_log_entries
        self._max_log_bytes = max_log_bytes
        self._sorted_keys: list[str] | None = None

    @classmethod
    def from_entries(
        cls,
        entries: Mapping[str, Entry],
        revision: int,
        log: Iterable[ChangeSet] = (),
        compacted_revision: int | None = None,
        max_log_entries: int = MAX_LOG_CHANGE_SETS,
        max_log_bytes: int = MAX_LOG_BYTES,
    ) -> ConfigStore:
        """Create the store with these entries at `revision`; computes the digests of all of them.

        `log`: all change sets after `compacted_revision`, which is `revision` where there are none.
        """
        store = cls(max_log_entries, max_log_bytes)
        store.entries = entries if isinstance(entries, Map) else Map(entries)
        store.revision = revision
        store.compacted_revision = revision if compacted_revision is None else compacted_revision
        store._bucket_sums = list(store.compute_bucket_digests())
        store.digest = sum(store._bucket_sums) & DIGEST_MASK
        for change in log:
            store._append_to_log(change)
        store._compact()
        return store

    # Changes

    def propose(self, revision: int, mutations: Sequence[Mutation]) -> ChangeSet:
        """Validate and apply the mutations that were committed at `revision`; return their change set.

        Raises InvalidChangeError; the store is unchanged then.
        """
        faults = validate_mutations(mutations)
        if revision <= self.revision:
            faults.append(f"change set: found revision {revision}, wanted one after {self.revision}")
        if faults:
            raise InvalidChangeError(faults)
        _, digest = self._digests_after(revision, mutations)
        change = ChangeSet(revision, tuple(mutations), digest)
        self._commit(change)
        return change

    def apply(self, change: ChangeSet) -> None:
        """Apply a committed change set.

        Raises OutOfOrderError or DigestMismatchError; the store is unchanged then.
        """
        if change.revision <= self.revision:
            raise OutOfOrderError(change.revision, self.revision)
        self._commit(change)

    def _commit(self, change: ChangeSet) -> None:
        """Replace entries, revision and digest together, at the end, so that no reader sees a part."""
        bucket_sums, digest = self._digests_after(change.revision, change.mutations)
        if digest != change.digest:
            raise DigestMismatchError(change.revision, digest, change.digest)
        entries = self._entries_after(change)
        if self._sorted_keys is not None:
            self._update_sorted_keys(change.mutations)
        for bucket, total in bucket_sums.items():
            self._bucket_sums[bucket] = total
        self.entries = entries
        self.revision = change.revision
        self.digest = digest
        self._append_to_log(change)
        self._compact()

    def _entries_after(self, change: ChangeSet) -> Map[str, Entry]:
        with self.entries.mutate() as mutable:
            for mutation in change.mutations:
                if mutation.value is None:
                    mutable.pop(mutation.key, None)
                    continue
                # The same key object as before, or the map would keep both in memory.
                previous = self.entries.get(mutation.key)
                key = mutation.key if previous is None else previous.key
                mutable[key] = Entry(key, mutation.value, change.revision)
            entries = mutable.finish()
        return entries

    def _digests_after(self, revision: int, mutations: Iterable[Mutation]) -> tuple[dict[int, int], int]:
        """Return the sums of the buckets that these mutations change, and the store's digest with them."""
        bucket_sums: dict[int, int] = {}
        digest = self.digest
        for mutation in mutations:
            bucket = bucket_of(mutation.key)
            difference = 0
            previous = self.entries.get(mutation.key)
            if previous is not None:
                difference -= entry_digest(previous.key, previous.value, previous.revision)
            if mutation.value is not None:
                difference += entry_digest(mutation.key, mutation.value, revision)
            total = bucket_sums.get(bucket, self._bucket_sums[bucket])
            bucket_sums[bucket] = (total + difference) & DIGEST_MASK
            digest += difference
        return bucket_sums, digest & DIGEST_MASK

    # Log

    def _append_to_log(self, change: ChangeSet) -> None:
        if not self._max_log_entries:
            self.compacted_revision = change.revision
            return
        size = encoded_size(change)
        self._log.append(change)
        self._log_sizes.append(size)
        self._log_bytes += size

    def _compact(self) -> None:
        """Drop the oldest change sets until the log is within its limits."""
        dropped = 0
        while len(self._log) - dropped > self._max_log_entries or self._log_bytes > self._max_log_bytes:
            self._log_bytes -= self._log_sizes[dropped]
            self.compacted_revision = self._log[dropped].revision
            dropped += 1
        del self._log[:dropped], self._log_sizes[:dropped]

    def changes_since(self, revision: int, max_bytes: int | None = None) -> list[ChangeSet] | None:
        """Return the change sets after `revision` in order, or None where it is compacted or in the future.

        `max_bytes`: their encoded size; the first one is returned even if it alone is larger.
        """
        if not self.compacted_revision <= revision <= self.revision:
            return None
        first = bisect_right(self._log, revision, key=lambda change: change.revision)
        if max_bytes is None:
            return self._log[first:]
        end = first
        while end < len(self._log) and (end == first or max_bytes >= self._log_sizes[end]):
            max_bytes -= self._log_sizes[end]
            end += 1
        return self._log[first:end]

    def keys_after(self, key: str) -> Iterator[str]:
        """Iterate over the keys after `key` in order; the store must not change meanwhile.

        The sorted list is made at the first use: a member, which nobody watches, never needs it.
        """
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self.entries)
        keys = self._sorted_keys
        return (keys[place] for place in range(bisect_right(keys, key), len(keys)))

    def _update_sorted_keys(self, mutations: Iterable[Mutation]) -> None:
        """Must be called before the entries change."""
        assert self._sorted_keys is not None
        for mutation in mutations:
            if mutation.value is None and mutation.key in self.entries:
                del self._sorted_keys[bisect_right(self._sorted_keys, mutation.key) - 1]
            elif mutation.value is not None and mutation.key not in self.entries:
                insort(self._sorted_keys, mutation.key)

    # Digests

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket as the change sets made it."""
        return tuple(self._bucket_sums)

    def compute_bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket, computed from all entries as they are in memory."""
        bucket_sums = [0] * DIGEST_BUCKETS
        add_entry_digests(self.entries.values(), bucket_sums)
        return mask_digests(bucket_sums)

    # Snapshots

    def snapshot(self) -> bytes:
        """Encode the store with its log: the same bytes at each replica at the same entry of the log."""
        entries = [self.entries[key] for key in sorted(self.entries)]
        content = _StoredSnapshot(self.revision, self.compacted_revision, self.digest, entries, self._log)
        body = msgspec.msgpack.encode(content)
        return xxh3_64_digest(body) + body

    @classmethod
    def restore(
        cls, data: bytes, max_log_entries: int = MAX_LOG_CHANGE_SETS, max_log_bytes: int = MAX_LOG_BYTES
    ) -> ConfigStore:
        """Decode a snapshot; raise InvalidSnapshotError where it is none, or damaged."""
        content = _decode_snapshot(data)
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


def _decode_snapshot(data: bytes) -> _StoredSnapshot:
    body = memoryview(data)[CHECKSUM_BYTES:]
    checksum = data[:CHECKSUM_BYTES]
    if xxh3_64_digest(body) != checksum:
        raise InvalidSnapshotError(
            f"checksum {checksum.hex()} does not fit the {len(body)} bytes that follow"
        )
    try:
        content = _snapshot_decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidSnapshotError(str(error)) from error
    if content.format != FORMAT:
        raise InvalidSnapshotError(f"format {content.format}, wanted {FORMAT}")
    return content
