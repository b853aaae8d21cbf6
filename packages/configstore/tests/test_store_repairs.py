"""Differences between a watcher's store and the committed one, and their repair."""

from __future__ import annotations

from msgspec.structs import replace

from walnutpost.configstore import (
    DIGEST_BUCKETS,
    VERIFY_INTERVAL_US,
    ApplyOutcome,
    ConfigStore,
    Mutation,
    WatchResponse,
    WatchState,
    bucket_of,
    entry_digest,
    respond,
)
from walnutpost.configstore.outcome import SyncEvent
from walnutpost.testsupport.configstore.following import (
    DIVERGED,
    REPAIRED,
    SECOND,
    CorruptibleStore,
    combined,
    details,
    follow,
    has_content_of,
)
from walnutpost.testsupport.configstore.stores import filled, flip, ops


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
    outcome = combined(follow(watcher, store))
    assert outcome.repaired_keys == ("function/f00050", "function/f00060")
    assert not outcome.is_store_replaced
    assert outcome.events == (SyncEvent(REPAIRED, f"2 keys in {ranges} buckets at revision 9000"),)
    assert has_content_of(watcher, store)


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
    assert combined(follow(watcher, store)).repaired_keys == ("function/f00050",)
    assert has_content_of(watcher, store)


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
    outcome = combined(follow(watcher, store))
    assert "1 of 256 buckets differ at revision 9000, loading them" in details(outcome, DIVERGED)[0]
    assert not outcome.is_store_replaced
    assert change in outcome.changes
    assert has_content_of(watcher, store)


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
    outcome = combined(follow(watcher, store))
    assert any("1 of 256 buckets differ at revision 6000" in detail for detail in details(outcome, DIVERGED))
    assert outcome.repaired_keys == ("function/f00050",)
    assert has_content_of(watcher, store)


def test_a_corrupted_digest_is_corrected_without_loading_entries() -> None:
    store, watcher = filled(30), WatchState("fe1", "fe1.1")
    corrupted = watcher.store = CorruptibleStore(0, 0)
    follow(watcher, store)
    corrupted.flip_digest(4)
    outcome = follow(watcher, store)
    assert len(outcome) == 1
    assert "no bucket differs" in details(outcome[0], DIVERGED)[0]
    assert has_content_of(watcher, store)


def test_many_differing_buckets_load_a_snapshot() -> None:
    store, watcher = filled(3000), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    for n in range(3000):
        flip(watcher.store, f"function/f{n:05}")
    store.propose(9000, ops("f00002"))
    outcome = combined(follow(watcher, store))
    assert outcome.is_store_replaced
    assert (
        f"{DIGEST_BUCKETS} of 256 buckets differ at revision 6000, loading a snapshot"
        in details(outcome, DIVERGED)[0]
    )
    assert has_content_of(watcher, store)


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
    assert combined(follow(watcher, good)).events[0].kind is DIVERGED
    assert has_content_of(watcher, good)


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
    assert has_content_of(watcher, good)


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
    assert combined(follow(watcher, store)).is_store_replaced
    assert has_content_of(watcher, store)


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
        outcome = combined(follow(watcher, store))
        assert watcher.is_loading == (n < 2)
        assert (outcome.changes == tuple(changes)) == (n == 2)
    assert outcome.repaired_keys == (wrong,)
    assert has_content_of(watcher, ahead)


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
    assert combined(follow(watcher, store)).repaired_keys == ("function/f00050",)
    assert has_content_of(watcher, store)


def test_older_bucket_digests_are_not_compared() -> None:
    store, old, watcher = filled(100), filled(90), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    change = store.propose(9000, ops("f00051"))
    wrong = WatchResponse(9000, 1, 0, (replace(change, digest=1),), since_revision=200)
    assert "requesting the bucket digests" in details(watcher.handle_response(0, wrong, 0), DIVERGED)[0]
    assert unmoved(watcher, respond(old, replace(watcher.next_request(0), revision=0)))
    follow(watcher, store)
    assert has_content_of(watcher, store)


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
    assert has_content_of(watcher, store)
