"""A holder's side: which lines of which origins it takes. A holder only keeps: it numbers nothing, and never
says more than its disk has without a hole."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from walnutpost.journal.records import Line


class Batch(msgspec.Struct, frozen=True):
    """Accounts for all numbers in (after, upto] of `origin`'s journal. Those without a line are of calls whose
    fates are no longer kept. Nothing in (after, upto]: only asks what the holder has. `sum` is of what was
    sent; a line's own may be wrong, where the origin's disk has lost it: it is kept so, and known to be."""

    origin: str
    after: int
    upto: int
    lines: tuple[Line, ...] = ()
    sum: int = 0


def batch(origin: str, after: int, upto: int, lines: Iterable[Line] = ()) -> Batch:
    found = tuple(lines)
    return Batch(origin, after, upto, found, summed(found))


def summed(lines: Iterable[Line]) -> int:
    total = 0
    for line in lines:
        total = zlib.crc32(line.data, zlib.crc32(b"%d %d" % (line.seq, line.sum), total))
    return total


class Have(msgspec.Struct, frozen=True):
    """The holder's answer. `disk` names its disk: another one has none of what this one had."""

    disk: str
    upto: int


@dataclass(frozen=True, slots=True)
class Take:
    """To be written as one, and durable before Have says so."""

    origin: str
    upto: int
    lines: tuple[Line, ...]


class BadBatch(Exception):
    """Not what its origin sent; nothing of it is taken."""


def taken(known: Mapping[str, int], batch: Batch) -> Take | None:
    """What to write of a batch, given up to where each origin's lines are held; None where there is nothing
    new, or what comes before it is missing: the answer then tells from where to send. Raises BadBatch."""
    have = known.get(batch.origin, 0)
    numbers = [line.seq for line in batch.lines]
    if numbers != sorted(set(numbers)) or (numbers and not batch.after < numbers[0] <= numbers[-1] <= batch.upto):
        raise BadBatch(f"lines {numbers[:3]}... outside of ({batch.after}, {batch.upto}] or out of order")
    if batch.sum != summed(batch.lines):
        raise BadBatch(f"its checksum is another than that of the {len(numbers)} lines that came")
    if batch.after > have or batch.upto <= have:
        return None
    return Take(batch.origin, batch.upto, tuple(line for line in batch.lines if line.seq > have))
