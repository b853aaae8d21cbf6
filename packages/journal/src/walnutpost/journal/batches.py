"""A replica's side of replication: which entries of which origins it accepts.

A replica numbers nothing, and never acknowledges more than its disk has without a gap.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from walnutpost.journal.errors import JournalError
from walnutpost.journal.records import JournalEntry


class JournalBatch(msgspec.Struct, frozen=True):
    """Entries of a journal as sent to a replica; accounts for all numbers in (after, upto] of `origin`.

    Numbers without an entry are of calls whose results are no longer stored. An empty interval only asks for
    the replica's offset. `checksum` is over the entries as sent. An entry that the origin's disk corrupted
    has a wrong checksum itself: replicas store it as it is, and a reader detects it.
    """

    origin: str
    after: int
    upto: int
    entries: tuple[JournalEntry, ...] = msgspec.field(name="lines", default=())
    checksum: int = msgspec.field(name="sum", default=0)


def make_batch(origin: str, after: int, upto: int, entries: Iterable[JournalEntry] = ()) -> JournalBatch:
    """Return a batch with its checksum."""
    sent = tuple(entries)
    return JournalBatch(origin, after, upto, sent, batch_checksum(sent))


def batch_checksum(entries: Iterable[JournalEntry]) -> int:
    """Return the CRC-32 over the entries' numbers, checksums and bytes."""
    total = 0
    for entry in entries:
        total = zlib.crc32(entry.data, zlib.crc32(b"%d %d" % (entry.seq, entry.checksum), total))
    return total


class JournalOffset(msgspec.Struct, frozen=True):
    """A replica's answer: all entries up to `upto` are durable on `disk`.

    `disk` identifies the disk: a new disk has none of the entries of the former one.
    """

    disk: str
    upto: int


@dataclass(frozen=True, slots=True)
class BatchWrite:
    """Entries to be written in one commit, durable before a JournalOffset acknowledges them."""

    origin: str
    upto: int
    entries: tuple[JournalEntry, ...]


class InvalidBatchError(JournalError):
    """A batch is not what its origin sent; nothing of it is written. `reason` is for people."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def plan_batch_write(offsets: Mapping[str, int], batch: JournalBatch) -> BatchWrite | None:
    """Return what to write of a batch, given each origin's offset on this disk.

    None if the batch has nothing new, or entries before it are missing here: the offset in the answer then
    says from where to send. Raises InvalidBatchError.
    """
    _check_batch(batch)
    offset = offsets.get(batch.origin, 0)
    if batch.after > offset or batch.upto <= offset:
        return None
    new_entries = tuple(entry for entry in batch.entries if entry.seq > offset)
    return BatchWrite(batch.origin, batch.upto, new_entries)


def _check_batch(batch: JournalBatch) -> None:
    numbers = [entry.seq for entry in batch.entries]
    is_ascending = numbers == sorted(set(numbers))
    is_inside = not numbers or batch.after < numbers[0] <= numbers[-1] <= batch.upto
    if not is_ascending or not is_inside:
        raise InvalidBatchError(
            f"lines {numbers[:3]}... outside of ({batch.after}, {batch.upto}] or out of order"
        )
    if batch.checksum != batch_checksum(batch.entries):
        raise InvalidBatchError(f"the checksum does not match the {len(numbers)} lines received")
