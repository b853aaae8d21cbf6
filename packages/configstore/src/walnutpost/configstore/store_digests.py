"""The digests of a store, updated by each change set at the cost of the change set. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from walnutpost.configstore.digests import (
    DIGEST_BUCKETS,
    DIGEST_MASK,
    add_entry_digests,
    bucket_of,
    entry_digest,
    mask_digests,
)
from walnutpost.configstore.messages import Entry, Mutation


@dataclass(frozen=True, slots=True)
class DigestUpdate:
    """The digests after a change set.

    `bucket_sums`: of the buckets that it changes.
    `digest`: of the store.
    """

    bucket_sums: Mapping[int, int]
    digest: int


class StoreDigests:
    """The digest of each bucket, and of the store; it begins with those of an empty store."""

    def __init__(self) -> None:
        self.digest = 0
        self._bucket_sums = [0] * DIGEST_BUCKETS

    @classmethod
    def of_entries(cls, entries: Mapping[str, Entry]) -> StoreDigests:
        """Compute the digests of all entries."""
        digests = cls()
        digests._bucket_sums = list(compute_bucket_digests(entries))
        digests.digest = sum(digests._bucket_sums) & DIGEST_MASK
        return digests

    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._bucket_sums)

    def after(
        self, entries: Mapping[str, Entry], revision: int, mutations: Iterable[Mutation]
    ) -> DigestUpdate:
        """Return the digests after mutations of `entries` at `revision`; changes nothing."""
        bucket_sums: dict[int, int] = {}
        digest = self.digest
        for mutation in mutations:
            bucket = bucket_of(mutation.key)
            difference = 0
            previous = entries.get(mutation.key)
            if previous is not None:
                difference -= entry_digest(previous.key, previous.value, previous.revision)
            if mutation.value is not None:
                difference += entry_digest(mutation.key, mutation.value, revision)
            total = bucket_sums.get(bucket, self._bucket_sums[bucket])
            bucket_sums[bucket] = (total + difference) & DIGEST_MASK
            digest += difference
        return DigestUpdate(bucket_sums, digest & DIGEST_MASK)

    def apply(self, update: DigestUpdate) -> None:
        """Replace the digests by those after a change set."""
        for bucket, total in update.bucket_sums.items():
            self._bucket_sums[bucket] = total
        self.digest = update.digest


def compute_bucket_digests(entries: Mapping[str, Entry]) -> tuple[int, ...]:
    """Return the digest of each bucket, computed from all entries as they are in memory."""
    bucket_sums = [0] * DIGEST_BUCKETS
    add_entry_digests(entries.values(), bucket_sums)
    return mask_digests(bucket_sums)
