"""A replica's side of replication: which lines of which origins it accepts.

A replica numbers nothing, and never acknowledges more than its disk has without a gap.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from walnutpost.journal.errors import JournalError
from walnutpost.journal.records import Line


class JournalBatch(msgspec.Struct, frozen=True):
    """Lines of a journal as sent to a replica; accounts for all numbers in (after, upto] of `origin`.

    Numbers without a line are of calls whose results are no longer stored. An empty interval only asks for
    the replica's offset. `checksum` is of what was sent; a line's own checksum may be wrong where the
    origin's disk has corrupted it: it is stored so, and known to be corrupt.
    """

    origin: str
    after: int
    upto: int
    lines: tuple[Line, ...] = msgspec.field(name="lines", default=())
    checksum: int = msgspec.field(name="sum", default=0)


def make_batch(origin: str, after: int, upto: int, lines: Iterable[Line] = ()) -> JournalBatch:
    """Return a batch with its checksum."""
    sent = tuple(lines)
    return JournalBatch(origin, after, upto, sent, batch_checksum(sent))


def batch_checksum(lines: Iterable[Line]) -> int:
    """Return the CRC-32 over the lines' numbers, checksums and bytes."""
    total = 0
    for line in lines:
        total = zlib.crc32(line.data, zlib.crc32(b"%d %d" % (line.seq, line.checksum), total))
    return total


class JournalOffset(msgspec.Struct, frozen=True):
    """A replica's answer: all lines up to `upto` are durable on `disk`.

    `disk` identifies the disk: another one has none of what the former one had.
    """

    disk: str
    upto: int


@dataclass(frozen=True, slots=True)
class BatchWrite:
    """Lines to be written in one commit, durable before a JournalOffset acknowledges them."""

    origin: str
    upto: int
    lines: tuple[Line, ...]


class InvalidBatchError(JournalError):
    """A batch is not what its origin sent; nothing of it is written."""

    def __init__(self, reason: str) -> None:
        """`reason` is for people."""
        super().__init__(reason)
        self.reason = reason


def plan_batch_write(offsets: Mapping[str, int], batch: JournalBatch) -> BatchWrite | None:
    """Return what to write of a batch, given each origin's offset on this disk.

    None if the batch has nothing new, or lines before it are missing here: the offset in the answer then says
    from where to send. Raises InvalidBatchError.
    """
    _check_batch(batch)
    offset = offsets.get(batch.origin, 0)
    if batch.after > offset or batch.upto <= offset:
        return None
    new_lines = tuple(line for line in batch.lines if line.seq > offset)
    return BatchWrite(batch.origin, batch.upto, new_lines)


def _check_batch(batch: JournalBatch) -> None:
    numbers = [line.seq for line in batch.lines]
    is_ascending = numbers == sorted(set(numbers))
    is_inside = not numbers or batch.after < numbers[0] <= numbers[-1] <= batch.upto
    if not is_ascending or not is_inside:
        raise InvalidBatchError(
            f"lines {numbers[:3]}... outside of ({batch.after}, {batch.upto}] or out of order"
        )
    if batch.checksum != batch_checksum(batch.lines):
        raise InvalidBatchError(f"the checksum does not match the {len(numbers)} lines received")
