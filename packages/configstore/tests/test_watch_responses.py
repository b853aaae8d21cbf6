"""Responses to watch requests by the watcher's position."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from walnutpost.configstore import (
    DIGEST_BUCKETS,
    MAX_RESPONSE_BYTES,
    MAX_VALUE_BYTES,
    ChangeSet,
    ConfigStore,
    Mutation,
    WatchRequest,
    WatchResponse,
    bucket_of,
    encode,
    pending_events,
    respond,
)
from walnutpost.testsupport.configstore.stores import filled, ops


def request(revision: int = 0, digest: int = 0, **more: object) -> WatchRequest:
    return replace(WatchRequest("fe1", "fe1.1", 1, revision, revision, digest, 3_000_000), **more)


def asked(store: ConfigStore, revision: int = 0, digest: int = 0, **more: object) -> WatchResponse:
    page = respond(store, request(revision, digest, **more))
    assert page is not None
    assert (page.revision, page.digest) == (store.revision, store.digest)
    return page


def test_an_up_to_date_watcher_waits_until_a_change() -> None:
    store = filled(10)
    assert respond(store, request(20, store.digest)) is None
    change = store.propose(31, ops("f"))
    page = asked(store, 20, 1)
    assert page.changes == (change,)
    assert page.since_revision == 20
    # The history went on with other things meanwhile, which change no store.
    assert asked(store, 25, 1).changes == (change,)
    assert respond(ConfigStore(), request()) is None


def test_a_store_behind_its_watcher_has_no_response() -> None:
    """Else a watcher that turned from a newer relay would go back."""
    store = filled(10)
    for more in (
        {},
        {"wants_bucket_digests": True},
        {"wanted_buckets": (1,)},
        {"after_key": ""},
        {"base_revision": 3},
    ):
        assert respond(store, request(21, store.digest, **more)) is None


def test_a_watcher_behind_gets_complete_change_sets_in_order_in_pages() -> None:
    store = filled(3)
    for n in range(50):
        store.propose(100 + n, ops(*map(str, range(20)), value=bytes(150)))
    at = 0
    got: list[ChangeSet] = []
    while at < store.revision:
        page = asked(store, at)
        assert page.since_revision == at
        assert not page.is_snapshot
        assert not page.is_last_page
        assert len(encode(page)) <= MAX_RESPONSE_BYTES + 200
        got += page.changes
        at = page.changes[-1].revision
    assert got == store.changes_since(0)
    assert len(got) == 53


def test_a_change_set_larger_than_a_page_is_sent_alone() -> None:
    store = filled(3)
    for revision in (10, 11):
        store.propose(revision, ops(*"abcdefg", value=bytes(MAX_VALUE_BYTES)))
    assert [c.revision for c in asked(store, 6).changes] == [10]


def test_a_watcher_below_the_compacted_revision_gets_a_snapshot_in_pages() -> None:
    store = filled(2000, max_log_entries=5)
    for revision in (0, 7, store.compacted_revision - 1):
        page = asked(store, revision, 1)
        assert page.is_snapshot
        assert page.after_key == ""
        assert page.compacted_revision == store.compacted_revision
    got, pages = list(page.entries), 1
    while not page.is_last_page:
        page = asked(store, revision, after_key=got[-1].key, base_revision=page.revision)
        assert page.after_key == got[-1].key
        assert len(encode(page)) <= MAX_RESPONSE_BYTES + 200
        got += page.entries
        pages += 1
    assert got == [store.entries[key] for key in sorted(store.entries)]
    assert pages > 1
    assert asked(store, store.compacted_revision).changes == tuple(
        store.changes_since(store.compacted_revision) or ()
    )


def test_snapshot_pages_continue_by_key_while_keys_are_added_and_deleted() -> None:
    store = filled(2000)
    first = asked(store, after_key="")
    last = first.entries[-1].key
    store.propose(9000, (Mutation(last, None), Mutation("function/a", b""), Mutation(last + "x", b"")))
    page = asked(store, after_key=last, base_revision=first.revision)
    assert page.entries[0].key == last + "x"
    assert page.revision == 9000


def test_an_entry_larger_than_a_page_is_sent_alone_and_an_empty_store_is_one_page() -> None:
    store = filled(3)
    page = respond(store, request(0, after_key=""), 10)
    assert page is not None
    assert len(page.entries) == 1
    assert not page.is_last_page
    store.propose(10, tuple(Mutation(key, None) for key in store.entries))
    assert asked(store, after_key="") == WatchResponse(
        10, 0, 0, is_snapshot=True, is_last_page=True, after_key=""
    )


def test_another_digest_at_the_same_revision_gets_the_bucket_digests() -> None:
    store = filled(100)
    page = asked(store, 200, store.digest ^ 1)
    assert page == WatchResponse(200, store.digest, 0, bucket_digests=store.bucket_digests())
    # Not where the whole state's pages wait for change sets: there is no digest yet.
    assert respond(store, request(200, 0, base_revision=150)) is None
    assert asked(store, 10, wants_bucket_digests=True).bucket_digests == store.bucket_digests()


def test_wanted_buckets_are_sent_complete_as_many_as_fit() -> None:
    store = filled(3000)
    want = (3, 1, 200, 1, -1, 256)
    page = asked(store, 10, wanted_buckets=want)
    assert page.is_repair
    assert page.repaired_buckets == (1, 3, 200)
    assert set(page.entries) == {e for k, e in store.entries.items() if bucket_of(k) in (1, 3, 200)}
    got: set[int] = set()
    pages = 0
    while got != set(range(DIGEST_BUCKETS)):
        page = asked(store, 10, wanted_buckets=tuple(set(range(DIGEST_BUCKETS)) - got))
        assert {bucket_of(e.key) for e in page.entries} == set(page.repaired_buckets)
        assert not got & set(page.repaired_buckets)
        assert len(encode(page)) <= MAX_RESPONSE_BYTES + 200 + 2 * DIGEST_BUCKETS
        got |= set(page.repaired_buckets)
        pages += 1
    assert pages > 1
    # One that does not fit comes alone.
    one = respond(store, request(10, wanted_buckets=(4, 5)), 10)
    assert one is not None
    assert one.repaired_buckets == (4,)


def test_pending_events_are_equal_for_watchers_at_one_position_only() -> None:
    store = filled(20)
    key = pending_events(store, request(4, 9))
    assert key == pending_events(
        store, replace(request(4, 8), member="fe2", applied_revision=3, wait_timeout_us=1)
    )
    assert (
        len({key, pending_events(store, request(6)), pending_events(store, request(4, after_key="")), key})
        == 3
    )
    same = ConfigStore.restore(store.snapshot())
    assert pending_events(same, request(4)) != key  # a store that was repaired is another
    store.propose(50, ops("f"))
    assert pending_events(store, request(4)) != key


@pytest.mark.parametrize("want", [(-1,), (256, 1000)])
def test_wanted_buckets_out_of_range_get_the_bucket_digests(want: tuple[int, ...]) -> None:
    store = filled(3)
    assert asked(store, 3, wanted_buckets=want).bucket_digests == store.bucket_digests()
