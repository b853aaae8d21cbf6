"""The watching side of a watch: requests, the handling of responses, and the member's own progress. No I/O.

Invariants:
- The store is replaced or changed atomically, and only by a state whose digest is the committed one.
- The store's revision and `applied_revision` never decrease.
- A response that does not answer the last request (late, duplicated, or from a server that is behind)
  changes nothing.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from typing import NamedTuple

from walnutpost.configstore.digest_check import DigestCheck
from walnutpost.configstore.digests import DIGEST_BUCKETS, bucket_of, differing_buckets
from walnutpost.configstore.errors import DigestMismatchError, InvalidRevisionError, OutOfOrderError
from walnutpost.configstore.messages import ChangeSet, WatchRequest, WatchResponse
from walnutpost.configstore.outcome import ApplyOutcome, SyncEvent, SyncEventKind
from walnutpost.configstore.snapshot_load import SnapshotLoad
from walnutpost.configstore.store import ConfigStore

STALE_AFTER_US = 9_000_000
"""A watcher without confirmation by a leader for longer may operate by an outdated configuration."""
VERIFY_INTERVAL_US = 5_000_000
"""Least time between two digest checks while changes arrive."""
VERIFY_BATCH_ENTRIES = 2000
"""Entries read by one step of a digest check: one or two milliseconds."""
MAX_REPAIR_BUCKETS = 64
"""Where more buckets differ the full snapshot is loaded, which is not much more."""
MAX_FAILED_REPAIRS = 2
"""Consecutive failed loads after which the full snapshot is loaded."""


class _CheckedPosition(NamedTuple):
    """When the last digest check began, and what it checked."""

    began_us: int
    store_id: int
    revision: int


class WatchState:
    """One watcher's store and progress.

    `store`: at one committed revision.
    `applied_revision`: the revision that the member operates by.
    `blocked_reason`: why a newer revision could not be applied, or empty.
    `session`: counts the changes of the server.
    """

    def __init__(
        self,
        member: str,
        incarnation: str,
        now: int = 0,
        max_log_entries: int = 0,
        max_log_bytes: int = 0,
    ) -> None:
        """Create the state of a watcher with an empty store.

        `member`: empty for a watcher that is not registered, as a relay.
        `now`: `is_stale` counts from it.
        `max_log_entries`, `max_log_bytes`: the log that a relay has for its own watchers; with a snapshot it
        then loads the log too, so that they continue from where they are.
        """
        self.member = member
        self.incarnation = incarnation
        self.store = ConfigStore(max_log_entries, max_log_bytes)
        self.applied_revision = 0
        self.session = 0
        self.blocked_reason = ""
        self._max_log_entries = max_log_entries
        self._max_log_bytes = max_log_bytes
        self._confirmed_at_us = now
        self._load: SnapshotLoad | None = None
        self._failed_repairs = 0
        self._digest_check: DigestCheck | None = None
        self._last_check: _CheckedPosition | None = None

    @classmethod
    def restore(
        cls,
        data: bytes,
        member: str,
        incarnation: str,
        now: int = 0,
        max_log_entries: int = 0,
        max_log_bytes: int = 0,
    ) -> WatchState:
        """Create a state with a store from `snapshot`.

        Raises InvalidSnapshotError; the caller then begins with an empty store, and a snapshot is loaded.
        """
        state = cls(member, incarnation, now, max_log_entries, max_log_bytes)
        state.store = ConfigStore.restore(data, max_log_entries, max_log_bytes)
        return state

    def snapshot(self) -> bytes:
        """Return the store's snapshot, for a cache on disk."""
        return self.store.snapshot()

    @property
    def is_loading(self) -> bool:
        """Whether a snapshot or a repair is in progress."""
        return self._load is not None

    # Requests

    def next_request(self, wait_timeout_us: int) -> WatchRequest:
        """Return the next request, which also reports this member's progress."""
        request = WatchRequest(
            self.member,
            self.incarnation,
            self.session,
            self.store.revision,
            self.applied_revision,
            self.store.digest,
            wait_timeout_us,
            self.blocked_reason,
        )
        if self._load is None:
            return request
        return self._load.amend(request)

    def server_changed(self) -> None:
        """Record that the next request goes to another server."""
        self.session += 1

    # Responses

    def handle_response(self, now: int, page: WatchResponse | None, age_us: int | None) -> ApplyOutcome:
        """Handle the response to the last request.

        `page`: None where there was nothing newer. `age_us`: time since a leader last confirmed that the
        server is current, None where none ever did.
        """
        if age_us is not None:
            self._confirmed_at_us = max(self._confirmed_at_us, now - age_us)
        if page is None:
            return ApplyOutcome()
        if page.is_snapshot:
            return self._handle_snapshot_page(page)
        if page.is_repair:
            return self._handle_repair(page)
        if page.bucket_digests:
            return self._handle_bucket_digests(page)
        return self._handle_changes(page)

    def is_stale(self, now: int) -> bool:
        """Whether no leader has confirmed the store within STALE_AFTER_US."""
        return now - self._confirmed_at_us > STALE_AFTER_US

    # The member's progress

    def mark_applied(self, revision: int) -> None:
        """Record that the member operates by `revision`, and does nothing by an older one any more.

        Raises InvalidRevisionError where the store has not reached it.
        """
        if revision > self.store.revision:
            raise InvalidRevisionError(revision, self.store.revision)
        if revision > self.applied_revision:
            self.applied_revision = revision
            self.blocked_reason = ""

    def mark_blocked(self, revision: int, reason: str) -> None:
        """Record that the member cannot apply `revision`, and goes on with the one applied before."""
        if revision > self.applied_revision:
            self.blocked_reason = reason

    # Change sets

    def _handle_changes(self, page: WatchResponse) -> ApplyOutcome:
        if self._load is not None:
            return self._replay_changes(self._load, page)
        if page.since_revision > self.store.revision:
            return ApplyOutcome()  # requested with a newer store: change sets in between are missing
        applied: list[ChangeSet] = []
        for change in page.changes:
            try:
                self.store.apply(change)
            except OutOfOrderError:
                continue
            except DigestMismatchError as error:
                # Either this store is not what it was when it was last compared, or the server's is wrong.
                repair = self._start_repair(
                    differing_buckets(self.store.compute_bucket_digests(), self.store.bucket_digests())
                )
                return ApplyOutcome(tuple(applied), events=(_diverged(f"{error}; {repair}"),))
            applied.append(change)
        return ApplyOutcome(tuple(applied))

    def _replay_changes(self, load: SnapshotLoad, page: WatchResponse) -> ApplyOutcome:
        if not load.is_replaying or page.since_revision > load.replayed_revision:
            return ApplyOutcome()
        for change in page.changes:
            if change.revision > load.replayed_revision:
                load.replay(change)
        return self._finish_load(load)

    # Repairs

    def _start_repair(self, buckets: set[int]) -> str:
        """Load these buckets, or request the bucket digests where none is given; return a description."""
        place = f"{len(buckets)} of {DIGEST_BUCKETS} buckets differ at revision {self.store.revision}"
        if len(buckets) > MAX_REPAIR_BUCKETS or self._failed_repairs >= MAX_FAILED_REPAIRS:
            self._start_snapshot_load()
            return f"{place}, loading a snapshot"
        load = self._load = SnapshotLoad(self.store, is_snapshot=False)
        load.wanted_buckets = set(buckets)
        load.repaired_buckets = set(buckets)
        load.wants_bucket_digests = not buckets
        if not buckets:
            return "requesting the bucket digests"
        return f"{place}, loading them"

    def _handle_bucket_digests(self, page: WatchResponse) -> ApplyOutcome:
        load, store = self._load, self.store
        if load is None:
            is_answer = page.revision == store.revision and page.digest != store.digest
        else:
            is_answer = load.wants_bucket_digests and page.revision >= store.revision
        if not is_answer:
            return ApplyOutcome()
        detail = self._start_repair(differing_buckets(store.compute_bucket_digests(), page.bucket_digests))
        load = self._load
        assert load is not None
        if (
            load.wants_bucket_digests
        ):  # still: only the sums differ that were updated by changes, here or there
            load.wants_bucket_digests = False
            detail = f"digest {store.digest:016x} at revision {store.revision}, no bucket differs"
        events = (_diverged(detail),)
        if load.is_snapshot:
            return ApplyOutcome(events=events)
        load.record_position(page)
        return self._finish_load(load, events)

    def _handle_repair(self, page: WatchResponse) -> ApplyOutcome:
        load = self._load
        buckets = set(page.repaired_buckets)
        if load is None or not buckets or not buckets <= load.wanted_buckets:
            return ApplyOutcome()
        if page.revision < load.base_revision:
            return ApplyOutcome()
        load.add_buckets(page)
        return self._finish_load(load)

    # Snapshots

    def _start_snapshot_load(self) -> SnapshotLoad:
        load = self._load = SnapshotLoad(self.store, is_snapshot=True)
        self._digest_check = None
        return load

    def _handle_snapshot_page(self, page: WatchResponse) -> ApplyOutcome:
        load = self._load
        if load is None or load.after_key is None:
            return self._handle_first_page(page)
        if load.after_key != page.after_key or (not page.entries and not page.is_last_page):
            return ApplyOutcome()
        if load.base_revision and page.compacted_revision > load.base_revision:
            self._start_snapshot_load()
            detail = (
                f"compacted revision {page.compacted_revision} has passed the pages loaded, starting over"
            )
            return ApplyOutcome(events=(SyncEvent(SyncEventKind.SNAPSHOT_REQUESTED, detail),))
        return self._add_snapshot_page(load, page)

    def _handle_first_page(self, page: WatchResponse) -> ApplyOutcome:
        """Start a load where the server has compacted the change sets that are needed."""
        load = self._load
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
        self, load: SnapshotLoad, page: WatchResponse, events: tuple[SyncEvent, ...] = ()
    ) -> ApplyOutcome:
        load.add_snapshot_page(page, self.store)
        if not page.is_last_page:
            return ApplyOutcome(events=events)
        # Change sets from before the pages change nothing of the state, and fill a relay's log.
        load.start_replay(page.compacted_revision if self._max_log_entries else load.base_revision)
        return self._finish_load(load, events)

    # The end of a load

    def _finish_load(self, load: SnapshotLoad, events: tuple[SyncEvent, ...] = ()) -> ApplyOutcome:
        """Replace the store by a complete load, if its digest is the committed one.

        This is the only place where another store is put in place.
        """
        if not load.is_complete:
            return ApplyOutcome(events=events)
        loaded = self._build_store(load)
        self._load = None
        self._digest_check = None
        if not self._has_committed_digest(load, loaded):
            return self._reject_load(load, events)
        self._failed_repairs = 0
        previous, self.store = self.store, loaded
        if load.is_snapshot:
            detail = f"{len(loaded.entries)} keys at revision {loaded.revision}"
            loaded_event = SyncEvent(SyncEventKind.SNAPSHOT_LOADED, detail)
            return ApplyOutcome(is_replaced=True, events=(*events, loaded_event))
        repaired = _repaired_keys(load, previous, loaded)
        detail = f"{len(repaired)} keys in {len(load.repaired_buckets)} buckets at revision {loaded.revision}"
        repaired_event = SyncEvent(SyncEventKind.REPAIRED, detail)
        return ApplyOutcome(tuple(load.changes), repaired_keys=repaired, events=(*events, repaired_event))

    def _build_store(self, load: SnapshotLoad) -> ConfigStore:
        log = load.changes
        compacted_revision = load.log_start_revision
        if not load.is_snapshot:
            compacted_revision = self.store.compacted_revision
            log = [*(self.store.changes_since(compacted_revision) or ()), *log]
        if not self._max_log_entries:
            log = []
            compacted_revision = load.replayed_revision
        return type(self.store).from_entries(
            load.entries,
            load.replayed_revision,
            log,
            compacted_revision,
            self._max_log_entries,
            self._max_log_bytes,
        )

    def _reject_load(self, load: SnapshotLoad, events: tuple[SyncEvent, ...]) -> ApplyOutcome:
        self._failed_repairs += 1
        if load.is_snapshot or self._failed_repairs >= MAX_FAILED_REPAIRS:
            self._start_snapshot_load()
        loaded = "the snapshot" if load.is_snapshot else f"{len(load.repaired_buckets)} buckets"
        event = _diverged(f"{loaded} loaded, not as committed at revision {load.replayed_revision}")
        return ApplyOutcome(events=(*events, event), is_inconsistent=True)

    @staticmethod
    def _has_committed_digest(load: SnapshotLoad, store: ConfigStore) -> bool:
        return store.digest == load.committed_digests.get(store.revision)

    # Digest checks

    @property
    def is_verifying(self) -> bool:
        """Whether a digest check is in progress: `verify` should be called again soon."""
        return self._digest_check is not None

    def verify(self, now: int, max_entries: int = VERIFY_BATCH_ENTRIES) -> ApplyOutcome:
        """Advance the digest check by up to `max_entries`; a difference is loaded again.

        To be called after each response, and again while `is_verifying`. A check begins after a change, at
        most once in VERIFY_INTERVAL_US.
        """
        if self._load is not None or not self._begin_check_if_due(now):
            return ApplyOutcome()
        assert self._digest_check is not None
        differing = self._digest_check.advance(max_entries)
        if differing is None:
            return ApplyOutcome()
        self._digest_check = None
        if not differing:
            return ApplyOutcome()
        return ApplyOutcome(events=(_diverged(self._start_repair(differing)),))

    def _begin_check_if_due(self, now: int) -> bool:
        """Return whether a check is in progress."""
        if self._digest_check is not None:
            return True
        store, last = self.store, self._last_check
        if last is not None:
            is_unchanged = (last.store_id, last.revision) == (store.store_id, store.revision)
            if now - last.began_us < VERIFY_INTERVAL_US or is_unchanged:
                return False
        self._last_check = _CheckedPosition(now, store.store_id, store.revision)
        self._digest_check = DigestCheck(store)
        return True


def _diverged(detail: str) -> SyncEvent:
    return SyncEvent(SyncEventKind.DIVERGED, detail)


def _repaired_keys(load: SnapshotLoad, previous: ConfigStore, loaded: ConfigStore) -> tuple[str, ...]:
    """Return the keys of the repaired buckets whose entries differ for no change set's sake, sorted."""
    changed = {mutation.key for change in load.changes for mutation in change.mutations}
    candidates = {*previous.entries, *loaded.entries} - changed
    return tuple(
        sorted(
            key
            for key in candidates
            if bucket_of(key) in load.repaired_buckets
            and previous.entries.get(key) != loaded.entries.get(key)
        )
    )
