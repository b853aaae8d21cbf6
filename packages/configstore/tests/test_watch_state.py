"""A watch state from a cached snapshot."""

from __future__ import annotations

import pytest

from walnutpost.configstore import (
    ApplyOutcome,
    ChangeSet,
    InvalidSnapshotError,
    WatchState,
)
from walnutpost.testsupport.configstore.following import (
    follow,
    has_content_of,
)
from walnutpost.testsupport.configstore.stores import filled, ops


def test_a_restored_watch_state_continues_from_its_revision() -> None:
    store, watcher = filled(100), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    other = WatchState.restore(watcher.snapshot(), "fe1", "fe1.2", 5)
    assert has_content_of(other, store)
    assert (other.applied_revision, other.incarnation) == (0, "fe1.2")
    change = store.propose(9000, ops("f"))
    assert follow(other, store) == [ApplyOutcome((change,))]
    with pytest.raises(InvalidSnapshotError):
        WatchState.restore(watcher.snapshot()[:-1], "fe1", "fe1.2")


def test_a_member_has_no_log() -> None:
    store, watcher = filled(100), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    assert watcher.store.changes_since(watcher.store.revision) == []
    assert watcher.store.compacted_revision == 200
    assert isinstance((store.changes_since(0) or [])[0], ChangeSet)
