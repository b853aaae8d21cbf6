"""Change sets at a watcher, in order, late or duplicated."""

from __future__ import annotations

from msgspec.structs import replace

from walnutpost.configstore import (
    ApplyOutcome,
    ConfigStore,
    Mutation,
    WatchRequest,
    WatchState,
    respond,
)
from walnutpost.testsupport.configstore.following import (
    combined,
    follow,
    has_content_of,
)
from walnutpost.testsupport.configstore.stores import filled, ops


def test_a_watcher_applies_the_change_sets_one_by_one() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    outcome = combined(follow(watcher, store))
    assert outcome == ApplyOutcome(tuple(store.changes_since(0) or ()))
    assert has_content_of(watcher, store)
    assert not watcher.is_loading
    change = store.propose(50, (*ops("a", "b"), Mutation("function/f00001", None)))
    assert follow(watcher, store) == [ApplyOutcome((change,))]
    assert has_content_of(watcher, store)
    assert follow(watcher, store) == []


def test_late_and_duplicated_responses_change_nothing() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    pages = [respond(store, watcher.next_request(0), 1)]
    follow(watcher, store, max_bytes=1, between=lambda _, page: pages.append(page))
    whole = ConfigStore.from_entries(store.entries, store.revision)
    plain = WatchRequest("x", "", 1, 0, 0, 0, 0)
    pages += [respond(whole, asked) for asked in (plain, replace(plain, wanted_buckets=(1,)))]
    pages += [respond(whole, WatchRequest("x", "", 1, 0, 0, 0, 0, after_key="function/f00002"))]
    pages += [respond(store, WatchRequest("x", "", 1, 0, 0, 0, 0, wants_bucket_digests=True))]
    for page in pages * 2:
        assert page is not None
        assert watcher.handle_response(0, page, 0) == ApplyOutcome()
        assert has_content_of(watcher, store)
        assert not watcher.is_loading


def test_changes_after_a_later_revision_are_ignored() -> None:
    """Its change sets come after others that are not held here."""
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    page = respond(store, replace(watcher.next_request(0), revision=4))
    assert page is not None
    assert page.since_revision == 4
    assert watcher.handle_response(0, page, 0) == ApplyOutcome()
    assert watcher.store.revision == 0
    assert not watcher.is_loading


def test_a_server_behind_sends_nothing_until_it_has_caught_up() -> None:
    store, behind, watcher = filled(5), filled(3), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    watcher.server_changed()
    assert follow(watcher, behind) == []
    assert has_content_of(watcher, store)
    for change in store.changes_since(6) or ():
        behind.apply(change)
    change = store.propose(50, ops("a"))
    behind.apply(change)
    assert follow(watcher, behind) == [ApplyOutcome((change,))]
