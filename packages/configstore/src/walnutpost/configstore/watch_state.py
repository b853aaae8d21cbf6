"""The watching side of a watch: requests, the handling of responses, and the member's own progress. No I/O.

`applied_revision` never decreases. `store_sync` has the invariants of the store.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from walnutpost.configstore.errors import InvalidRevisionError
from walnutpost.configstore.messages import WatchRequest, WatchResponse
from walnutpost.configstore.outcome import ApplyOutcome
from walnutpost.configstore.store import ConfigStore
from walnutpost.configstore.store_sync import StoreSync

STALE_AFTER_US = 9_000_000
"""A watcher without confirmation by a leader for longer may operate by an outdated configuration."""
VERIFY_BATCH_ENTRIES = 2000
"""Entries read by one step of a digest check: one or two milliseconds."""


class WatchState:
    """One watcher's store and progress; the store starts empty.

    `member`: empty for a watcher that is not registered, such as a relay.
    `now`: `is_stale` counts from it.
    `max_log_entries`, `max_log_bytes`: the log that a relay has for its watchers; with a snapshot it then
    loads the log too, so that they can continue without a snapshot.
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
        self.member = member
        self.incarnation = incarnation
        self.applied_revision = 0
        self.session = 0
        self.blocked_reason = ""
        self._confirmed_at_us = now
        self._sync = StoreSync(max_log_entries, max_log_bytes)

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

    @property
    def store(self) -> ConfigStore:
        """The store at one committed revision; another object after a snapshot or a repair."""
        return self._sync.store

    @store.setter
    def store(self, store: ConfigStore) -> None:
        """Start from this store; to be called before the first request."""
        self._sync.store = store

    @property
    def is_loading(self) -> bool:
        """Whether a snapshot or a repair is in progress."""
        return self._sync.load is not None

    @property
    def is_verifying(self) -> bool:
        """Whether a digest check is in progress: `verify` should be called again soon."""
        return self._sync.is_verifying

    def snapshot(self) -> bytes:
        """Return the store's snapshot, for a cache on disk."""
        return self.store.snapshot()

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
        load = self._sync.load
        if load is None:
            return request
        return load.amend(request)

    def server_changed(self) -> None:
        """Record that the next request goes to another server."""
        self.session += 1

    def handle_response(self, now: int, page: WatchResponse | None, age_us: int | None) -> ApplyOutcome:
        """Handle the response to the last request.

        `page`: None if there was nothing newer. `age_us`: time since a leader last confirmed that the
        server is current, None if none ever did.
        """
        if age_us is not None:
            self._confirmed_at_us = max(self._confirmed_at_us, now - age_us)
        if page is None:
            return ApplyOutcome()
        return self._sync.handle_page(page)

    def verify(self, now: int, max_entries: int = VERIFY_BATCH_ENTRIES) -> ApplyOutcome:
        """Advance the digest check by up to `max_entries`; buckets that differ are loaded again.

        To be called after each response, and again while `is_verifying`. A check begins after a change, at
        most once in VERIFY_INTERVAL_US.
        """
        return self._sync.verify(now, max_entries)

    def is_stale(self, now: int) -> bool:
        """Whether no leader has confirmed the store within STALE_AFTER_US."""
        return now - self._confirmed_at_us > STALE_AFTER_US

    def mark_applied(self, revision: int) -> None:
        """Record that the member operates by `revision`, and no longer by an older one.

        Raises InvalidRevisionError if the store has not reached it.
        """
        if revision > self.store.revision:
            raise InvalidRevisionError(revision, self.store.revision)
        if revision > self.applied_revision:
            self.applied_revision = revision
            self.blocked_reason = ""

    def mark_blocked(self, revision: int, reason: str) -> None:
        """Record that the member cannot apply `revision`, and continues with the one applied before."""
        if revision > self.applied_revision:
            self.blocked_reason = reason
