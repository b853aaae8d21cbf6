"""What a watch is answered, by where the follower stands."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from test_table import filled, ops
from walnutpost.configstore import (
    BUCKETS,
    PAGE_BYTES,
    VALUE_MOST,
    ChangeSet,
    Op,
    Page,
    Question,
    Table,
    bucket_of,
    encode,
    owed,
    owed_key,
)


def question(revision: int = 0, digest: int = 0, **more: object) -> Question:
    return replace(Question("fe1", "fe1.1", 1, revision, revision, digest, 3_000_000), **more)


def asked(table: Table, revision: int = 0, digest: int = 0, **more: object) -> Page:
    page = owed(table, question(revision, digest, **more))
    assert page is not None and (page.revision, page.digest) == (table.revision, table.digest)
    return page


def test_who_holds_all_waits_until_something_changes() -> None:
    table = filled(10)
    assert owed(table, question(20, table.digest)) is None
    change = table.change(31, ops("f"))
    page = asked(table, 20, 1)
    assert page.changes == (change,) and page.since == 20
    # The history went on with other things meanwhile, which change no table.
    assert asked(table, 25, 1).changes == (change,)
    assert owed(Table(), question()) is None


def test_a_server_that_is_behind_never_answers() -> None:
    """Else a follower that turned from a newer relay would go back."""
    table = filled(10)
    for more in ({}, {"buckets": True}, {"want": (1,)}, {"after": ""}, {"base": 3}):
        assert owed(table, question(21, table.digest, **more)) is None


def test_who_is_behind_gets_whole_change_sets_in_order_in_pages_that_fit() -> None:
    table = filled(3)
    for n in range(50):
        table.change(100 + n, ops(*map(str, range(20)), value=bytes(150)))
    at = 0
    got: list[ChangeSet] = []
    while at < table.revision:
        page = asked(table, at)
        assert page.since == at and not page.whole and not page.done
        assert len(encode(page)) <= PAGE_BYTES + 200
        got += page.changes
        at = page.changes[-1].revision
    assert got == table.since(0) and len(got) == 53


def test_a_change_set_larger_than_a_page_comes_alone() -> None:
    table = filled(3)
    for revision in (10, 11):
        table.change(revision, ops(*"abcdefg", value=bytes(VALUE_MOST)))
    assert [c.revision for c in asked(table, 6).changes] == [10]


def test_below_the_floor_the_whole_state_comes_in_pages_by_key() -> None:
    table = filled(2000, log_most=5)
    for revision in (0, 7, table.floor - 1):
        page = asked(table, revision, 1)
        assert page.whole and page.after == "" and page.floor == table.floor
    got, pages = list(page.entries), 1
    while not page.done:
        page = asked(table, revision, after=got[-1].key, base=page.revision)
        assert page.after == got[-1].key and len(encode(page)) <= PAGE_BYTES + 200
        got += page.entries
        pages += 1
    assert got == [table.entries[key] for key in sorted(table.entries)] and pages > 1
    assert asked(table, table.floor).changes == tuple(table.since(table.floor) or ())


def test_a_page_of_the_whole_state_goes_on_by_key_while_keys_come_and_go() -> None:
    table = filled(2000)
    first = asked(table, after="")
    last = first.entries[-1].key
    table.change(9000, (Op(last, None), Op("function/a", b""), Op(last + "x", b"")))
    page = asked(table, after=last, base=first.revision)
    assert page.entries[0].key == last + "x" and page.revision == 9000


def test_an_entry_larger_than_a_page_comes_alone_and_an_empty_table_is_one_page() -> None:
    table = filled(3)
    page = owed(table, question(0, after=""), 10)
    assert page is not None and len(page.entries) == 1 and not page.done
    table.change(10, tuple(Op(key, None) for key in table.entries))
    assert asked(table, after="") == Page(10, 0, 0, whole=True, done=True, after="")


def test_a_digest_that_differs_at_the_same_revision_is_answered_with_those_of_the_ranges() -> None:
    table = filled(100)
    page = asked(table, 200, table.digest ^ 1)
    assert page == Page(200, table.digest, 0, buckets=table.bucket_digests())
    # Not where the whole state's pages wait for change sets: there is no digest yet.
    assert owed(table, question(200, 0, base=150)) is None
    assert asked(table, 10, buckets=True).buckets == table.bucket_digests()


def test_ranges_come_whole_as_many_as_fit() -> None:
    table = filled(3000)
    want = (3, 1, 200, 1, -1, 256)
    page = asked(table, 10, want=want)
    assert page.repair and page.ranges == (1, 3, 200)
    assert set(page.entries) == {e for k, e in table.entries.items() if bucket_of(k) in (1, 3, 200)}
    got: set[int] = set()
    pages = 0
    while got != set(range(BUCKETS)):
        page = asked(table, 10, want=tuple(set(range(BUCKETS)) - got))
        assert {bucket_of(e.key) for e in page.entries} == set(page.ranges) and not got & set(page.ranges)
        assert len(encode(page)) <= PAGE_BYTES + 200 + 2 * BUCKETS
        got |= set(page.ranges)
        pages += 1
    assert pages > 1
    # One that does not fit comes alone.
    one = owed(table, question(10, want=(4, 5)), 10)
    assert one is not None and one.ranges == (4,)


def test_questions_that_are_owed_the_same_have_one_key_and_others_another() -> None:
    table = filled(20)
    key = owed_key(table, question(4, 9))
    assert key == owed_key(table, replace(question(4, 8), member="fe2", in_force=3, hold=1))
    assert len({key, owed_key(table, question(6)), owed_key(table, question(4, after="")), key}) == 3
    same = Table.restore(table.snapshot())
    assert owed_key(same, question(4)) != key  # a table that was repaired is another
    table.change(50, ops("f"))
    assert owed_key(table, question(4)) != key


@pytest.mark.parametrize("want", [(-1,), (256, 1000)])
def test_ranges_that_there_are_not_are_answered_with_digests(want: tuple[int, ...]) -> None:
    table = filled(3)
    assert asked(table, 3, want=want).buckets == table.bucket_digests()
