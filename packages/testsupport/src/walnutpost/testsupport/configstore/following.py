"""A watcher that follows a store, and the outcomes of its responses, for tests of the watching side."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.configstore import (
    ApplyOutcome,
    ConfigStore,
    WatchRequest,
    WatchResponse,
    WatchState,
    respond,
)
from walnutpost.configstore.outcome import SyncEventKind

DIVERGED, REPAIRED = SyncEventKind.DIVERGED, SyncEventKind.REPAIRED
SNAPSHOT_REQUESTED, SNAPSHOT_LOADED = SyncEventKind.SNAPSHOT_REQUESTED, SyncEventKind.SNAPSHOT_LOADED
SECOND = 1_000_000


def follow(
    watcher: WatchState,
    store: ConfigStore,
    max_bytes: int = 64 * 1024,
    between: Callable[[WatchRequest, WatchResponse], ConfigStore | None] | None = None,
) -> list[ApplyOutcome]:
    """Send requests until there is nothing newer; return the outcome of each response.

    `between`: called after each response; may return the store that answers from then on.
    """
    outcome: list[ApplyOutcome] = []
    for _ in range(10_000):
        request = watcher.next_request(SECOND)
        page = respond(store, request, max_bytes)
        if page is None:
            return outcome
        outcome.append(watcher.handle_response(0, page, 0))
        if between is not None:
            store = between(request, page) or store
    raise AssertionError(f"no end: {watcher.next_request(0)}")


def has_content_of(watcher: WatchState, store: ConfigStore) -> bool:
    """Whether the watcher's store is equal to `store`, and its digests fit its entries."""
    held = watcher.store
    assert held.compute_bucket_digests() == held.bucket_digests() or watcher.is_loading
    return (held.revision, held.digest, held.entries) == (store.revision, store.digest, store.entries)


def combined(outcome: list[ApplyOutcome]) -> ApplyOutcome:
    """Return the outcomes of several responses as one."""
    return ApplyOutcome(
        tuple(c for t in outcome for c in t.changes),
        any(t.is_store_replaced for t in outcome),
        tuple(key for t in outcome for key in t.repaired_keys),
        tuple(event for t in outcome for event in t.events),
        any(t.is_inconsistent for t in outcome),
    )


def details(outcome: ApplyOutcome, kind: SyncEventKind) -> list[str]:
    """Return the details of the events of this kind."""
    return [event.detail for event in outcome.events if event.kind is kind]


class CorruptibleStore(ConfigStore):
    """A store whose digest can be corrupted, as by a memory fault."""

    def flip_digest(self, bits: int) -> None:
        """Change these bits of the digest."""
        self._digests.digest ^= bits
