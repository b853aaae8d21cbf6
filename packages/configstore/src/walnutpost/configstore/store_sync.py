"""Synchronisation of a watcher's store: change sets, repairs and snapshots from the pages of servers. No I/O.

Invariants:
- The store is replaced or changed atomically, and only by a state whose digest is the committed one.
- The store's revision never decreases.
- A page that does not answer the last request (late, duplicated, or from a server that is behind) changes
  nothing.
"""

from __future__ import annotations

from walnutpost.configstore.digest_check import DigestChecks
from walnutpost.configstore.digests import DIGEST_BUCKETS, differing_buckets
from walnutpost.configstore.errors import DigestMismatchError, OutOfOrderError
from walnutpost.configstore.messages import ChangeSet, WatchResponse
from walnutpost.configstore.outcome import ApplyOutcome, SyncEvent, SyncEventKind
from walnutpost.configstore.snapshot_load import StoreLoad
from walnutpost.configstore.store import ConfigStore

MAX_REPAIR_BUCKETS = 64
"""If more buckets differ, the full snapshot is loaded, which is not much larger."""
MAX_FAILED_LOADS = 2
"""Consecutive failed loads after which the full snapshot is loaded."""


class StoreSync:
    """A store, and the load in progress that will replace it.

    `store`: at one committed revision; it starts empty.
    `load`: None while change sets are applied to the store directly.
    `max_log_entries`, `max_log_bytes`: limits of the store's log, 0 for a store without one. With a snapshot
    the log is loaded too.
    """

    def __init__(self, max_log_entries: int, max_log_bytes: int) -> None:
        self.store = ConfigStore(max_log_entries, max_log_bytes)
        self.load: StoreLoad | None = None
        self._max_log_entries = max_log_entries
        self._max_log_bytes = max_log_bytes
        self._failed_loads = 0
        self._digest_checks = DigestChecks()

    @property
    def is_verifying(self) -> bool:
        """Whether a digest check is in progress: `verify` should be called again soon."""
        return self._digest_checks.is_running

    def handle_page(self, page: WatchResponse) -> ApplyOutcome:
        """Handle the page of a response."""
        if page.is_snapshot:
            return self._handle_snapshot_page(page)
        if page.is_repair:
            return self._handle_repair(page)
        if page.bucket_digests:
            return self._handle_bucket_digests(page)
        return self._handle_changes(page)

    def verify(self, now: int, max_entries: int) -> ApplyOutcome:
        """Advance the digest check by up to `max_entries`; buckets that differ are loaded again."""
        if self.load is not None:
            return ApplyOutcome()
        differing = self._digest_checks.advance(now, self.store, max_entries)
        if not differing:
            return ApplyOutcome()
        return ApplyOutcome(events=(_diverged(self._start_repair(differing)),))

    def _handle_changes(self, page: WatchResponse) -> ApplyOutcome:
        load = self.load
        if load is not None:
            if not load.expects_changes(page):
                return ApplyOutcome()
            load.replay_page(page)
            return self._finish_load(load)
        if page.since_revision > self.store.revision:
            return ApplyOutcome()  # requested with a newer store: change sets in between are missing
        applied: list[ChangeSet] = []
        for change in page.changes:
            try:
                self.store.apply(change)
            except OutOfOrderError:
                continue
            except DigestMismatchError as error:
                # Either this store has changed in memory since the last check, or the server's is wrong.
                repair = self._start_repair(
                    differing_buckets(self.store.compute_bucket_digests(), self.store.bucket_digests())
                )
                return ApplyOutcome(tuple(applied), events=(_diverged(f"{error}; {repair}"),))
            applied.append(change)
        return ApplyOutcome(tuple(applied))

    def _handle_bucket_digests(self, page: WatchResponse) -> ApplyOutcome:
        load, store = self.load, self.store
        if load is None:
            is_answer = page.revision == store.revision and page.digest != store.digest
        else:
            is_answer = load.wants_bucket_digests and page.revision >= store.revision
        if not is_answer:
            return ApplyOutcome()
        detail = self._start_repair(differing_buckets(store.compute_bucket_digests(), page.bucket_digests))
        load = self.load
        assert load is not None
        if load.wants_bucket_digests:
            # No bucket differs: only the sums do that change sets have updated, here or at the server.
            load.wants_bucket_digests = False
            detail = f"digest {store.digest:016x} at revision {store.revision}, no bucket differs"
        events = (_diverged(detail),)
        if load.is_snapshot:
            return ApplyOutcome(events=events)
        load.record_position(page)
        return self._finish_load(load, events)

    def _handle_repair(self, page: WatchResponse) -> ApplyOutcome:
        load = self.load
        if load is None or not load.expects_buckets(page):
            return ApplyOutcome()
        load.add_buckets(page)
        return self._finish_load(load)

    def _handle_snapshot_page(self, page: WatchResponse) -> ApplyOutcome:
        load = self.load
        if load is None or load.after_key is None:
            return self._handle_first_page(page)
        if not load.expects_page(page):
            return ApplyOutcome()
        if load.is_base_compacted(page):
            self._start_snapshot_load()
            detail = (
                f"compacted revision {page.compacted_revision} has passed the pages loaded, starting over"
            )
            return ApplyOutcome(events=(SyncEvent(SyncEventKind.SNAPSHOT_REQUESTED, detail),))
        return self._add_snapshot_page(load, page)

    def _handle_first_page(self, page: WatchResponse) -> ApplyOutcome:
        """Start a load if the server has compacted the change sets that are needed."""
        load = self.load
        revision = self.store.revision if load is None else load.replayed_revision
        if page.after_key != "" or page.compacted_revision <= revision:
            return ApplyOutcome()
        if load is not None and load.is_snapshot and page.compacted_revision <= load.base_revision:
            # A server with a shorter log than the one before: enough to continue from the pages.
            load.start_replay(page.compacted_revision)
            return ApplyOutcome()
        detail = f"revision {revision} is below compacted revision {page.compacted_revision}"
        event = SyncEvent(SyncEventKind.SNAPSHOT_REQUESTED, detail)
        return self._add_snapshot_page(self._start_snapshot_load(), page, (event,))

    def _add_snapshot_page(
        self, load: StoreLoad, page: WatchResponse, events: tuple[SyncEvent, ...] = ()
    ) -> ApplyOutcome:
        load.add_snapshot_page(page, self.store)
        if not page.is_last_page:
            return ApplyOutcome(events=events)
        # Change sets from before the pages do not change the entries; they fill a relay's log.
        load.start_replay(page.compacted_revision if self._max_log_entries else load.base_revision)
        return self._finish_load(load, events)

    def _start_repair(self, buckets: set[int]) -> str:
        """Load these buckets, or request the bucket digests if there are none; return a description."""
        place = f"{len(buckets)} of {DIGEST_BUCKETS} buckets differ at revision {self.store.revision}"
        if len(buckets) > MAX_REPAIR_BUCKETS or self._failed_loads >= MAX_FAILED_LOADS:
            self._start_snapshot_load()
            return f"{place}, loading a snapshot"
        self.load = StoreLoad.start_repair(self.store, buckets)
        if not buckets:
            return "requesting the bucket digests"
        return f"{place}, loading them"

    def _start_snapshot_load(self) -> StoreLoad:
        load = self.load = StoreLoad.start_snapshot(self.store)
        self._digest_checks.cancel()
        return load

    def _finish_load(self, load: StoreLoad, events: tuple[SyncEvent, ...] = ()) -> ApplyOutcome:
        """Replace the store by a complete load, if its digest is the committed one.

        This method alone replaces the store.
        """
        if not load.is_complete:
            return ApplyOutcome(events=events)
        loaded = load.build_store(self.store, self._max_log_entries, self._max_log_bytes)
        self.load = None
        self._digest_checks.cancel()
        if not load.has_committed_digest(loaded):
            return self._reject_load(load, events)
        self._failed_loads = 0
        previous, self.store = self.store, loaded
        if load.is_snapshot:
            detail = f"{len(loaded.entries)} keys at revision {loaded.revision}"
            loaded_event = SyncEvent(SyncEventKind.SNAPSHOT_LOADED, detail)
            return ApplyOutcome(is_store_replaced=True, events=(*events, loaded_event))
        repaired = load.repaired_keys(previous, loaded)
        detail = f"{len(repaired)} keys in {len(load.repaired_buckets)} buckets at revision {loaded.revision}"
        repaired_event = SyncEvent(SyncEventKind.REPAIRED, detail)
        return ApplyOutcome(tuple(load.changes), repaired_keys=repaired, events=(*events, repaired_event))

    def _reject_load(self, load: StoreLoad, events: tuple[SyncEvent, ...]) -> ApplyOutcome:
        self._failed_loads += 1
        if load.is_snapshot or self._failed_loads >= MAX_FAILED_LOADS:
            self._start_snapshot_load()
        loaded = "the snapshot" if load.is_snapshot else f"{len(load.repaired_buckets)} buckets"
        event = _diverged(f"{loaded} loaded, not as committed at revision {load.replayed_revision}")
        return ApplyOutcome(events=(*events, event), is_inconsistent=True)


def _diverged(detail: str) -> SyncEvent:
    return SyncEvent(SyncEventKind.DIVERGED, detail)
