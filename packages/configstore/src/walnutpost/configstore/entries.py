"""What may stand in the agreed table, and the digests that two copies of it are compared by. No I/O."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from walnutpost.configstore.messages import ChangeSet, Entry, Op, encode

KEY = re.compile(r"[a-z]{1,20}/[A-Za-z0-9_.-]{1,140}")
KEY_WANTED = "wanted kind/name, kind of 1 to 20 letters a-z, name of 1 to 140 of A-Z a-z 0-9 _ . -"
OPS_MOST = 1000
VALUE_MOST = 16 * 1024
CHANGE_BYTES = 128 * 1024  # encoded: a member that takes in 22 KB a second has it in 6 s, and may take 9
BUCKETS = 256  # ranges by hash of the key: some 150 entries each of 38,000
MASK = 2**64 - 1


def bucket_of(key: str) -> int:
    return xxh3_64_intdigest(key.encode()) % BUCKETS


def entry_digest(key: str, value: bytes, revision: int) -> int:
    """64 bits. It finds what was flipped, lost or doubled, and is no defence against a forger."""
    return xxh3_64_intdigest(value, xxh3_64_intdigest(key.encode()) ^ revision)


def count(entries: Iterable[Entry], sums: list[int]) -> None:
    """Adds the entries' digests to those of their ranges. As fast as it gets: it reads whole tables."""
    digest = xxh3_64_intdigest
    for entry in entries:
        hashed = digest(entry.key.encode())
        sums[hashed % BUCKETS] += digest(entry.value, hashed ^ entry.revision)


def digests(sums: Iterable[int]) -> tuple[int, ...]:
    return tuple(total & MASK for total in sums)


def encoded_size(change: ChangeSet) -> int:
    return len(encode(change))


def check_change(ops: Sequence[Op]) -> list[str]:
    """What is wrong with a change set's shape, by key: found and wanted. The values' meaning is others'."""
    wrong = []
    if not 1 <= len(ops) <= OPS_MOST:
        wrong.append(f"change set: found {len(ops)} keys, wanted 1 to {OPS_MOST}")
    for key, times in Counter(op.key for op in ops).items():
        if not KEY.fullmatch(key):
            wrong.append(f"key {key[:200]!r}: {KEY_WANTED}")
        if times > 1:
            wrong.append(f"key {key[:200]!r}: found {times} times in one change set, wanted once")
    for op in ops:
        if op.value is not None and len(op.value) > VALUE_MOST:
            wrong.append(
                f"key {op.key[:200]!r}: found a value of {len(op.value)} bytes, wanted {VALUE_MOST} at most"
            )
    size = encoded_size(ChangeSet(MASK, tuple(ops), MASK))
    if size > CHANGE_BYTES:
        wrong.append(f"change set: found {size} bytes encoded, wanted {CHANGE_BYTES} at most")
    return wrong
