"""One follower, answered by tables that stand at other revisions: what it holds, asks and says."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from store_rig import filled, flip, ops
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

DIVERGED, REPAIRED = SyncEventKind.DIVERGED, SyncEventKind.REPAIRED
SNAPSHOT_REQUESTED, SNAPSHOT_LOADED = SyncEventKind.SNAPSHOT_REQUESTED, SyncEventKind.SNAPSHOT_LOADED
SECOND = 1_000_000


def follow(
    follower: WatchState,
    table: ConfigStore,
    most: int = 64 * 1024,
    between: Callable[[WatchRequest, WatchResponse], ConfigStore | None] | None = None,
) -> list[ApplyOutcome]:
    """Until there is nothing newer. `between`: after each answer; the table that is asked next."""
    taken: list[ApplyOutcome] = []
    for _ in range(10_000):
        question = follower.next_request(SECOND)
        page = respond(table, question, most)
        if page is None:
            return taken
        taken.append(follower.handle_response(0, page, 0))
        if between is not None:
            table = between(question, page) or table
    raise AssertionError(f"no end: {follower.next_request(0)}")


def same(follower: WatchState, table: ConfigStore) -> bool:
    held = follower.store
    assert held.compute_bucket_digests() == held.bucket_digests() or follower.is_loading
    return (held.revision, held.digest, held.entries) == (table.revision, table.digest, table.entries)


def one(taken: list[ApplyOutcome]) -> ApplyOutcome:
    """What came of them all."""
    return ApplyOutcome(
        tuple(c for t in taken for c in t.changes),
        any(t.is_replaced for t in taken),
        tuple(key for t in taken for key in t.repaired_keys),
        tuple(event for t in taken for event in t.events),
        any(t.is_inconsistent for t in taken),
    )


def details(taken: ApplyOutcome, kind: SyncEventKind) -> list[str]:
    return [event.detail for event in taken.events if event.kind is kind]


# Change sets


def test_a_watcher_applies_the_change_sets_one_by_one() -> None:
    table, follower = filled(5), WatchState("fe1", "fe1.1")
    taken = one(follow(follower, table))
    assert taken == ApplyOutcome(tuple(table.changes_since(0) or ()))
    assert same(follower, table) and not follower.is_loading
    change = table.propose(50, (*ops("a", "b"), Mutation("function/f00001", None)))
    assert follow(follower, table) == [ApplyOutcome((change,))]
    assert same(follower, table) and follow(follower, table) == []


def test_late_and_duplicated_responses_change_nothing() -> None:
    table, follower = filled(5), WatchState("fe1", "fe1.1")
    pages = [respond(table, follower.next_request(0), 1)]
    follow(follower, table, most=1, between=lambda _, page: pages.append(page))
    whole = ConfigStore.from_entries(table.entries, table.revision)
    plain = WatchRequest("x", "", 1, 0, 0, 0, 0)
    pages += [respond(whole, asked) for asked in (plain, replace(plain, wanted_buckets=(1,)))]
    pages += [respond(whole, WatchRequest("x", "", 1, 0, 0, 0, 0, after_key="function/f00002"))]
    pages += [respond(table, WatchRequest("x", "", 1, 0, 0, 0, 0, wants_bucket_digests=True))]
    for page in pages * 2:
        assert page is not None
        assert (
            follower.handle_response(0, page, 0) == ApplyOutcome()
            and same(follower, table)
            and not follower.is_loading
        )


def test_changes_after_a_later_revision_are_ignored() -> None:
    """Its change sets come after others that are not held here."""
    table, follower = filled(5), WatchState("fe1", "fe1.1")
    page = respond(table, replace(follower.next_request(0), revision=4))
    assert page is not None and page.since_revision == 4
    assert (
        follower.handle_response(0, page, 0) == ApplyOutcome()
        and follower.store.revision == 0
        and not follower.is_loading
    )


def test_a_server_behind_sends_nothing_until_it_has_caught_up() -> None:
    table, behind, follower = filled(5), filled(3), WatchState("fe1", "fe1.1")
    follow(follower, table)
    follower.server_changed()
    assert follow(follower, behind) == [] and same(follower, table)
    for change in table.changes_since(6) or ():
        behind.apply(change)
    change = table.propose(50, ops("a"))
    behind.apply(change)
    assert follow(follower, behind) == [ApplyOutcome((change,))]


# In force


def test_applied_revision_is_what_was_marked_and_never_decreases() -> None:
    table, follower = filled(5), WatchState("fe1", "fe1.1")
    follow(follower, table)
    assert follower.next_request(7).applied_revision == 0 and follower.next_request(7).revision == 10
    follower.mark_applied(8)
    follower.mark_applied(6)
    assert follower.next_request(7).applied_revision == 8
    with pytest.raises(ValueError, match="applied revision 11, the store is at 10"):
        follower.mark_applied(11)
    follower.mark_blocked(10, "function/f: class fast, wanted one of small, large")
    follower.mark_blocked(8, "late")
    question = follower.next_request(7)
    assert (question.applied_revision, question.blocked_reason) == (
        8,
        "function/f: class fast, wanted one of small, large",
    )
    follower.mark_applied(8)
    assert follower.blocked_reason
    follower.mark_applied(10)
    assert follower.next_request(7).applied_revision == 10 and follower.next_request(7).blocked_reason == ""


def test_next_request_has_member_position_and_session() -> None:
    table, follower = filled(5), WatchState("fe1", "fe1.7")
    follow(follower, table)
    follower.server_changed()
    follower.server_changed()
    assert follower.next_request(3 * SECOND) == WatchRequest(
        "fe1", "fe1.7", 2, 10, 0, table.digest, 3 * SECOND
    )


def test_a_watcher_is_stale_after_9_seconds_without_confirmation() -> None:
    now = 100 * SECOND
    follower = WatchState("fe1", "fe1.1", now)
    assert not follower.is_stale(now + STALE_AFTER_US) and follower.is_stale(now + STALE_AFTER_US + 1)
    now += 20 * SECOND
    follower.handle_response(now, None, None)  # a server that has heard of no leader itself
    follower.handle_response(now, None, 12 * SECOND)
    assert follower.is_stale(now)
    follower.handle_response(now, None, 2 * SECOND)
    assert not follower.is_stale(now + 7 * SECOND) and follower.is_stale(now + 7 * SECOND + 1)
    follower.handle_response(now + SECOND, None, 8 * SECOND)  # another server, which knows less
    assert not follower.is_stale(now + 7 * SECOND)


# The whole state


def test_a_snapshot_replaces_the_store_only_when_complete() -> None:
    table, follower = filled(200, max_log_entries=3), WatchState("fe1", "fe1.1")
    taken = follow(follower, table, most=500, between=lambda *_: None)
    assert len(taken) > 10 and not any(t.is_replaced or t.changes for t in taken[:-1])
    assert taken[-1].is_replaced and same(follower, table) and not follower.is_loading
    assert taken[0].events == (SyncEvent(SNAPSHOT_REQUESTED, "revision 0 is below compacted revision 394"),)
    assert taken[-1].events == (SyncEvent(SNAPSHOT_LOADED, "200 keys at revision 400"),)


def test_the_store_is_unchanged_while_a_snapshot_is_loaded() -> None:
    table, follower = filled(200, max_log_entries=3), WatchState("fe1", "fe1.1")
    follow(follower, table)
    follower.mark_applied(400)
    before = follower.store
    for n in range(5):
        table.propose(1000 + n, ops(f"f{n:05}", f"g{n}"))

    def between(question: WatchRequest, page: WatchResponse) -> None:
        assert (question.applied_revision, question.revision) == (400, 400)
        assert follower.store is before or not follower.is_loading

    assert one(follow(follower, table, most=500, between=between)).is_replaced
    assert same(follower, table) and follower.applied_revision == 400


def test_snapshot_pages_of_several_relays_and_revisions_make_one_state() -> None:
    """Between any two pages the follower moves, keys change, are added and deleted, on both sides of where
    the pages have come to."""
    relays = [filled(100, max_log_entries=40) for _ in range(3)]
    keeper = filled(100, max_log_entries=40)
    follower = WatchState("fe1", "fe1.1")
    turn = 0

    def between(question: WatchRequest, page: WatchResponse) -> ConfigStore:
        nonlocal turn
        turn += 1
        if turn < 30:
            low, high = f"f{turn:05}", f"f{99 - turn:05}"
            keeper.propose(
                1000 + turn, (Mutation(f"function/{low}", None), *ops(high, f"f{turn}-new", f"z{turn}"))
            )
        if turn % 2:  # one after the other, each catches up with all
            relay = relays[turn % 3]
            for change in keeper.changes_since(relay.revision) or ():
                relay.apply(change)
        follower.server_changed()
        ahead = [r for r in relays if respond(r, follower.next_request(0), 300) is not None]
        return ahead[turn % len(ahead)] if ahead else keeper

    taken = one(follow(follower, relays[0], most=300, between=between))
    assert taken.is_replaced and not taken.is_inconsistent and same(follower, keeper) and turn >= 30


def test_a_key_deleted_behind_the_snapshot_pages_does_not_return() -> None:
    table, follower = filled(100, max_log_entries=40), WatchState("fe1", "fe1.1")
    page = respond(table, follower.next_request(0), 500)
    assert page is not None
    follower.handle_response(0, page, 0)
    table.propose(1000, (Mutation(page.entries[0].key, None), Mutation(page.entries[1].key, b"1")))
    table.propose(1001, (Mutation(page.entries[1].key, None), Mutation(page.entries[2].key, None)))
    table.propose(1002, ops("f00002"))
    follow(follower, table, most=500)
    assert same(follower, table)


def test_a_late_or_duplicated_snapshot_page_is_ignored() -> None:
    table, follower = filled(100, max_log_entries=3), WatchState("fe1", "fe1.1")
    old = ConfigStore.restore(table.snapshot(), max_log_entries=3)
    pages: list[WatchResponse] = []

    def between(question: WatchRequest, page: WatchResponse) -> None:
        pages.append(page)
        asked = follower.next_request(0)
        for late in pages:
            if late.after_key != asked.after_key:  # else it is as good as the one that is waited for
                assert follower.handle_response(0, late, 0) == ApplyOutcome()
        assert follower.next_request(0) == asked

    for key in sorted(table.entries)[::2]:
        table.propose(table.revision + 1, (Mutation(key, None),))
    question = follower.next_request(0)
    pages += [p for after in old.entries if (p := respond(old, replace(question, after_key=after), 500))]
    follow(follower, table, most=500, between=between)
    assert same(follower, table)


def test_compaction_past_the_snapshot_pages_restarts_the_load() -> None:
    table, follower = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")
    moved: list[int] = []

    def between(question: WatchRequest, page: WatchResponse) -> None:
        taken = page.entries and page.entries[-1].key == follower.next_request(0).after_key
        if question.after_key and taken and len(moved) < 2:
            moved.append(table.compacted_revision)
            for _ in range(5):
                table.propose(table.revision + 1, (Mutation("function/f00000", b"%d" % table.revision),))

    taken = one(follow(follower, table, most=500, between=between))
    passed = [d for d in details(taken, SNAPSHOT_REQUESTED) if "has passed the pages loaded" in d]
    assert len(passed) == 2 and taken.is_replaced and same(follower, table)


def test_compaction_past_the_replayed_changes_restarts_the_load() -> None:
    table, follower = filled(100, max_log_entries=4), WatchState("fe1", "fe1.1")

    def between(question: WatchRequest, page: WatchResponse) -> None:
        if page.after_key and table.revision == 200:
            table.propose(201, ops("f00001"))  # so that the pages are of two revisions
        if page.is_last_page and table.revision == 201:
            for n in range(10):
                table.propose(300 + n, ops(f"g{n}"))

    taken = one(follow(follower, table, most=500, between=between))
    assert len(details(taken, SNAPSHOT_REQUESTED)) == 2 and taken.is_replaced and same(follower, table)


def test_a_relay_loads_the_log_with_a_snapshot() -> None:
    """So that members which are a little behind go on, when all relays were started anew."""
    keeper = filled(100, max_log_entries=30)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(question: WatchRequest, page: WatchResponse) -> None:
        if page.after_key:
            keeper.propose(keeper.revision + 1, ops("f00003", f"h{keeper.revision}"))

    assert one(follow(relay, keeper, most=500, between=between)).is_replaced
    assert same(relay, keeper) and relay.store.snapshot() == keeper.snapshot()
    for held in range(keeper.compacted_revision, keeper.revision):
        assert relay.store.changes_since(held) == keeper.changes_since(held)


def test_a_relay_at_a_server_with_a_shorter_log_continues_from_the_pages() -> None:
    keeper, other = filled(100, max_log_entries=30), filled(100, max_log_entries=10)
    relay = WatchState("", "r1.1", max_log_entries=30, max_log_bytes=10**6)

    def between(question: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return other if page.is_last_page else None

    taken = follow(relay, keeper, between=between)
    assert [t.is_replaced for t in taken] == [False, False, True]
    assert same(relay, keeper) and relay.store.compacted_revision == other.compacted_revision == 180


def test_a_snapshot_with_another_digest_is_rejected() -> None:
    table, good, follower = (
        filled(100, max_log_entries=3),
        filled(100, max_log_entries=3),
        WatchState("fe1", "fe1.1"),
    )
    flip(table, "function/f00050")
    follow(follower, filled(50, max_log_entries=3))
    before = follower.store

    def between(question: WatchRequest, page: WatchResponse) -> ConfigStore | None:
        return good if page.is_last_page else None

    taken = one(follow(follower, table, most=500, between=between))
    assert taken.is_inconsistent
    assert "the snapshot loaded, not as committed at revision 200" in details(taken, DIVERGED)
    assert same(follower, good) and follower.store is not before


def test_entries_equal_in_a_snapshot_are_shared_with_the_store() -> None:
    table, follower = filled(100, max_log_entries=3), WatchState("fe1", "fe1.1")
    follow(follower, table)
    before = follower.store.entries
    for n in range(10):
        table.propose(1000 + n, ops(f"f{n:05}"))
    follow(follower, ConfigStore.restore(table.snapshot(), max_log_entries=3))
    entries = follower.store.entries
    assert sum(entries[key] is before[key] for key in entries) == 90


# Divergence


def test_a_corrupted_entry_is_found_after_a_change_and_its_bucket_repaired() -> None:
    table, follower = filled(3000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    assert follower.verify(0, 10**6) == ApplyOutcome()
    flip(follower.store, "function/f00050")
    flip(follower.store, "function/f00060")
    assert follower.verify(10 * SECOND) == ApplyOutcome()  # no change
    follow(follower, table)
    table.propose(9000, ops("f00002"))
    follow(follower, table)
    ranges = len({bucket_of("function/f00050"), bucket_of("function/f00060")})
    events = follower.verify(10 * SECOND, 10**6).events
    assert events == (SyncEvent(DIVERGED, f"{ranges} of 256 buckets differ at revision 9000, loading them"),)
    taken = one(follow(follower, table))
    assert taken.repaired_keys == ("function/f00050", "function/f00060") and not taken.is_replaced
    assert taken.events == (SyncEvent(REPAIRED, f"2 keys in {ranges} buckets at revision 9000"),)
    assert same(follower, table)


def test_a_digest_check_reads_in_batches_while_changes_go_on() -> None:
    table, follower = filled(1000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.store, "function/f00050")
    calls = 0
    assert not follower.is_verifying
    while True:
        taken = follower.verify(calls, 300)
        calls += 1
        if not follower.is_verifying:
            break
        table.propose(9000 + calls, (Mutation(f"function/f{calls:05}", None), *ops("f00100")))
        follow(follower, table)
    assert calls == 4 and details(taken, DIVERGED)[0].startswith("1 of 256 buckets")
    table.propose(9900, ops("f00800"))
    assert one(follow(follower, table)).repaired_keys == ("function/f00050",) and same(follower, table)


def test_digest_checks_are_5_seconds_apart_and_only_after_changes() -> None:
    table, follower = filled(20), WatchState("fe1", "fe1.1")
    follow(follower, table)
    assert follower.verify(0, 5) == ApplyOutcome() and follower.is_verifying
    while follower.is_verifying:
        follower.verify(1, 5)
    follower.verify(VERIFY_INTERVAL_US, 5)
    assert not follower.is_verifying
    table.propose(9000, ops("f"))
    follow(follower, table)
    follower.verify(VERIFY_INTERVAL_US - 1, 5)
    assert not follower.is_verifying
    follower.verify(VERIFY_INTERVAL_US, 5)
    assert follower.is_verifying


def test_a_corrupted_entry_that_a_change_replaces_is_found_at_once() -> None:
    table, follower = filled(3000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.store, "function/f00050")
    table.propose(9000, ops("f00002"))
    change = table.propose(9001, ops("f00050", "f00051"))
    taken = one(follow(follower, table))
    assert "1 of 256 buckets differ at revision 9000, loading them" in details(taken, DIVERGED)[0]
    assert not taken.is_replaced
    assert change in taken.changes and same(follower, table)


def test_a_diverged_store_is_detected_by_the_server_digests_and_repaired() -> None:
    """Its own sums fit its own entries: only the digests of others show it."""
    table, follower = filled(3000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    held = follower.store
    value, revision = held.entries["function/f00050"].value, held.entries["function/f00050"].revision
    flip(held, "function/f00050")
    follower.store = ConfigStore.from_entries(held.entries, held.revision, max_log_entries=0)
    assert follower.store.digest != table.digest and entry_digest("function/f00050", value, revision)
    taken = one(follow(follower, table))
    assert any("1 of 256 buckets differ at revision 6000" in detail for detail in details(taken, DIVERGED))
    assert taken.repaired_keys == ("function/f00050",) and same(follower, table)


def test_a_corrupted_digest_is_corrected_without_loading_entries() -> None:
    table, follower = filled(30), WatchState("fe1", "fe1.1")
    follow(follower, table)
    follower.store.digest ^= 4
    taken = follow(follower, table)
    assert len(taken) == 1 and "no bucket differs" in details(taken[0], DIVERGED)[0] and same(follower, table)


def test_many_differing_buckets_load_a_snapshot() -> None:
    table, follower = filled(3000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    for n in range(3000):
        flip(follower.store, f"function/f{n:05}")
    table.propose(9000, ops("f00002"))
    taken = one(follow(follower, table))
    assert (
        taken.is_replaced
        and f"{DIGEST_BUCKETS} of 256 buckets differ at revision 6000, loading a snapshot"
        in details(taken, DIVERGED)[0]
    )
    assert same(follower, table)


def test_buckets_with_another_digest_are_rejected_and_another_server_asked() -> None:
    table, good, follower = filled(1000), filled(1000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    for held in (table, follower.store):
        flip(held, "function/f00050")
    for held in (table, good):
        held.propose(9000, ops("f00002"))
    follow(follower, good)
    before = follower.store
    assert follower.verify(0, 10**6).events
    page = respond(table, follower.next_request(0))
    assert page is not None and page.is_repair
    taken = follower.handle_response(0, page, 0)
    assert taken.is_inconsistent
    assert "1 buckets loaded, not as committed at revision 9000" in details(taken, DIVERGED)
    assert follower.store is before
    # The other one's are right.
    table.propose(9001, ops("f00050"))
    good.propose(9001, ops("f00050"))
    assert one(follow(follower, good)).events[0].kind is DIVERGED and same(follower, good)


def test_a_server_with_wrong_digests_is_left_and_changes_nothing() -> None:
    table, follower = filled(100), WatchState("fe1", "fe1.1")
    follow(follower, table)
    bad = ConfigStore.restore(table.snapshot())
    flip(bad, "function/f00050")
    bad.propose(9000, ops("f00050"))  # its digest is wrong from here on, its entries are right again
    good = ConfigStore.restore(table.snapshot())
    good.propose(9000, ops("f00050"))
    before = follower.store
    taken: list[ApplyOutcome] = []
    while not (taken and taken[-1].is_inconsistent):
        page = respond(bad, follower.next_request(0))
        assert page is not None
        taken.append(follower.handle_response(0, page, 0))
        assert follower.store is before
    follower.server_changed()
    follow(follower, good)
    assert same(follower, good)


def test_repeatedly_failing_repairs_load_a_snapshot() -> None:
    table, follower = filled(100), WatchState("fe1", "fe1.1")
    follow(follower, table)
    bad = ConfigStore.restore(table.snapshot())
    bad.digest ^= 1
    taken: list[ApplyOutcome] = []
    while sum(t.is_inconsistent for t in taken) < 2:
        page = respond(bad, follower.next_request(0))
        assert page is not None
        taken.append(follower.handle_response(0, page, 0))
    assert follower.next_request(0).after_key == ""
    assert one(follow(follower, table)).is_replaced and same(follower, table)


def test_a_repair_continues_during_changes_and_at_another_server() -> None:
    """The ranges come from a server that is ahead, the change sets in between from one that is not."""
    table, ahead, follower = filled(3000), filled(3000), WatchState("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.store, "function/f00050")
    follower.verify(0, 10**6)
    wrong = "function/f00050"
    near = sorted(k for k in table.entries if bucket_of(k) == bucket_of(wrong) and k != wrong)
    changes = [
        ahead.propose(9000, (Mutation(near[0], None), Mutation(near[1], b"1"), *ops("g"))),
        ahead.propose(9001, (Mutation(near[1], None), Mutation(near[2], b"2"))),
        ahead.propose(9002, (Mutation(near[0], b"3"), *ops("g", value=None))),
    ]
    page = respond(ahead, follower.next_request(0))
    assert page is not None and follower.handle_response(0, page, 0) == ApplyOutcome() and follower.is_loading
    assert follow(follower, table) == []  # as far as this one can tell there is nothing newer
    for n, change in enumerate(changes):
        table.apply(change)
        taken = one(follow(follower, table))
        assert follower.is_loading == (n < 2) and (taken.changes == tuple(changes)) == (n == 2)
    assert taken.repaired_keys == (wrong,) and same(follower, ahead)


def unmoved(follower: WatchState, page: WatchResponse | None) -> bool:
    """A page that is not the awaited one."""
    asked, held = follower.next_request(0), follower.store
    assert page is not None
    return (
        follower.handle_response(0, page, 0) == ApplyOutcome()
        and follower.next_request(0) == asked
        and follower.store is held
    )


def test_buckets_that_are_older_or_not_wanted_are_ignored() -> None:
    table, old, follower = filled(1000), filled(1000), WatchState("fe1", "fe1.1")
    table.propose(9000, ops("f00051"))
    follow(follower, table)
    flip(follower.store, "function/f00050")
    follower.verify(0, 10**6)
    asked = follower.next_request(0)
    bucket = bucket_of("function/f00050")
    assert asked.wanted_buckets == (bucket,)
    assert unmoved(follower, respond(old, replace(asked, revision=2000)))
    assert unmoved(follower, respond(table, replace(asked, wanted_buckets=((bucket + 1) % DIGEST_BUCKETS,))))
    assert unmoved(
        follower, respond(table, replace(asked, wanted_buckets=(bucket, (bucket + 1) % DIGEST_BUCKETS)))
    )
    assert one(follow(follower, table)).repaired_keys == ("function/f00050",) and same(follower, table)


def test_older_bucket_digests_are_not_compared() -> None:
    table, old, follower = filled(100), filled(90), WatchState("fe1", "fe1.1")
    follow(follower, table)
    change = table.propose(9000, ops("f00051"))
    wrong = WatchResponse(9000, 1, 0, (replace(change, digest=1),), since_revision=200)
    assert "requesting the bucket digests" in details(follower.handle_response(0, wrong, 0), DIVERGED)[0]
    assert unmoved(follower, respond(old, replace(follower.next_request(0), revision=0)))
    follow(follower, table)
    assert same(follower, table)


def test_late_changes_or_with_a_gap_are_not_replayed_over_pages() -> None:
    table, follower = filled(100, max_log_entries=40), WatchState("fe1", "fe1.1")
    page = respond(table, follower.next_request(0), 500)
    assert page is not None
    follower.handle_response(0, page, 0)
    for n in range(4):
        table.propose(9000 + n, ops(f"f0000{n}", value=b"%d" % n))
    while follower.next_request(0).after_key is not None:
        page = respond(table, follower.next_request(0))
        assert page is not None
        follower.handle_response(0, page, 0)
    asked = follower.next_request(0)
    first = respond(table, asked, 1)
    assert asked.base_revision == asked.revision == 200 and first is not None
    assert unmoved(follower, respond(table, replace(asked, revision=9001)))
    follower.handle_response(0, first, 0)
    follower.handle_response(0, respond(table, follower.next_request(0), 1), 0)
    assert follower.next_request(0).revision == 9001
    assert unmoved(follower, first)
    follow(follower, table)
    assert same(follower, table)


# Disk


def test_a_restored_watch_state_continues_from_its_revision() -> None:
    table, follower = filled(100), WatchState("fe1", "fe1.1")
    follow(follower, table)
    other = WatchState.restore(follower.snapshot(), "fe1", "fe1.2", 5)
    assert same(other, table) and (other.applied_revision, other.incarnation) == (0, "fe1.2")
    change = table.propose(9000, ops("f"))
    assert follow(other, table) == [ApplyOutcome((change,))]
    with pytest.raises(InvalidSnapshotError):
        WatchState.restore(follower.snapshot()[:-1], "fe1", "fe1.2")


def test_a_member_has_no_log() -> None:
    table, follower = filled(100), WatchState("fe1", "fe1.1")
    follow(follower, table)
    assert (
        follower.store.changes_since(follower.store.revision) == []
        and follower.store.compacted_revision == 200
    )
    assert isinstance((table.changes_since(0) or [])[0], ChangeSet)
