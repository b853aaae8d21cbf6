"""What an origin and a holder say to each other, in msgpack over HTTP. No I/O."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from walnutpost.journal import Batch, Have

COPIES = "/journal/1/copies"
BATCH_BYTES = 1 << 20  # of lines in one message; a single larger line goes alone
BODY_MOST = 16 << 20


class BadWire(Exception):
    """Bytes that are not what is spoken here."""


T = TypeVar("T", Batch, Have)


def encode(value: Batch | Have) -> bytes:
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Raises BadWire."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadWire(f"{kind.__name__}: {error}") from error
