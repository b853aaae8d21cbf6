"""The agreed table: keyed entries, each stamped with the revision of its last change. No I/O, no clock.

Each rule is held in one function: `_apply` alone changes entries, and all of a change set at once;
`_compact` alone moves the floor.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import count as numbers

import msgspec
from immutables import Map
from xxhash import xxh3_64_digest

from walnutpost.configstore import entries as shapes
from walnutpost.configstore.entries import BUCKETS, MASK, bucket_of, check_change, encoded_size, entry_digest
from walnutpost.configstore.messages import FORMAT, ChangeSet, Entry, Op, Record

LOG_MOST, LOG_BYTES = 5000, 8 * 1024 * 1024  # change sets: two days at 2,200 a day
_serials = numbers(1)


class BadChange(Exception):
    """A change set that may not enter; nothing has changed. `errors`: each names place, found, wanted."""

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


class OutOfOrder(Exception):
    """A change set that is held already, or an older one: nothing has changed."""


class Diverged(Exception):
    """The table with this change set is not the table that was agreed on: nothing has changed."""


class BadTable(Exception):
    """Bytes that are no table, or not the one that they were written as."""


class _Kept(Record, frozen=True):
    revision: int
    floor: int
    digest: int
    entries: list[Entry]
    log: list[ChangeSet]
    format: int = FORMAT


_kept = msgspec.msgpack.Decoder(_Kept)


class Table:
    """`entries` is a persistent map: who reads it keeps that very state while changes go on. `revision`: of
    the last change set. `floor`: all change sets after it are held in the log. `digest`: the sum of the
    entries' digests. `serial`: another one for each table of this process."""

    def __init__(self, log_most: int = LOG_MOST, log_bytes: int = LOG_BYTES) -> None:
        """`log_most`: change sets held for followers that are behind, 0 where nobody follows this table;
        `log_bytes`: of them, encoded."""
        self.serial = next(_serials)
        self.entries: Map[str, Entry] = Map()
        self.revision = self.floor = self.digest = 0
        self._sums = [0] * BUCKETS
        self._log: list[ChangeSet] = []
        self._sizes: list[int] = []
        self._logged = 0
        self._log_most, self._log_bytes = log_most, log_bytes
        self._keys: list[str] | None = None

    @classmethod
    def of(
        cls,
        entries: Mapping[str, Entry],
        revision: int,
        log: Iterable[ChangeSet] = (),
        floor: int | None = None,
        log_most: int = LOG_MOST,
        log_bytes: int = LOG_BYTES,
    ) -> Table:
        """A table as it stands at `revision`; `log`: all change sets after `floor`, which is `revision`
        where there are none. Reads all entries."""
        table = cls(log_most, log_bytes)
        table.entries = entries if isinstance(entries, Map) else Map(entries)
        table.revision, table.floor = revision, revision if floor is None else floor
        table._sums = list(table.recount())
        table.digest = sum(table._sums) & MASK
        for change in log:
            table._hold(change)
        table._compact()
        return table

    # Changes

    def change(self, revision: int, ops: Sequence[Op]) -> ChangeSet:
        """A new change set, as the history has it at `revision`: whole, or BadChange and nothing changed."""
        wrong = check_change(ops)
        if revision <= self.revision:
            wrong.append(f"change set: found revision {revision}, wanted one after {self.revision}")
        if wrong:
            raise BadChange(wrong)
        change = ChangeSet(revision, tuple(ops), self._sums_with(revision, ops)[1])
        self._apply(change)
        return change

    def take(self, change: ChangeSet) -> None:
        """A change set that was agreed on. Raises OutOfOrder or Diverged, and nothing has changed then."""
        if change.revision <= self.revision:
            raise OutOfOrder(f"found revision {change.revision}, wanted one after {self.revision}")
        self._apply(change)

    def _apply(self, change: ChangeSet) -> None:
        """The one place where entries change. What readers look at is put in place as a whole, at the end."""
        sums, digest = self._sums_with(change.revision, change.ops)
        if digest != change.digest:
            raise Diverged(
                f"digest {digest:016x} at revision {change.revision}, agreed was {change.digest:016x}"
            )
        with self.entries.mutate() as changing:
            for op in change.ops:
                if op.value is None:
                    changing.pop(op.key, None)
                else:
                    held = self.entries.get(op.key)  # its key again, or the map would go on holding both
                    key = op.key if held is None else held.key
                    changing[key] = Entry(key, op.value, change.revision)
            entries = changing.finish()
        if self._keys is not None:
            self._keep_keys(change.ops)
        for bucket, total in sums.items():
            self._sums[bucket] = total
        self.entries, self.revision, self.digest = entries, change.revision, digest
        self._hold(change)
        self._compact()

    def _sums_with(self, revision: int, ops: Iterable[Op]) -> tuple[dict[int, int], int]:
        """The sums of the ranges that these change, and the digest with them."""
        sums: dict[int, int] = {}
        digest = self.digest
        for op in ops:
            bucket, difference = bucket_of(op.key), 0
            held = self.entries.get(op.key)
            if held is not None:
                difference -= entry_digest(held.key, held.value, held.revision)
            if op.value is not None:
                difference += entry_digest(op.key, op.value, revision)
            sums[bucket] = (sums.get(bucket, self._sums[bucket]) + difference) & MASK
            digest += difference
        return sums, digest & MASK

    # History

    def _hold(self, change: ChangeSet) -> None:
        if self._log_most:
            self._log.append(change)
            self._sizes.append(encoded_size(change))
            self._logged += self._sizes[-1]
        else:
            self.floor = change.revision

    def _compact(self) -> None:
        """The one place where the floor moves: by the log alone, so all keepers do it at the same entry."""
        drop = 0
        while len(self._log) - drop > self._log_most or self._logged > self._log_bytes:
            self._logged -= self._sizes[drop]
            self.floor = self._log[drop].revision
            drop += 1
        del self._log[:drop], self._sizes[:drop]

    def since(self, revision: int, most: int | None = None) -> list[ChangeSet] | None:
        """All change sets after `revision`, in order; None where that is below the floor or not reached yet.
        `most`: bytes that they may have encoded; one comes in any case."""
        if not self.floor <= revision <= self.revision:
            return None
        first = last = bisect_right(self._log, revision, key=lambda c: c.revision)
        if most is None:
            return self._log[first:]
        while last < len(self._log) and (last == first or most >= self._sizes[last]):
            most -= self._sizes[last]
            last += 1
        return self._log[first:last]

    def keys_after(self, key: str) -> Iterator[str]:
        """In order; changes meanwhile are not allowed. The order is made when first asked for: a member,
        which nobody follows, never does."""
        if self._keys is None:
            self._keys = sorted(self.entries)
        keys = self._keys
        return (keys[at] for at in range(bisect_right(keys, key), len(keys)))

    def _keep_keys(self, ops: Iterable[Op]) -> None:
        """Before the entries change."""
        assert self._keys is not None
        for op in ops:
            if op.value is None and op.key in self.entries:
                del self._keys[bisect_right(self._keys, op.key) - 1]
            elif op.value is not None and op.key not in self.entries:
                insort(self._keys, op.key)

    # Digests

    def bucket_digests(self) -> tuple[int, ...]:
        """By range, as kept up by the changes: what was agreed on."""
        return tuple(self._sums)

    def recount(self) -> tuple[int, ...]:
        """By range, from all entries: what is really held."""
        sums = [0] * BUCKETS
        shapes.count(self.entries.values(), sums)
        return shapes.digests(sums)

    # Disk

    def snapshot(self) -> bytes:
        """The same bytes at each keeper that is at the same entry of the history."""
        entries = [self.entries[key] for key in sorted(self.entries)]
        kept = _Kept(self.revision, self.floor, self.digest, entries, self._log)
        body = msgspec.msgpack.encode(kept)
        return xxh3_64_digest(body) + body

    @classmethod
    def restore(cls, data: bytes, log_most: int = LOG_MOST, log_bytes: int = LOG_BYTES) -> Table:
        """Raises BadTable."""
        body = memoryview(data)[8:]
        if xxh3_64_digest(body) != data[:8]:
            raise BadTable(f"checksum {data[:8].hex()} does not fit the {len(body)} bytes that follow")
        try:
            kept = _kept.decode(body)
        except msgspec.MsgspecError as error:
            raise BadTable(str(error)) from error
        if kept.format != FORMAT:
            raise BadTable(f"format {kept.format}, wanted {FORMAT}")
        entries = {entry.key: entry for entry in kept.entries}
        table = cls.of(entries, kept.revision, kept.log, kept.floor, log_most, log_bytes)
        if table.digest != kept.digest:
            raise BadTable(
                f"digest {table.digest:016x} of what was kept at revision {kept.revision}, "
                f"agreed was {kept.digest:016x}"
            )
        return table
