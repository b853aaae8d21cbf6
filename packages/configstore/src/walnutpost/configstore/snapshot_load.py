"""A load in progress: a full snapshot, or the repair of some digest buckets. No I/O.

Pages may come from several servers at several revisions. Replaying the change sets after the lowest of
these revisions over the pages results in one consistent state.
"""

from __future__ import annotations

from collections.abc import Set

from msgspec import structs

from walnutpost.configstore.digests import bucket_of
from walnutpost.configstore.messages import ChangeSet, Entry, WatchRequest, WatchResponse
from walnutpost.configstore.store import ConfigStore


class StoreLoad:
    """Entries that are collected beside the store until they are complete and can replace it.

    A snapshot starts without entries (`start_snapshot`), a repair with those of the store (`start_repair`).

    `is_snapshot`: all entries are loaded; otherwise the buckets in `repaired_buckets`.
    `after_key`: the last key received of a snapshot, None once all pages have arrived.
    `base_revision`: the lowest revision of the pages, 0 before the first.
    `replayed_revision`: change sets are replayed up to here.
    `log_start_revision`: `changes` has all change sets after it.
    `target_revision`: the highest revision seen; the load is not complete before it is reached.
    `committed_digests`: the digests of the committed store by revision that servers have reported.
    """

    def __init__(self, store: ConfigStore, is_snapshot: bool) -> None:
        self.is_snapshot = is_snapshot
        self.entries: dict[str, Entry] = {} if is_snapshot else dict(store.entries)
        self.after_key: str | None = "" if is_snapshot else None
        self.base_revision = 0 if is_snapshot else store.revision
        self.replayed_revision = store.revision
        self.log_start_revision = store.revision
        self.target_revision = store.revision
        self.wants_bucket_digests = False
        self.wanted_buckets: set[int] = set()
        self.repaired_buckets: set[int] = set()
        self.changes: list[ChangeSet] = []
        self.committed_digests = {store.revision: store.digest}

    @classmethod
    def start_snapshot(cls, store: ConfigStore) -> StoreLoad:
        """Start to load all entries."""
        return cls(store, is_snapshot=True)

    @classmethod
    def start_repair(cls, store: ConfigStore, buckets: Set[int]) -> StoreLoad:
        """Start to load these digest buckets; without any, the digests of all buckets are requested first."""
        load = cls(store, is_snapshot=False)
        load.wanted_buckets = set(buckets)
        load.repaired_buckets = set(buckets)
        load.wants_bucket_digests = not buckets
        return load

    @property
    def has_all_pages(self) -> bool:
        """Whether all pages have arrived and only change sets are still missing."""
        return self.after_key is None and not self.wants_bucket_digests and not self.wanted_buckets

    @property
    def is_complete(self) -> bool:
        """Whether the entries are one consistent state, at `replayed_revision`."""
        return self.has_all_pages and self.replayed_revision >= self.target_revision

    def amend(self, request: WatchRequest) -> WatchRequest:
        """Return the request with what this load needs next."""
        if self.wants_bucket_digests:
            return structs.replace(request, wants_bucket_digests=True)
        if self.wanted_buckets:
            return structs.replace(request, wanted_buckets=tuple(sorted(self.wanted_buckets)))
        if self.after_key is not None:
            return structs.replace(request, after_key=self.after_key, base_revision=self.base_revision)
        return structs.replace(
            request, revision=self.replayed_revision, digest=0, base_revision=max(1, self.base_revision)
        )

    def record_position(self, page: WatchResponse) -> None:
        """Note the revision and digest of the server that sent a page."""
        self.target_revision = max(self.target_revision, page.revision)
        self.committed_digests[page.revision] = page.digest

    def expects_page(self, page: WatchResponse) -> bool:
        """Whether this is the next page of the snapshot."""
        return self.after_key == page.after_key and (bool(page.entries) or page.is_last_page)

    def is_base_compacted(self, page: WatchResponse) -> bool:
        """Whether the server has compacted change sets that are needed to replay over the earlier pages."""
        return bool(self.base_revision) and page.compacted_revision > self.base_revision

    def expects_buckets(self, page: WatchResponse) -> bool:
        """Whether the page has only buckets that are still wanted, at a revision that can be replayed."""
        buckets = set(page.repaired_buckets)
        return bool(buckets) and buckets <= self.wanted_buckets and page.revision >= self.base_revision

    def expects_changes(self, page: WatchResponse) -> bool:
        """Whether the page continues the replay without a gap."""
        return self.has_all_pages and page.since_revision <= self.replayed_revision

    def add_snapshot_page(self, page: WatchResponse, store: ConfigStore) -> None:
        """Add a page; entries that are equal in `store` are shared with it, to save memory."""
        for entry in page.entries:
            present = store.entries.get(entry.key)
            self.entries[entry.key] = entry if present is None or present != entry else present
        self.base_revision = min(self.base_revision or page.revision, page.revision)
        self.record_position(page)
        self.after_key = None if page.is_last_page else page.entries[-1].key

    def add_buckets(self, page: WatchResponse) -> None:
        """Replace the entries of the page's buckets by those of the page."""
        buckets = set(page.repaired_buckets)
        for key in [key for key in self.entries if bucket_of(key) in buckets]:
            del self.entries[key]
        self.entries |= {entry.key: entry for entry in page.entries}
        self.wanted_buckets -= buckets
        self.record_position(page)

    def start_replay(self, revision: int) -> None:
        """Expect the change sets after `revision`; earlier ones are dropped."""
        self.replayed_revision = revision
        self.log_start_revision = revision
        self.changes.clear()

    def replay_page(self, page: WatchResponse) -> None:
        """Replay the change sets of the page that follow `replayed_revision`."""
        for change in page.changes:
            if change.revision > self.replayed_revision:
                self._replay(change)

    def _replay(self, change: ChangeSet) -> None:
        """Apply a change set over the pages, in order and starting at `base_revision` at the latest.

        Entries of a page that have later revisions are overwritten by the change sets that they came from.
        """
        for mutation in change.mutations:
            if mutation.value is None:
                self.entries.pop(mutation.key, None)
            else:
                self.entries[mutation.key] = Entry(mutation.key, mutation.value, change.revision)
        self.replayed_revision = change.revision
        self.committed_digests[change.revision] = change.digest
        self.changes.append(change)

    def build_store(self, previous: ConfigStore, max_log_entries: int, max_log_bytes: int) -> ConfigStore:
        """Return a store with the loaded entries; the log of a repair continues that of `previous`.

        `max_log_entries`: 0 for a store without a log.
        """
        log = self.changes
        compacted_revision = self.log_start_revision
        if not self.is_snapshot:
            compacted_revision = previous.compacted_revision
            log = [*(previous.changes_since(compacted_revision) or ()), *log]
        if not max_log_entries:
            log = []
            compacted_revision = self.replayed_revision
        return type(previous).from_entries(
            self.entries, self.replayed_revision, log, compacted_revision, max_log_entries, max_log_bytes
        )

    def has_committed_digest(self, store: ConfigStore) -> bool:
        """Whether a server has reported the digest of `store` as the committed one at its revision."""
        return store.digest == self.committed_digests.get(store.revision)

    def repaired_keys(self, previous: ConfigStore, loaded: ConfigStore) -> tuple[str, ...]:
        """Return the keys of the repaired buckets whose entries differ without a change set, sorted."""
        changed = {mutation.key for change in self.changes for mutation in change.mutations}
        candidates = {*previous.entries, *loaded.entries} - changed
        return tuple(
            sorted(
                key
                for key in candidates
                if bucket_of(key) in self.repaired_buckets
                and previous.entries.get(key) != loaded.entries.get(key)
            )
        )
