"""One follower's side of a watch: what it asks, what it makes of the answers, what it says of itself. No I/O.

A table is put in place as a whole, at one revision, and only when its digest is the agreed one: by change
sets, one after the other, or once a load (the whole state, or the ranges that differ) is complete. Pages
of a load may come from several relays at several revisions; the change sets since the lowest of them make
one state of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

from walnutpost.configstore import entries as shapes
from walnutpost.configstore.entries import BUCKETS, bucket_of
from walnutpost.configstore.messages import ChangeSet, Entry, Page, Question
from walnutpost.configstore.table import Diverged, OutOfOrder, Table

HEARD_WITHIN = 9_000_000  # microseconds: whoever was told of nothing for longer may act on what is past
VERIFY_EVERY = 5_000_000  # microseconds between two recounts, where changes come one after the other
VERIFY_MOST = 2000  # entries of a recount at a time: a millisecond or two
RANGES_MOST = 64  # beyond that the whole state is not much more
REPAIRS_MOST = 2  # that failed one after the other, before the whole state is loaded


@dataclass(frozen=True, slots=True)
class Taken:
    """What an answer came to. `changes`: complete now, in order. `whole`: the table was replaced, anything
    may have changed. `repaired`: keys that stood wrong here. `note`: for the log, or empty. `elsewhere`:
    what this server told does not hold together, another one should be asked."""

    changes: tuple[ChangeSet, ...] = ()
    whole: bool = False
    repaired: tuple[str, ...] = ()
    note: str = ""
    elsewhere: bool = False


class _Load:
    """A state that is not in force yet. `base`: lowest revision of its pages; `at`: change sets are laid
    over up to here; `top`: no revision before it may be put in place."""

    def __init__(self, held: Table, whole: bool) -> None:
        self.whole = whole
        self.entries: dict[str, Entry] = {} if whole else dict(held.entries)
        self.after: str | None = "" if whole else None  # the last key held, None: all pages are
        self.base = 0 if whole else held.revision
        self.at = self.floor = held.revision
        self.top = held.revision
        self.asks = False  # for the digests by range
        self.want: set[int] = set()
        self.ranges: set[int] = set()
        self.changes: list[ChangeSet] = []
        self.agreed = {held.revision: held.digest}

    @property
    def replays(self) -> bool:
        return self.after is None and not self.asks and not self.want

    def saw(self, page: Page) -> None:
        self.top = max(self.top, page.revision)
        self.agreed[page.revision] = page.digest

    def lay(self, change: ChangeSet) -> None:
        """In order and from `base` on at the latest: what a page has of later revisions is then laid over
        again by the very change sets that it came from, up to `top`."""
        for op in change.ops:
            if op.value is None:
                self.entries.pop(op.key, None)
            else:
                self.entries[op.key] = Entry(op.key, op.value, change.revision)
        self.at = change.revision
        self.agreed[self.at] = change.digest
        self.changes.append(change)

    @property
    def complete(self) -> bool:
        return self.replays and self.at >= self.top


class Follower:
    """`table`: what is held, whole; `in_force`: the revision that the member acts on, never one before it."""

    def __init__(
        self, member: str, incarnation: str, now: int = 0, log_most: int = 0, log_bytes: int = 0
    ) -> None:
        """`member` is empty where it counts for nothing, as at a relay. `now`: microseconds, from which on
        `late` counts. `log_most`, `log_bytes`: what a relay holds for those behind; with a whole state it
        then takes the history too, so that its own followers go on from where they are."""
        self.member, self.incarnation = member, incarnation
        self.table = Table(log_most, log_bytes)
        self.in_force = self.session = 0
        self.stuck = ""
        self._limits = log_most, log_bytes
        self._vouched = now
        self._load: _Load | None = None
        self._failed = 0
        self._recount: _Recount | None = None
        self._recounted: tuple[int, int, int] | None = None  # when, which table, at which revision

    @classmethod
    def restore(
        cls,
        data: bytes,
        member: str,
        incarnation: str,
        now: int = 0,
        log_most: int = 0,
        log_bytes: int = 0,
    ) -> Follower:
        """With what `kept` gave. Raises BadTable: then without it, and the whole state is loaded."""
        follower = cls(member, incarnation, now, log_most, log_bytes)
        follower.table = Table.restore(data, log_most, log_bytes)
        return follower

    def kept(self) -> bytes:
        return self.table.snapshot()

    @property
    def loading(self) -> bool:
        return self._load is not None

    # Questions

    def question(self, hold: int) -> Question:
        """The next one; it is also the word for what is held and acted on. `hold`: microseconds."""
        load, table = self._load, self.table
        more: dict[str, object] = {}
        revision, digest = table.revision, table.digest
        if load is None:
            pass
        elif load.asks:
            more["buckets"] = True
        elif load.want:
            more["want"] = tuple(sorted(load.want))
        elif load.after is not None:
            more |= {"after": load.after, "base": load.base}
        else:
            revision, digest = load.at, 0
            more["base"] = max(1, load.base)
        return Question(
            self.member,
            self.incarnation,
            self.session,
            revision,
            self.in_force,
            digest,
            hold,
            self.stuck,
            **more,  # type: ignore[arg-type]
        )

    def moved(self) -> None:
        """Another server is asked from here on."""
        self.session += 1

    # Answers

    def answered(self, now: int, page: Page | None, age: int | None) -> Taken:
        """`page` None: nothing newer. `age`: microseconds since a leader last vouched for what the server
        holds, None where no leader was ever heard of. A page that is not the answer to the last question,
        being late, doubled, or from a server that is behind, changes nothing."""
        if age is not None:
            self._vouched = max(self._vouched, now - age)
        if page is None:
            return Taken()
        if page.whole:
            return self._whole(page)
        if page.repair:
            return self._ranges(page)
        if page.buckets:
            return self._digests(page)
        return self._changes(page)

    def late(self, now: int) -> bool:
        return now - self._vouched > HEARD_WITHIN

    # What is acted on

    def acting(self, revision: int) -> None:
        """Nothing new is done by an older revision from here on: only now may it be said."""
        if revision > self.table.revision:
            raise ValueError(f"acts on revision {revision}, held is {self.table.revision}")
        if revision > self.in_force:
            self.in_force, self.stuck = revision, ""

    def refused(self, revision: int, why: str) -> None:
        """The member can't act on it, and goes on with what it acts on."""
        if revision > self.in_force:
            self.stuck = why

    # Change sets

    def _changes(self, page: Page) -> Taken:
        load = self._load
        if load is not None:
            if load.replays and page.since <= load.at:
                for change in page.changes:
                    if change.revision > load.at:
                        load.lay(change)
                return self._completed(load)
            return Taken()
        if page.since > self.table.revision:
            return Taken()  # asked for by somebody who held more: something is missing in between
        taken: list[ChangeSet] = []
        for change in page.changes:
            try:
                self.table.take(change)
            except OutOfOrder:
                continue
            except Diverged as error:
                return Taken(tuple(taken), note=f"diverged: {error}; {self._diverged()}")
            taken.append(change)
        return Taken(tuple(taken))

    def _diverged(self) -> str:
        """The table is not what it was when it was last compared, or the server's is not."""
        return self._differ(_differing(self.table.recount(), self.table.bucket_digests()))

    def _differ(self, ranges: set[int]) -> str:
        """Loads these; without any, asks which."""
        if len(ranges) > RANGES_MOST or self._failed >= REPAIRS_MOST:
            self._begin()
            return f"{len(ranges)} of {BUCKETS} ranges differ at revision {self.table.revision}, loading all"
        load = self._load = _Load(self.table, whole=False)
        load.want, load.asks = set(ranges), not ranges
        load.ranges = set(ranges)
        if not ranges:
            return "asking for the digests by range"
        return f"{len(ranges)} of {BUCKETS} ranges differ at revision {self.table.revision}, loading them"

    def _digests(self, page: Page) -> Taken:
        load, table = self._load, self.table
        if load is None:
            asked = page.revision == table.revision and page.digest != table.digest
        else:
            asked = load.asks and page.revision >= table.revision
        if not asked:
            return Taken()
        note = f"diverged: {self._differ(_differing(table.recount(), page.buckets))}"
        load = self._load
        assert load is not None
        if load.asks:  # still: no range differs, only the sums that were kept up, here or there
            load.asks = False
            note = f"diverged: digest {table.digest:016x} at revision {table.revision}, no range differs"
        if load.whole:
            return Taken(note=note)
        load.saw(page)
        return self._completed(load, note)

    # Loads

    def _begin(self) -> _Load:
        load = self._load = _Load(self.table, whole=True)
        self._recount = None
        return load

    def _whole(self, page: Page) -> Taken:
        load, note = self._load, ""
        if load is None or load.after is None:
            at = self.table.revision if load is None else load.at
            if page.after != "" or page.floor <= at:
                return Taken()
            if load is not None and load.whole and page.floor <= load.base:
                # A server with less history than the one before: enough to go on from the pages.
                load.at = load.floor = page.floor
                load.changes.clear()
                return Taken()
            load = self._begin()
            note = f"revision {at} is below the floor {page.floor}, loading the whole state"
        elif load.after != page.after or (not page.entries and not page.done):
            return Taken()
        elif load.base and page.floor > load.base:
            self._begin()
            return Taken(
                note=f"the floor {page.floor} has passed the pages held, loading the whole state anew"
            )
        for entry in page.entries:
            held = self.table.entries.get(entry.key)
            load.entries[entry.key] = entry if held is None or held != entry else held  # memory: not twice
        load.base = min(load.base or page.revision, page.revision)
        load.saw(page)
        if not page.done:
            load.after = page.entries[-1].key
            return Taken(note=note)
        load.after = None
        # Change sets from before the pages change nothing of the state, and fill a relay's log.
        load.at = load.floor = page.floor if self._limits[0] else load.base
        return self._completed(load, note)

    def _ranges(self, page: Page) -> Taken:
        load = self._load
        ranges = set(page.ranges)
        if load is None or not ranges or not ranges <= load.want or page.revision < load.base:
            return Taken()
        for key in [key for key in load.entries if bucket_of(key) in ranges]:
            del load.entries[key]
        load.entries |= {entry.key: entry for entry in page.entries}
        load.want -= ranges
        load.saw(page)
        return self._completed(load)

    def _completed(self, load: _Load, note: str = "") -> Taken:
        """The one place where another table is put in place: complete, at one revision, not before the one
        held, and the agreed one."""
        if not load.complete:
            return Taken(note=note)
        notes = [note] if note else []
        held = self.table
        log, floor = load.changes, load.floor
        if not load.whole:
            log, floor = [*(held.since(held.floor) or ()), *log], held.floor
        if not self._limits[0]:
            log, floor = [], load.at
        table = type(held).of(load.entries, load.at, log, floor, *self._limits)
        self._load = self._recount = None
        if not self._agreed(load, table):
            self._failed += 1
            what = "the whole state" if load.whole else f"{len(load.ranges)} ranges"
            if load.whole or self._failed >= REPAIRS_MOST:
                self._begin()
            notes.append(f"diverged: {what} loaded, not as agreed at revision {load.at}")
            return Taken(note="; ".join(notes), elsewhere=True)
        self._failed = 0
        self.table = table
        if load.whole:
            notes.append(f"the whole state is held: {len(table.entries)} keys at revision {table.revision}")
            return Taken(whole=True, note="; ".join(notes))
        changed = {op.key for change in load.changes for op in change.ops}
        wrong = {
            key
            for key in {*held.entries, *table.entries} - changed
            if bucket_of(key) in load.ranges and held.entries.get(key) != table.entries.get(key)
        }
        notes.append(f"repaired: {len(wrong)} keys in {len(load.ranges)} ranges at revision {table.revision}")
        return Taken(tuple(load.changes), repaired=tuple(sorted(wrong)), note="; ".join(notes))

    @staticmethod
    def _agreed(load: _Load, table: Table) -> bool:
        return table.digest == load.agreed.get(table.revision)

    # Recounts

    @property
    def verifying(self) -> bool:
        """A recount is under way: `verify` wants to be called again soon."""
        return self._recount is not None

    def verify(self, now: int, most: int = VERIFY_MOST) -> Taken:
        """To be called after each answer, and on while `verifying`: reads `most` entries of a recount, which
        begins after a change, at most one in VERIFY_EVERY. A difference is loaded anew."""
        if self._load is not None:
            return Taken()
        table = self.table
        if self._recount is None:
            if self._recounted is not None:
                when, serial, revision = self._recounted
                if now - when < VERIFY_EVERY or (serial, revision) == (table.serial, table.revision):
                    return Taken()
            self._recounted = now, table.serial, table.revision
            self._recount = _Recount(table)
        differing = self._recount.read(most)
        if differing is None:
            return Taken()
        self._recount = None
        return Taken(note=f"diverged: {self._differ(differing)}") if differing else Taken()


class _Recount:
    """Reads a table as it stood when it began, while changes go on."""

    def __init__(self, table: Table) -> None:
        self._kept = table.bucket_digests()
        self._entries: Iterator[Entry] = iter(table.entries.values())
        self._sums = [0] * BUCKETS

    def read(self, most: int) -> set[int] | None:
        """The ranges that differ; None: not all is read."""
        some = list(islice(self._entries, most))
        shapes.count(some, self._sums)
        if len(some) == most:
            return None
        return _differing(shapes.digests(self._sums), self._kept)


def _differing(one: tuple[int, ...], other: tuple[int, ...]) -> set[int]:
    if len(one) != len(other):
        return set(range(BUCKETS))
    return {n for n, (a, b) in enumerate(zip(one, other, strict=True)) if a != b}
