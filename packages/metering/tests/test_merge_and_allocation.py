"""Tests of merging reports of a slice, and of allocating a slice's memory-time to tenants."""

from __future__ import annotations

from fractions import Fraction

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.metering import (
    AllocationRule,
    UsageSlice,
    allocate_slice,
    merge_slices,
    split_proportionally,
)
from walnutpost.testsupport.metering.fixtures import FIRST_HOUR_US, START_US, TENANTS

COUNTS = st.integers(0, 50)
SLICES = st.builds(
    lambda counted_until, is_final, loading, unused, running, idle, first_tenant, memory_mb: UsageSlice(
        "w",
        START_US,
        1,
        FIRST_HOUR_US,
        "f",
        memory_mb,
        counted_until,
        is_final,
        loading,
        unused,
        running,
        idle,
        first_tenant,
    ),
    st.integers(START_US, START_US + 9),
    st.booleans(),
    COUNTS,
    COUNTS,
    st.dictionaries(st.sampled_from(TENANTS), COUNTS, max_size=3),
    st.dictionaries(st.sampled_from(TENANTS), COUNTS, max_size=3),
    st.sampled_from((None, *TENANTS)),
    st.sampled_from((100, 100, 200)),
)


def without_contradictions(usage: UsageSlice) -> UsageSlice:
    """Return the slice without its contradictions, which depend on the grouping of merges."""
    return msgspec.structs.replace(usage, contradictions=frozenset())


@given(SLICES, SLICES, SLICES)
def test_merging_is_idempotent_commutative_and_associative(
    a: UsageSlice, b: UsageSlice, c: UsageSlice
) -> None:
    assert merge_slices(a, a) == a
    assert merge_slices(a, b) == merge_slices(b, a)
    assert without_contradictions(merge_slices(merge_slices(a, b), c)) == without_contradictions(
        merge_slices(a, merge_slices(b, c))
    )
    assert merge_slices(a, merge_slices(a, b)).contradictions == merge_slices(a, b).contradictions


@given(SLICES)
def test_charges_of_a_slice_add_up_to_its_memory_time_under_each_rule(usage: UsageSlice) -> None:
    for rule in AllocationRule:
        assert sum(allocate_slice(usage, rule).values()) == usage.memory_time


@given(st.integers(0, 10**20), st.dictionaries(st.text(max_size=3), st.integers(0, 99), min_size=1))
def test_proportional_shares_add_up_and_are_off_by_less_than_one(total: int, weights: dict[str, int]) -> None:
    if not sum(weights.values()):
        return
    shares = split_proportionally(total, weights)
    assert sum(shares.values()) == total
    for name, share in shares.items():
        assert abs(share - Fraction(total * weights[name], sum(weights.values()))) < 1
