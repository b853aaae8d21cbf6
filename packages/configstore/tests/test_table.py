"""The table by itself: change sets whole or not at all, the floor, digests, and the copy on a disk."""

from __future__ import annotations

from random import Random

import msgspec
import pytest
from immutables import Map

from walnutpost.configstore import (
    BUCKETS,
    CHANGE_BYTES,
    OPS_MOST,
    VALUE_MOST,
    BadChange,
    BadMessage,
    BadTable,
    ChangeSet,
    Diverged,
    Entry,
    Op,
    OutOfOrder,
    Page,
    Question,
    Table,
    bucket_of,
    check_change,
    decode,
    encode,
    entry_digest,
)


def ops(*keys: str, value: bytes | None = b"v") -> tuple[Op, ...]:
    return tuple(Op(f"function/{key}", value) for key in keys)


def filled(number: int = 300, **limits: int) -> Table:
    """Entries at revisions 2, 4, 6, ...: the history has other things between them."""
    table = Table(**limits)
    for n in range(number):
        table.change(2 * n + 2, ops(f"f{n:05}", value=b"%d" % n))
    return table


def flip(table: Table, key: str, value: bytes = b"flipped") -> None:
    held = table.entries[key]
    table.entries = table.entries.set(key, Entry(key, value, held.revision))


# Change sets


@pytest.mark.parametrize(
    ("bad", "named"),
    [
        ((), "change set: found 0 keys, wanted 1 to 1000"),
        (ops(*map(str, range(OPS_MOST + 1))), "change set: found 1001 keys, wanted 1 to 1000"),
        ((Op("function", b""),), "key 'function': wanted kind/name"),
        ((Op("Function/f", b""),), "key 'Function/f': wanted kind/name"),
        ((Op("function/f g", b""),), "key 'function/f g': wanted kind/name"),
        ((Op("function/f\n", b""),), "key 'function/f\\n': wanted kind/name"),
        ((Op("function/" + "f" * 141, b""),), "wanted kind/name"),
        (ops("f", "g", "f"), "key 'function/f': found 2 times in one change set, wanted once"),
        (
            ops("f", value=bytes(VALUE_MOST + 1)),
            "key 'function/f': found a value of 16385 bytes, wanted 16384 at most",
        ),
        (
            ops(*"abcdefgh", value=bytes(VALUE_MOST)),
            f"bytes encoded, wanted {CHANGE_BYTES} at most",
        ),
    ],
)
def test_a_bad_change_set_is_refused_whole_naming_key_found_and_wanted(
    bad: tuple[Op, ...], named: str
) -> None:
    table = filled(3)
    before = table.snapshot()
    assert any(named in error for error in check_change(bad))
    with pytest.raises(BadChange) as refused:
        table.change(100, (*bad, *ops("fine")) if bad and len(bad) < 9 else bad)
    assert any(named in error for error in refused.value.errors)
    assert table.snapshot() == before


def test_a_revision_only_rises() -> None:
    table = filled(3)
    for revision in (0, 5, 6):
        with pytest.raises(BadChange, match=f"found revision {revision}, wanted one after 6"):
            table.change(revision, ops("f"))
    change = table.change(7, ops("f"))
    other = filled(3)
    other.take(change)
    before = other.snapshot()
    for late in (change, ChangeSet(6, change.ops, change.digest)):
        with pytest.raises(OutOfOrder, match="wanted one after 7"):
            other.take(late)
    assert other.snapshot() == before == table.snapshot()


def test_what_is_deleted_is_gone_and_may_come_again() -> None:
    table = filled(3)
    digest = table.digest
    table.change(10, (Op("function/new", b"n"), Op("function/f00001", None), Op("function/none", None)))
    assert sorted(table.entries) == ["function/f00000", "function/f00002", "function/new"]
    assert table.recount() == table.bucket_digests()
    table.change(11, (Op("function/new", None), Op("function/f00001", b"1")))
    assert table.entries["function/f00001"].revision == 11
    assert table.digest != digest  # the same value, at another revision
    assert table.recount() == table.bucket_digests()


def test_who_reads_keeps_the_state_that_was_read_while_changes_go_on() -> None:
    table = filled(100)
    read = table.entries
    seen = dict(read.items())
    walk = iter(read.items())
    next(walk)
    for n in range(100):
        table.change(1000 + n, (Op(f"function/f{n:05}", None), Op(f"function/g{n}", b"")))
    assert dict(read.items()) == seen and len(list(walk)) == 99
    assert sorted(table.entries) == sorted(f"function/g{n}" for n in range(100))


def test_a_change_set_that_does_not_give_the_agreed_digest_changes_nothing() -> None:
    table, other = filled(50), filled(50)
    change = table.change(1000, ops("f00007", "f00008", "new"))
    before = other.snapshot()
    for wrong in (
        ChangeSet(1000, change.ops[:-1], change.digest),
        ChangeSet(1000, change.ops, change.digest ^ 1),
        ChangeSet(1001, change.ops, change.digest),
    ):
        with pytest.raises(Diverged):
            other.take(wrong)
        assert other.snapshot() == before
    other.take(change)
    assert other.snapshot() == table.snapshot()


def test_a_flipped_entry_is_found_by_the_change_that_replaces_it() -> None:
    table, other = filled(50), filled(50)
    flip(other, "function/f00007")
    with pytest.raises(Diverged):
        other.take(table.change(1000, ops("f00007")))


def test_a_key_that_is_changed_again_and_again_is_held_once() -> None:
    """A map keeps the key that it was first given; an entry with another copy of it would cost it twice."""
    table = filled(10)
    key = "/".join(("function", "f00003"))
    (held,) = (k for k in table.entries if k == key)
    table.change(100, (Op(key, b"new"),))
    assert held is not key and table.entries[key].key is held and table.entries[key].value == b"new"


# Digests


def test_the_digest_is_the_same_in_any_order_and_that_of_all_entries() -> None:
    random = Random(1)
    keys = [f"function/f{n}" for n in range(2000)]
    entries = {key: Entry(key, random.randbytes(20), n + 1) for n, key in enumerate(keys)}
    one = Table.of(entries, 2000)
    random.shuffle(keys)
    other = Table.of({key: entries[key] for key in keys}, 2000)
    assert one.digest == other.digest != 0 and one.bucket_digests() == other.bucket_digests()
    assert one.digest == sum(one.bucket_digests()) % 2**64
    assert one.digest == sum(entry_digest(e.key, e.value, e.revision) for e in entries.values()) % 2**64
    assert all(one.bucket_digests()) and {bucket_of(key) for key in keys} == set(range(BUCKETS))


@pytest.mark.parametrize(
    "wrong",
    [
        Entry("function/f00007", b"8", 16),
        Entry("function/f00007", b"7", 17),
        Entry("function/f00008", b"7", 16),
        None,
    ],
)
def test_a_flipped_entry_is_found_in_its_range_by_counting_again(wrong: Entry | None) -> None:
    table = filled(500)
    assert table.recount() == table.bucket_digests()
    rest = table.entries.delete("function/f00007")
    table.entries = rest if wrong is None else rest.set("function/f00007", wrong)
    differ = [
        n for n, (a, b) in enumerate(zip(table.recount(), table.bucket_digests(), strict=True)) if a != b
    ]
    assert bucket_of("function/f00007") in differ and len(differ) <= 2


# The floor


def test_the_floor_follows_what_the_log_may_hold() -> None:
    table = filled(10, log_most=4)
    assert table.floor == 12 and table.revision == 20
    assert [c.revision for c in table.since(12) or ()] == [14, 16, 18, 20]
    assert [c.revision for c in table.since(15) or ()] == [16, 18, 20]  # a revision of something else
    assert table.since(20) == []
    assert table.since(11) is table.since(21) is None
    table = filled(10, log_most=0)
    assert table.floor == table.revision == 20 and table.since(20) == [] and table.since(19) is None
    table = filled(10, log_bytes=100)
    logged = table.since(table.floor) or []
    assert 1 <= len(logged) <= 4 and sum(len(encode(c)) for c in logged) <= 100


def test_since_gives_whole_change_sets_as_many_as_fit_and_one_at_least() -> None:
    table = filled(10)
    size = len(encode((table.since(0) or [])[0]))
    assert [c.revision for c in table.since(4, 3 * size) or ()] == [6, 8, 10]
    assert [c.revision for c in table.since(4, 1) or ()] == [6]


def test_the_floor_is_the_same_at_keepers_that_took_a_snapshot_at_another_time() -> None:
    random = Random(3)
    one = Table(log_most=20, log_bytes=3000)
    others = [one, Table(log_most=20, log_bytes=3000), Table(log_most=20, log_bytes=3000)]
    for revision in range(1, 400):
        names = random.sample("abcdefghij", random.randint(1, 5))
        value = random.choice([None, random.randbytes(random.randint(0, 200))])
        for n, table in enumerate(others):
            table.change(revision, ops(*names, value=value))
            if random.random() < 0.1:
                others[n] = Table.restore(table.snapshot(), log_most=20, log_bytes=3000)
        assert len({t.floor for t in others}) == len({t.digest for t in others}) == 1
        assert len({t.snapshot() for t in others}) == 1
    assert 0 < others[0].floor < others[0].revision


def test_keys_are_handed_out_in_order_while_they_come_and_go() -> None:
    random = Random(4)
    table = filled(50)
    assert list(table.keys_after("")) == sorted(table.entries)
    for revision in range(1000, 1300):
        name = f"f{random.randrange(100):05}"
        table.change(revision, (*ops(name, value=random.choice([None, b"1"])), *ops("a", value=None)))
        assert list(table.keys_after("")) == sorted(table.entries)
        assert list(table.keys_after(f"function/{name}")) == [
            key for key in sorted(table.entries) if key > f"function/{name}"
        ]


# Disk


def test_a_snapshot_gives_the_same_table_and_log() -> None:
    table = filled(100, log_most=30)
    other = Table.restore(table.snapshot(), log_most=30)
    assert other.snapshot() == table.snapshot() and other.entries == table.entries
    assert (other.revision, other.floor, other.digest) == (200, 140, table.digest)
    assert other.bucket_digests() == table.bucket_digests() and other.since(150) == table.since(150)
    other.take(table.change(1000, ops("f00003", value=None)))
    assert other.snapshot() == table.snapshot()
    assert Table.restore(Table().snapshot()).snapshot() == Table().snapshot()


def test_a_kept_copy_that_was_changed_anywhere_is_refused() -> None:
    kept = filled(10, log_most=3).snapshot()
    for at in range(len(kept)):
        with pytest.raises(BadTable):
            Table.restore(kept[:at] + bytes([kept[at] ^ 4]) + kept[at + 1 :])
        with pytest.raises(BadTable):
            Table.restore(kept[:at])


def test_a_copy_of_a_table_that_had_a_flipped_entry_is_refused() -> None:
    table = filled(10)
    flip(table, "function/f00003")
    with pytest.raises(BadTable, match=r"digest .* of what was kept at revision 20, agreed was"):
        Table.restore(table.snapshot())


# Messages


def test_messages_come_back_as_they_were_and_others_are_refused() -> None:
    question = Question(
        "fe1", "fe1.7", 3, 40, 38, 2**64 - 1, 3_000_000, after="function/f", base=12, want=(1, 2)
    )
    assert decode(encode(question), Question) == question
    page = Page(40, 7, 2, (ChangeSet(40, (Op("function/f", None),), 7),), since=38, after=None)
    assert decode(encode(page), Page) == page
    other = msgspec.structs.replace(question, format=2)
    for bad, why in (
        (b"", "Question: "),
        (b"\xc1", "Question: "),
        (encode(question)[:-1], "Question: "),
        (encode(page), "Question: "),
        (encode(other), "Question: format 2, wanted 1"),
    ):
        with pytest.raises(BadMessage, match=why):
            decode(bad, Question)


def test_a_map_is_taken_over_as_it_is() -> None:
    table = filled(10)
    assert Table.of(table.entries, 20).entries is table.entries
    assert isinstance(Table.of({}, 0).entries, Map)
