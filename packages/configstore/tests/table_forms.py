"""The objects behind the golden forms of the agreed table: what watches, relays and snapshots hold of it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from golden_forms import Form, Golden, as_json, packed
from walnutpost.configstore import entries, messages
from walnutpost.configstore.messages import (
    ChangeSet,
    Entry,
    Heard,
    MemberStatus,
    Op,
    Page,
    Question,
    Record,
    Standing,
    Status,
    Sums,
    Timed,
    decode,
    encode,
)
from walnutpost.configstore.table import Table

VALUE, OTHER_VALUE = b'{"weight": 2}', b"\x00\xff"
PUT, DELETE = Op(key="function/f1", value=VALUE), Op(key="tenant/t-1", value=None)
CHANGE = ChangeSet(revision=101, ops=(PUT, DELETE), digest=2**64 - 102)
ENTRY = Entry(key="class/c_1", value=OTHER_VALUE, revision=103)
STANDING = Standing(
    member="front-1", incarnation="aa01", session=104, in_force=105, stuck="found 1, wanted 2", silent_for=106
)
STANDING_DEFAULTS = Standing(member="front-2", incarnation="aa02", session=107, in_force=108)
LACKING = MemberStatus(
    member="front-1", incarnation="aa01", in_force=141, relay="r1", stuck="found 1, wanted 2", heard=142
)
NEVER_HEARD = MemberStatus(member="front-2", incarnation="aa02", in_force=0, relay="", stuck="", heard=None)

MESSAGES: dict[str, Record] = {
    "watch-question.all-fields": Question(
        member="front-1",
        incarnation="aa01",
        session=111,
        revision=112,
        in_force=113,
        digest=2**64 - 114,
        hold=3_000_000,
        stuck="found 1, wanted 2",
        after="function/f1",
        base=115,
        buckets=True,
        want=(116, 117),
        leaving=True,
    ),
    "watch-question.all-ranges": Question(
        member="front-1",
        incarnation="aa01",
        session=111,
        revision=112,
        in_force=113,
        digest=114,
        hold=0,
        buckets=True,
    ),
    "watch-question.defaults": Question(
        member="", incarnation="aa01", session=111, revision=112, in_force=113, digest=114, hold=0
    ),
    "watch-answer.all-fields": Page(
        revision=121,
        digest=2**64 - 122,
        floor=123,
        changes=(CHANGE,),
        whole=True,
        entries=(ENTRY,),
        done=True,
        buckets=(124, 2**64 - 125),
        repair=True,
        since=126,
        after="class/c_1",
        ranges=(127, 128),
    ),
    "watch-answer.whole-state-not-its-last-page": Page(
        revision=121, digest=122, floor=123, whole=True, entries=(ENTRY,), after="class/c_0"
    ),
    "watch-answer.whole-state-last-page": Page(revision=121, digest=122, floor=123, whole=True, done=True),
    "watch-answer.repair": Page(
        revision=121, digest=122, floor=123, entries=(ENTRY,), repair=True, ranges=(127,)
    ),
    "watch-answer.defaults": Page(revision=121, digest=122, floor=123),
    "relay-report.all-fields": Sums(
        relay="r1",
        incarnation="bb01",
        number=131,
        since=132,
        revision=133,
        lowest=134,
        count=135,
        joined=(STANDING, STANDING_DEFAULTS),
        left=("front-3",),
        behind=(STANDING,),
        address="10.0.0.1:9001",
        ended=(("front-4", "aa04"),),
    ),
    "relay-report.defaults": Sums(
        relay="r1", incarnation="bb01", number=131, since=0, revision=133, lowest=134, count=135
    ),
    "relay-report-answer.all-fields": Heard(number=136, whole=True),
    "relay-report-answer.defaults": Heard(number=136),
    "table-status.all-fields": Status(
        revision=143,
        digest=2**64 - 144,
        floor=145,
        entries=146,
        members=147,
        lowest=148,
        lacking=(LACKING, NEVER_HEARD),
        timed=(Timed(revision=149, took=1_250_000), Timed(revision=150, took=None)),
        relays=(("r1", 151, 152, 153),),
        lacks=154,
    ),
    "table-status.defaults": Status(
        revision=143,
        digest=144,
        floor=145,
        entries=146,
        members=0,
        lowest=148,
        lacking=(),
        timed=(),
        relays=(),
    ),
}


def message(value: Record) -> Form:
    """As `/table/1/...` speaks it."""
    return Form(value, encode, lambda data: decode(data, type(value)))


def rich_table(log_most: int = 3) -> Table:
    """Entries put, changed and deleted; a floor that has moved, and a log that holds less than all."""
    table = Table(log_most=log_most)
    table.change(5, (Op("function/f1", b'{"weight": 1}'), Op("function/f2", OTHER_VALUE)))
    table.change(7, (Op("tenant/t-1", b"{}"), Op("class/c_1", b"[1, 2]")))
    table.change(11, (Op("function/f1", VALUE), Op("tenant/t-1", None)))
    table.change(12, (Op("tenant/t-2", b""),))
    table.change(2**33, (Op("class/c_2", bytes(range(256))),))
    return table


def table_seen(table: Table) -> dict[str, Any]:
    """What two tables are compared by."""
    return {
        "revision": table.revision,
        "floor": table.floor,
        "digest": table.digest,
        "entries": dict(table.entries),
        "log": table.since(table.floor),
        "ranges": table.bucket_digests(),
        "recounted": table.recount(),
    }


def _table(table: Table) -> Form:
    return Form(table, Table.snapshot, lambda data: Table.restore(data, log_most=3), table_seen)


def _digests() -> dict[str, list[int]]:
    """By key and value: the range of the key and the digest of the entry."""
    told = ("function/f1", VALUE, 1), ("tenant/t-1", b"", 2**40), ("class/c_1", OTHER_VALUE, 7)
    return {key: [entries.bucket_of(key), entries.entry_digest(key, value, at)] for key, value, at in told}


def _range_digests() -> dict[str, int]:
    return {str(n): total for n, total in enumerate(rich_table().bucket_digests()) if total}


FORMS: dict[str, Form] = {
    **{name: message(value) for name, value in MESSAGES.items()},
    "change.put": packed(PUT),
    "change.delete": packed(DELETE),
    "change-set.all-fields": packed(CHANGE),
    "entry.all-fields": packed(ENTRY),
    "table-snapshot.rich": _table(rich_table()),
    "table-snapshot.empty": _table(Table()),
    "entry-digests": as_json(_digests()),
    "range-digests": as_json(_range_digests()),
    "names": as_json(
        {
            "format": messages.FORMAT,
            "watch": messages.WATCH,
            "relay-report": messages.SUMS,
            "status": messages.STATUS,
            "age-header": messages.AGE_HEADER,
            "ranges": entries.BUCKETS,
            "key": entries.KEY.pattern,
        }
    ),
}

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "table.json",
    "The agreed table: questions and answers of watches, reports of relays, the leader's status, the table's "
    "snapshot, digests. Names don't follow those of classes.",
    FORMS,
)
