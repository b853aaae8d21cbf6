"""Messages between replicas, and between replicas and their clients: msgpack over HTTP. No I/O.

Names on the wire are those of the first version: `wire_name` of a class, `name=` of a field. They must not
change, as replicas and clients of two versions run beside each other during an upgrade.
"""

from __future__ import annotations

from typing import ClassVar, TypeVar

import msgspec

from walnutpost.configstore.messages import Entry, Mutation
from walnutpost.consensus import Members, Message
from walnutpost.controlplane.errors import MalformedMessageError
from walnutpost.fleet import CommandResult, EndpointSnapshot

FORMAT = 1
CONTENT_TYPE = "application/msgpack"
MESSAGES_PATH = "/keeper/1/messages"
MEMBERS_PATH = "/keeper/1/members"
COMMANDS_PATH = "/fleet/1/commands"
STATE_PATH = "/fleet/1/state"
REPORTS_PATH = "/fleet/1/reports"
HISTORY_PATH = "/fleet/1/history"
CHANGE_PATH = "/table/1/change"
ENTRIES_PATH = "/table/1/entries"
"""The paths that relays use are in configstore/messages.py."""
LOCAL_QUERY = "here"
"""Query of STATE_PATH: what the replica itself has, however old."""
MAX_BODY_BYTES = 64 << 20
"""A full state with stored versions and configuration: 20 MB at 38,000 functions."""
REPLICA_ID_SEPARATOR = "#"


class Record(msgspec.Struct, frozen=True):
    """Base of messages: fields by name, so that a later version may have more of them."""

    wire_name: ClassVar[str] = ""


class PeerMessages(Record, frozen=True):
    """Consensus messages for the replica with the id `to`, in order; they may be lost or duplicated."""

    wire_name: ClassVar[str] = "Post"
    to: str
    messages: tuple[Message, ...]
    format: int = FORMAT


class CommandRequest(Record, frozen=True):
    """One encoded command of the fleet; a request with the same `id` is the same command."""

    wire_name: ClassVar[str] = "Order"
    id: str
    command: bytes
    format: int = FORMAT


class ChangeSetRequest(Record, frozen=True):
    """A change set for the configuration store; a request with the same `id` is the same change set.

    `is_dry_run`: validate only. `read_revision`: reject if one of the keys has changed since that revision;
    0 accepts any.
    """

    wire_name: ClassVar[str] = "SetOrder"
    id: str
    mutations: tuple[Mutation, ...] = msgspec.field(name="ops")
    is_dry_run: bool = msgspec.field(default=False, name="dry")
    operator: str = ""
    format: int = FORMAT
    read_revision: int = msgspec.field(default=0, name="seen")


class Report(Record, frozen=True):
    """A member's sign of life.

    `applied_index`: the entry of the endpoint list that it operates by. `call_counts`: its calls since its
    start: served, rejected, failed, served within the objective. Both are None from an agent.
    """

    wire_name: ClassVar[str] = "Report"
    member: str
    incarnation: str
    format: int = FORMAT
    applied_index: int | None = msgspec.field(default=None, name="acts")
    call_counts: tuple[int, int, int, int] | None = msgspec.field(default=None, name="figures")


class MembershipRequest(Record, frozen=True):
    """The replicas that are to be members, by their ids."""

    wire_name: ClassVar[str] = "Membership"
    id: str
    members: Members
    format: int = FORMAT


class CommandReply(Record, frozen=True):
    """The reply to a command, a report or a change set.

    `result`: None if there is none, for the `reason`. `outcome_known`: False if the command may have
    been committed or not. `leader`: the replica that may know more, or empty. `endpoints`: the endpoint list
    if the member's is older. `errors`: why a change set is invalid.
    """

    wire_name: ClassVar[str] = "Told"
    result: CommandResult | None = msgspec.field(default=None, name="answer")
    outcome_known: bool = msgspec.field(default=True, name="sure")
    reason: str = msgspec.field(default="", name="why")
    leader: str = ""
    endpoints: EndpointSnapshot | None = msgspec.field(default=None, name="sight")
    errors: tuple[str, ...] = ()


class HistoryEntry(Record, frozen=True):
    """An entry of the log, for people.

    `command`: its type in lower case. `sent_at_s`: by the sender's clock, 0 if it is no command. `result`:
    None once it is forgotten.
    """

    wire_name: ClassVar[str] = "Line"
    index: int
    term: int
    sent_at_s: float = msgspec.field(name="at")
    id: str
    command: str = msgspec.field(name="what")
    description: str = msgspec.field(name="told")
    result: CommandResult | None = msgspec.field(name="answer")


class History(Record, frozen=True):
    """A part of the log. `first_index`: the oldest entry that the replica still has; before it is a gap."""

    wire_name: ClassVar[str] = "History"
    first_index: int = msgspec.field(name="first")
    entries: tuple[HistoryEntry, ...] = msgspec.field(name="lines")


class ReplicaStatus(Record, frozen=True):
    """A replica and its state at `index`.

    `state`: a snapshot of the fleet without the configuration. `is_confirmed`: a quorum confirmed that it is
    the newest. `pending_verdicts`: by plan what its analysis waits for, if this replica leads.
    `disk_failure`: why its disk fails while it is out of service.
    """

    wire_name: ClassVar[str] = "View"
    index: int
    replica: str = msgspec.field(name="keeper")
    leader: str
    term: int
    members: Members
    state: bytes
    is_confirmed: bool = msgspec.field(name="asked")
    pending_verdicts: dict[str, str] = msgspec.field(default_factory=dict, name="waits")
    disk_failure: str | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="disk")


class ConfigEntries(Record, frozen=True):
    """Entries of the configuration store, as a quorum confirmed at `revision`."""

    wire_name: ClassVar[str] = "Entries"
    revision: int
    entries: tuple[Entry, ...]


T = TypeVar("T", bound=Record)
AnyMessage = (
    PeerMessages
    | CommandRequest
    | ChangeSetRequest
    | Report
    | MembershipRequest
    | CommandReply
    | ReplicaStatus
    | History
    | ConfigEntries
)


def encode(value: AnyMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(value)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode a message of type `kind`. Raises MalformedMessageError."""
    try:
        value = msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(kind.wire_name, str(error)) from error
    found = getattr(value, "format", FORMAT)
    if found != FORMAT:
        raise MalformedMessageError(kind.wire_name, f"format {found}, wanted {FORMAT}")
    return value


def replica_name(replica_id: str) -> str:
    """Return the replica's name in the configuration; the rest of its id identifies its disk."""
    return replica_id.partition(REPLICA_ID_SEPARATOR)[0]
