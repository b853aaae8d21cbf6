"""The store: atomic change sets, compaction, digests, snapshots."""

from __future__ import annotations

from random import Random

import pytest
from immutables import Map

from walnutpost.configstore import (
    DIGEST_BUCKETS,
    MAX_CHANGE_SET_BYTES,
    MAX_MUTATIONS,
    MAX_VALUE_BYTES,
    ChangeSet,
    ConfigStore,
    DigestMismatchError,
    Entry,
    InvalidChangeError,
    InvalidSnapshotError,
    Mutation,
    OutOfOrderError,
    bucket_of,
    encode,
    entry_digest,
    validate_mutations,
)
from walnutpost.testsupport.configstore.stores import filled, flip, ops

# Change sets


@pytest.mark.parametrize(
    ("bad", "named"),
    [
        ((), "change set: found 0 keys, wanted 1 to 1000"),
        (ops(*map(str, range(MAX_MUTATIONS + 1))), "change set: found 1001 keys, wanted 1 to 1000"),
        ((Mutation("function", b""),), "key 'function': wanted kind/name"),
        ((Mutation("Function/f", b""),), "key 'Function/f': wanted kind/name"),
        ((Mutation("function/f g", b""),), "key 'function/f g': wanted kind/name"),
        ((Mutation("function/f\n", b""),), "key 'function/f\\n': wanted kind/name"),
        ((Mutation("function/" + "f" * 141, b""),), "wanted kind/name"),
        (ops("f", "g", "f"), "key 'function/f': found 2 times in one change set, wanted once"),
        (
            ops("f", value=bytes(MAX_VALUE_BYTES + 1)),
            "key 'function/f': found a value of 16385 bytes, wanted 16384 at most",
        ),
        (
            ops(*"abcdefgh", value=bytes(MAX_VALUE_BYTES)),
            f"bytes encoded, wanted {MAX_CHANGE_SET_BYTES} at most",
        ),
    ],
)
def test_propose_with_an_invalid_change_set_raises_with_all_faults_and_changes_nothing(
    bad: tuple[Mutation, ...], named: str
) -> None:
    store = filled(3)
    before = store.snapshot()
    assert any(named in error for error in validate_mutations(bad))
    with pytest.raises(InvalidChangeError) as refused:
        store.propose(100, (*bad, *ops("fine")) if bad and len(bad) < 9 else bad)
    assert any(named in error for error in refused.value.errors)
    assert store.snapshot() == before


def test_apply_of_an_older_revision_raises_and_changes_nothing() -> None:
    store = filled(3)
    for revision in (0, 5, 6):
        with pytest.raises(InvalidChangeError, match=f"found revision {revision}, wanted one after 6"):
            store.propose(revision, ops("f"))
    change = store.propose(7, ops("f"))
    other = filled(3)
    other.apply(change)
    before = other.snapshot()
    for late in (change, ChangeSet(6, change.mutations, change.digest)):
        with pytest.raises(OutOfOrderError, match="wanted one after 7"):
            other.apply(late)
    assert other.snapshot() == before == store.snapshot()


def test_a_deleted_key_is_gone_and_can_be_set_again() -> None:
    store = filled(3)
    digest = store.digest
    store.propose(
        10,
        (Mutation("function/new", b"n"), Mutation("function/f00001", None), Mutation("function/none", None)),
    )
    assert sorted(store.entries) == ["function/f00000", "function/f00002", "function/new"]
    assert store.compute_bucket_digests() == store.bucket_digests()
    store.propose(11, (Mutation("function/new", None), Mutation("function/f00001", b"1")))
    assert store.entries["function/f00001"].revision == 11
    assert store.digest != digest  # the same value, at another revision
    assert store.compute_bucket_digests() == store.bucket_digests()


def test_entries_read_before_a_change_stay_as_they_were() -> None:
    store = filled(100)
    read = store.entries
    seen = dict(read.items())
    walk = iter(read.items())
    next(walk)
    for n in range(100):
        store.propose(1000 + n, (Mutation(f"function/f{n:05}", None), Mutation(f"function/g{n}", b"")))
    assert dict(read.items()) == seen
    assert len(list(walk)) == 99
    assert sorted(store.entries) == sorted(f"function/g{n}" for n in range(100))


def test_apply_with_another_digest_raises_and_changes_nothing() -> None:
    store, other = filled(50), filled(50)
    change = store.propose(1000, ops("f00007", "f00008", "new"))
    before = other.snapshot()
    for wrong in (
        ChangeSet(1000, change.mutations[:-1], change.digest),
        ChangeSet(1000, change.mutations, change.digest ^ 1),
        ChangeSet(1001, change.mutations, change.digest),
    ):
        with pytest.raises(DigestMismatchError):
            other.apply(wrong)
        assert other.snapshot() == before
    other.apply(change)
    assert other.snapshot() == store.snapshot()


def test_apply_over_a_corrupted_entry_raises_digest_mismatch() -> None:
    store, other = filled(50), filled(50)
    flip(other, "function/f00007")
    with pytest.raises(DigestMismatchError):
        other.apply(store.propose(1000, ops("f00007")))


def test_a_key_changed_many_times_is_one_object_in_memory() -> None:
    """A map keeps the key that it was first given; an entry with another copy of it would cost it twice."""
    store = filled(10)
    key = "/".join(("function", "f00003"))
    (held,) = (k for k in store.entries if k == key)
    store.propose(100, (Mutation(key, b"new"),))
    assert held is not key
    assert store.entries[key].key is held
    assert store.entries[key].value == b"new"


# Digests


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


# Compaction


def test_compacted_revision_follows_the_limits_of_the_log() -> None:
    store = filled(10, max_log_entries=4)
    assert store.compacted_revision == 12
    assert store.revision == 20
    assert [c.revision for c in store.changes_since(12) or ()] == [14, 16, 18, 20]
    assert [c.revision for c in store.changes_since(15) or ()] == [16, 18, 20]  # a revision of something else
    assert store.changes_since(20) == []
    assert store.changes_since(11) is store.changes_since(21) is None
    store = filled(10, max_log_entries=0)
    assert store.compacted_revision == store.revision == 20
    assert store.changes_since(20) == []
    assert store.changes_since(19) is None
    store = filled(10, max_log_bytes=100)
    logged = store.changes_since(store.compacted_revision) or []
    assert 1 <= len(logged) <= 4
    assert sum(len(encode(c)) for c in logged) <= 100


def test_changes_since_returns_complete_change_sets_that_fit_and_at_least_one() -> None:
    store = filled(10)
    size = len(encode((store.changes_since(0) or [])[0]))
    assert [c.revision for c in store.changes_since(4, 3 * size) or ()] == [6, 8, 10]
    assert [c.revision for c in store.changes_since(4, 1) or ()] == [6]


def test_compacted_revision_is_equal_after_snapshots_at_different_times() -> None:
    random = Random(3)
    one = ConfigStore(max_log_entries=20, max_log_bytes=3000)
    others = [
        one,
        ConfigStore(max_log_entries=20, max_log_bytes=3000),
        ConfigStore(max_log_entries=20, max_log_bytes=3000),
    ]
    for revision in range(1, 400):
        names = random.sample("abcdefghij", random.randint(1, 5))
        value = random.choice([None, random.randbytes(random.randint(0, 200))])
        for n, store in enumerate(others):
            store.propose(revision, ops(*names, value=value))
            if random.random() < 0.1:
                others[n] = ConfigStore.restore(store.snapshot(), max_log_entries=20, max_log_bytes=3000)
        assert len({t.compacted_revision for t in others}) == len({t.digest for t in others}) == 1
        assert len({t.snapshot() for t in others}) == 1
    assert 0 < others[0].compacted_revision < others[0].revision


def test_keys_after_stays_sorted_while_keys_are_added_and_deleted() -> None:
    random = Random(4)
    store = filled(50)
    assert list(store.keys_after("")) == sorted(store.entries)
    for revision in range(1000, 1300):
        name = f"f{random.randrange(100):05}"
        store.propose(revision, (*ops(name, value=random.choice([None, b"1"])), *ops("a", value=None)))
        assert list(store.keys_after("")) == sorted(store.entries)
        assert list(store.keys_after(f"function/{name}")) == [
            key for key in sorted(store.entries) if key > f"function/{name}"
        ]


# Snapshots


def test_restore_of_a_snapshot_gives_an_equal_store_and_log() -> None:
    store = filled(100, max_log_entries=30)
    other = ConfigStore.restore(store.snapshot(), max_log_entries=30)
    assert other.snapshot() == store.snapshot()
    assert other.entries == store.entries
    assert (other.revision, other.compacted_revision, other.digest) == (200, 140, store.digest)
    assert other.bucket_digests() == store.bucket_digests()
    assert other.changes_since(150) == store.changes_since(150)
    other.apply(store.propose(1000, ops("f00003", value=None)))
    assert other.snapshot() == store.snapshot()
    assert ConfigStore.restore(ConfigStore().snapshot()).snapshot() == ConfigStore().snapshot()


def test_restore_of_a_snapshot_with_any_byte_changed_raises() -> None:
    kept = filled(10, max_log_entries=3).snapshot()
    for at in range(len(kept)):
        with pytest.raises(InvalidSnapshotError):
            ConfigStore.restore(kept[:at] + bytes([kept[at] ^ 4]) + kept[at + 1 :])
        with pytest.raises(InvalidSnapshotError):
            ConfigStore.restore(kept[:at])


def test_restore_of_a_snapshot_of_a_corrupted_store_raises() -> None:
    store = filled(10)
    flip(store, "function/f00003")
    with pytest.raises(InvalidSnapshotError, match=r"digest .* of the entries at revision 20, committed was"):
        ConfigStore.restore(store.snapshot())


def test_from_entries_with_a_persistent_map_shares_it() -> None:
    store = filled(10)
    assert ConfigStore.from_entries(store.entries, 20).entries is store.entries
    assert isinstance(ConfigStore.from_entries({}, 0).entries, Map)
