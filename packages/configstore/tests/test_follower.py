"""One follower, answered by tables that stand at other revisions: what it holds, asks and says."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec.structs import replace

from test_table import filled, flip, ops
from walnutpost.configstore import (
    BUCKETS,
    HEARD_WITHIN,
    VERIFY_EVERY,
    BadTable,
    ChangeSet,
    Follower,
    Op,
    Page,
    Question,
    Table,
    Taken,
    bucket_of,
    entry_digest,
    owed,
)

SECOND = 1_000_000


def follow(
    follower: Follower,
    table: Table,
    most: int = 64 * 1024,
    between: Callable[[Question, Page], Table | None] | None = None,
) -> list[Taken]:
    """Until there is nothing newer. `between`: after each answer; the table that is asked next."""
    taken: list[Taken] = []
    for _ in range(10_000):
        question = follower.question(SECOND)
        page = owed(table, question, most)
        if page is None:
            return taken
        taken.append(follower.answered(0, page, 0))
        if between is not None:
            table = between(question, page) or table
    raise AssertionError(f"no end: {follower.question(0)}")


def same(follower: Follower, table: Table) -> bool:
    held = follower.table
    assert held.recount() == held.bucket_digests() or follower.loading
    return (held.revision, held.digest, held.entries) == (table.revision, table.digest, table.entries)


def one(taken: list[Taken]) -> Taken:
    """What came of them all."""
    return Taken(
        tuple(c for t in taken for c in t.changes),
        any(t.whole for t in taken),
        tuple(key for t in taken for key in t.repaired),
        "; ".join(t.note for t in taken if t.note),
        any(t.elsewhere for t in taken),
    )


# Change sets


def test_a_follower_holds_what_was_agreed_change_set_by_change_set() -> None:
    table, follower = filled(5), Follower("fe1", "fe1.1")
    taken = one(follow(follower, table))
    assert taken == Taken(tuple(table.since(0) or ()))
    assert same(follower, table) and not follower.loading
    change = table.change(50, (*ops("a", "b"), Op("function/f00001", None)))
    assert follow(follower, table) == [Taken((change,))]
    assert same(follower, table) and follow(follower, table) == []


def test_late_and_doubled_pages_change_nothing() -> None:
    table, follower = filled(5), Follower("fe1", "fe1.1")
    pages = [owed(table, follower.question(0), 1)]
    follow(follower, table, most=1, between=lambda _, page: pages.append(page))
    whole = Table.of(table.entries, table.revision)
    pages += [owed(whole, Question("x", "", 1, 0, 0, 0, 0, **more)) for more in ({}, {"want": (1,)})]  # type: ignore[arg-type]
    pages += [owed(whole, Question("x", "", 1, 0, 0, 0, 0, after="function/f00002"))]
    pages += [owed(table, Question("x", "", 1, 0, 0, 0, 0, buckets=True))]
    for page in pages * 2:
        assert page is not None
        assert follower.answered(0, page, 0) == Taken() and same(follower, table) and not follower.loading


def test_a_page_for_one_who_held_more_is_not_taken() -> None:
    """Its change sets come after others that are not held here."""
    table, follower = filled(5), Follower("fe1", "fe1.1")
    page = owed(table, replace(follower.question(0), revision=4))
    assert page is not None and page.since == 4
    assert follower.answered(0, page, 0) == Taken() and follower.table.revision == 0 and not follower.loading


def test_from_a_server_that_is_behind_nothing_comes_until_it_has_caught_up() -> None:
    table, behind, follower = filled(5), filled(3), Follower("fe1", "fe1.1")
    follow(follower, table)
    follower.moved()
    assert follow(follower, behind) == [] and same(follower, table)
    for change in table.since(6) or ():
        behind.take(change)
    change = table.change(50, ops("a"))
    behind.take(change)
    assert follow(follower, behind) == [Taken((change,))]


# In force


def test_in_force_is_what_the_member_said_and_never_goes_back() -> None:
    table, follower = filled(5), Follower("fe1", "fe1.1")
    follow(follower, table)
    assert follower.question(7).in_force == 0 and follower.question(7).revision == 10
    follower.acting(8)
    follower.acting(6)
    assert follower.question(7).in_force == 8
    with pytest.raises(ValueError, match="acts on revision 11, held is 10"):
        follower.acting(11)
    follower.refused(10, "function/f: class fast, wanted one of small, large")
    follower.refused(8, "late")
    question = follower.question(7)
    assert (question.in_force, question.stuck) == (8, "function/f: class fast, wanted one of small, large")
    follower.acting(8)
    assert follower.stuck
    follower.acting(10)
    assert follower.question(7).in_force == 10 and follower.question(7).stuck == ""


def test_a_question_says_who_asks_where_it_stands_and_how_often_it_moved() -> None:
    table, follower = filled(5), Follower("fe1", "fe1.7")
    follow(follower, table)
    follower.moved()
    follower.moved()
    assert follower.question(3 * SECOND) == Question("fe1", "fe1.7", 2, 10, 0, table.digest, 3 * SECOND)


def test_a_follower_is_late_once_nobody_has_vouched_for_9_seconds() -> None:
    now = 100 * SECOND
    follower = Follower("fe1", "fe1.1", now)
    assert not follower.late(now + HEARD_WITHIN) and follower.late(now + HEARD_WITHIN + 1)
    now += 20 * SECOND
    follower.answered(now, None, None)  # a server that has heard of no leader itself
    follower.answered(now, None, 12 * SECOND)
    assert follower.late(now)
    follower.answered(now, None, 2 * SECOND)
    assert not follower.late(now + 7 * SECOND) and follower.late(now + 7 * SECOND + 1)
    follower.answered(now + SECOND, None, 8 * SECOND)  # another server, which knows less
    assert not follower.late(now + 7 * SECOND)


# The whole state


def test_below_the_floor_the_whole_state_is_in_place_only_when_it_is_complete() -> None:
    table, follower = filled(200, log_most=3), Follower("fe1", "fe1.1")
    taken = follow(follower, table, most=500, between=lambda *_: None)
    assert len(taken) > 10 and not any(t.whole or t.changes for t in taken[:-1])
    assert taken[-1].whole and same(follower, table) and not follower.loading
    assert taken[0].note == "revision 0 is below the floor 394, loading the whole state"
    assert taken[-1].note == "the whole state is held: 200 keys at revision 400"


def test_what_is_held_stays_in_force_while_the_whole_state_is_loaded() -> None:
    table, follower = filled(200, log_most=3), Follower("fe1", "fe1.1")
    follow(follower, table)
    follower.acting(400)
    before = follower.table
    for n in range(5):
        table.change(1000 + n, ops(f"f{n:05}", f"g{n}"))

    def between(question: Question, page: Page) -> None:
        assert (question.in_force, question.revision) == (400, 400)
        assert follower.table is before or not follower.loading

    assert one(follow(follower, table, most=500, between=between)).whole
    assert same(follower, table) and follower.in_force == 400


def test_pages_of_several_relays_at_several_revisions_give_one_state() -> None:
    """Between any two pages the follower moves, keys change, are added and deleted, on both sides of where
    the pages have come to."""
    relays = [filled(100, log_most=40) for _ in range(3)]
    keeper = filled(100, log_most=40)
    follower = Follower("fe1", "fe1.1")
    turn = 0

    def between(question: Question, page: Page) -> Table:
        nonlocal turn
        turn += 1
        if turn < 30:
            low, high = f"f{turn:05}", f"f{99 - turn:05}"
            keeper.change(1000 + turn, (Op(f"function/{low}", None), *ops(high, f"f{turn}-new", f"z{turn}")))
        if turn % 2:  # one after the other, each catches up with all
            relay = relays[turn % 3]
            for change in keeper.since(relay.revision) or ():
                relay.take(change)
        follower.moved()
        ahead = [r for r in relays if owed(r, follower.question(0), 300) is not None]
        return ahead[turn % len(ahead)] if ahead else keeper

    taken = one(follow(follower, relays[0], most=300, between=between))
    assert taken.whole and not taken.elsewhere and same(follower, keeper) and turn >= 30


def test_what_was_deleted_behind_the_pages_does_not_come_back() -> None:
    table, follower = filled(100, log_most=40), Follower("fe1", "fe1.1")
    page = owed(table, follower.question(0), 500)
    assert page is not None
    follower.answered(0, page, 0)
    table.change(1000, (Op(page.entries[0].key, None), Op(page.entries[1].key, b"1")))
    table.change(1001, (Op(page.entries[1].key, None), Op(page.entries[2].key, None)))
    table.change(1002, ops("f00002"))
    follow(follower, table, most=500)
    assert same(follower, table)


def test_a_page_that_comes_late_or_twice_does_not_end_up_in_the_load() -> None:
    table, follower = filled(100, log_most=3), Follower("fe1", "fe1.1")
    old = Table.restore(table.snapshot(), log_most=3)
    pages: list[Page] = []

    def between(question: Question, page: Page) -> None:
        pages.append(page)
        asked = follower.question(0)
        for late in pages:
            if late.after != asked.after:  # else it is as good as the one that is waited for
                assert follower.answered(0, late, 0) == Taken()
        assert follower.question(0) == asked

    for key in sorted(table.entries)[::2]:
        table.change(table.revision + 1, (Op(key, None),))
    question = follower.question(0)
    pages += [p for after in old.entries if (p := owed(old, replace(question, after=after), 500))]
    follow(follower, table, most=500, between=between)
    assert same(follower, table)


def test_a_floor_that_passes_the_pages_begins_the_load_anew() -> None:
    table, follower = filled(100, log_most=4), Follower("fe1", "fe1.1")
    moved: list[int] = []

    def between(question: Question, page: Page) -> None:
        taken = page.entries and page.entries[-1].key == follower.question(0).after
        if question.after and taken and len(moved) < 2:
            moved.append(table.floor)
            for _ in range(5):
                table.change(table.revision + 1, (Op("function/f00000", b"%d" % table.revision),))

    taken = one(follow(follower, table, most=500, between=between))
    assert taken.note.count("has passed the pages held") == 2 and taken.whole and same(follower, table)


def test_a_floor_that_passes_the_change_sets_since_the_pages_begins_the_load_anew() -> None:
    table, follower = filled(100, log_most=4), Follower("fe1", "fe1.1")

    def between(question: Question, page: Page) -> None:
        if page.after and table.revision == 200:
            table.change(201, ops("f00001"))  # so that the pages are of two revisions
        if page.done and table.revision == 201:
            for n in range(10):
                table.change(300 + n, ops(f"g{n}"))

    taken = one(follow(follower, table, most=500, between=between))
    assert taken.note.count("loading the whole state") == 2 and taken.whole and same(follower, table)


def test_a_relay_takes_the_history_with_the_whole_state() -> None:
    """So that members which are a little behind go on, when all relays were started anew."""
    keeper = filled(100, log_most=30)
    relay = Follower("", "r1.1", log_most=30, log_bytes=10**6)

    def between(question: Question, page: Page) -> None:
        if page.after:
            keeper.change(keeper.revision + 1, ops("f00003", f"h{keeper.revision}"))

    assert one(follow(relay, keeper, most=500, between=between)).whole
    assert same(relay, keeper) and relay.table.snapshot() == keeper.snapshot()
    for held in range(keeper.floor, keeper.revision):
        assert relay.table.since(held) == keeper.since(held)


def test_a_relay_that_turns_to_a_keeper_with_less_history_goes_on_from_the_pages() -> None:
    keeper, other = filled(100, log_most=30), filled(100, log_most=10)
    relay = Follower("", "r1.1", log_most=30, log_bytes=10**6)

    def between(question: Question, page: Page) -> Table | None:
        return other if page.done else None

    taken = follow(relay, keeper, between=between)
    assert [t.whole for t in taken] == [False, False, True]
    assert same(relay, keeper) and relay.table.floor == other.floor == 180


def test_a_whole_state_that_is_not_the_agreed_one_is_not_put_in_place() -> None:
    table, good, follower = filled(100, log_most=3), filled(100, log_most=3), Follower("fe1", "fe1.1")
    flip(table, "function/f00050")
    follow(follower, filled(50, log_most=3))
    before = follower.table

    def between(question: Question, page: Page) -> Table | None:
        return good if page.done else None

    taken = one(follow(follower, table, most=500, between=between))
    assert taken.elsewhere and "the whole state loaded, not as agreed at revision 200" in taken.note
    assert same(follower, good) and follower.table is not before


def test_entries_that_are_held_already_are_not_held_twice() -> None:
    table, follower = filled(100, log_most=3), Follower("fe1", "fe1.1")
    follow(follower, table)
    before = follower.table.entries
    for n in range(10):
        table.change(1000 + n, ops(f"f{n:05}"))
    follow(follower, Table.restore(table.snapshot(), log_most=3))
    entries = follower.table.entries
    assert sum(entries[key] is before[key] for key in entries) == 90


# Divergence


def test_a_flipped_entry_is_found_after_the_next_change_and_its_range_is_loaded() -> None:
    table, follower = filled(3000), Follower("fe1", "fe1.1")
    follow(follower, table)
    assert follower.verify(0, 10**6) == Taken()
    flip(follower.table, "function/f00050")
    flip(follower.table, "function/f00060")
    assert follower.verify(10 * SECOND) == Taken()  # no change
    follow(follower, table)
    table.change(9000, ops("f00002"))
    follow(follower, table)
    ranges = len({bucket_of("function/f00050"), bucket_of("function/f00060")})
    note = follower.verify(10 * SECOND, 10**6).note
    assert note == f"diverged: {ranges} of 256 ranges differ at revision 9000, loading them"
    taken = one(follow(follower, table))
    assert taken.repaired == ("function/f00050", "function/f00060") and not taken.whole
    assert taken.note == f"repaired: 2 keys in {ranges} ranges at revision 9000" and same(follower, table)


def test_a_recount_reads_a_few_entries_at_a_time_while_changes_go_on() -> None:
    table, follower = filled(1000), Follower("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.table, "function/f00050")
    calls = 0
    assert not follower.verifying
    while True:
        taken = follower.verify(calls, 300)
        calls += 1
        if not follower.verifying:
            break
        table.change(9000 + calls, (Op(f"function/f{calls:05}", None), *ops("f00100")))
        follow(follower, table)
    assert calls == 4 and taken.note.startswith("diverged: 1 of 256 ranges")
    table.change(9900, ops("f00800"))
    assert one(follow(follower, table)).repaired == ("function/f00050",) and same(follower, table)


def test_recounts_are_at_least_5_seconds_apart_and_only_after_changes() -> None:
    table, follower = filled(20), Follower("fe1", "fe1.1")
    follow(follower, table)
    assert follower.verify(0, 5) == Taken() and follower.verifying
    while follower.verifying:
        follower.verify(1, 5)
    follower.verify(VERIFY_EVERY, 5)
    assert not follower.verifying
    table.change(9000, ops("f"))
    follow(follower, table)
    follower.verify(VERIFY_EVERY - 1, 5)
    assert not follower.verifying
    follower.verify(VERIFY_EVERY, 5)
    assert follower.verifying


def test_a_flipped_entry_that_a_change_replaces_is_found_at_once() -> None:
    table, follower = filled(3000), Follower("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.table, "function/f00050")
    table.change(9000, ops("f00002"))
    change = table.change(9001, ops("f00050", "f00051"))
    taken = one(follow(follower, table))
    assert "1 of 256 ranges differ at revision 9000, loading them" in taken.note and not taken.whole
    assert change in taken.changes and same(follower, table)


def test_a_table_that_went_another_way_is_told_so_and_loads_the_ranges_that_differ() -> None:
    """Its own sums fit its own entries: only the digests of others show it."""
    table, follower = filled(3000), Follower("fe1", "fe1.1")
    follow(follower, table)
    held = follower.table
    value, revision = held.entries["function/f00050"].value, held.entries["function/f00050"].revision
    flip(held, "function/f00050")
    follower.table = Table.of(held.entries, held.revision, log_most=0)
    assert follower.table.digest != table.digest and entry_digest("function/f00050", value, revision)
    taken = one(follow(follower, table))
    assert "diverged: 1 of 256 ranges differ at revision 6000" in taken.note
    assert taken.repaired == ("function/f00050",) and same(follower, table)


def test_a_digest_that_was_flipped_is_right_again_without_any_entry() -> None:
    table, follower = filled(30), Follower("fe1", "fe1.1")
    follow(follower, table)
    follower.table.digest ^= 4
    taken = follow(follower, table)
    assert len(taken) == 1 and "no range differs" in taken[0].note and same(follower, table)


def test_most_of_the_ranges_differing_loads_the_whole_state() -> None:
    table, follower = filled(3000), Follower("fe1", "fe1.1")
    follow(follower, table)
    for n in range(3000):
        flip(follower.table, f"function/f{n:05}")
    table.change(9000, ops("f00002"))
    taken = one(follow(follower, table))
    assert taken.whole and f"{BUCKETS} of 256 ranges differ at revision 6000, loading all" in taken.note
    assert same(follower, table)


def test_ranges_that_were_loaded_wrong_are_not_put_in_place_and_another_server_is_asked() -> None:
    table, good, follower = filled(1000), filled(1000), Follower("fe1", "fe1.1")
    follow(follower, table)
    for held in (table, follower.table):
        flip(held, "function/f00050")
    for held in (table, good):
        held.change(9000, ops("f00002"))
    follow(follower, good)
    before = follower.table
    assert follower.verify(0, 10**6).note
    page = owed(table, follower.question(0))
    assert page is not None and page.repair
    taken = follower.answered(0, page, 0)
    assert taken.elsewhere and "1 ranges loaded, not as agreed at revision 9000" in taken.note
    assert follower.table is before
    # The other one's are right.
    table.change(9001, ops("f00050"))
    good.change(9001, ops("f00050"))
    assert one(follow(follower, good)).note.startswith("diverged") and same(follower, good)


def test_a_server_whose_digests_are_wrong_is_left_and_changes_nothing() -> None:
    table, follower = filled(100), Follower("fe1", "fe1.1")
    follow(follower, table)
    bad = Table.restore(table.snapshot())
    flip(bad, "function/f00050")
    bad.change(9000, ops("f00050"))  # its digest is wrong from here on, its entries are right again
    good = Table.restore(table.snapshot())
    good.change(9000, ops("f00050"))
    before = follower.table
    taken: list[Taken] = []
    while not (taken and taken[-1].elsewhere):
        page = owed(bad, follower.question(0))
        assert page is not None
        taken.append(follower.answered(0, page, 0))
        assert follower.table is before
    follower.moved()
    follow(follower, good)
    assert same(follower, good)


def test_repairs_that_fail_again_and_again_end_in_the_whole_state() -> None:
    table, follower = filled(100), Follower("fe1", "fe1.1")
    follow(follower, table)
    bad = Table.restore(table.snapshot())
    bad.digest ^= 1
    taken: list[Taken] = []
    while sum(t.elsewhere for t in taken) < 2:
        page = owed(bad, follower.question(0))
        assert page is not None
        taken.append(follower.answered(0, page, 0))
    assert follower.question(0).after == ""
    assert one(follow(follower, table)).whole and same(follower, table)


def test_repair_goes_on_while_changes_do_and_at_another_server() -> None:
    """The ranges come from a server that is ahead, the change sets in between from one that is not."""
    table, ahead, follower = filled(3000), filled(3000), Follower("fe1", "fe1.1")
    follow(follower, table)
    flip(follower.table, "function/f00050")
    follower.verify(0, 10**6)
    wrong = "function/f00050"
    near = sorted(k for k in table.entries if bucket_of(k) == bucket_of(wrong) and k != wrong)
    changes = [
        ahead.change(9000, (Op(near[0], None), Op(near[1], b"1"), *ops("g"))),
        ahead.change(9001, (Op(near[1], None), Op(near[2], b"2"))),
        ahead.change(9002, (Op(near[0], b"3"), *ops("g", value=None))),
    ]
    page = owed(ahead, follower.question(0))
    assert page is not None and follower.answered(0, page, 0) == Taken() and follower.loading
    assert follow(follower, table) == []  # as far as this one can tell there is nothing newer
    for n, change in enumerate(changes):
        table.take(change)
        taken = one(follow(follower, table))
        assert follower.loading == (n < 2) and (taken.changes == tuple(changes)) == (n == 2)
    assert taken.repaired == (wrong,) and same(follower, ahead)


def unmoved(follower: Follower, page: Page | None) -> bool:
    """A page that is not the awaited one."""
    asked, held = follower.question(0), follower.table
    assert page is not None
    return (
        follower.answered(0, page, 0) == Taken() and follower.question(0) == asked and follower.table is held
    )


def test_ranges_that_are_older_or_not_asked_for_are_not_taken() -> None:
    table, old, follower = filled(1000), filled(1000), Follower("fe1", "fe1.1")
    table.change(9000, ops("f00051"))
    follow(follower, table)
    flip(follower.table, "function/f00050")
    follower.verify(0, 10**6)
    asked = follower.question(0)
    bucket = bucket_of("function/f00050")
    assert asked.want == (bucket,)
    assert unmoved(follower, owed(old, replace(asked, revision=2000)))
    assert unmoved(follower, owed(table, replace(asked, want=((bucket + 1) % BUCKETS,))))
    assert unmoved(follower, owed(table, replace(asked, want=(bucket, (bucket + 1) % BUCKETS))))
    assert one(follow(follower, table)).repaired == ("function/f00050",) and same(follower, table)


def test_digests_that_are_older_are_not_compared() -> None:
    table, old, follower = filled(100), filled(90), Follower("fe1", "fe1.1")
    follow(follower, table)
    change = table.change(9000, ops("f00051"))
    wrong = Page(9000, 1, 0, (replace(change, digest=1),), since=200)
    assert "asking for the digests by range" in follower.answered(0, wrong, 0).note
    assert unmoved(follower, owed(old, replace(follower.question(0), revision=0)))
    follow(follower, table)
    assert same(follower, table)


def test_change_sets_that_are_late_or_leave_a_gap_are_not_laid_over_pages() -> None:
    table, follower = filled(100, log_most=40), Follower("fe1", "fe1.1")
    page = owed(table, follower.question(0), 500)
    assert page is not None
    follower.answered(0, page, 0)
    for n in range(4):
        table.change(9000 + n, ops(f"f0000{n}", value=b"%d" % n))
    while follower.question(0).after is not None:
        page = owed(table, follower.question(0))
        assert page is not None
        follower.answered(0, page, 0)
    asked = follower.question(0)
    first = owed(table, asked, 1)
    assert asked.base == asked.revision == 200 and first is not None
    assert unmoved(follower, owed(table, replace(asked, revision=9001)))
    follower.answered(0, first, 0)
    follower.answered(0, owed(table, follower.question(0), 1), 0)
    assert follower.question(0).revision == 9001
    assert unmoved(follower, first)
    follow(follower, table)
    assert same(follower, table)


# Disk


def test_a_kept_copy_goes_on_from_where_it_was() -> None:
    table, follower = filled(100), Follower("fe1", "fe1.1")
    follow(follower, table)
    other = Follower.restore(follower.kept(), "fe1", "fe1.2", 5)
    assert same(other, table) and (other.in_force, other.incarnation) == (0, "fe1.2")
    change = table.change(9000, ops("f"))
    assert follow(other, table) == [Taken((change,))]
    with pytest.raises(BadTable):
        Follower.restore(follower.kept()[:-1], "fe1", "fe1.2")


def test_a_member_holds_no_history() -> None:
    table, follower = filled(100), Follower("fe1", "fe1.1")
    follow(follower, table)
    assert follower.table.since(follower.table.revision) == [] and follower.table.floor == 200
    assert isinstance((table.since(0) or [])[0], ChangeSet)
