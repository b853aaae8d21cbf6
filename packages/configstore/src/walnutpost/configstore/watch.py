"""The serving side of a watch: the response to a request as a function of the store. No I/O.

A watcher has no queue here: its position is in each of its requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from walnutpost.configstore.digests import DIGEST_BUCKETS, bucket_of
from walnutpost.configstore.messages import Entry, WatchRequest, WatchResponse
from walnutpost.configstore.store import ConfigStore

MAX_RESPONSE_BYTES = 64 * 1024
"""Size of one response; a single change set or digest bucket may exceed it."""
ENTRY_OVERHEAD_BYTES = 16
"""Upper bound of the encoding around an entry's key and value."""


class PendingEvents(NamedTuple):
    """The events that a request is waiting for; requests with equal ones get the same response.

    One of `since_revision` (the change sets after it), `after_key` (a page of a snapshot) and
    `wanted_buckets` (the entries of these digest buckets) is set, or none of them: bucket digests.
    """

    store_id: int
    revision: int
    since_revision: int | None = None
    after_key: str | None = None
    wanted_buckets: tuple[int, ...] = ()


def pending_events(store: ConfigStore, request: WatchRequest) -> PendingEvents | None:
    """Return the events that `store` has for a request; None if it has nothing newer and the request waits.

    A store that is behind its watcher has nothing for it: revisions never go back.
    """
    if request.revision > store.revision:
        return None
    return _requested_events(store, request) or _newer_events(store, request)


def _requested_events(store: ConfigStore, request: WatchRequest) -> PendingEvents | None:
    """Return the part of the store that a load in progress asks for, None if there is no such load."""
    if request.wanted_buckets:
        buckets = {bucket for bucket in request.wanted_buckets if 0 <= bucket < DIGEST_BUCKETS}
        return PendingEvents(store.store_id, store.revision, wanted_buckets=tuple(sorted(buckets)))
    if request.wants_bucket_digests:
        return PendingEvents(store.store_id, store.revision)
    if request.after_key is not None:
        return PendingEvents(store.store_id, store.revision, after_key=request.after_key)
    return None


def _newer_events(store: ConfigStore, request: WatchRequest) -> PendingEvents | None:
    """Return what is newer than the request's revision, or the digests if the contents differ."""
    if request.revision < store.compacted_revision:
        return PendingEvents(store.store_id, store.revision, after_key="")
    if request.revision < store.revision:
        return PendingEvents(store.store_id, store.revision, since_revision=request.revision)
    if request.digest != store.digest and not request.base_revision:
        return PendingEvents(store.store_id, store.revision)
    return None


def build_response(
    store: ConfigStore, pending: PendingEvents, max_bytes: int = MAX_RESPONSE_BYTES
) -> WatchResponse:
    """Build the response with `pending`, which must be of this store at its present revision.

    `max_bytes` is exceeded only by a single change set or a single digest bucket.
    """
    position = store.revision, store.digest, store.compacted_revision
    if pending.since_revision is not None:
        changes = store.changes_since(pending.since_revision, max_bytes) or ()
        return WatchResponse(*position, tuple(changes), since_revision=pending.since_revision)
    if pending.after_key is not None:
        following = (store.entries[key] for key in store.keys_after(pending.after_key))
        entries, is_last_page = _take_fitting(following, max_bytes)
        return WatchResponse(
            *position,
            is_snapshot=True,
            entries=entries,
            is_last_page=is_last_page,
            after_key=pending.after_key,
        )
    if pending.wanted_buckets:
        buckets, entries = _take_buckets(store, pending.wanted_buckets, max_bytes)
        return WatchResponse(*position, entries=entries, is_repair=True, repaired_buckets=buckets)
    return WatchResponse(*position, bucket_digests=store.bucket_digests())


def respond(
    store: ConfigStore, request: WatchRequest, max_bytes: int = MAX_RESPONSE_BYTES
) -> WatchResponse | None:
    """Return the response to a request, None while there is nothing newer."""
    pending = pending_events(store, request)
    if pending is None:
        return None
    return build_response(store, pending, max_bytes)


def _take_fitting(entries: Iterable[Entry], max_bytes: int) -> tuple[tuple[Entry, ...], bool]:
    """Return the first entries that fit, at least one, and whether these are all."""
    fitting: list[Entry] = []
    for entry in entries:
        max_bytes -= _encoded_size_bound(entry)
        if max_bytes < 0 and fitting:
            return tuple(fitting), False
        fitting.append(entry)
    return tuple(fitting), True


def _take_buckets(
    store: ConfigStore, wanted: tuple[int, ...], max_bytes: int
) -> tuple[tuple[int, ...], tuple[Entry, ...]]:
    """Return complete buckets that fit, at least one, and their entries.

    Reads all keys of the store: buckets are requested for repairs alone.
    """
    by_bucket: dict[int, list[Entry]] = {bucket: [] for bucket in wanted}
    for key, entry in store.entries.items():
        bucket = bucket_of(key)
        if bucket in by_bucket:
            by_bucket[bucket].append(entry)
    buckets: list[int] = []
    entries: list[Entry] = []
    for bucket in wanted:
        max_bytes -= sum(map(_encoded_size_bound, by_bucket[bucket]))
        if max_bytes < 0 and buckets:
            break
        buckets.append(bucket)
        entries += by_bucket[bucket]
    return tuple(buckets), tuple(entries)


def _encoded_size_bound(entry: Entry) -> int:
    return len(entry.key) + len(entry.value) + ENTRY_OVERHEAD_BYTES
