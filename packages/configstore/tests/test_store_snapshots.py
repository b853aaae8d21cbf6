"""Snapshots of a store, and stores made of entries."""

from __future__ import annotations

import pytest
from immutables import Map

from walnutpost.configstore import (
    ConfigStore,
    InvalidSnapshotError,
)
from walnutpost.testsupport.configstore.stores import filled, flip, ops


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
