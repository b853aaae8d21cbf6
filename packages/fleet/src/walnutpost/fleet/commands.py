"""What the history holds: commands, each with an id of its asker's, and the answer that applying one gives.

A place in the fleet is *out* while its holder has a permit and is not yet back, or while it is silent.
"""

from __future__ import annotations

import msgspec

from walnutpost.configstore.messages import Op

FORMAT = 1
FRONT_END, WORKER = "front_end", "worker"


class BadCommand(Exception):
    """Bytes that are no command of this format: nothing is applied, the same at every keeper."""


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A frozen value that is written with its fields in order."""


class Budget(Record, frozen=True):
    """At most so many members of a kind are out: `most`, or `share` of the members rounded down, but one at
    least, since nothing could ever be replaced else. `zone` empty: in all; `*`: in each zone by itself."""

    kind: str
    zone: str = ""
    most: int | None = None
    share: float | None = None

    def allowed(self, members: int) -> int:
        if self.most is not None:
            return self.most
        return max(1, int((self.share or 0.0) * members))


# Members


class Enter(Record, frozen=True, tag=True):
    """A process is up and ready. The same name with another incarnation is the same place, anew. `follows`:
    it is told which workers leave, and says what it acts on. `address` is a worker's, for those who call it;
    empty where not told."""

    member: str
    kind: str
    zone: str
    incarnation: str
    version: str = ""
    follows: bool = False
    address: str = ""


class Silent(Record, frozen=True, tag=True):
    """Not heard of for a lease: this incarnation uses up the budget like one that is out."""

    member: str
    incarnation: str


class Heard(Record, frozen=True, tag=True):
    member: str
    incarnation: str


class Forget(Record, frozen=True, tag=True):
    """An operator says that the place is gone for good, or who follows the table."""

    member: str


# Permits


class Ask(Record, frozen=True, tag=True):
    """May `holder` take the member out? `plan` is the one it does so for, or empty for a drain by hand."""

    member: str
    holder: str
    why: str
    plan: str = ""


class Began(Record, frozen=True, tag=True):
    permit: str
    holder: str


class Unbegun(Record, frozen=True, tag=True):
    """The holder has not begun, and never will under this permit."""

    permit: str
    holder: str


class Acted(Record, frozen=True):
    """This process has said that it acts on the list of workers of entry `index`."""

    member: str
    incarnation: str
    index: int


class Clear(Record, frozen=True, tag=True):
    """Every front end that is not silent acts on a list without the worker: it may end. `acted` is what the
    leader heard, and is checked against the members as they are when this is agreed on."""

    permit: str
    acted: tuple[Acted, ...]


class Return(Record, frozen=True, tag=True):
    """An operator wants a member back in that a drain holds out."""

    member: str
    operator: str


class Back(Record, frozen=True, tag=True):
    """The member is up and ready again as this incarnation: the place is in. `failed`: why the version that
    its plan wants is not the one that runs; empty where the plan may simply ask again."""

    permit: str
    holder: str
    incarnation: str
    version: str = ""
    failed: str = ""
    address: str = ""


class Remove(Record, frozen=True, tag=True):
    """An operator vouches that the place is not out, whatever its holder does."""

    permit: str
    operator: str


# Plans


class Keep(Record, frozen=True, tag=True):
    """A version's checked content, by its digest."""

    version: str
    content: bytes


class Start(Record, frozen=True, tag=True):
    """Brings `members` to `version` (a release or the way back), or takes them out once (a drain, `version`
    empty). `steps`: shares of the members that may be at it by then, ascending to 1; the first is always one
    member. `back`: on a bad judgement go back to this version by itself. `stay`: a drain that holds them out
    until each is asked back. `replaces`: this plan under way ends, and nothing more begins for it. `judged`
    False: a release that no judgement holds up, such as the way back."""

    plan: str
    members: tuple[str, ...]
    version: str = ""
    steps: tuple[float, ...] = (1.0,)
    back: str = ""
    stay: bool = False
    replaces: str = ""
    judged: bool = True


class Judge(Record, frozen=True, tag=True):
    """The leader's judgement of a step whose members are all back, or an operator's. `before`: what the
    members on the old version did meanwhile, for the steps that leave none of them."""

    plan: str
    step: int
    good: bool
    why: str = ""
    before: tuple[int, ...] = ()


class Halt(Record, frozen=True, tag=True):
    """Nothing begins any more for this plan, or for any where it is empty."""

    why: str
    plan: str = ""


class Resume(Record, frozen=True, tag=True):
    plan: str = ""


class Alone(Record, frozen=True, tag=True):
    """What an operator had an agent do without a permit, while no quorum answered; told once one does.
    `at`: seconds by the machine's clock, a hint alone."""

    member: str
    operator: str
    why: str
    version: str
    at: float


class SetBudgets(Record, frozen=True, tag=True):
    budgets: tuple[Budget, ...]


# The agreed table


class SetEntries(Record, frozen=True, tag=True):
    """One change set of the table, checked by the leader against the table of revision `base`; refused where
    another has entered meanwhile, and then not remembered under its id: it may be asked again."""

    ops: tuple[Op, ...]
    base: int
    operator: str = ""


class Followers(Record, frozen=True, tag=True):
    """Who follows the table, as name and incarnation: who came, also in place of another process of that
    name, and who has ended by itself, where it is still the one agreed on."""

    joined: tuple[tuple[str, str], ...] = ()
    left: tuple[tuple[str, str], ...] = ()


Command = (
    Enter
    | Silent
    | Heard
    | Forget
    | Ask
    | Began
    | Unbegun
    | Clear
    | Return
    | Back
    | Remove
    | Keep
    | Start
    | Judge
    | Halt
    | Resume
    | Alone
    | SetBudgets
    | SetEntries
    | Followers
)


class Answer(Record, frozen=True):
    """`done` or why not; `permit` where one was granted. `index` is the entry that it rests on."""

    done: bool
    index: int
    why: str = ""
    permit: str = ""


class _Framed(Record, frozen=True):
    """`at`: seconds by the clock of the asker's machine. A hint for people; nothing is decided by it."""

    format: int
    command: Command
    at: float = 0.0


_decoder = msgspec.msgpack.Decoder(_Framed)


def encode(command: Command, at: float = 0.0) -> bytes:
    return msgspec.msgpack.encode(_Framed(FORMAT, command, at))


def decode(data: bytes) -> Command:
    return decode_at(data)[0]


def decode_at(data: bytes) -> tuple[Command, float]:
    """The command, and when its asker's clock says it was asked; raises BadCommand."""
    try:
        framed = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadCommand(f"not a command: {error}") from error
    if framed.format != FORMAT:
        raise BadCommand(f"format {framed.format}, wanted {FORMAT}")
    return framed.command, framed.at
