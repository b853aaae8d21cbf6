"""Digests by which two copies of the configuration store are compared. No I/O.

The digest of a store is the sum of its entries' digests modulo 2**64, so it is updated by each change at
the cost of the change. Keys are hashed into buckets; a digest for each bucket locates a difference.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from walnutpost.configstore.messages import Entry

DIGEST_BUCKETS = 256
"""Number of buckets: some 150 entries in each at 38,000 entries."""
DIGEST_MASK = 2**64 - 1
"""Digests are unsigned integers of 64 bits."""


def bucket_of(key: str) -> int:
    """Return the digest bucket of a key."""
    return xxh3_64_intdigest(key.encode()) % DIGEST_BUCKETS


def entry_digest(key: str, value: bytes, revision: int) -> int:
    """Return the 64-bit digest of an entry: it detects corruption, loss and doubling, not forgery."""
    return xxh3_64_intdigest(value, xxh3_64_intdigest(key.encode()) ^ revision)


def add_entry_digests(entries: Iterable[Entry], bucket_sums: list[int]) -> None:
    """Add the digests of the entries to the sums of their buckets, without masking.

    Repeats `bucket_of` and `entry_digest` inline, because it reads whole stores.
    """
    digest = xxh3_64_intdigest
    for entry in entries:
        key_hash = digest(entry.key.encode())
        bucket_sums[key_hash % DIGEST_BUCKETS] += digest(entry.value, key_hash ^ entry.revision)


def mask_digests(bucket_sums: Iterable[int]) -> tuple[int, ...]:
    """Reduce sums of digests to 64 bits."""
    return tuple(total & DIGEST_MASK for total in bucket_sums)


def differing_buckets(one: Sequence[int], other: Sequence[int]) -> set[int]:
    """Return the buckets whose digests differ; all buckets where the numbers of digests differ."""
    if len(one) != len(other):
        return set(range(DIGEST_BUCKETS))
    return {bucket for bucket, (a, b) in enumerate(zip(one, other, strict=True)) if a != b}
