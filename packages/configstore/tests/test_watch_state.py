"""One watcher, answered by stores at other revisions."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from walnutpost.configstore import (
    DIGEST_BUCKETS,
    STALE_AFTER_US,
    VERIFY_INTERVAL_US,
    ApplyOutcome,
    ChangeSet,
    ConfigStore,
    InvalidSnapshotError,
    Mutation,
    WatchRequest,
    WatchResponse,
    WatchState,
    bucket_of,
    entry_digest,
    respond,
)
from walnutpost.configstore.outcome import SyncEvent, SyncEventKind
from walnutpost.testsupport.configstore.stores import filled, flip, ops

DIVERGED, REPAIRED = SyncEventKind.DIVERGED, SyncEventKind.REPAIRED
SNAPSHOT_REQUESTED, SNAPSHOT_LOADED = SyncEventKind.SNAPSHOT_REQUESTED, SyncEventKind.SNAPSHOT_LOADED
SECOND = 1_000_000


def follow(
    watcher: WatchState,
    store: ConfigStore,
    most: int = 64 * 1024,
    between: Callable[[WatchRequest, WatchResponse], ConfigStore | None] | None = None,
) -> list[ApplyOutcome]:
    """Until there is nothing newer. `between`: after each answer; the store that is asked next."""
    outcome: list[ApplyOutcome] = []
    for _ in range(10_000):
        request = watcher.next_request(SECOND)
        page = respond(store, request, most)
        if page is None:
            return outcome
        outcome.append(watcher.handle_response(0, page, 0))
        if between is not None:
            store = between(request, page) or store
    raise AssertionError(f"no end: {watcher.next_request(0)}")


def same(watcher: WatchState, store: ConfigStore) -> bool:
    held = watcher.store
    assert held.compute_bucket_digests() == held.bucket_digests() or watcher.is_loading
    return (held.revision, held.digest, held.entries) == (store.revision, store.digest, store.entries)


def one(outcome: list[ApplyOutcome]) -> ApplyOutcome:
    """What came of them all."""
    return ApplyOutcome(
        tuple(c for t in outcome for c in t.changes),
        any(t.is_replaced for t in outcome),
        tuple(key for t in outcome for key in t.repaired_keys),
        tuple(event for t in outcome for event in t.events),
        any(t.is_inconsistent for t in outcome),
    )


def details(outcome: ApplyOutcome, kind: SyncEventKind) -> list[str]:
    return [event.detail for event in outcome.events if event.kind is kind]


class CorruptibleStore(ConfigStore):
    """A store whose digest can be corrupted, as by a fault of the memory."""

    def flip_digest(self, bits: int) -> None:
        self._digests.digest ^= bits


# Change sets


def test_a_watcher_applies_the_change_sets_one_by_one() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    outcome = one(follow(watcher, store))
    assert outcome == ApplyOutcome(tuple(store.changes_since(0) or ()))
    assert same(watcher, store)
    assert not watcher.is_loading
    change = store.propose(50, (*ops("a", "b"), Mutation("function/f00001", None)))
    assert follow(watcher, store) == [ApplyOutcome((change,))]
    assert same(watcher, store)
    assert follow(watcher, store) == []


def test_late_and_duplicated_responses_change_nothing() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    pages = [respond(store, watcher.next_request(0), 1)]
    follow(watcher, store, most=1, between=lambda _, page: pages.append(page))
    whole = ConfigStore.from_entries(store.entries, store.revision)
    plain = WatchRequest("x", "", 1, 0, 0, 0, 0)
    pages += [respond(whole, asked) for asked in (plain, replace(plain, wanted_buckets=(1,)))]
    pages += [respond(whole, WatchRequest("x", "", 1, 0, 0, 0, 0, after_key="function/f00002"))]
    pages += [respond(store, WatchRequest("x", "", 1, 0, 0, 0, 0, wants_bucket_digests=True))]
    for page in pages * 2:
        assert page is not None
        assert watcher.handle_response(0, page, 0) == ApplyOutcome()
        assert same(watcher, store)
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
    assert same(watcher, store)
    for change in store.changes_since(6) or ():
        behind.apply(change)
    change = store.propose(50, ops("a"))
    behind.apply(change)
    assert follow(watcher, behind) == [ApplyOutcome((change,))]


# The member's progress


def test_applied_revision_is_what_was_marked_and_never_decreases() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    assert watcher.next_request(7).applied_revision == 0
    assert watcher.next_request(7).revision == 10
    watcher.mark_applied(8)
    watcher.mark_applied(6)
    assert watcher.next_request(7).applied_revision == 8
    with pytest.raises(ValueError, match="applied revision 11, the store is at 10"):
        watcher.mark_applied(11)
    watcher.mark_blocked(10, "function/f: class fast, wanted one of small, large")
    watcher.mark_blocked(8, "late")
    request = watcher.next_request(7)
    assert (request.applied_revision, request.blocked_reason) == (
        8,
        "function/f: class fast, wanted one of small, large",
    )
    watcher.mark_applied(8)
    assert watcher.blocked_reason
    watcher.mark_applied(10)
    assert watcher.next_request(7).applied_revision == 10
    assert watcher.next_request(7).blocked_reason == ""


def test_next_request_has_member_position_and_session() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.7")
    follow(watcher, store)
    watcher.server_changed()
    watcher.server_changed()
    assert watcher.next_request(3 * SECOND) == WatchRequest(
        "fe1", "fe1.7", 2, 10, 0, store.digest, 3 * SECOND
    )


def test_a_watcher_is_stale_after_9_seconds_without_confirmation() -> None:
    now = 100 * SECOND
    watcher = WatchState("fe1", "fe1.1", now)
    assert not watcher.is_stale(now + STALE_AFTER_US)
    assert watcher.is_stale(now + STALE_AFTER_US + 1)
    now += 20 * SECOND
    watcher.handle_response(now, None, None)  # a server that has heard of no leader itself
    watcher.handle_response(now, None, 12 * SECOND)
    assert watcher.is_stale(now)
    watcher.handle_response(now, None, 2 * SECOND)
    assert not watcher.is_stale(now + 7 * SECOND)
    assert watcher.is_stale(now + 7 * SECOND + 1)
    watcher.handle_response(now + SECOND, None, 8 * SECOND)  # another server, which knows less
    assert not watcher.is_stale(now + 7 * SECOND)


# Snapshots


def test_a_snapshot_replaces_the_store_only_when_complete() -> None:
    store, watcher = filled(200, max_log_entries=3), WatchState("fe1", "fe1.1")
    outcome = follow(watcher, store, most=500, between=lambda *_: None)
    assert len(outcome) > 10
    assert not any(t.is_replaced or t.changes for t in outcome[:-1])
    assert outcome[-1].is_replaced
    assert same(watcher, store)
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

    def between(request: WatchRequest, page: WatchResponse) -> None:
        assert (request.applied_revision, request.revision) == (400, 400)
        assert watcher.store is before or not watcher.is_loading

    assert one(follow(watcher, store, most=500, between=between)).is_replaced
    assert same(watcher, store)
    assert watcher.applied_revision == 400


def test_snapshot_pages_of_several_relays_and_revisions_make_one_state() -> None:
    """Between any two pages the watcher moves, keys change, are added and deleted, on both sides of where
    the pages have come to."""
    relays = [filled(100, max_log_entries=40) for _ in range(3)]
    replica = filled(100, max_log_entries=40)
    watcher = WatchState("fe1", "fe1.1")
    turn = 0

    def between(request: WatchRequest, page: WatchResponse) -> ConfigStore:
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

    outcome = one(follow(watcher, relays[0], most=300, between=between))
    assert outcome.is_replaced
    assert not outcome.is_inconsistent
    assert same(watcher, replica)
    assert turn >= 30


def test_a_key_deleted_behind_the_snapshot_pages_does_not_return() -> None:
    store, watcher = filled(100, max_log_entries=40), WatchState("fe1", "fe1.1")
    page = respond(store, watcher.next_request(0), 500)
    assert page is not None
    watcher.handle_response(0, page, 0)
    store.propose(1000, (Mutation(page.entries[0].key, None), Mutation(page.entries[1].key, b"1")))
    store.propose(1001, (Mutation(page.entries[1].key, None), Mutation(page.entries[2].key, None)))
    store.propose(1002, ops("f00002"))
    follow(watcher, store, most=500)
    assert same(watcher, store)


def test_a_late_or_duplicated_snapshot_page_is_ignored() -> None:
    store, watcher = filled(100, max_log_entries=3), WatchState("fe1", "fe1.1")
    old = ConfigStore.restore(store.snapshot(), max_log_entries=3)
    pages: list[WatchResponse] = []

    def between(request: WatchRequest, page: WatchResponse) -> None:
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
    follow(watcher, store, most=500, between=between)
    assert same(watcher, store)


def test_compaction_past_the_snapshot_pages_restarts_the_load() -> None:
    store, watcher = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")
    moved: list[int] = []

    def between(request: WatchRequest, page: WatchResponse) -> None:
        outcome = page.entries and page.entries[-1].key == watcher.next_request(0).after_key
        if request.after_key and outcome and len(moved) < 2:
            moved.append(store.compacted_revision)
            for _ in range(5):
                store.propose(store.revision + 1, (Mutation("function/f00000", b"%d" % store.revision),))

    outcome = one(follow(watcher, store, most=500, between=between))
    passed = [d for d in details(outcome, SNAPSHOT_REQUESTED) if "has passed the pages loaded" in d]
    assert len(passed) == 2
    assert outcome.is_replaced
    assert same(watcher, store)


def test_compaction_past_the_replayed_changes_restarts_the_load() -> None:
    store, watcher = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")

    def between(request: WatchRequest, page: WatchResponse) -> None:
        if page.after_key and store.revision == 200:
            store.propose(201, ops("f00001"))  # so that the pages are of two revisions
        if page.is_last_page and store.revision == 201:
            for n in range(10):
                store.propose(300 + n, ops(f"g{n}"))

    outcome = one(follow(watcher, store, most=500, between=between))
    assert len(details(outcome, SNAPSHOT_REQUESTED)) == 2
    assert outcome.is_replaced
    assert same(watcher, store)


def test_a_relay_loads_the_log_with_a_snapshot() -> None:
    """So that members which are a little behind go on, when all relays were started anew."""
    replica = filled(100, max_log_entries=30)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(request: WatchRequest, page: WatchResponse) -> None:
        if page.after_key:
            replica.propose(replica.revision + 1, ops("f00003", f"h{replica.revision}"))

    assert one(follow(relay, replica, most=500, between=between)).is_replaced
    assert same(relay, replica)
    assert relay.store.snapshot() == replica.snapshot()
    for held in range(replica.compacted_revision, replica.revision):
        assert relay.store.changes_since(held) == replica.changes_since(held)


def test_a_relay_at_a_server_with_a_shorter_log_continues_from_the_pages() -> None:
    replica, other = filled(100, max_log_entries=30), filled(100, max_log_entries=10)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(request: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return other if page.is_last_page else None

    outcome = follow(relay, replica, between=between)
    assert [t.is_replaced for t in outcome] == [False, False, True]
    assert same(relay, replica)
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

    def between(request: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return good if page.is_last_page else None

    outcome = one(follow(watcher, store, most=500, between=between))
    assert outcome.is_inconsistent
    assert "the snapshot loaded, not as committed at revision 200" in details(outcome, DIVERGED)
    assert same(watcher, good)
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


# Divergence


def test_a_corrupted_entry_is_found_after_a_change_and_its_bucket_repaired() -> None:
    store, watcher = filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    assert watcher.verify(0, 10**6) == ApplyOutcome()
    flip(watcher.store, "function/f00050")
    flip(watcher.store, "function/f00060")
    assert watcher.verify(10 * SECOND) == ApplyOutcome()  # no change
    follow(watcher, store)
    store.propose(9000, ops("f00002"))
    follow(watcher, store)
    ranges = len({bucket_of("function/f00050"), bucket_of("function/f00060")})
    events = watcher.verify(10 * SECOND, 10**6).events
    assert events == (SyncEvent(DIVERGED, f"{ranges} of 256 buckets differ at revision 9000, loading them"),)
    outcome = one(follow(watcher, store))
    assert outcome.repaired_keys == ("function/f00050", "function/f00060")
    assert not outcome.is_replaced
    assert outcome.events == (SyncEvent(REPAIRED, f"2 keys in {ranges} buckets at revision 9000"),)
    assert same(watcher, store)


def test_a_digest_check_reads_in_batches_while_changes_go_on() -> None:
    store, watcher = filled(1000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    flip(watcher.store, "function/f00050")
    calls = 0
    assert not watcher.is_verifying
    while True:
        outcome = watcher.verify(calls, 300)
        calls += 1
        if not watcher.is_verifying:
            break
        store.propose(9000 + calls, (Mutation(f"function/f{calls:05}", None), *ops("f00100")))
        follow(watcher, store)
    assert calls == 4
    assert details(outcome, DIVERGED)[0].startswith("1 of 256 buckets")
    store.propose(9900, ops("f00800"))
    assert one(follow(watcher, store)).repaired_keys == ("function/f00050",)
    assert same(watcher, store)


def test_digest_checks_are_5_seconds_apart_and_only_after_changes() -> None:
    store, watcher = filled(20), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    assert watcher.verify(0, 5) == ApplyOutcome()
    assert watcher.is_verifying
    while watcher.is_verifying:
        watcher.verify(1, 5)
    watcher.verify(VERIFY_INTERVAL_US, 5)
    assert not watcher.is_verifying
    store.propose(9000, ops("f"))
    follow(watcher, store)
    watcher.verify(VERIFY_INTERVAL_US - 1, 5)
    assert not watcher.is_verifying
    watcher.verify(VERIFY_INTERVAL_US, 5)
    assert watcher.is_verifying


def test_a_corrupted_entry_that_a_change_replaces_is_found_at_once() -> None:
    store, watcher = filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    flip(watcher.store, "function/f00050")
    store.propose(9000, ops("f00002"))
    change = store.propose(9001, ops("f00050", "f00051"))
    outcome = one(follow(watcher, store))
    assert "1 of 256 buckets differ at revision 9000, loading them" in details(outcome, DIVERGED)[0]
    assert not outcome.is_replaced
    assert change in outcome.changes
    assert same(watcher, store)


def test_a_diverged_store_is_detected_by_the_server_digests_and_repaired() -> None:
    """Its own sums fit its own entries: only the digests of others show it."""
    store, watcher = filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    held = watcher.store
    value, revision = held.entries["function/f00050"].value, held.entries["function/f00050"].revision
    flip(held, "function/f00050")
    watcher.store = ConfigStore.from_entries(held.entries, held.revision, max_log_entries=0)
    assert watcher.store.digest != store.digest
    assert entry_digest("function/f00050", value, revision)
    outcome = one(follow(watcher, store))
    assert any("1 of 256 buckets differ at revision 6000" in detail for detail in details(outcome, DIVERGED))
    assert outcome.repaired_keys == ("function/f00050",)
    assert same(watcher, store)


def test_a_corrupted_digest_is_corrected_without_loading_entries() -> None:
    store, watcher = filled(30), WatchState("fe1", "fe1.1")
    corrupted = watcher.store = CorruptibleStore(0, 0)
    follow(watcher, store)
    corrupted.flip_digest(4)
    outcome = follow(watcher, store)
    assert len(outcome) == 1
    assert "no bucket differs" in details(outcome[0], DIVERGED)[0]
    assert same(watcher, store)


def test_many_differing_buckets_load_a_snapshot() -> None:
    store, watcher = filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    for n in range(3000):
        flip(watcher.store, f"function/f{n:05}")
    store.propose(9000, ops("f00002"))
    outcome = one(follow(watcher, store))
    assert outcome.is_replaced
    assert (
        f"{DIGEST_BUCKETS} of 256 buckets differ at revision 6000, loading a snapshot"
        in details(outcome, DIVERGED)[0]
    )
    assert same(watcher, store)


def test_buckets_with_another_digest_are_rejected_and_another_server_asked() -> None:
    store, good, watcher = filled(1000), filled(1000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    for held in (store, watcher.store):
        flip(held, "function/f00050")
    for held in (store, good):
        held.propose(9000, ops("f00002"))
    follow(watcher, good)
    before = watcher.store
    assert watcher.verify(0, 10**6).events
    page = respond(store, watcher.next_request(0))
    assert page is not None
    assert page.is_repair
    outcome = watcher.handle_response(0, page, 0)
    assert outcome.is_inconsistent
    assert "1 buckets loaded, not as committed at revision 9000" in details(outcome, DIVERGED)
    assert watcher.store is before
    # The other one's are right.
    store.propose(9001, ops("f00050"))
    good.propose(9001, ops("f00050"))
    assert one(follow(watcher, good)).events[0].kind is DIVERGED
    assert same(watcher, good)


def test_a_server_with_wrong_digests_is_left_and_changes_nothing() -> None:
    store, watcher = filled(100), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    bad = ConfigStore.restore(store.snapshot())
    flip(bad, "function/f00050")
    bad.propose(9000, ops("f00050"))  # its digest is wrong from here on, its entries are right again
    good = ConfigStore.restore(store.snapshot())
    good.propose(9000, ops("f00050"))
    before = watcher.store
    outcome: list[ApplyOutcome] = []
    while not (outcome and outcome[-1].is_inconsistent):
        page = respond(bad, watcher.next_request(0))
        assert page is not None
        outcome.append(watcher.handle_response(0, page, 0))
        assert watcher.store is before
    watcher.server_changed()
    follow(watcher, good)
    assert same(watcher, good)


def test_repeatedly_failing_repairs_load_a_snapshot() -> None:
    store, watcher = filled(100), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    bad = CorruptibleStore.restore(store.snapshot())
    bad.flip_digest(1)
    outcome: list[ApplyOutcome] = []
    while sum(t.is_inconsistent for t in outcome) < 2:
        page = respond(bad, watcher.next_request(0))
        assert page is not None
        outcome.append(watcher.handle_response(0, page, 0))
    assert watcher.next_request(0).after_key == ""
    assert one(follow(watcher, store)).is_replaced
    assert same(watcher, store)


def test_a_repair_continues_during_changes_and_at_another_server() -> None:
    """The ranges come from a server that is ahead, the change sets in between from one that is not."""
    store, ahead, watcher = filled(3000), filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    flip(watcher.store, "function/f00050")
    watcher.verify(0, 10**6)
    wrong = "function/f00050"
    near = sorted(k for k in store.entries if bucket_of(k) == bucket_of(wrong) and k != wrong)
    changes = [
        ahead.propose(9000, (Mutation(near[0], None), Mutation(near[1], b"1"), *ops("g"))),
        ahead.propose(9001, (Mutation(near[1], None), Mutation(near[2], b"2"))),
        ahead.propose(9002, (Mutation(near[0], b"3"), *ops("g", value=None))),
    ]
    page = respond(ahead, watcher.next_request(0))
    assert page is not None
    assert watcher.handle_response(0, page, 0) == ApplyOutcome()
    assert watcher.is_loading
    assert follow(watcher, store) == []  # as far as this one can tell there is nothing newer
    for n, change in enumerate(changes):
        store.apply(change)
        outcome = one(follow(watcher, store))
        assert watcher.is_loading == (n < 2)
        assert (outcome.changes == tuple(changes)) == (n == 2)
    assert outcome.repaired_keys == (wrong,)
    assert same(watcher, ahead)


def unmoved(watcher: WatchState, page: WatchResponse | None) -> bool:
    """A page that is not the awaited one."""
    asked, held = watcher.next_request(0), watcher.store
    assert page is not None
    return (
        watcher.handle_response(0, page, 0) == ApplyOutcome()
        and watcher.next_request(0) == asked
        and watcher.store is held
    )


def test_buckets_that_are_older_or_not_wanted_are_ignored() -> None:
    store, old, watcher = filled(1000), filled(1000), WatchState("fe1", "fe1.1")
    store.propose(9000, ops("f00051"))
    follow(watcher, store)
    flip(watcher.store, "function/f00050")
    watcher.verify(0, 10**6)
    asked = watcher.next_request(0)
    bucket = bucket_of("function/f00050")
    assert asked.wanted_buckets == (bucket,)
    assert unmoved(watcher, respond(old, replace(asked, revision=2000)))
    assert unmoved(watcher, respond(store, replace(asked, wanted_buckets=((bucket + 1) % DIGEST_BUCKETS,))))
    assert unmoved(
        watcher, respond(store, replace(asked, wanted_buckets=(bucket, (bucket + 1) % DIGEST_BUCKETS)))
    )
    assert one(follow(watcher, store)).repaired_keys == ("function/f00050",)
    assert same(watcher, store)


def test_older_bucket_digests_are_not_compared() -> None:
    store, old, watcher = filled(100), filled(90), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    change = store.propose(9000, ops("f00051"))
    wrong = WatchResponse(9000, 1, 0, (replace(change, digest=1),), since_revision=200)
    assert "requesting the bucket digests" in details(watcher.handle_response(0, wrong, 0), DIVERGED)[0]
    assert unmoved(watcher, respond(old, replace(watcher.next_request(0), revision=0)))
    follow(watcher, store)
    assert same(watcher, store)


def test_late_changes_or_with_a_gap_are_not_replayed_over_pages() -> None:
    store, watcher = filled(100, max_log_entries=40), WatchState("fe1", "fe1.1")
    page = respond(store, watcher.next_request(0), 500)
    assert page is not None
    watcher.handle_response(0, page, 0)
    for n in range(4):
        store.propose(9000 + n, ops(f"f0000{n}", value=b"%d" % n))
    while watcher.next_request(0).after_key is not None:
        page = respond(store, watcher.next_request(0))
        assert page is not None
        watcher.handle_response(0, page, 0)
    asked = watcher.next_request(0)
    first = respond(store, asked, 1)
    assert asked.base_revision == asked.revision == 200
    assert first is not None
    assert unmoved(watcher, respond(store, replace(asked, revision=9001)))
    watcher.handle_response(0, first, 0)
    watcher.handle_response(0, respond(store, watcher.next_request(0), 1), 0)
    assert watcher.next_request(0).revision == 9001
    assert unmoved(watcher, first)
    follow(watcher, store)
    assert same(watcher, store)


# Restore


def test_a_restored_watch_state_continues_from_its_revision() -> None:
    store, watcher = filled(100), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    other = WatchState.restore(watcher.snapshot(), "fe1", "fe1.2", 5)
    assert same(other, store)
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
