"""What a journal says of calls, one line for each thing that happened, numbered by its origin alone.

A line on disk or on the way carries a checksum of its bytes: a flipped bit costs that line, and is seen.
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Times in microseconds by the origin's clock: hints for people and spans between its own lines."""


class Accepted(Record, frozen=True, tag="accepted"):
    """`effect` as in interface.Effect; `promise`: the holders that have this line, and every Intended of the
    call, before its client is told, or an attempt leaves. Below it is only hoped for."""

    call: str
    name: str
    function: str
    version: str
    tenant: str | None
    payload: bytes
    digest: str
    accepted_at: int
    expires_at: int
    effect: str
    promise: int


class Intended(Record, frozen=True, tag="intended"):
    """From here on, attempt number `attempt` may have left for `worker`."""

    call: str
    attempt: int
    worker: str


class Ended(Record, frozen=True, tag="ended"):
    """The call's fate, in the words of gateway.Status."""

    call: str
    status: str
    ended_at: int
    result: bytes | None
    error_type: str
    error_message: str


class Withdrawn(Record, frozen=True, tag="withdrawn"):
    """It never ran and its client was told so: the name is free again."""

    call: str


class Purged(Record, frozen=True, tag="purged"):
    """Fates of before `ended_before` are no longer kept: a number, so that no list of the dead is."""

    ended_before: int


Any_ = Accepted | Intended | Ended | Withdrawn | Purged


class BadLine(Exception):
    """Bytes that are no line, or not those that were written."""


_decoder = msgspec.msgpack.Decoder(Any_)
_encoder = msgspec.msgpack.Encoder()


class Line(msgspec.Struct, frozen=True, array_like=True):
    """`sum` covers `data` and `seq`, so that a line put back under another number is seen, too."""

    seq: int
    data: bytes
    sum: int

    @property
    def size(self) -> int:
        return len(self.data)

    def record(self) -> Any_:
        """Raises BadLine."""
        if self.sum != checksum(self.seq, self.data):
            raise BadLine(f"line {self.seq}: its checksum is another")
        try:
            found: Any_ = _decoder.decode(self.data)
        except msgspec.MsgspecError as error:
            raise BadLine(f"line {self.seq}: {error}") from error
        return found


def checksum(seq: int, data: bytes) -> int:
    return zlib.crc32(data, zlib.crc32(b"%d" % seq))


def line(seq: int, record: Any_) -> Line:
    data = _encoder.encode(record)
    return Line(seq, data, checksum(seq, data))


def call_of(record: Any_) -> str | None:
    """None for what concerns no single call."""
    found: Any = getattr(record, "call", None)
    return found if isinstance(found, str) else None
