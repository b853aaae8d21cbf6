"""Joining, numbering and placing: the same result in any order, from any copies, any number of times."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.journal import (
    Accepted,
    BadBatch,
    Ended,
    Intended,
    Joined,
    Line,
    Place,
    Purged,
    Reached,
    Spans,
    Take,
    Withdrawn,
    batch,
    chosen,
    line,
    taken,
)
from walnutpost.journal.records import Any_


def accepted(call: str, expires_at: int = 100) -> Accepted:
    return Accepted(call, f"name-{call}", "f", "1", None, b"payload", "digest", 1, expires_at, "unsafe", 1)


def ended(call: str, status: str = "SUCCEEDED", at: int = 50) -> Ended:
    return Ended(call, status, at, b"result", "", "")


RANGES = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30)), max_size=12)


@given(RANGES, st.randoms(use_true_random=False))
def test_spans_are_the_set_of_their_numbers_in_any_order(
    ranges: list[tuple[int, int]], random: Random
) -> None:
    numbers = {n for a, b in ranges for n in range(a + 1, b + 1)}
    spans = Spans(ranges)
    shuffled = [*ranges, *ranges]
    random.shuffle(shuffled)
    assert spans == Spans(shuffled)
    assert {n for n in range(1, 40) if n in spans} == numbers
    assert {n for a, b in spans.gaps() for n in range(a + 1, b + 1)} == set(
        range(1, max(numbers, default=0) + 1)
    ) - numbers
    assert spans.prefix == next(n for n in range(40) if n + 1 not in numbers)
    assert all(b < a for (_, b), (a, _) in zip(list(spans), list(spans)[1:], strict=False))


RECORDS: list[Any_] = [
    accepted("a"),
    Intended("a", 0, "w1"),
    Intended("a", 1, "w2"),
    ended("a"),
    ended("a", "FAILED"),
    accepted("b"),
    Withdrawn("b"),
    Intended("c", 0, "w1"),
]
LINES = [line(n + 1, record) for n, record in enumerate(RECORDS)]


@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8), st.sets(st.integers(1, 8))), max_size=5),
    st.randoms(use_true_random=False),
)
def test_copies_join_to_the_same_in_any_order_and_never_go_back(
    copies: list[tuple[int, int, set[int]]], random: Random
) -> None:
    """A copy: what it accounts for, and which of its lines have a bit flipped."""

    def take(joined: Joined, copy: tuple[int, int, set[int]]) -> None:
        after, upto, flipped = copy
        found = [
            Line(s.seq, s.data[:-1] + bytes([s.data[-1] ^ 1]), s.sum) if s.seq in flipped else s
            for s in LINES[after:upto]
        ]
        joined.take(Spans([(after, upto)]), found)

    first, second = Joined(), Joined()
    reached: dict[str, int] = {}
    for copy in copies:
        take(first, copy)
        for id, call in first.calls.items():
            assert call.reached.value >= reached.get(id, 0)
            reached[id] = call.reached.value
    again = copies + copies[:2]
    random.shuffle(again)
    for copy in again:
        take(second, copy)
    assert (first.calls, first.gaps, first.bad) == (second.calls, second.gaps, second.bad)
    whole = {s for a, b, bad in copies for s in range(a + 1, b + 1) if s not in bad}
    account = {s for a, b, _ in copies for s in range(a + 1, b + 1)}
    missing = {s for a, b in first.gaps for s in range(a + 1, b + 1)}
    assert missing == set(range(1, max(account, default=0) + 1)) - whole
    if 4 in whole and (a := first.calls["a"].ended) is not None:
        assert a.status == "SUCCEEDED"  # the first written holds: it may have been told


def test_each_later_word_of_a_call_holds_over_each_earlier() -> None:
    for order in permutations(LINES[:4]):
        joined = Joined()
        for found in order:
            joined.take(Spans([(found.seq - 1, found.seq)]), [found])
        assert joined.calls["a"].reached is Reached.ENDED
        assert joined.calls["a"].intents == {(0, "w1"), (1, "w2")}


def test_what_is_too_old_to_be_told_or_was_withdrawn_is_not_kept() -> None:
    joined = Joined()
    records: list[Any_] = [accepted("old", 30),
        accepted("open", 90),
        accepted("told"),
        ended("told", at=40),
        accepted("b"),
    ]
    records += [Withdrawn("b"), Purged(35)]
    joined.take(Spans([(0, 7)]), [line(n + 1, r) for n, r in enumerate(records)])
    assert sorted(joined.kept()) == ["open", "told"]
    joined.take(Spans([(7, 8)]), [line(8, Purged(41))])
    joined.take(Spans([(8, 9)]), [line(9, Purged(20))])  # an older one, late
    assert sorted(joined.kept()) == ["open"]


def test_a_holder_takes_what_follows_and_nothing_over_a_hole_or_of_other_bytes() -> None:
    sent = batch("o", 2, 6, [LINES[2], LINES[4]])
    assert taken({"o": 2}, sent) == Take("o", 6, (LINES[2], LINES[4]))
    assert taken({"o": 4}, sent) == Take("o", 6, (LINES[4],))
    assert taken({"o": 1}, sent) is None and taken({}, sent) is None  # a hole before it
    assert taken({"o": 6}, sent) is None  # come again
    for wrong in (
        batch("o", 2, 6, [LINES[4], LINES[2]]),
        batch("o", 2, 4, [LINES[4]]),
        batch("o", 5, 6, [LINES[4]]),
        sent.__class__("o", 2, 6, (LINES[2], LINES[3]), sent.sum),
    ):
        with pytest.raises(BadBatch):
            taken({"o": 2}, wrong)


PLACES = [Place(f"f{r}{z}{n}", f"r{r}", f"z{z}") for r in range(3) for z in range(3) for n in range(4)]


def test_copies_stand_in_other_sites_one_near_and_one_far_and_move_little() -> None:
    moved = 0
    for origin in PLACES:
        names = chosen(origin, PLACES)
        near, far = (next(p for p in PLACES if p.name == n) for n in names)
        assert near.region == origin.region and near.zone != origin.zone and far.region != origin.region
        gone = PLACES[7]
        fewer = chosen(origin, [p for p in PLACES if p is not gone])
        assert gone.name not in fewer
        moved += sum(a != b for a, b in zip(names, fewer, strict=True) if a != gone.name)
    assert not moved
    alone = [p for p in PLACES if p.region == "r0"]
    names = chosen(alone[0], alone)  # one region alone: two of its zones
    assert len({n[:3] for n in names} | {alone[0].name[:3]}) == 3
    assert chosen(alone[0], alone[:4]) == ()
