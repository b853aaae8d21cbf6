"""Settings as entries of the agreed table: the same bytes for the same settings, checks, differences."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.config import Site, catalogue
from walnutpost.config.entries import (
    FUNCTION,
    Held,
    check,
    differences,
    entries_of,
    function_of,
    parts_of,
    value_of,
)
from walnutpost.config.model import CLASSES_MOST, CallClass, FunctionLine
from walnutpost.configstore import (
    MAX_CHANGE_SET_BYTES,
    MAX_MUTATIONS,
    ConfigStore,
    Mutation,
    validate_mutations,
)

CLASSES: dict[str, Any] = {
    "valuation": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
    "reservation": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 2500, "worth": 2},
}
FUNCTIONS: dict[str, Any] = {
    "price": {"class": "valuation", "memory_mb": 400, "lanes": 2, "load_ms": 300},
    "reserve": {"class": "reservation", "memory_mb": 300, "cost_ms": 5.5, "version": "7"},
}
SITE = Site.model_validate(
    {"classes": CLASSES, "functions": FUNCTIONS, "tenants": {"tills": {"share": 0.7}, "trade": {}}}
)
ENTRIES = entries_of(SITE)
PRICE = ENTRIES["function/price"]


def applied(held: Mapping[str, bytes], ops: Sequence[Mutation]) -> dict[str, bytes]:
    after = dict(held)
    for op in ops:
        if op.value is None:
            del after[op.key]
        else:
            after[op.key] = op.value
    return after


def function(**more: object) -> bytes:
    return value_of(FunctionLine.model_validate({"class": "valuation", "memory_mb": 1} | more))


def test_a_site_is_an_entry_for_each_line_without_its_defaults() -> None:
    assert sorted(ENTRIES) == [
        *("class/reservation", "class/valuation"),
        *("function/price", "function/reserve"),
        *("tenant/tills", "tenant/trade"),
    ]
    assert PRICE == b'{"class":"valuation","lanes":2,"load_ms":300.0,"memory_mb":400.0}'
    assert ENTRIES["tenant/trade"] == b"{}"
    assert not validate_mutations([Mutation(k, v) for k, v in ENTRIES.items()])


def test_the_same_settings_are_the_same_bytes_however_they_are_written() -> None:
    told: dict[str, Any] = {
        "version": "1",
        "lanes": 2,
        "memory_mb": 400.0,
        "load_ms": 3e2,
        "class": "valuation",
    }
    assert value_of(FunctionLine.model_validate(told)) == PRICE


def test_a_function_is_what_a_start_with_the_file_gives() -> None:
    classes = list(SITE.classes)
    for name, known in catalogue(SITE).functions.items():
        assert function_of(name, ENTRIES[FUNCTION + name], classes) == known


@pytest.mark.parametrize(
    ("value", "says"),
    [
        (function(), "function/new: class: found 'valuation'; wanted one of other"),
        (b"{}", "function/new: class: found nothing; wanted a value"),
        (b"\xff", "function/new: (top): found "),
    ],
)
def test_a_function_that_cannot_be_taken_up_is_told_by_key_and_field(value: bytes, says: str) -> None:
    with pytest.raises(ValueError, match="function/new: ") as caught:
        function_of("new", value, ["other"])
    assert any(line.startswith(says) for line in str(caught.value).splitlines())


NEW_CLASS = value_of(CallClass.model_validate(CLASSES["valuation"] | {"aim_ms": 900}))
WRONG: list[tuple[list[Mutation], str]] = [
    (
        [Mutation("function/new", function(**{"class": "sale"}))],
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
        [Mutation("class/valuation", NEW_CLASS)],
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
            Mutation("function/other", function()),
            Mutation("class/valuation", None),
        ],
        "class/valuation: (top): found a deletion; wanted no function to name it, as function/other does",
    ),
]


@pytest.mark.parametrize(("ops", "says"), WRONG)
def test_a_fault_is_told_by_key_field_found_and_wanted(ops: list[Mutation], says: str) -> None:
    assert any(line.startswith(says) for line in check(ENTRIES, ops)), check(ENTRIES, ops)


def test_all_faults_are_told_at_once() -> None:
    ops = [
        Mutation("function/a", b"{}"),
        Mutation("function/b", b'{"class":"sale","memory_mb":1.0}'),
        Mutation("tenant/-", b"{}"),
    ]
    keys = {line.partition(":")[0] for line in check(ENTRIES, ops)}
    assert keys == {"function/a", "function/b", "tenant/-"}


RIGHT: list[list[Mutation]] = [
    [Mutation("function/price", function(lanes=3))],
    [Mutation("function/price", None), Mutation("function/reserve", None)],
    [Mutation("tenant/new", b"{}")],
    [Mutation("tenant/trade", b"{}"), Mutation("class/valuation", ENTRIES["class/valuation"])],  # as they are
    [Mutation("class/sale", NEW_CLASS), Mutation("function/new", function(**{"class": "sale"}))],
    [Mutation("function/price", None), Mutation("class/valuation", None)],
    [Mutation("function/price", function(**{"class": "reservation"})), Mutation("class/valuation", None)],
]


@pytest.mark.parametrize("ops", RIGHT)
def test_what_members_act_on_while_they_run_may_change(ops: list[Mutation]) -> None:
    assert check(ENTRIES, ops) == []
    assert check(ENTRIES, ops[::-1]) == []


def test_the_first_change_set_may_hold_everything() -> None:
    assert check({}, differences({}, ENTRIES)) == []


def test_a_table_has_no_more_classes_than_a_file() -> None:
    held = {f"class/c{i}": NEW_CLASS for i in range(CLASSES_MOST)}
    assert check(held, [Mutation("class/c0", NEW_CLASS)]) == []
    found = check(held, [Mutation("class/more", NEW_CLASS)])
    assert found == [
        f"class/more: (top): found {CLASSES_MOST + 1} classes with it; wanted {CLASSES_MOST} at most"
    ]
    assert check(held, [Mutation("class/more", NEW_CLASS), Mutation("class/c0", None)]) == []


class Counted(dict[str, bytes]):
    """Counts the entries that are read."""

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


def test_the_check_of_one_function_reads_no_other() -> None:
    held = Counted(ENTRIES | {f"function/f{i}": PRICE for i in range(1000)})
    for op in (
        Mutation("function/f1", function(lanes=3)),
        Mutation("function/new", PRICE),
        Mutation("function/f1", None),
    ):
        assert check(held, [op]) == []
    assert held.read < 12


def test_a_table_is_read_where_it_stands() -> None:
    table = ConfigStore()
    table.propose(1, differences({}, ENTRIES))
    held = Held(table.entries)
    assert dict(held) == ENTRIES and len(held) == len(ENTRIES)
    assert differences(held, ENTRIES) == () and check(held, [Mutation("function/price", PRICE)]) == []


# Differences

NAMES = st.text("ab.-", min_size=1, max_size=3)
SITES = st.dictionaries(NAMES, st.sampled_from([1.0, 2.0, 3.0]), min_size=1, max_size=4).flatmap(
    lambda classes: st.builds(
        lambda functions, tenants: entries_of(
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
def test_differences_make_what_is_held_into_what_is_wanted(
    held: dict[str, bytes], wanted: dict[str, bytes]
) -> None:
    ops = differences(held, wanted)
    assert applied(held, ops) == wanted
    assert len({op.key for op in ops}) == len(ops) and all(held.get(op.key) != op.value for op in ops)
    assert differences(wanted, wanted) == ()


@given(SITES, SITES)
def test_one_after_the_other_they_are_agreed_to_where_the_whole_is(
    held: dict[str, bytes], wanted: dict[str, bytes]
) -> None:
    ops = differences(held, wanted)
    if check(held, ops):
        return
    for op in ops:
        assert check(held, [op]) == []
        held = applied(held, [op])
    assert held == wanted


@given(SITES, SITES)
def test_what_is_agreed_to_is_a_site_of_its_own(held: dict[str, bytes], wanted: dict[str, bytes]) -> None:
    """Whatever change set passes the check leaves a table in which each function names a class."""
    ops = differences(held, wanted)
    for part in (ops[::2], ops[1::2]):
        if not check(held, part):
            held = applied(held, part)
    for key, value in held.items():
        if key.startswith(FUNCTION):
            assert f"class/{json.loads(value)['class']}" in held


def test_parts_hold_all_ops_in_order_and_none_is_more_than_a_change_set_may_be() -> None:
    ops = [Mutation(f"function/{i:05}-{'x' * (i % 120)}", PRICE * (1 + i % 7)) for i in range(5000)]
    parts = parts_of(ops)
    assert [op for part in parts for op in part] == ops
    for part in parts:
        assert validate_mutations(part) == []
    assert parts_of([]) == []
    sizes = [len(part) for part in parts_of([Mutation(f"function/{i}", b"{}") for i in range(2500)])]
    assert sizes == [MAX_MUTATIONS, MAX_MUTATIONS, 500]
    small = sum(len(op.key) + len(op.value or b"") for op in parts[0])
    assert small > MAX_CHANGE_SET_BYTES * 0.8  # no more parts than it takes
