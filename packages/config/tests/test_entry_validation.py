"""Which changes to the agreed settings are valid, and what is reported of the others."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from walnutpost.config.entries import diff_entries, encode_value
from walnutpost.config.entry_validation import validate_changes
from walnutpost.config.site import MAX_CLASSES, CallClass
from walnutpost.configstore import Mutation
from walnutpost.testsupport.config.entries import CLASSES, ENTRIES, PRICE, function_value

OTHER_CLASS = encode_value(CallClass.model_validate(CLASSES["valuation"] | {"aim_ms": 900}))
INVALID_CHANGES: list[tuple[list[Mutation], str]] = [
    (
        [Mutation("function/new", function_value(**{"class": "sale"}))],
        "function/new: class: found 'sale'; wanted one of ",
    ),
    ([Mutation("function/price", b"[]")], "function/price: (top): found []; wanted: "),
    ([Mutation("function/price", b"{")], "function/price: (top): found "),
    (
        [Mutation("function/price", b'{"class":"valuation"}')],
        "function/price: memory_mb: found nothing; wanted ",
    ),
    (
        [Mutation("function/price", b'{"class":"valuation","lanes":0,"memory_mb":1.0}')],
        "function/price: lanes: found 0; wanted: ",
    ),
    (
        [Mutation("function/price", b'{"class":"valuation","lames":2,"memory_mb":1.0}')],
        "function/price: lames: found a key that is not known here; wanted none of that name",
    ),
    (
        [Mutation("function/price", b'{"class": "valuation", "memory_mb": 1}')],
        'function/price: (top): found {"class": "valuation", "memory_mb": 1}; wanted its canonical form ',
    ),
    (
        [Mutation("function/price", b'{"class":"valuation","lanes":1,"memory_mb":1.0}')],
        "function/price: (top): found ",  # lanes is as its default
    ),
    (
        [Mutation("class/valuation", OTHER_CLASS)],
        "class/valuation: aim_ms: found 900.0; wanted 1000.0, as agreed: taken up at a start only",
    ),
    (
        [Mutation("class/valuation", None)],
        "class/valuation: (top): found a deletion; wanted no function to name it, as function/price does",
    ),
    (
        [Mutation("tenant/trade", b'{"share":0.5}')],
        "tenant/trade: share: found 0.5; wanted its default, as agreed: taken up at a start only",
    ),
    (
        [Mutation("tenant/trade", None)],
        "tenant/trade: (top): found a deletion; wanted it as agreed: taken up at a start only",
    ),
    ([Mutation("tenant/-", b"{}")], "tenant/-: (key): found '-'; wanted another name"),
    ([Mutation("function/none", None)], "function/none: (top): found nothing to delete; wanted "),
    (
        [Mutation("policy/x", b"{}")],
        "policy/x: (key): found 'policy/'; wanted one of class/NAME, function/NAME, ",
    ),
    ([Mutation("nothing", b"{}")], "nothing: (key): found 'nothing'; wanted one of "),
    (
        [
            Mutation("function/price", None),
            Mutation("function/other", function_value()),
            Mutation("class/valuation", None),
        ],
        "class/valuation: (top): found a deletion; wanted no function to name it, as function/other does",
    ),
]


@pytest.mark.parametrize(("mutations", "expected"), INVALID_CHANGES)
def test_invalid_change_is_reported_with_key_field_found_and_wanted(
    mutations: list[Mutation], expected: str
) -> None:
    assert any(line.startswith(expected) for line in validate_changes(ENTRIES, mutations)), validate_changes(
        ENTRIES, mutations
    )


def test_change_set_with_several_faults_reports_all_of_them() -> None:
    mutations = [
        Mutation("function/a", b"{}"),
        Mutation("function/b", b'{"class":"sale","memory_mb":1.0}'),
        Mutation("tenant/-", b"{}"),
    ]
    keys = {line.partition(":")[0] for line in validate_changes(ENTRIES, mutations)}
    assert keys == {"function/a", "function/b", "tenant/-"}


VALID_CHANGES: list[list[Mutation]] = [
    [Mutation("function/price", function_value(lanes=3))],
    [Mutation("function/price", None), Mutation("function/reserve", None)],
    [Mutation("tenant/new", b"{}")],
    [Mutation("tenant/trade", b"{}"), Mutation("class/valuation", ENTRIES["class/valuation"])],  # as they are
    [Mutation("class/sale", OTHER_CLASS), Mutation("function/new", function_value(**{"class": "sale"}))],
    [Mutation("function/price", None), Mutation("class/valuation", None)],
    [
        Mutation("function/price", function_value(**{"class": "reservation"})),
        Mutation("class/valuation", None),
    ],
]


@pytest.mark.parametrize("mutations", VALID_CHANGES)
def test_change_that_running_members_can_apply_is_valid_in_any_order(mutations: list[Mutation]) -> None:
    assert validate_changes(ENTRIES, mutations) == []
    assert validate_changes(ENTRIES, mutations[::-1]) == []


def test_first_change_set_may_contain_a_whole_site() -> None:
    assert validate_changes({}, diff_entries({}, ENTRIES)) == []


def test_class_beyond_the_limit_of_a_file_is_rejected() -> None:
    current = {f"class/c{i}": OTHER_CLASS for i in range(MAX_CLASSES)}
    assert validate_changes(current, [Mutation("class/c0", OTHER_CLASS)]) == []
    found = validate_changes(current, [Mutation("class/more", OTHER_CLASS)])
    assert found == [
        f"class/more: (top): found {MAX_CLASSES + 1} classes with it; wanted {MAX_CLASSES} at most"
    ]
    assert validate_changes(current, [Mutation("class/more", OTHER_CLASS), Mutation("class/c0", None)]) == []


class CountingMapping(dict[str, bytes]):
    """Counts the entries that are read, all of them for an iteration."""

    read = 0

    def __getitem__(self, key: str) -> bytes:
        self.read += 1
        return super().__getitem__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self.read += 1
        return super().get(key, default)

    def __iter__(self) -> Iterator[str]:
        self.read += len(self)
        return super().__iter__()


def test_validating_one_function_reads_no_other_entry() -> None:
    current = CountingMapping(ENTRIES | {f"function/f{i}": PRICE for i in range(1000)})
    for mutation in (
        Mutation("function/f1", function_value(lanes=3)),
        Mutation("function/new", PRICE),
        Mutation("function/f1", None),
    ):
        assert validate_changes(current, [mutation]) == []
    assert current.read < 12
