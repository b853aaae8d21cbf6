"""The digests of a store and of its buckets."""

from __future__ import annotations

from random import Random

import pytest

from walnutpost.configstore import (
    DIGEST_BUCKETS,
    ConfigStore,
    Entry,
    bucket_of,
    entry_digest,
)
from walnutpost.testsupport.configstore.stores import filled


def test_digest_is_independent_of_the_order_of_changes() -> None:
    random = Random(1)
    keys = [f"function/f{n}" for n in range(2000)]
    entries = {key: Entry(key, random.randbytes(20), n + 1) for n, key in enumerate(keys)}
    one = ConfigStore.from_entries(entries, 2000)
    random.shuffle(keys)
    other = ConfigStore.from_entries({key: entries[key] for key in keys}, 2000)
    assert one.digest == other.digest != 0
    assert one.bucket_digests() == other.bucket_digests()
    assert one.digest == sum(one.bucket_digests()) % 2**64
    assert one.digest == sum(entry_digest(e.key, e.value, e.revision) for e in entries.values()) % 2**64
    assert all(one.bucket_digests())
    assert {bucket_of(key) for key in keys} == set(range(DIGEST_BUCKETS))


@pytest.mark.parametrize(
    "wrong",
    [
        Entry("function/f00007", b"8", 16),
        Entry("function/f00007", b"7", 17),
        Entry("function/f00008", b"7", 16),
        None,
    ],
)
def test_computed_bucket_digests_show_the_bucket_of_a_corrupted_entry(wrong: Entry | None) -> None:
    store = filled(500)
    assert store.compute_bucket_digests() == store.bucket_digests()
    rest = store.entries.delete("function/f00007")
    store.entries = rest if wrong is None else rest.set("function/f00007", wrong)
    differ = [
        n
        for n, (a, b) in enumerate(zip(store.compute_bucket_digests(), store.bucket_digests(), strict=True))
        if a != b
    ]
    assert bucket_of("function/f00007") in differ
    assert len(differ) <= 2
