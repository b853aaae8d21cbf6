"""The log of change sets, its compaction, and the sorted keys."""

from __future__ import annotations

from random import Random

from walnutpost.configstore import (
    ConfigStore,
    encode,
)
from walnutpost.testsupport.configstore.stores import filled, ops


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
