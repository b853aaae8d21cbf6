"""Settings as entries of the configuration store: equal settings are equal bytes."""

from __future__ import annotations

from typing import Any

import pytest

from walnutpost.config import InvalidEntryError, build_catalogue
from walnutpost.config.entries import (
    FUNCTION_PREFIX,
    EntryValues,
    decode_function,
    diff_entries,
    encode_value,
)
from walnutpost.config.entry_validation import validate_changes
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import ConfigStore, Mutation, validate_mutations
from walnutpost.testsupport.config.entries import ENTRIES, PRICE, SITE, function_value


def test_site_encodes_as_one_entry_per_item_without_defaults() -> None:
    assert sorted(ENTRIES) == [
        *("class/reservation", "class/valuation"),
        *("function/price", "function/reserve"),
        *("tenant/tills", "tenant/trade"),
    ]
    assert PRICE == b'{"class":"valuation","lanes":2,"load_ms":300.0,"memory_mb":400.0}'
    assert ENTRIES["tenant/trade"] == b"{}"
    assert not validate_mutations([Mutation(k, v) for k, v in ENTRIES.items()])


def test_equal_settings_written_differently_encode_as_equal_bytes() -> None:
    written: dict[str, Any] = {
        "version": "1",
        "lanes": 2,
        "memory_mb": 400.0,
        "load_ms": 3e2,
        "class": "valuation",
    }
    assert encode_value(FunctionConfig.model_validate(written)) == PRICE


def test_decoded_function_equals_that_of_a_start_with_the_file() -> None:
    classes = list(SITE.classes)
    for name, expected in build_catalogue(SITE).functions.items():
        assert decode_function(name, ENTRIES[FUNCTION_PREFIX + name], classes) == expected


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (function_value(), "function/new: class: found 'valuation'; wanted one of other"),
        (b"{}", "function/new: class: found nothing; wanted a value"),
        (b"\xff", "function/new: (top): found "),
    ],
)
def test_decoding_an_invalid_function_raises_with_key_and_field(value: bytes, expected: str) -> None:
    with pytest.raises(InvalidEntryError, match="function/new: ") as caught:
        decode_function("new", value, ["other"])
    assert any(line.startswith(expected) for line in str(caught.value).splitlines())
    assert caught.value.key == "function/new"


def test_entry_values_show_a_store_without_copying_it() -> None:
    table = ConfigStore()
    table.propose(1, diff_entries({}, ENTRIES))
    current = EntryValues(table.entries)
    assert dict(current) == ENTRIES
    assert len(current) == len(ENTRIES)
    assert diff_entries(current, ENTRIES) == ()
    assert validate_changes(current, [Mutation("function/price", PRICE)]) == []
