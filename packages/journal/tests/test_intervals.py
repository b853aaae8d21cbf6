"""Interval sets against plain sets of numbers."""

from __future__ import annotations

from itertools import pairwise
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from walnutpost.journal import IntervalSet

INTERVALS = st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30)), max_size=12)


@given(INTERVALS, st.randoms(use_true_random=False))
def test_interval_set_when_filled_in_any_order_equals_the_set_of_its_numbers(
    intervals: list[tuple[int, int]], random: Random
) -> None:
    numbers = {n for after, upto in intervals for n in range(after + 1, upto + 1)}
    interval_set = IntervalSet(intervals)
    shuffled = [*intervals, *intervals]
    random.shuffle(shuffled)
    assert interval_set == IntervalSet(shuffled)
    assert {n for n in range(1, 40) if n in interval_set} == numbers
    assert {n for after, upto in interval_set.gaps() for n in range(after + 1, upto + 1)} == set(
        range(1, max(numbers, default=0) + 1)
    ) - numbers
    assert interval_set.contiguous_end == next(n for n in range(40) if n + 1 not in numbers)
    disjoint = list(interval_set)
    assert all(upto < after for (_, upto), (after, _) in pairwise(disjoint))
