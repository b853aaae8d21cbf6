"""What a watch is answered: a function of the table and the question, so no follower has a queue. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from walnutpost.configstore.entries import BUCKETS, bucket_of
from walnutpost.configstore.messages import Entry, Page, Question
from walnutpost.configstore.table import Table

PAGE_BYTES = 64 * 1024
_ENTRY = 16  # bytes around an entry's key and value, at the most


class Owed(NamedTuple):
    """What a question comes to: all questions with an equal one are owed the same page, in this process.
    One of `since` (change sets after it), `after` (a page of the whole state) and `want` (entries of these
    ranges), or none of them: digests by range."""

    serial: int
    revision: int
    since: int | None = None
    after: str | None = None
    want: tuple[int, ...] = ()


def owed_key(table: Table, question: Question) -> Owed | None:
    """None: nothing newer is held here, and the question waits. The one place where this is decided."""
    if question.revision > table.revision:
        return None  # this table is behind: never an older revision after a newer one
    serial, revision = table.serial, table.revision
    if question.want:
        return Owed(serial, revision, want=tuple(sorted({n for n in question.want if 0 <= n < BUCKETS})))
    if question.buckets:
        return Owed(serial, revision)
    if question.after is not None:
        return Owed(serial, revision, after=question.after)
    if question.revision < table.floor:
        return Owed(serial, revision, after="")
    if question.revision < revision:
        return Owed(serial, revision, since=question.revision)
    if question.digest != table.digest and not question.base:
        return Owed(serial, revision)
    return None


def page_of(table: Table, owed: Owed, most: int = PAGE_BYTES) -> Page:
    """`owed`: of this table as it is now. `most`: bytes, which only a single change set or range passes."""
    revision, digest, floor = table.revision, table.digest, table.floor
    if owed.since is not None:
        changes = table.since(owed.since, most) or ()
        return Page(revision, digest, floor, tuple(changes), since=owed.since)
    if owed.after is not None:
        entries, done = _fitting((table.entries[key] for key in table.keys_after(owed.after)), most)
        return Page(revision, digest, floor, whole=True, entries=entries, done=done, after=owed.after)
    if owed.want:
        ranges, held = _ranges(table, owed.want, most)
        return Page(revision, digest, floor, entries=held, repair=True, ranges=ranges)
    return Page(revision, digest, floor, buckets=table.bucket_digests())


def owed(table: Table, question: Question, most: int = PAGE_BYTES) -> Page | None:
    """The answer, None while there is nothing newer. At most a page of `most` bytes, whatever is behind."""
    key = owed_key(table, question)
    return page_of(table, key, most) if key is not None else None


def _fitting(entries: Iterable[Entry], most: int) -> tuple[tuple[Entry, ...], bool]:
    """The first ones that fit, one at the least, and whether that is all."""
    fitting: list[Entry] = []
    for entry in entries:
        most -= _size(entry)
        if most < 0 and fitting:
            return tuple(fitting), False
        fitting.append(entry)
    return tuple(fitting), True


def _ranges(table: Table, want: tuple[int, ...], most: int) -> tuple[tuple[int, ...], tuple[Entry, ...]]:
    """Whole ranges, as many as fit, one at the least. Reads all keys: ranges are rarely asked for."""
    held: dict[int, list[Entry]] = {bucket: [] for bucket in want}
    for key, entry in table.entries.items():
        bucket = bucket_of(key)
        if bucket in held:
            held[bucket].append(entry)
    ranges: list[int] = []
    entries: list[Entry] = []
    for bucket in want:
        most -= sum(map(_size, held[bucket]))
        if most < 0 and ranges:
            break
        ranges.append(bucket)
        entries += held[bucket]
    return tuple(ranges), tuple(entries)


def _size(entry: Entry) -> int:
    return len(entry.key) + len(entry.value) + _ENTRY
