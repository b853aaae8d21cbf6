"""Differences of settings as mutations, and their split into change sets."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from walnutpost.config import Site
from walnutpost.config.entries import FUNCTION_PREFIX, diff_entries, encode_site, split_into_change_sets
from walnutpost.config.entry_validation import validate_changes
from walnutpost.configstore import MAX_CHANGE_SET_BYTES, MAX_MUTATIONS, Mutation, validate_mutations
from walnutpost.testsupport.config.entries import CLASSES, PRICE, apply_mutations

NAMES = st.text("ab.-", min_size=1, max_size=3)
SITES = st.dictionaries(NAMES, st.sampled_from([1.0, 2.0, 3.0]), min_size=1, max_size=4).flatmap(
    lambda classes: st.builds(
        lambda functions, tenants: encode_site(
            Site.model_validate(
                {
                    "classes": {n: CLASSES["valuation"] | {"worth": w} for n, w in classes.items()},
                    "functions": {
                        n: {"class": c, "memory_mb": 1, "lanes": m} for n, (c, m) in functions.items()
                    },
                    "tenants": {n: {"share": s} for n, s in tenants.items() if n != "-"},
                }
            )
        ),
        st.dictionaries(
            NAMES,
            st.tuples(st.sampled_from(sorted(classes)), st.integers(1, 3)),
            min_size=1,
            max_size=6,
        ),
        st.dictionaries(NAMES, st.sampled_from([0.5, 1.0]), max_size=3),
    )
)


@given(SITES, SITES)
def test_diff_applied_to_current_entries_gives_the_wanted_ones(
    current: dict[str, bytes], wanted: dict[str, bytes]
) -> None:
    mutations = diff_entries(current, wanted)
    assert apply_mutations(current, mutations) == wanted
    assert len({mutation.key for mutation in mutations}) == len(mutations)
    assert all(current.get(mutation.key) != mutation.value for mutation in mutations)
    assert diff_entries(wanted, wanted) == ()


@given(SITES, SITES)
def test_valid_diff_is_valid_one_mutation_at_a_time(
    current: dict[str, bytes], wanted: dict[str, bytes]
) -> None:
    mutations = diff_entries(current, wanted)
    if validate_changes(current, mutations):
        return
    for mutation in mutations:
        assert validate_changes(current, [mutation]) == []
        current = apply_mutations(current, [mutation])
    assert current == wanted


@given(SITES, SITES)
def test_valid_change_sets_leave_every_function_with_its_class(
    current: dict[str, bytes], wanted: dict[str, bytes]
) -> None:
    """Whatever change set passes the check leaves a table in which each function names a class."""
    mutations = diff_entries(current, wanted)
    for part in (mutations[::2], mutations[1::2]):
        if not validate_changes(current, part):
            current = apply_mutations(current, part)
    for key, value in current.items():
        if key.startswith(FUNCTION_PREFIX):
            assert f"class/{json.loads(value)['class']}" in current


def test_split_keeps_all_mutations_in_order_within_the_limits_of_a_change_set() -> None:
    mutations = [Mutation(f"function/{i:05}-{'x' * (i % 120)}", PRICE * (1 + i % 7)) for i in range(5000)]
    parts = split_into_change_sets(mutations)
    assert [mutation for part in parts for mutation in part] == mutations
    for part in parts:
        assert validate_mutations(part) == []
    assert split_into_change_sets([]) == []
    sizes = [
        len(part) for part in split_into_change_sets([Mutation(f"function/{i}", b"{}") for i in range(2500)])
    ]
    assert sizes == [MAX_MUTATIONS, MAX_MUTATIONS, 500]
    small = sum(len(mutation.key) + len(mutation.value or b"") for mutation in parts[0])
    assert small > MAX_CHANGE_SET_BYTES * 0.8  # no more parts than it takes
