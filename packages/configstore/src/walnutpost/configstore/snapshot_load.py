"""A load in progress: a full snapshot, or the repair of some digest buckets. No I/O.

Pages may come from several servers at several revisions. The change sets from the lowest of these
revisions on, replayed over the pages, make one consistent state of them.
"""

from __future__ import annotations

from msgspec import structs

from walnutpost.configstore.digests import bucket_of
from walnutpost.configstore.messages import ChangeSet, Entry, WatchRequest, WatchResponse
from walnutpost.configstore.store import ConfigStore


class SnapshotLoad:
    """Entries that are collected beside the store until they are complete and can replace it.

    `is_snapshot`: all entries are loaded; otherwise the buckets in `repaired_buckets`.
    `after_key`: the last key received of a snapshot, None once all pages are here.
    `base_revision`: the lowest revision of the pages, 0 before the first.
    `replayed_revision`: change sets are replayed up to here.
    `log_start_revision`: `changes` has all change sets after it.
    `target_revision`: the highest revision seen; the load is not complete before it is reached.
    `committed_digests`: the digest of the committed store by revision, as far as servers have reported it.
    """

    def __init__(self, store: ConfigStore, is_snapshot: bool) -> None:
        """Start a snapshot from nothing, or a repair from the entries of `store`."""
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

    @property
    def is_replaying(self) -> bool:
        """Whether all pages are here and only change sets are still missing."""
        return self.after_key is None and not self.wants_bucket_digests and not self.wanted_buckets

    @property
    def is_complete(self) -> bool:
        """Whether the entries are one consistent state, at `replayed_revision`."""
        return self.is_replaying and self.replayed_revision >= self.target_revision

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

    def replay(self, change: ChangeSet) -> None:
        """Apply a change set over the pages, in order and from `base_revision` on at the latest.

        What a page has of later revisions is overwritten by the very change sets that it came from.
        """
        for mutation in change.mutations:
            if mutation.value is None:
                self.entries.pop(mutation.key, None)
            else:
                self.entries[mutation.key] = Entry(mutation.key, mutation.value, change.revision)
        self.replayed_revision = change.revision
        self.committed_digests[change.revision] = change.digest
        self.changes.append(change)
