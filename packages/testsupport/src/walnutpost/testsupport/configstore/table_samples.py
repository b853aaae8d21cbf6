"""Messages, snapshots and digests that the golden file of the configuration store holds."""

from __future__ import annotations

from typing import Any

from walnutpost.configstore import digests, messages, validation
from walnutpost.configstore.messages import (
    ChangeSet,
    Entry,
    MemberProgress,
    MemberStatus,
    Mutation,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationLatency,
    PropagationStatus,
    Record,
    WatchRequest,
    WatchResponse,
    decode,
    encode,
)
from walnutpost.configstore.store import ConfigStore
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, as_json, packed

VALUE, OTHER_VALUE = b'{"weight": 2}', b"\x00\xff"
PUT, DELETE = Mutation(key="function/f1", value=VALUE), Mutation(key="tenant/t-1", value=None)
CHANGE = ChangeSet(revision=101, mutations=(PUT, DELETE), digest=2**64 - 102)
ENTRY = Entry(key="class/c_1", value=OTHER_VALUE, revision=103)
STANDING = MemberProgress(
    member="front-1",
    incarnation="aa01",
    session=104,
    applied_revision=105,
    blocked_reason="found 1, wanted 2",
    silent_for_us=106,
)
STANDING_DEFAULTS = MemberProgress(member="front-2", incarnation="aa02", session=107, applied_revision=108)
LACKING = MemberStatus(
    member="front-1",
    incarnation="aa01",
    applied_revision=141,
    relay="r1",
    blocked_reason="found 1, wanted 2",
    silent_for_us=142,
)
NEVER_HEARD = MemberStatus(
    member="front-2", incarnation="aa02", applied_revision=0, relay="", blocked_reason="", silent_for_us=None
)

MESSAGES: dict[str, Record] = {
    "watch-question.all-fields": WatchRequest(
        member="front-1",
        incarnation="aa01",
        session=111,
        revision=112,
        applied_revision=113,
        digest=2**64 - 114,
        wait_timeout_us=3_000_000,
        blocked_reason="found 1, wanted 2",
        after_key="function/f1",
        base_revision=115,
        wants_bucket_digests=True,
        wanted_buckets=(116, 117),
        is_leaving=True,
    ),
    "watch-question.all-ranges": WatchRequest(
        member="front-1",
        incarnation="aa01",
        session=111,
        revision=112,
        applied_revision=113,
        digest=114,
        wait_timeout_us=0,
        wants_bucket_digests=True,
    ),
    "watch-question.defaults": WatchRequest(
        member="",
        incarnation="aa01",
        session=111,
        revision=112,
        applied_revision=113,
        digest=114,
        wait_timeout_us=0,
    ),
    "watch-answer.all-fields": WatchResponse(
        revision=121,
        digest=2**64 - 122,
        compacted_revision=123,
        changes=(CHANGE,),
        is_snapshot=True,
        entries=(ENTRY,),
        is_last_page=True,
        bucket_digests=(124, 2**64 - 125),
        is_repair=True,
        since_revision=126,
        after_key="class/c_1",
        repaired_buckets=(127, 128),
    ),
    "watch-answer.whole-state-not-its-last-page": WatchResponse(
        revision=121,
        digest=122,
        compacted_revision=123,
        is_snapshot=True,
        entries=(ENTRY,),
        after_key="class/c_0",
    ),
    "watch-answer.whole-state-last-page": WatchResponse(
        revision=121, digest=122, compacted_revision=123, is_snapshot=True, is_last_page=True
    ),
    "watch-answer.repair": WatchResponse(
        revision=121,
        digest=122,
        compacted_revision=123,
        entries=(ENTRY,),
        is_repair=True,
        repaired_buckets=(127,),
    ),
    "watch-answer.defaults": WatchResponse(revision=121, digest=122, compacted_revision=123),
    "relay-report.all-fields": ProgressSummary(
        relay="r1",
        incarnation="bb01",
        number=131,
        since_number=132,
        revision=133,
        min_applied_revision=134,
        member_count=135,
        joined=(STANDING, STANDING_DEFAULTS),
        left=("front-3",),
        lagging=(STANDING,),
        address="10.0.0.1:9001",
        ended_processes=(("front-4", "aa04"),),
    ),
    "relay-report.defaults": ProgressSummary(
        relay="r1",
        incarnation="bb01",
        number=131,
        since_number=0,
        revision=133,
        min_applied_revision=134,
        member_count=135,
    ),
    "relay-report-answer.all-fields": ProgressSummaryResponse(number=136, needs_full_report=True),
    "relay-report-answer.defaults": ProgressSummaryResponse(number=136),
    "table-status.all-fields": PropagationStatus(
        revision=143,
        digest=2**64 - 144,
        compacted_revision=145,
        entry_count=146,
        member_count=147,
        min_applied_revision=148,
        lagging=(LACKING, NEVER_HEARD),
        latencies=(
            PropagationLatency(revision=149, latency_us=1_250_000),
            PropagationLatency(revision=150, latency_us=None),
        ),
        relays=(("r1", 151, 152, 153),),
        lagging_count=154,
    ),
    "table-status.defaults": PropagationStatus(
        revision=143,
        digest=144,
        compacted_revision=145,
        entry_count=146,
        member_count=0,
        min_applied_revision=148,
        lagging=(),
        latencies=(),
        relays=(),
    ),
}


def message(value: Record) -> Form:
    """Return the form of a message as the paths `/table/1/...` carry it."""
    return Form(value, encode, lambda data: decode(data, type(value)))


def rich_table(max_log_entries: int = 3) -> ConfigStore:
    """Return a store with entries that were set, changed and deleted, and with a compacted log."""
    table = ConfigStore(max_log_entries=max_log_entries)
    table.propose(5, (Mutation("function/f1", b'{"weight": 1}'), Mutation("function/f2", OTHER_VALUE)))
    table.propose(7, (Mutation("tenant/t-1", b"{}"), Mutation("class/c_1", b"[1, 2]")))
    table.propose(11, (Mutation("function/f1", VALUE), Mutation("tenant/t-1", None)))
    table.propose(12, (Mutation("tenant/t-2", b""),))
    table.propose(2**33, (Mutation("class/c_2", bytes(range(256))),))
    return table


def table_seen(table: ConfigStore) -> dict[str, Any]:
    """Return what two stores are compared by."""
    return {
        "revision": table.revision,
        "floor": table.compacted_revision,
        "digest": table.digest,
        "entries": dict(table.entries),
        "log": table.changes_since(table.compacted_revision),
        "ranges": table.bucket_digests(),
        "recounted": table.compute_bucket_digests(),
    }


def _table(table: ConfigStore) -> Form:
    return Form(
        table, ConfigStore.snapshot, lambda data: ConfigStore.restore(data, max_log_entries=3), table_seen
    )


def _digests() -> dict[str, list[int]]:
    """Return the bucket of the key and the digest of the entry, by key."""
    samples = ("function/f1", VALUE, 1), ("tenant/t-1", b"", 2**40), ("class/c_1", OTHER_VALUE, 7)
    return {key: [digests.bucket_of(key), digests.entry_digest(key, value, at)] for key, value, at in samples}


def _range_digests() -> dict[str, int]:
    return {str(n): total for n, total in enumerate(rich_table().bucket_digests()) if total}


FORMS: dict[str, Form] = {
    **{name: message(value) for name, value in MESSAGES.items()},
    "change.put": packed(PUT),
    "change.delete": packed(DELETE),
    "change-set.all-fields": packed(CHANGE),
    "entry.all-fields": packed(ENTRY),
    "table-snapshot.rich": _table(rich_table()),
    "table-snapshot.empty": _table(ConfigStore()),
    "entry-digests": as_json(_digests()),
    "range-digests": as_json(_range_digests()),
    "names": as_json(
        {
            "format": messages.FORMAT,
            "watch": messages.WATCH_PATH,
            "relay-report": messages.PROGRESS_PATH,
            "status": messages.STATUS_PATH,
            "age-header": messages.AGE_HEADER,
            "ranges": digests.DIGEST_BUCKETS,
            "key": validation.KEY_PATTERN.pattern,
        }
    ),
}

GOLDEN = Golden(
    golden_folder("configstore") / "table.json",
    "The agreed table: questions and answers of watches, reports of relays, the leader's status, the table's "
    "snapshot, digests. Names don't follow those of classes.",
    FORMS,
)
