"""Snapshot loads of a watcher, over pages of several servers and revisions."""

from __future__ import annotations

from msgspec.structs import replace

from walnutpost.configstore import (
    ApplyOutcome,
    ConfigStore,
    Mutation,
    WatchRequest,
    WatchResponse,
    WatchState,
    respond,
)
from walnutpost.configstore.outcome import SyncEvent
from walnutpost.testsupport.configstore.following import (
    DIVERGED,
    SNAPSHOT_LOADED,
    SNAPSHOT_REQUESTED,
    combined,
    details,
    follow,
    has_content_of,
)
from walnutpost.testsupport.configstore.stores import filled, flip, ops


def test_a_snapshot_replaces_the_store_only_when_complete() -> None:
    store, watcher = filled(200, max_log_entries=3), WatchState("fe1", "fe1.1")
    outcome = follow(watcher, store, max_bytes=500, between=lambda *_: None)
    assert len(outcome) > 10
    assert not any(t.is_store_replaced or t.changes for t in outcome[:-1])
    assert outcome[-1].is_store_replaced
    assert has_content_of(watcher, store)
    assert not watcher.is_loading
    assert outcome[0].events == (SyncEvent(SNAPSHOT_REQUESTED, "revision 0 is below compacted revision 394"),)
    assert outcome[-1].events == (SyncEvent(SNAPSHOT_LOADED, "200 keys at revision 400"),)


def test_the_store_is_unchanged_while_a_snapshot_is_loaded() -> None:
    store, watcher = filled(200, max_log_entries=3), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    watcher.mark_applied(400)
    before = watcher.store
    for n in range(5):
        store.propose(1000 + n, ops(f"f{n:05}", f"g{n}"))

    def between(request: WatchRequest, _page: WatchResponse) -> None:
        assert (request.applied_revision, request.revision) == (400, 400)
        assert watcher.store is before or not watcher.is_loading

    assert combined(follow(watcher, store, max_bytes=500, between=between)).is_store_replaced
    assert has_content_of(watcher, store)
    assert watcher.applied_revision == 400


def test_snapshot_pages_of_several_relays_and_revisions_make_one_state() -> None:
    """Between any two pages the watcher moves, keys change, are added and deleted, on both sides of where
    the pages have come to."""
    relays = [filled(100, max_log_entries=40) for _ in range(3)]
    replica = filled(100, max_log_entries=40)
    watcher = WatchState("fe1", "fe1.1")
    turn = 0

    def between(_request: WatchRequest, _page: WatchResponse) -> ConfigStore:
        nonlocal turn
        turn += 1
        if turn < 30:
            low, high = f"f{turn:05}", f"f{99 - turn:05}"
            replica.propose(
                1000 + turn, (Mutation(f"function/{low}", None), *ops(high, f"f{turn}-new", f"z{turn}"))
            )
        if turn % 2:  # one after the other, each catches up with all
            relay = relays[turn % 3]
            for change in replica.changes_since(relay.revision) or ():
                relay.apply(change)
        watcher.server_changed()
        ahead = [r for r in relays if respond(r, watcher.next_request(0), 300) is not None]
        return ahead[turn % len(ahead)] if ahead else replica

    outcome = combined(follow(watcher, relays[0], max_bytes=300, between=between))
    assert outcome.is_store_replaced
    assert not outcome.is_inconsistent
    assert has_content_of(watcher, replica)
    assert turn >= 30


def test_a_key_deleted_behind_the_snapshot_pages_does_not_return() -> None:
    store, watcher = filled(100, max_log_entries=40), WatchState("fe1", "fe1.1")
    page = respond(store, watcher.next_request(0), 500)
    assert page is not None
    watcher.handle_response(0, page, 0)
    store.propose(1000, (Mutation(page.entries[0].key, None), Mutation(page.entries[1].key, b"1")))
    store.propose(1001, (Mutation(page.entries[1].key, None), Mutation(page.entries[2].key, None)))
    store.propose(1002, ops("f00002"))
    follow(watcher, store, max_bytes=500)
    assert has_content_of(watcher, store)


def test_a_late_or_duplicated_snapshot_page_is_ignored() -> None:
    store, watcher = filled(100, max_log_entries=3), WatchState("fe1", "fe1.1")
    old = ConfigStore.restore(store.snapshot(), max_log_entries=3)
    pages: list[WatchResponse] = []

    def between(_request: WatchRequest, page: WatchResponse) -> None:
        pages.append(page)
        asked = watcher.next_request(0)
        for late in pages:
            if late.after_key != asked.after_key:  # else it is as good as the one that is waited for
                assert watcher.handle_response(0, late, 0) == ApplyOutcome()
        assert watcher.next_request(0) == asked

    for key in sorted(store.entries)[::2]:
        store.propose(store.revision + 1, (Mutation(key, None),))
    request = watcher.next_request(0)
    pages += [p for after in old.entries if (p := respond(old, replace(request, after_key=after), 500))]
    follow(watcher, store, max_bytes=500, between=between)
    assert has_content_of(watcher, store)


def test_compaction_past_the_snapshot_pages_restarts_the_load() -> None:
    store, watcher = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")
    moved: list[int] = []

    def between(request: WatchRequest, page: WatchResponse) -> None:
        outcome = page.entries and page.entries[-1].key == watcher.next_request(0).after_key
        if request.after_key and outcome and len(moved) < 2:
            moved.append(store.compacted_revision)
            for _ in range(5):
                store.propose(store.revision + 1, (Mutation("function/f00000", b"%d" % store.revision),))

    outcome = combined(follow(watcher, store, max_bytes=500, between=between))
    passed = [d for d in details(outcome, SNAPSHOT_REQUESTED) if "has passed the pages loaded" in d]
    assert len(passed) == 2
    assert outcome.is_store_replaced
    assert has_content_of(watcher, store)


def test_compaction_past_the_replayed_changes_restarts_the_load() -> None:
    store, watcher = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")

    def between(_request: WatchRequest, page: WatchResponse) -> None:
        if page.after_key and store.revision == 200:
            store.propose(201, ops("f00001"))  # so that the pages are of two revisions
        if page.is_last_page and store.revision == 201:
            for n in range(10):
                store.propose(300 + n, ops(f"g{n}"))

    outcome = combined(follow(watcher, store, max_bytes=500, between=between))
    assert len(details(outcome, SNAPSHOT_REQUESTED)) == 2
    assert outcome.is_store_replaced
    assert has_content_of(watcher, store)


def test_a_relay_loads_the_log_with_a_snapshot() -> None:
    """So that members which are a little behind go on, when all relays were started anew."""
    replica = filled(100, max_log_entries=30)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(_request: WatchRequest, page: WatchResponse) -> None:
        if page.after_key:
            replica.propose(replica.revision + 1, ops("f00003", f"h{replica.revision}"))

    assert combined(follow(relay, replica, max_bytes=500, between=between)).is_store_replaced
    assert has_content_of(relay, replica)
    assert relay.store.snapshot() == replica.snapshot()
    for held in range(replica.compacted_revision, replica.revision):
        assert relay.store.changes_since(held) == replica.changes_since(held)


def test_a_relay_at_a_server_with_a_shorter_log_continues_from_the_pages() -> None:
    replica, other = filled(100, max_log_entries=30), filled(100, max_log_entries=10)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(_request: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return other if page.is_last_page else None

    outcome = follow(relay, replica, between=between)
    assert [t.is_store_replaced for t in outcome] == [False, False, True]
    assert has_content_of(relay, replica)
    assert relay.store.compacted_revision == other.compacted_revision == 180


def test_a_snapshot_with_another_digest_is_rejected() -> None:
    store, good, watcher = (
        filled(100, max_log_entries=3),
        filled(100, max_log_entries=3),
        WatchState("fe1", "fe1.1"),
    )
    flip(store, "function/f00050")
    follow(watcher, filled(50, max_log_entries=3))
    before = watcher.store

    def between(_request: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return good if page.is_last_page else None

    outcome = combined(follow(watcher, store, max_bytes=500, between=between))
    assert outcome.is_inconsistent
    assert "the snapshot loaded, not as committed at revision 200" in details(outcome, DIVERGED)
    assert has_content_of(watcher, good)
    assert watcher.store is not before


def test_entries_equal_in_a_snapshot_are_shared_with_the_store() -> None:
    store, watcher = filled(100, max_log_entries=3), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    before = watcher.store.entries
    for n in range(10):
        store.propose(1000 + n, ops(f"f{n:05}"))
    follow(watcher, ConfigStore.restore(store.snapshot(), max_log_entries=3))
    entries = watcher.store.entries
    assert sum(entries[key] is before[key] for key in entries) == 90
