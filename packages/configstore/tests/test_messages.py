"""Bytes of any kind are a message or InvalidMessageError, and nothing else."""

from __future__ import annotations

import msgspec
import pytest

from walnutpost.configstore import (
    ChangeSet,
    InvalidMessageError,
    Mutation,
    ProgressSummaryResponse,
    WatchRequest,
    WatchResponse,
    decode,
    encode,
)

NESTED = 100_000


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        encode(ProgressSummaryResponse(1))[:-1],
        b"\x97\xa2\xff\xfe\xa1i\x01\x01\x01\x01\x01",  # a member's name that is no UTF-8
        b"\xdc\x00\x20\xa1a\xa1b\x01\x01\x01\x01\x01\xa0\xc0\x01\xc2\x90\xc2\x01"
        + b"\x91" * NESTED,  # nested deeply in a field that nobody reads
    ],
    ids=["nothing", "no type", "cut", "no text", "nested"],
)
def test_decode_of_bytes_that_are_no_message_raises(body: bytes) -> None:
    with pytest.raises(InvalidMessageError, match="WatchRequest"):
        decode(body, WatchRequest)


def test_decode_of_another_format_raises_with_found_and_wanted() -> None:
    with pytest.raises(InvalidMessageError, match="format 2, wanted 1"):
        decode(encode(ProgressSummaryResponse(1, False, 2)), ProgressSummaryResponse)


def test_messages_are_decoded_as_they_were_and_others_raise() -> None:
    question = WatchRequest(
        "fe1",
        "fe1.7",
        3,
        40,
        38,
        2**64 - 1,
        3_000_000,
        after_key="function/f",
        base_revision=12,
        wanted_buckets=(1, 2),
    )
    assert decode(encode(question), WatchRequest) == question
    page = WatchResponse(
        40, 7, 2, (ChangeSet(40, (Mutation("function/f", None),), 7),), since_revision=38, after_key=None
    )
    assert decode(encode(page), WatchResponse) == page
    other = msgspec.structs.replace(question, format=2)
    for bad, why in (
        (b"", "WatchRequest: "),
        (b"\xc1", "WatchRequest: "),
        (encode(question)[:-1], "WatchRequest: "),
        (encode(page), "WatchRequest: "),
        (encode(other), "WatchRequest: format 2, wanted 1"),
    ):
        with pytest.raises(InvalidMessageError, match=why):
            decode(bad, WatchRequest)
