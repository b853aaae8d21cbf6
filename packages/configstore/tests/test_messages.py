"""Bytes of any kind are a message or BadMessage, and nothing else."""

from __future__ import annotations

import pytest

from walnutpost.configstore import BadMessage, Heard, Question, decode, encode

NESTED = 100_000


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        encode(Heard(1))[:-1],
        b"\x97\xa2\xff\xfe\xa1i\x01\x01\x01\x01\x01",  # a member's name that is no UTF-8
        b"\xdc\x00\x20\xa1a\xa1b\x01\x01\x01\x01\x01\xa0\xc0\x01\xc2\x90\xc2\x01"
        + b"\x91" * NESTED,  # nested deeply in a field that nobody reads
    ],
    ids=["nothing", "no type", "cut", "no text", "nested"],
)
def test_what_is_no_message_is_said_to_be_none(body: bytes) -> None:
    with pytest.raises(BadMessage, match="Question"):
        decode(body, Question)


def test_another_format_is_told_with_what_was_wanted() -> None:
    with pytest.raises(BadMessage, match="format 2, wanted 1"):
        decode(encode(Heard(1, False, 2)), Heard)
