"""Change sets applied to a store: atomic, in order, with the committed digest."""

from __future__ import annotations

import pytest

from walnutpost.configstore import (
    MAX_CHANGE_SET_BYTES,
    MAX_MUTATIONS,
    MAX_VALUE_BYTES,
    ChangeSet,
    DigestMismatchError,
    InvalidChangeError,
    Mutation,
    OutOfOrderError,
    validate_mutations,
)
from walnutpost.testsupport.configstore.stores import filled, flip, ops


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
