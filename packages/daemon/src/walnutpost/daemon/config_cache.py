"""A file with the last applied configuration, for a start while no relay is reachable."""

from __future__ import annotations

import copy
from pathlib import Path

from walnutpost.configstore import ConfigStore, InvalidSnapshotError, WatchState
from walnutpost.eventloop import Logger, Loop, Task, remove_temporary_files, replace_file

US_PER_S = 1_000_000
WRITE_INTERVAL_US = 30 * US_PER_S  # between writes: 38,000 functions take 80 ms of a core
WRITE_RETRY_INTERVAL_US = US_PER_S  # after a failed write


class ConfigCache:
    """Writes the configuration store to a file, at most once per WRITE_INTERVAL_US.

    A failed write is logged and retried. Until the retry succeeds, a start may need the relays.
    """

    def __init__(self, loop: Loop, path: Path, log: Logger) -> None:
        self._loop = loop
        self._path = path
        self._log = log
        self._pending: ConfigStore | None = None
        self._written_revision = 0
        self._writer: Task[None] | None = None

    def load(self, member: str, incarnation: str) -> WatchState:
        """Return a watch state restored from the file, or an empty one if the file is missing or invalid.

        An invalid file is logged.
        """
        now = self._loop.now()
        remove_temporary_files(self._path)
        try:
            state = WatchState.restore(self._path.read_bytes(), member, incarnation, now)
        except FileNotFoundError:
            return WatchState(member, incarnation, now)
        except (OSError, InvalidSnapshotError) as error:
            self._log.warning("config_cache_ignored", file=self._path.name, error=str(error))
            return WatchState(member, incarnation, now)
        self._written_revision = state.store.revision
        return state

    def mark_outdated(self) -> None:
        """Let the next `schedule_write` rewrite the file's revision too, as its entries may be wrong."""
        self._written_revision = 0

    def schedule_write(self, store: ConfigStore) -> None:
        """Write the current state of the store in a separate task, if the file has an older revision."""
        if store.revision <= self._written_revision:
            return
        self._pending = copy.copy(store)  # a shallow copy is enough: changes replace its attributes
        if self._writer is None:
            self._writer = self._loop.spawn(self._write_pending, name="write settings")

    def close(self) -> None:
        """Write any pending state; nothing is written after this."""
        if self._writer is not None:
            self._writer.cancel()
        self.write()

    def _write_pending(self) -> None:
        """Write until no state is pending."""
        try:
            while (delay_us := self.write()) is not None:
                self._loop.sleep(delay_us)
        finally:
            self._writer = None

    def write(self) -> int | None:
        """Write the pending state now.

        Return the delay in microseconds until the next write, or None if nothing was pending.
        """
        store = self._pending
        if store is None or store.revision <= self._written_revision:
            return None
        try:
            self._loop.run_blocking(write_snapshot, self._path, store)
        except OSError as error:
            self._log.warning("config_cache_write_failed", error=str(error))
            return WRITE_RETRY_INTERVAL_US
        self._written_revision = store.revision
        return WRITE_INTERVAL_US


def write_snapshot(path: Path, store: ConfigStore) -> None:
    """Replace a cache file with a snapshot of the store."""
    replace_file(path, store.snapshot())
