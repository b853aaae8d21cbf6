"""What an origin and a holder say to each other, in msgpack over HTTP. No I/O."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from walnutpost.journal import Batch, Have, Line

COPIES, CALLS, LINES = "/journal/1/copies", "/journal/1/calls/", "/journal/1/lines/"
BATCH_BYTES = 1 << 20  # of lines in one message; a single larger line goes alone
BODY_MOST = 16 << 20


class BadWire(Exception):
    """Bytes that are not what is spoken here."""


class Said(msgspec.Struct, frozen=True):
    """What a front end's journals say of one call."""

    lines: tuple[Line, ...]


T = TypeVar("T", Batch, Have, Said)


def encode(value: Batch | Have | Said) -> bytes:
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Raises BadWire."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise BadWire(f"{kind.__name__}: {error}") from error
