"""The scanner finds the end of each MessagePack value, and looks at each byte of its structure once."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.node import rpc
from walnutpost.node.message_scanner import MessageScanner

SCALARS = st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text() | st.binary()
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner), max_leaves=40
)


class CountingBytes(bytes):
    """Bytes that count how often one of them is looked up."""

    lookups = 0

    def __getitem__(self, index: Any) -> Any:
        CountingBytes.lookups += 1
        return super().__getitem__(index)


@given(VALUES, st.binary(max_size=10))
def test_value_is_complete_from_its_last_byte_on(value: object, rest: bytes) -> None:
    data = msgpack.packb(value)
    scanner = MessageScanner()
    assert [scanner.scan(data[:size]) for size in range(1, len(data))] == [False] * (len(data) - 1)
    assert scanner.min_size <= len(data)
    assert scanner.scan(data + rest)


@pytest.mark.parametrize("data", [b"\xc1", b"\xc7\x01\x05x", b"\xd4\x05x", b"\x92\x00\xd8"])
def test_types_that_the_protocol_does_not_use_are_reported(data: bytes) -> None:
    with pytest.raises(ValueError, match="unexpected type"):
        MessageScanner().scan(data)


def test_message_of_short_elements_in_pieces_is_looked_at_once() -> None:
    """Parsing again from the first byte at each piece took seconds for a few hundred such clients."""
    data = msgpack.packb([0, 1, "valuation", [[300] * 1_300] * 5])
    CountingBytes.lookups = 0
    scanner = MessageScanner()
    for size in range(1, len(data), 100):
        scanner.scan(CountingBytes(data[:size]))
    assert CountingBytes.lookups < 2 * len(data)


def test_message_that_can_never_become_complete_is_unreadable_at_once() -> None:
    parser = rpc.MessageParser({"valuation": 1_000_000})
    head = b"\x94\x00\x01\xa9valuation"
    assert parser.feed(head) == ([], None)
    messages, error = parser.feed(b"\xdd\x00\xff\xff\xff")
    assert not messages
    assert error is not None
