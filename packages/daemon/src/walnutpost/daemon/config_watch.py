"""The front end's watch of the agreed settings: applies new settings of functions without a restart.

The settings come from relays. No call waits for them.
"""

from __future__ import annotations

import copy
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping, Sequence
from pathlib import Path
from random import Random

from immutables import Map

from walnutpost.config.base import parse_address
from walnutpost.config.entries import FUNCTION_PREFIX, decode_function
from walnutpost.config.membership import MembershipConfig
from walnutpost.configstore import ApplyOutcome, ConfigStore, Entry, InvalidSnapshotError, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Logger, Loop, Task, remove_leftovers, replace_file
from walnutpost.gateway import Function
from walnutpost.watch import ServerPool, Watcher

SECOND = 1_000_000
MAX_DECODED_FUNCTIONS = 1024  # functions whose decoded entries are cached: some 400 KB
VALIDATION_BATCH = 50  # entries validated, in about a millisecond, before other tasks run
FIRST_ANSWER_TIMEOUT_US = SECOND  # how long a start waits for a relay
WRITE_INTERVAL_US = 30 * SECOND  # between two writings of the table: 38,000 functions take 80 ms of a core
WRITE_RETRY_US = SECOND  # after a write that failed
MAX_REASON_CHARS = 300  # of the reason in each watch request while a revision is blocked


class DynamicFunctions(Mapping[str, Function]):
    """The functions of the agreed table at one revision, decoded at their first lookup.

    While the table has no function these are the configured functions.
    """

    def __init__(self, configured: Mapping[str, Function], classes: Sequence[str]) -> None:
        """Start with `own`; `classes` are names in the order of the gateway's settings."""
        self._configured = configured
        self.classes = tuple(classes)
        self.entries: Map[str, Entry] = Map()
        self._function_count = 0
        self._decoded: OrderedDict[str, tuple[Entry, Function]] = OrderedDict()

    def replace_all(self, entries: Map[str, Entry], count: int) -> None:
        """Replace all entries at once: a reader sees the previous revision or this one.

        `count` is the number of functions among the entries, each of which `decode` accepts.
        """
        self.entries = entries
        self._function_count = count

    def decode(self, name: str, entry: Entry) -> Function:
        """Decode an entry. Raises ValueError if the front end can't apply it."""
        return decode_function(name, entry.value, self.classes)

    def __getitem__(self, name: str) -> Function:
        """Return a function. Raises KeyError."""
        if not self._function_count:
            return self._configured[name]
        decoded = self._decoded
        entry = self.entries.get(FUNCTION_PREFIX + name)
        cached = decoded.get(name)
        if entry is None:
            raise KeyError(name)
        if cached is not None and cached[0] is entry:
            decoded.move_to_end(name)
            return cached[1]
        function = self.decode(name, entry)
        decoded[name] = entry, function
        decoded.move_to_end(name)
        if len(decoded) > MAX_DECODED_FUNCTIONS:
            decoded.popitem(last=False)
        return function

    def __iter__(self) -> Iterator[str]:
        """Iterate over the functions' names."""
        if not self._function_count:
            return iter(self._configured)
        return (key[len(FUNCTION_PREFIX) :] for key in self.entries if key.startswith(FUNCTION_PREFIX))

    def __len__(self) -> int:
        """Return the number of functions."""
        return self._function_count or len(self._configured)


class ConfigWatch:
    """Validates each revision of the table, and applies those that the front end can act on.

    Classes, tenants and all else come from the configuration file. A function with an unknown class blocks
    its revision and later ones, until a later one corrects it; the reason is reported to the relays.
    `_apply` is the only place where other settings are put in use: all of one revision, without waiting.
    """

    def __init__(
        self,
        loop: Loop,
        section: MembershipConfig,
        zone: str | None,
        incarnation: str,
        functions: DynamicFunctions,
        log: Logger,
        cache_file: Path,
    ) -> None:
        """Load the table as last applied from `cache_file`; an invalid one is logged, and not used."""
        self._loop = loop
        self._functions = functions
        self._log = log
        self._cache_file = cache_file
        self.watch_state = self._load_cache(section.member, incarnation)
        regions = {name: section.relay_zones.get(name, "") for name in section.relays}
        selector = RelaySelector(section.member, regions, zone or "", Random())
        servers = {name: _address_getter(address) for name, address in section.relays.items()}
        self.watcher = Watcher(loop, ServerPool(servers, selector), self.watch_state, self._on_outcome, log)
        self._validated_entries = functions.entries  # the next two attributes describe these
        self._function_count = 0
        self._errors_by_key: dict[str, str] = {}  # of entries that the front end can't apply
        self._changed_keys: set[str] = set()  # since `_validated_entries`
        self._must_validate_all = False  # set when the table was replaced
        self._validation: Task[None] | None = None
        self._reported_reason = ""
        self._applied_table: ConfigStore | None = None
        self._written_revision = 0  # of the file
        self._writer: Task[None] | None = None
        self._watch_task: Task[None] | None = None

    @property
    def is_stale(self) -> bool:
        """Whether no leader has confirmed the applied revision within 9 s."""
        return self.watch_state.is_stale(self._loop.now())

    @property
    def is_up_to_date(self) -> bool:
        """Whether this process has received and validated all that was agreed on."""
        return self.watcher.is_complete and self._validation is None

    # Start and end

    def catch_up(self) -> None:
        """Apply the cached table, and what a relay answers within FIRST_ANSWER_TIMEOUT_US."""
        if self.watch_state.store.revision:
            self._written_revision = self.watch_state.store.revision
            self._on_outcome(ApplyOutcome(is_replaced=True))
            if self._validation is not None:
                self._validation.join()
        self._watch_task = self._loop.spawn(self.watcher.run, name="settings")
        deadline_us = self._loop.now() + FIRST_ANSWER_TIMEOUT_US
        while self._loop.now() < deadline_us and not self.is_up_to_date:
            self._loop.sleep(10_000)

    def stop(self) -> None:
        """Stop watching, and write the applied table if it isn't on disk yet."""
        self.watcher.stop()
        if self._validation is not None:
            self._validation.cancel()
        if self._writer is not None:
            self._writer.cancel()
        self._write()

    # Changes. `_on_outcome` is called after a watch response; the next request acknowledges it

    def _on_outcome(self, outcome: ApplyOutcome) -> None:
        self._must_validate_all |= outcome.is_replaced
        self._changed_keys.update(mutation.key for change in outcome.changes for mutation in change.mutations)
        self._changed_keys.update(outcome.repaired_keys)
        if outcome.repaired_keys:
            self._written_revision = 0  # what was written may have been wrong, too
        if self._validation is not None:
            return  # the running validation includes these
        if self._must_validate_all:
            self._validation = self._loop.spawn(self._validate_all, name="validate settings")
        else:
            self._apply()

    def _validate_all(self) -> None:
        """Validate all functions of a replaced table, a few at a time."""
        try:
            while self._must_validate_all:
                self._must_validate_all = False
                entries = self.watch_state.store.entries
                self._function_count, self._errors_by_key = self._validate_entries(entries)
                self._validated_entries = entries
        finally:
            self._validation = None
        self._apply()

    def _validate_entries(self, entries: Map[str, Entry]) -> tuple[int, dict[str, str]]:
        """Return the number of functions, and the errors of those that can't be applied."""
        count = 0
        errors: dict[str, str] = {}
        applied_entries = self._functions.entries
        for key, entry in entries.items():
            if not key.startswith(FUNCTION_PREFIX):
                continue
            count += 1
            if count % VALIDATION_BATCH == 0:
                self._loop.yield_now()
                if self._must_validate_all:
                    break  # the table was replaced again
            applied_entry = applied_entries.get(key)
            if applied_entry is not None and applied_entry.value == entry.value:
                continue
            error = self._validation_error(entry)
            if error:
                errors[key] = error
        return count, errors

    def _validation_error(self, entry: Entry) -> str:
        """Return why the front end can't apply an entry, "" if it can."""
        try:
            self._functions.decode(entry.key[len(FUNCTION_PREFIX) :], entry)
        except ValueError as error:
            return str(error)
        return ""

    def _apply(self) -> None:
        """Validate what has changed since `_validated_entries`, and apply the revision if it is valid."""
        table = self.watch_state.store
        for key in self._changed_keys:
            if key.startswith(FUNCTION_PREFIX):
                self._validate_key(key, table.entries.get(key))
        self._changed_keys.clear()
        self._validated_entries = table.entries
        if self._errors_by_key:
            self._report_blocked(table.revision)
            return
        if self._validated_entries is not self._functions.entries:
            self._functions.replace_all(self._validated_entries, self._function_count)
        if table.revision > self.watch_state.applied_revision:
            self.watch_state.mark_applied(table.revision)
            self._reported_reason = ""
            self._log.info("config_applied", revision=table.revision, functions=self._function_count)
        if table.revision > self._written_revision:
            self._schedule_write(table)

    def _validate_key(self, key: str, entry: Entry | None) -> None:
        self._function_count += (entry is not None) - (key in self._validated_entries)
        error = self._validation_error(entry) if entry is not None else ""
        if error:
            self._errors_by_key[key] = error
        else:
            self._errors_by_key.pop(key, None)

    def _report_blocked(self, revision: int) -> None:
        reason = next(iter(self._errors_by_key.values()))[:MAX_REASON_CHARS]
        if len(self._errors_by_key) > 1:
            reason += f"; and {len(self._errors_by_key) - 1} more"
        self.watch_state.mark_blocked(revision, reason)
        if reason != self._reported_reason:
            self._reported_reason = reason
            applied = self.watch_state.applied_revision
            self._log.warning("config_blocked", revision=revision, reason=reason, applied_revision=applied)

    # On disk, for a start without relays

    def _load_cache(self, member: str, incarnation: str) -> WatchState:
        now = self._loop.now()
        remove_leftovers(self._cache_file)
        try:
            return WatchState.restore(self._cache_file.read_bytes(), member, incarnation, now)
        except FileNotFoundError:
            pass
        except (OSError, InvalidSnapshotError) as error:
            self._log.warning("config_cache_ignored", file=self._cache_file.name, error=str(error))
        return WatchState(member, incarnation, now)

    def _schedule_write(self, table: ConfigStore) -> None:
        """Write the table's present state later. A shallow copy is enough: changes replace its attributes."""
        self._applied_table = copy.copy(table)
        if self._writer is None:
            self._writer = self._loop.spawn(self._write_pending, name="write settings")

    def _write_pending(self) -> None:
        """Write until nothing is left, at most once each WRITE_INTERVAL_US."""
        try:
            while (delay_us := self._write()) is not None:
                self._loop.sleep(delay_us)
        finally:
            self._writer = None

    def _write(self) -> int | None:
        """Write the table; return the wait until the next write, None if there was nothing to write.

        A failed write is logged: until the next one a start may need the relays.
        """
        table = self._applied_table
        if table is None or table.revision <= self._written_revision:
            return None
        try:
            self._loop.run_blocking(_write_snapshot, self._cache_file, table)
        except OSError as error:
            self._log.warning("config_cache_write_failed", error=str(error))
            return WRITE_RETRY_US
        self._written_revision = table.revision
        return WRITE_INTERVAL_US


def _write_snapshot(path: Path, table: ConfigStore) -> None:
    replace_file(path, table.snapshot())


def _address_getter(address: str) -> Callable[[], tuple[str, int]]:
    return lambda: parse_address(address)
