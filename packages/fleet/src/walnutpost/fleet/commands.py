"""Commands of the replicated log, their encoding, and the result of applying one.

A command is written as an array with the tag of its type first. Tags and the order of fields are stored in
logs and snapshots: a tag never changes, a field is only ever added at the end, with a default.

A member is *unavailable* while somebody holds a permit to take it out, or while it is unresponsive.
"""

from __future__ import annotations

import msgspec

from walnutpost.configstore.messages import Mutation
from walnutpost.fleet.errors import InvalidCommandError

FORMAT = 1
FRONT_END, WORKER = "front_end", "worker"  # kinds of members, as stored


class ArrayRecord(msgspec.Struct, frozen=True, array_like=True):
    """An immutable value that is written as an array of its fields in order."""


class DisruptionBudget(ArrayRecord, frozen=True):
    """How many members of a kind may be unavailable at once.

    Either `max_unavailable`, or `max_unavailable_ratio` of the members, rounded down but at least one, since
    nothing could ever be replaced otherwise. `zone`: empty counts all zones together, `*` each by itself.
    """

    kind: str
    zone: str = ""
    max_unavailable: int | None = None
    max_unavailable_ratio: float | None = None

    def limit(self, members: int) -> int:
        """How many of so many members may be unavailable."""
        if self.max_unavailable is not None:
            return self.max_unavailable
        return max(1, int((self.max_unavailable_ratio or 0.0) * members))


# Members


class RegisterMember(ArrayRecord, frozen=True, tag="Enter"):
    """A process is up and ready. A known name with another incarnation replaces the process of that name.

    `follows_endpoints`: it acts on the fleet's list of workers and acknowledges each version of it.
    `address`: where a worker is called; empty where it is not known.
    """

    member: str
    kind: str
    zone: str
    incarnation: str
    version: str = ""
    follows_endpoints: bool = False
    address: str = ""


class MarkUnresponsive(ArrayRecord, frozen=True, tag="Silent"):
    """The lease of this incarnation has expired: it counts as unavailable."""

    member: str
    incarnation: str


class MarkResponsive(ArrayRecord, frozen=True, tag="Heard"):
    """This incarnation reports again after its lease had expired."""

    member: str
    incarnation: str


class ForgetMember(ArrayRecord, frozen=True, tag="Forget"):
    """An operator removes a member, or a follower of the config store, for good."""

    member: str


# Permits


class RequestPermit(ArrayRecord, frozen=True, tag="Ask"):
    """`holder` asks to take the member out, for `plan`; an empty plan means by hand."""

    member: str
    holder: str
    reason: str
    plan: str = ""


class BeginPermit(ArrayRecord, frozen=True, tag="Began"):
    """The holder has begun to take the member out."""

    permit: str
    holder: str


class AbandonPermit(ArrayRecord, frozen=True, tag="Unbegun"):
    """The holder has not begun, and never will under this permit."""

    permit: str
    holder: str


class Acknowledgement(ArrayRecord, frozen=True):
    """This process acts on the list of workers of log entry `index`."""

    member: str
    incarnation: str
    index: int


class ConfirmPermit(ArrayRecord, frozen=True, tag="Clear"):
    """All responsive front ends act on a list without the worker, so it may end.

    `acknowledgements` is what the leader has heard; it is checked against the members when it is applied.
    """

    permit: str
    acknowledgements: tuple[Acknowledgement, ...]


class EndDrain(ArrayRecord, frozen=True, tag="Return"):
    """An operator lets a drained member come back."""

    member: str
    operator: str


class CompletePermit(ArrayRecord, frozen=True, tag="Back"):
    """The member is ready again as this incarnation, and its permit ends.

    `failure`: why it does not run the version that its plan wants; empty where the plan may simply retry.
    """

    permit: str
    holder: str
    incarnation: str
    version: str = ""
    failure: str = ""
    address: str = ""


class RevokePermit(ArrayRecord, frozen=True, tag="Remove"):
    """An operator vouches that the member is available, whatever the permit's holder does."""

    permit: str
    operator: str


# Plans


class StoreVersion(ArrayRecord, frozen=True, tag="Keep"):
    """The content of a version, which is named by its digest."""

    version: str
    content: bytes


class StartPlan(ArrayRecord, frozen=True, tag="Start"):
    """Starts a plan: a release or rollback of `members` to `version`, or a drain where `version` is empty.

    `steps`: ratios of the members that may have begun by each step, ascending to 1; a first step of one
    member precedes them. `rollback_version`: a failed step starts a rollback to it. `keeps_members_out`: a
    drain that keeps each member out until an operator ends it. `replaces`: the running plan that ends with
    this. `requires_verdict` False: a release without analysis of its steps, such as a rollback.
    """

    plan: str
    members: tuple[str, ...]
    version: str = ""
    steps: tuple[float, ...] = (1.0,)
    rollback_version: str = ""
    keeps_members_out: bool = False
    replaces: str = ""
    requires_verdict: bool = True


class RecordStepVerdict(ArrayRecord, frozen=True, tag="Judge"):
    """The verdict on a step whose members are all back, by the leader's analysis or an operator.

    `baseline`: call counts of the members on the old version, for later steps that leave none of them.
    """

    plan: str
    step: int
    passed: bool
    reason: str = ""
    baseline: tuple[int, ...] = ()


class HaltPlan(ArrayRecord, frozen=True, tag="Halt"):
    """No permit is granted any more for this plan, or for any where `plan` is empty."""

    reason: str
    plan: str = ""


class ResumePlan(ArrayRecord, frozen=True, tag="Resume"):
    """Ends the halt of this plan, or the one of all where `plan` is empty."""

    plan: str = ""


class RecordManualChange(ArrayRecord, frozen=True, tag="Alone"):
    """What an operator had an agent do without a permit while there was no quorum, reported afterwards.

    `recorded_at_s`: seconds by the agent's wall clock, for information only.
    """

    member: str
    operator: str
    reason: str
    version: str
    recorded_at_s: float


class SetBudgets(ArrayRecord, frozen=True, tag="SetBudgets"):
    """Replaces all disruption budgets."""

    budgets: tuple[DisruptionBudget, ...]


# The config store


class ApplyChangeSet(ArrayRecord, frozen=True, tag="SetEntries"):
    """One change set of the config store, validated by the leader against the store at `base_revision`.

    It is rejected where another one came first; that result is not remembered, so its id may be used again.
    """

    mutations: tuple[Mutation, ...]
    base_revision: int
    operator: str = ""


class UpdateFollowers(ArrayRecord, frozen=True, tag="Followers"):
    """Who follows the config store, as pairs of name and incarnation.

    `joined` replaces another incarnation of the same name; `left` counts only for the incarnation known.
    """

    joined: tuple[tuple[str, str], ...] = ()
    left: tuple[tuple[str, str], ...] = ()


Command = (
    RegisterMember
    | MarkUnresponsive
    | MarkResponsive
    | ForgetMember
    | RequestPermit
    | BeginPermit
    | AbandonPermit
    | ConfirmPermit
    | EndDrain
    | CompletePermit
    | RevokePermit
    | StoreVersion
    | StartPlan
    | RecordStepVerdict
    | HaltPlan
    | ResumePlan
    | RecordManualChange
    | SetBudgets
    | ApplyChangeSet
    | UpdateFollowers
)


class CommandResult(ArrayRecord, frozen=True):
    """Whether a command was accepted, by log entry `index`; else the `error`. `permit`: the one granted."""

    ok: bool
    index: int
    error: str = ""
    permit: str = ""


class _CommandFrame(ArrayRecord, frozen=True):
    """What the log holds. `sent_at_s`: seconds by the sender's wall clock, for information only."""

    format: int
    command: Command
    sent_at_s: float = 0.0


_decoder = msgspec.msgpack.Decoder(_CommandFrame)


def encode(command: Command, sent_at_s: float = 0.0) -> bytes:
    """Return the bytes of a log entry."""
    return msgspec.msgpack.encode(_CommandFrame(FORMAT, command, sent_at_s))


def decode(data: bytes) -> Command:
    """Return the command of a log entry; raise InvalidCommandError."""
    return decode_with_time(data)[0]


def decode_with_time(data: bytes) -> tuple[Command, float]:
    """Return a log entry's command, and when its sender sent it by its clock; raise InvalidCommandError.

    The texts of the errors are results of commands, which replicas agree on and store: they must not change.
    """
    try:
        frame = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCommandError(f"not a command: {error}") from error
    if frame.format != FORMAT:
        raise InvalidCommandError(f"format {frame.format}, wanted {FORMAT}")
    return frame.command, frame.sent_at_s
