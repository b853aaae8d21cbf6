"""Messages between members, relays and the control plane about the configuration store, as msgpack. No I/O.

A revision is the index of the log entry that committed a change set. It therefore means the same at
each replica and each relay, and a member that moves to another server continues from its own revision.

Times in messages are durations in microseconds; clocks of two machines are never compared.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from walnutpost.configstore.errors import InvalidMessageError

FORMAT = 1
"""Version of the messages; a message of another format is rejected."""
WATCH_PATH, PROGRESS_PATH, STATUS_PATH = "/table/1/watch", "/table/1/sums", "/table/1/status"
AGE_HEADER = "Walnutpost-Age-Us"
"""Response header: microseconds since a leader last confirmed that the answer's content was current."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen struct, encoded as an array of its fields in order; later versions may append fields.

    Types of which a process has tens of thousands are excluded from garbage collection (`gc=False`): they
    refer to nothing that could refer back.
    """


class Mutation(Record, frozen=True, gc=False):
    """Sets `key` (`kind/name`) to `value`, or deletes it where `value` is None."""

    key: str
    value: bytes | None


class ChangeSet(Record, frozen=True, gc=False):
    """Mutations that are applied atomically; `digest` is that of the whole store after them."""

    revision: int
    mutations: tuple[Mutation, ...]
    digest: int


class Entry(Record, frozen=True, gc=False):
    """The value of a key and the revision that set it."""

    key: str
    value: bytes
    revision: int


class WatchRequest(Record, frozen=True):
    """A member's or relay's request for changes after `revision`; it also reports the member's progress.

    `member`: empty for a watcher that is not registered, such as a relay at a replica.
    `session`: increases when the member changes servers, so that of two servers that know the member the
    one with the newer report is recognised.
    `revision`, `digest`: the watcher's store; it has all change sets up to `revision`.
    `applied_revision`: the revision that the member operates by.
    `wait_timeout_us`: how long the response may be delayed while there is nothing newer (long poll).
    `blocked_reason`: why a newer revision could not be applied; empty where none failed.
    `after_key`: while a snapshot is loaded, the last key received ("" at the start); None otherwise.
    `base_revision`: the lowest revision of the snapshot pages received so far, 0 before the first. After the
    last page `after_key` is None, `revision` that of the last change set replayed over the pages, and
    `base_revision` is still set: there is no digest to compare yet.
    `wants_bucket_digests`: the digests of all buckets are requested.
    `wanted_buckets`: the entries of these digest buckets are requested, to repair them.
    `is_leaving`: the process ends.
    """

    member: str
    incarnation: str
    session: int
    revision: int
    applied_revision: int
    digest: int
    wait_timeout_us: int
    blocked_reason: str = ""
    after_key: str | None = None
    base_revision: int = 0
    wants_bucket_digests: bool = False
    wanted_buckets: tuple[int, ...] = ()
    is_leaving: bool = False
    format: int = FORMAT


class WatchResponse(Record, frozen=True):
    """The answer to a watch request; all watchers with the same position get the same bytes.

    `revision`, `digest`: the answering store.
    `compacted_revision`: change sets up to here are no longer available one by one.
    `changes`: the change sets after `since_revision` (the request's) in order, as many as fit.
    `is_snapshot`: a page of the full state instead: `entries` in order of their keys, the first ones after
    `after_key` (the request's); `is_last_page` marks the end of it.
    `bucket_digests`: one digest for each bucket.
    `is_repair`: `entries` are all entries of `repaired_buckets` (those of the requested ones that fit).
    """

    revision: int
    digest: int
    compacted_revision: int
    changes: tuple[ChangeSet, ...] = ()
    is_snapshot: bool = False
    entries: tuple[Entry, ...] = ()
    is_last_page: bool = False
    bucket_digests: tuple[int, ...] = ()
    is_repair: bool = False
    format: int = FORMAT
    since_revision: int = 0
    after_key: str | None = None
    repaired_buckets: tuple[int, ...] = ()


class MemberProgress(Record, frozen=True):
    """The progress of one member as its relay knows it from the member's last watch request."""

    member: str
    incarnation: str
    session: int
    applied_revision: int
    blocked_reason: str = ""
    silent_for_us: int = 0


class ProgressSummary(Record, frozen=True):
    """A relay's numbered report of the progress of its members, as a difference to an earlier report.

    `number`: counts the reports of the relay's `incarnation`.
    `since_number`: the report that this one adds to; 0 where this one is complete.
    `revision`: that of the relay's own store.
    `min_applied_revision`: each member that is not in `lagging` has applied at least this revision.
    `member_count`: the members that `min_applied_revision` covers: those that the leader knows from this
    report and those before it.
    `joined`, `left`: what has changed since report `since_number`.
    `lagging`: members reported by name: behind, blocked or silent.
    `address`: where members reach the relay.
    `ended_processes`: member and incarnation of processes that announced their end.
    """

    relay: str
    incarnation: str
    number: int
    since_number: int
    revision: int
    min_applied_revision: int
    member_count: int
    joined: tuple[MemberProgress, ...] = ()
    left: tuple[str, ...] = ()
    lagging: tuple[MemberProgress, ...] = ()
    address: str = ""
    format: int = FORMAT
    ended_processes: tuple[tuple[str, str], ...] = ()


class ProgressSummaryResponse(Record, frozen=True):
    """The leader's answer to report `number`.

    `needs_full_report`: an earlier report is missing, and the next one must be complete.
    """

    number: int
    needs_full_report: bool = False
    format: int = FORMAT


class MemberStatus(Record, frozen=True):
    """One registered member in the leader's status.

    `silent_for_us`: time since a relay last heard it if it lags, else since it was last reported; None if
    this leader has had no report of it.
    """

    member: str
    incarnation: str
    applied_revision: int
    relay: str
    blocked_reason: str
    silent_for_us: int | None


class PropagationLatency(Record, frozen=True):
    """Time from the commit of a change set until the last member applied it; None while it propagates."""

    revision: int
    latency_us: int | None


class PropagationStatus(Record, frozen=True):
    """What the leader knows of the propagation of the store to its members.

    `min_applied_revision`: all registered members have applied at least this revision.
    `lagging`: the members below `revision`, by name and limited; `lagging_count` is their full number.
    `relays`: for each relay its name, revision, number of members and microseconds since its last report.
    """

    revision: int
    digest: int
    compacted_revision: int
    entry_count: int
    member_count: int
    min_applied_revision: int
    lagging: tuple[MemberStatus, ...]
    latencies: tuple[PropagationLatency, ...]
    relays: tuple[tuple[str, int, int, int], ...]
    format: int = FORMAT
    lagging_count: int = 0


T = TypeVar("T", bound=Record)


def encode(value: Record) -> bytes:
    """Encode a message or a part of one."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode a message of type `kind`; raise InvalidMessageError where the bytes are not one."""
    try:
        value = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidMessageError(f"{kind.__name__}: {error}") from error
    found = getattr(value, "format", FORMAT)
    if found != FORMAT:
        raise InvalidMessageError(f"{kind.__name__}: format {found}, wanted {FORMAT}")
    return value
