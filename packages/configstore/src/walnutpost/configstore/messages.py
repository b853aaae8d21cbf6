"""What those who hold the agreed table say to each other, in msgpack. No I/O.

A revision is the index of the history's entry that a change set came with, so it means the same at
every keeper and every relay: who was answered by one goes on at another."""

from __future__ import annotations

from typing import TypeVar

import msgspec

FORMAT = 1
WATCH, SUMS, STATUS = "/table/1/watch", "/table/1/sums", "/table/1/status"
AGE_HEADER = "Walnutpost-Age-Us"  # microseconds: how long ago a leader last vouched for what the answer tells


class BadMessage(Exception):
    """Bytes that are not what is spoken here."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen value, written with its fields in order; a later version may have more at the end. Those
    that are held by the ten thousand are hidden from the collector: they refer to nothing that could refer
    back."""


class Op(Record, frozen=True, gc=False):
    """`key` is `kind/name`. `value` None deletes."""

    key: str
    value: bytes | None


class ChangeSet(Record, frozen=True, gc=False):
    """Some keys at once, in force whole or not at all. `digest`: of the whole table after it."""

    revision: int
    ops: tuple[Op, ...]
    digest: int


class Entry(Record, frozen=True, gc=False):
    """What stands under a key since `revision`."""

    key: str
    value: bytes
    revision: int


class Question(Record, frozen=True):
    """A watch. `member` empty: a reader that counts for nothing, as a relay is to a keeper.

    `session` rises each time the member turns to another server, so that two of them that know the
    member tell which word is newer. `revision`: all change sets up to here are held, and `digest` is
    that of the table then. `in_force`: the revision acted on; `stuck`: why what came after it is not.
    `after`: within a whole state, the last key held of it ("" at its start), None outside of one; `base`
    is then the lowest revision of its pages so far, 0 before the first. After its last page `after` is
    None, `revision` that of the last change set which was laid over the pages, and `base` still stands:
    there is no digest to compare yet. `hold`: microseconds that the answer may be held where nothing is
    newer. `buckets`: the digests of all ranges are wanted, `want`: the entries of these. `leaving`: the
    process ends."""

    member: str
    incarnation: str
    session: int
    revision: int
    in_force: int
    digest: int
    hold: int
    stuck: str = ""
    after: str | None = None
    base: int = 0
    buckets: bool = False
    want: tuple[int, ...] = ()
    leaving: bool = False
    format: int = FORMAT


class Page(Record, frozen=True):
    """An answer to a watch; the same bytes for all who are owed the same. `revision` and `digest`: of
    the table that answers. `changes`: the change sets that follow revision `since`, the question's, in
    order, as many as fit. `whole`: a page of the whole state instead, `entries` by key from the first one
    after `after`, the question's; `done`: the last one. `buckets`: digests by range. `repair`: `entries`
    are all of `ranges`, those of the ranges asked for that fit, at `revision`."""

    revision: int
    digest: int
    floor: int
    changes: tuple[ChangeSet, ...] = ()
    whole: bool = False
    entries: tuple[Entry, ...] = ()
    done: bool = False
    buckets: tuple[int, ...] = ()
    repair: bool = False
    format: int = FORMAT
    since: int = 0
    after: str | None = None
    ranges: tuple[int, ...] = ()


class Standing(Record, frozen=True):
    """One member by name, as a relay knows it from the member's own last word."""

    member: str
    incarnation: str
    session: int
    in_force: int
    stuck: str = ""
    silent_for: int = 0  # microseconds since its last word


class Sums(Record, frozen=True):
    """What a relay tells of its members. `relay` with `incarnation` numbers its reports; `joined` and
    `left` are what has changed since report `since`, all of them where that is 0. `lowest`: no member
    that is not among `behind` acts on an older revision. `revision`: what the relay itself holds. `count`
    and `lowest` are of those whom the leader knows of by this report and those before; `ended`: member and
    incarnation of processes that have said that they end."""

    relay: str
    incarnation: str
    number: int
    since: int
    revision: int
    lowest: int
    count: int
    joined: tuple[Standing, ...] = ()
    left: tuple[str, ...] = ()
    behind: tuple[Standing, ...] = ()
    address: str = ""
    format: int = FORMAT
    ended: tuple[tuple[str, str], ...] = ()


class Heard(Record, frozen=True):
    """The leader's answer to sums. `whole`: it lacks an earlier report, tell everything."""

    number: int
    whole: bool = False
    format: int = FORMAT


class MemberStatus(Record, frozen=True):
    """`heard`: microseconds since some relay last told of it, None where this leader was never told."""

    member: str
    incarnation: str
    in_force: int
    relay: str
    stuck: str
    heard: int | None


class Timed(Record, frozen=True):
    """How long a change set took from its agreement to the last member, in microseconds; None while it
    does."""

    revision: int
    took: int | None


class Status(Record, frozen=True):
    """What the leader knows of who acts on what. `lowest`: of all agreed members; `lacking`: those below
    `revision`, by name, the first of them where they are many, `lacks` how many in all; `relays`: name,
    revision held, members, microseconds since its word."""

    revision: int
    digest: int
    floor: int
    entries: int
    members: int
    lowest: int
    lacking: tuple[MemberStatus, ...]
    timed: tuple[Timed, ...]
    relays: tuple[tuple[str, int, int, int], ...]
    format: int = FORMAT
    lacks: int = 0


T = TypeVar("T", bound=Record)


def encode(value: Record) -> bytes:
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Raises BadMessage."""
    try:
        value = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadMessage(f"{kind.__name__}: {error}") from error
    form = getattr(value, "format", FORMAT)
    if form != FORMAT:
        raise BadMessage(f"{kind.__name__}: format {form}, wanted {FORMAT}")
    return value
