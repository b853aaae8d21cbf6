"""A front end's side of the agreed settings: it follows the table by way of the relays, and acts on a
function's new settings without a restart. No call waits for any of it."""

from __future__ import annotations

import copy
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from random import Random
from typing import Any

from immutables import Map

from walnutpost.config.base import address_of
from walnutpost.config.entries import FUNCTION, function_of
from walnutpost.config.model import Agreement
from walnutpost.configstore import ApplyOutcome, ConfigStore, Entry, InvalidSnapshotError, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Loop, Task, remove_leftovers, replace_file
from walnutpost.gateway import Function
from walnutpost.watch import Watcher

SECOND = 1_000_000
DECODED_MOST = 1024  # functions whose entries are kept decoded: some 400 KB
JUDGED_AT_ONCE = 50  # entries of a whole table, a millisecond, before others get their turn
FIRST_ANSWER = SECOND  # how long a start waits for a relay
KEEP_EVERY = 30 * SECOND  # between two writings of the table: 38,000 functions take 80 ms of a core
WRITE_RETRY_US = SECOND  # after a writing of the table that failed
WHY_MOST = 300  # characters: it goes with each question until it is mended


class Functions(Mapping[str, Function]):
    """What can be called: the functions of an agreed table at one revision, decoded as they are asked for;
    `own` as long as that holds none. A lookup raises KeyError for a name that isn't there."""

    def __init__(self, own: Mapping[str, Function], classes: Sequence[str]) -> None:
        """`classes`: by name, in the order of the settings that the gateway was started with."""
        self._own, self.classes = own, tuple(classes)
        self.entries: Map[str, Entry] = Map()
        self._count = 0
        self._decoded: OrderedDict[str, tuple[Entry, Function]] = OrderedDict()

    def put(self, entries: Map[str, Entry], count: int) -> None:
        """All of another revision at once: a reader sees the former or this one. `count`: functions among
        the entries, each of which `decode` takes."""
        self.entries, self._count = entries, count

    def decode(self, name: str, entry: Entry) -> Function:
        """Raises ValueError where the front end can't act on it."""
        return function_of(name, entry.value, self.classes)

    def __getitem__(self, name: str) -> Function:
        if not self._count:
            return self._own[name]
        decoded = self._decoded
        entry, known = self.entries.get(FUNCTION + name), decoded.get(name)
        if entry is None:
            raise KeyError(name)
        if known is not None and known[0] is entry:
            decoded.move_to_end(name)
            return known[1]
        function = self.decode(name, entry)
        decoded[name] = entry, function
        decoded.move_to_end(name)
        if len(decoded) > DECODED_MOST:
            decoded.popitem(last=False)
        return function

    def __iter__(self) -> Iterator[str]:
        if not self._count:
            return iter(self._own)
        return (key[len(FUNCTION) :] for key in self.entries if key.startswith(FUNCTION))

    def __len__(self) -> int:
        return self._count or len(self._own)


class SettingsFollowing:
    """Follows the table with `Watcher` and `Follower`, and puts each revision that the front end can act on
    in place. Classes, tenants and all else come from the file that it was started with: a function that
    names a class which that lacks holds up this and later revisions, none of them half, until a later one
    mends it; the relays are told why."""

    def __init__(
        self,
        loop: Loop,
        line: Agreement,
        zone: str | None,
        incarnation: str,
        functions: Functions,
        log: Any,
        kept: Path,
    ) -> None:
        """`kept`: the file of the table as last acted on. One that is broken is said, and not used."""
        self._loop, self._functions, self._log, self._kept = loop, functions, log, kept
        self.follower = self._restored(line.member, incarnation)
        regions = {name: line.relay_zones.get(name, "") for name in line.relays}
        choice = RelaySelector(line.member, regions, zone or "", Random())
        servers = {name: _reached(address) for name, address in line.relays.items()}
        self.watcher = Watcher(loop, servers, self.follower, choice, self._taken, log)
        self._seen = functions.entries  # the state that these are of:
        self._count = 0  # functions
        self._bad: dict[str, str] = {}  # by key, why the front end can't act on it
        self._changed: set[str] = set()  # keys, since `_seen`
        self._all = False  # they aren't known: the table was replaced
        self._judge: Task[None] | None = None
        self._told = ""
        self._acted: ConfigStore | None = None
        self._written = 0  # revision of the file
        self._write_failed = False
        self._writer: Task[None] | None = None
        self._following: Task[None] | None = None

    @property
    def late(self) -> bool:
        """No leader has vouched for what it acts on within 9 s."""
        return self.follower.is_stale(self._loop.now())

    @property
    def known(self) -> bool:
        """Whether all that was agreed on has been heard by this process and looked at."""
        return self.watcher.is_complete and self._judge is None

    # Start and end

    def catch_up(self) -> None:
        """Before it listens: the table that it kept, and what a relay tells within FIRST_ANSWER."""
        if self.follower.store.revision:
            self._written = self.follower.store.revision
            self._taken(ApplyOutcome(is_replaced=True))
            if self._judge is not None:
                self._judge.join()
        self._following = self._loop.spawn(self.watcher.run, name="settings")
        until = self._loop.now() + FIRST_ANSWER
        while self._loop.now() < until and not self.known:
            self._loop.sleep(10_000)

    def stop(self) -> None:
        """Says that this member leaves, and writes what it acts on, if that isn't on disk yet."""
        self.watcher.stop()
        if self._judge is not None:
            self._judge.cancel()
        if self._writer is not None:
            self._writer.cancel()
        self._write()

    # What was taken in. Called between an answer and the next question, which acknowledges it

    def _taken(self, taken: ApplyOutcome) -> None:
        self._all |= taken.is_replaced
        self._changed.update(op.key for change in taken.changes for op in change.mutations)
        self._changed.update(taken.repaired_keys)
        if taken.repaired_keys:
            self._written = 0  # what was written may have been wrong, too
        if self._judge is not None:
            return  # it will come to these
        if self._all:
            self._judge = self._loop.spawn(self._judge_all, name="judge settings")
        else:
            self._take_up()

    def _judge_all(self) -> None:
        """A whole table: each of its functions, a few at a time."""
        try:
            while self._all:
                self._all = False
                entries = self.follower.store.entries
                count, bad = self._judged(entries)
                self._seen, self._count, self._bad = entries, count, bad
        finally:
            self._judge = None
        self._take_up()

    def _judged(self, entries: Map[str, Entry]) -> tuple[int, dict[str, str]]:
        """How many functions these are, and which of them the front end can't act on."""
        count, bad, acted = 0, dict[str, str](), self._functions.entries
        for key, entry in entries.items():
            if not key.startswith(FUNCTION):
                continue
            count += 1
            if count % JUDGED_AT_ONCE == 0:
                self._loop.breathe()
                if self._all:
                    break  # replaced once more
            held = acted.get(key)
            why = self._wrong(entry) if held is None or held.value != entry.value else ""
            if why:
                bad[key] = why
        return count, bad

    def _wrong(self, entry: Entry) -> str:
        """Why the front end can't act on it; empty where it can."""
        try:
            self._functions.decode(entry.key[len(FUNCTION) :], entry)
        except ValueError as error:
            return str(error)
        return ""

    def _take_up(self) -> None:
        """What has changed since `_seen`. The one place where other settings are put in place: all of one
        revision, without waiting."""
        table = self.follower.store
        for key in self._changed:
            if key.startswith(FUNCTION):
                self._look(key, table.entries.get(key))
        self._changed.clear()
        self._seen = table.entries
        if self._bad:
            return self._refuse(table.revision)
        if self._seen is not self._functions.entries:
            self._functions.put(self._seen, self._count)
        if table.revision > self.follower.applied_revision:
            self.follower.mark_applied(table.revision)
            self._told = ""
            self._log.info("settings", revision=table.revision, functions=self._count)
        if table.revision > self._written:
            self._to_keep(table)

    def _look(self, key: str, entry: Entry | None) -> None:
        self._count += (entry is not None) - (key in self._seen)
        why = self._wrong(entry) if entry is not None else ""
        if why:
            self._bad[key] = why
        else:
            self._bad.pop(key, None)

    def _refuse(self, revision: int) -> None:
        why = next(iter(self._bad.values()))[:WHY_MOST]
        if len(self._bad) > 1:
            why += f"; and {len(self._bad) - 1} more"
        self.follower.mark_blocked(revision, why)
        if why != self._told:
            self._told = why
            acts = self.follower.applied_revision
            self._log.warning("settings", revision=revision, stuck=why, acting_on=acts)

    # On disk, for a start without relays

    def _restored(self, member: str, incarnation: str) -> WatchState:
        now = self._loop.now()
        remove_leftovers(self._kept)
        try:
            return WatchState.restore(self._kept.read_bytes(), member, incarnation, now)
        except FileNotFoundError:
            pass
        except (OSError, InvalidSnapshotError) as error:
            self._log.warning("settings", why=f"{self._kept.name} is not used: {error}")
        return WatchState(member, incarnation, now)

    def _to_keep(self, table: ConfigStore) -> None:
        """`table`'s state now, which later change sets leave alone: they replace its parts as wholes."""
        self._acted = copy.copy(table)
        if self._writer is None:
            self._writer = self._loop.spawn(self._keep, name="keep settings")

    def _keep(self) -> None:
        """What is not written yet, on the helper thread; no more often than each KEEP_EVERY."""
        try:
            while self._write():
                self._loop.sleep(WRITE_RETRY_US if self._write_failed else KEEP_EVERY)
        finally:
            self._writer = None

    def _write(self) -> bool:
        """False where there was nothing to write. What can't be written costs a start without relays."""
        table = self._acted
        if table is None or table.revision <= self._written:
            return False
        try:
            self._loop.blocking(_write_snapshot, self._kept, table)
        except OSError as error:
            self._log.warning("settings", why=f"not kept: {error}")
            self._write_failed = True
        else:
            self._written, self._write_failed = table.revision, False
        return True


def _write_snapshot(path: Path, table: ConfigStore) -> None:
    replace_file(path, table.snapshot())


def _reached(address: str) -> Callable[[], tuple[str, int]]:
    return lambda: address_of(address)
