"""What keepers and those who ask them say to each other, in msgpack over HTTP. No I/O."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from walnutpost.configstore.messages import Entry, Mutation
from walnutpost.consensus import Members, Message
from walnutpost.fleet import CommandResult, EndpointSnapshot

FORMAT = 1
MESSAGES, COMMANDS, STATE, REPORTS, MEMBERS, HISTORY = (
    "/keeper/1/messages",
    "/fleet/1/commands",
    "/fleet/1/state",
    "/fleet/1/reports",
    "/keeper/1/members",
    "/fleet/1/history",
)
CHANGE, ENTRIES = "/table/1/change", "/table/1/entries"  # what relays ask is in table/messages.py
BODY_MOST = 64 << 20  # a whole state with the versions it keeps and its table: 20 MB at 38,000 functions


class BadWire(Exception):
    """Bytes that are not what is spoken here."""


class Record(msgspec.Struct, frozen=True):
    """Fields by name, so that a later version may have more of them."""


class Post(Record, frozen=True):
    """Messages for the replica `to`, in order; they may be lost, and may come twice."""

    to: str
    messages: tuple[Message, ...]
    format: int = FORMAT


class Order(Record, frozen=True):
    """One command as the history holds it; the same `id` again is the same command."""

    id: str
    command: bytes
    format: int = FORMAT


class SetOrder(Record, frozen=True):
    """A change set for the agreed table; the same `id` again is the same change set. `dry`: it is checked
    and doesn't enter. `seen`: refused where one of its keys has changed since that revision, 0 for whatever
    stands."""

    id: str
    ops: tuple[Mutation, ...]
    dry: bool = False
    operator: str = ""
    format: int = FORMAT
    seen: int = 0


class Report(Record, frozen=True):
    """A member is there. `acts`: the entry whose list of workers it acts on; `figures`: its calls since it
    began, as served, refused, failed, served in their aim. Both None from an agent for its process."""

    member: str
    incarnation: str
    format: int = FORMAT
    acts: int | None = None
    figures: tuple[int, int, int, int] | None = None


class Membership(Record, frozen=True):
    """Keepers to be, by the names of their disks."""

    id: str
    members: Members
    format: int = FORMAT


class Told(Record, frozen=True):
    """An answer. `sure` is False where the command may have been agreed on and may not. `leader` is the
    keeper that may know more, or empty. `errors`: what a change set's checks have against it."""

    answer: CommandResult | None = None
    sure: bool = True
    why: str = ""
    leader: str = ""
    sight: EndpointSnapshot | None = None
    errors: tuple[str, ...] = ()


class Line(Record, frozen=True):
    """An entry of the history. `at`: seconds by the clock of the asker's machine. `answer` where it is still
    remembered."""

    index: int
    term: int
    at: float
    id: str
    what: str
    told: str
    answer: CommandResult | None


class History(Record, frozen=True):
    """`first`: the oldest entry that this keeper still has; what lies before it is a gap, not an empty
    time."""

    first: int
    lines: tuple[Line, ...]


class View(Record, frozen=True):
    """The state at `index`; `asked` True where a quorum confirmed that nothing older is told."""

    index: int
    keeper: str
    leader: str
    term: int
    members: Members
    state: bytes
    asked: bool
    waits: dict[str, str] = {}  # by plan: what its judgement waits for, as far as this keeper leads
    disk: str | msgspec.UnsetType = msgspec.UNSET  # why its disk fails, while it is out of service for that


class Entries(Record, frozen=True):
    """The agreed table's entries, all, those of one kind, or one, by key, as a quorum confirmed at
    `revision`."""

    revision: int
    entries: tuple[Entry, ...]


T = TypeVar("T", bound=Record)
Spoken = Post | Order | SetOrder | Report | Membership | Told | View | History | Entries


def encode(value: Spoken) -> bytes:
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Raises BadWire."""
    try:
        value = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadWire(f"{kind.__name__}: {error}") from error
    form = getattr(value, "format", FORMAT)
    if form != FORMAT:
        raise BadWire(f"{kind.__name__}: format {form}, wanted {FORMAT}")
    return value


def keeper_of(replica: str) -> str:
    """The keeper's name in the configuration; what follows tells its disk."""
    return replica.partition("#")[0]
