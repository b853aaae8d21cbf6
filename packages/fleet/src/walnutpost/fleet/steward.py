"""What an agent does with the one process in its care. No I/O, no clock, no randomness of its own.

The process is started again when it ends by itself, with pauses that grow; it is taken to another version
under a permit, and back to the one before where that one does not come up. The keepers hear `Enter` when it
came up by itself, and `Back` when it came up under a permit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from walnutpost.fleet.commands import WORKER, Alone, Ask, Back, Began, Command, Enter, Unbegun
from walnutpost.fleet.holder import Holder, Stand
from walnutpost.fleet.state import Permit, State, granted_at


class Phase(Enum):
    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"  # a worker that begins to go out: until no front end calls it any more
    STOPPING = "stopping"
    PAUSING = "pausing"  # until it is started again
    DOWN = "down"  # held out by a drain, until an operator wants it back


@dataclass(frozen=True, slots=True)
class Terms:
    """Microseconds. `ready_within`: from its start until a process must be ready. `tries`: starts that a new
    version gets. Pauses before the next start double from `pause_first` to `pause_most`, and begin anew once
    it has run for `pause_most`. `ask_again`: after a denial, up to twice that: not all ask at once."""

    begin_within: int
    ready_within: int
    tries: int = 2
    pause_first: int = 500_000
    pause_most: int = 30_000_000
    ask_again: int = 1_000_000


# Inputs


@dataclass(frozen=True, slots=True)
class Saw:
    """The agreed state, as some keeper holds it: it may be old, which the answer to a question mends."""

    state: State


@dataclass(frozen=True, slots=True)
class Answered:
    """The answer to the last Ask; `permit` empty where it was denied. No answer at all is not told."""

    permit: str
    why: str = ""


@dataclass(frozen=True, slots=True)
class Ready:
    """`address` where it is known."""

    incarnation: str
    address: str = ""


@dataclass(frozen=True, slots=True)
class Ended:
    """The process is gone, for whatever reason."""


@dataclass(frozen=True, slots=True)
class Due:
    pass


@dataclass(frozen=True, slots=True)
class ByHand:
    """An operator on this machine wants it started anew now, with `version` if one is named: without a
    permit, since no quorum answers."""

    operator: str
    why: str
    at: float
    version: str = ""


Input = Saw | Answered | Ready | Ended | Due | ByHand


# Effects


@dataclass(frozen=True, slots=True)
class Launch:
    version: str


@dataclass(frozen=True, slots=True)
class EndIt:
    """Ask the process to end; kill it where it does not."""


@dataclass(frozen=True, slots=True)
class Request:
    """Put this question; its answer comes as Answered."""

    command: Ask


@dataclass(frozen=True, slots=True)
class Tell:
    """Say this to the keepers until one of them has it, in order with what was told before."""

    command: Command


@dataclass(frozen=True, slots=True)
class Note:
    text: str


Effect = Launch | EndIt | Request | Tell | Note


@dataclass(slots=True)
class _Move:
    """To another version under a permit."""

    plan: str
    version: str
    holder: Holder
    tries: int = 0
    going_back: bool = False
    stay: bool = False


class Steward:
    """`agent` outlives the process and the agent's own restarts, so that a permit is known for its own.
    `current` and `previous` are the versions on its disk, `held` the permit of the drain that holds it out;
    all three are to outlive the agent. `follows`: the process tells the keepers itself that it is there."""

    def __init__(
        self,
        agent: str,
        member: str,
        kind: str,
        zone: str,
        current: str,
        terms: Terms,
        seed: int,
        follows: bool = False,
        held: str = "",
    ) -> None:
        self.agent, self.member, self.current = agent, member, current
        self.previous = ""
        self.held = held
        self._kind, self._zone, self._terms, self._follows = kind, zone, terms, follows
        self._random = Random(f"{seed} {agent}")
        self.phase = Phase.PAUSING
        self._now = 0
        self._effects: list[Effect] = []
        self._due: int | None = None  # of the phase: next start, or the latest time to be ready
        self._pause = terms.pause_first
        self._running_since = 0
        self._incarnation = ""
        self._move: _Move | None = None
        self._ask_at = 0
        self._owed = ""  # the permit of a drain that it comes back from
        self._looked = False
        self._address, self._index = "", 0

    def handle(self, now: int, event: Input) -> list[Effect]:
        self._now, self._effects = now, []
        match event:
            case Saw(state):
                self._saw(state)
            case Answered(permit, why):
                self._answered(permit, why)
            case Ready() if self.phase is Phase.STARTING:
                self._ready(event)
            case ByHand():
                self._by_hand(event)
            case Ended():
                self._ended()
            case Due():
                pass
        if self._due is not None and now >= self._due:
            self._due = None
            if self.phase is Phase.PAUSING:
                self._launch(self._version())
            elif self.phase is Phase.STARTING:
                self._effects.append(Note(f"{self._version()} was not ready in time"))
                self._effects.append(EndIt())
        effects, self._effects = self._effects, []
        return effects

    def start(self, now: int) -> list[Effect]:
        """One that a drain held out when its agent ended stays out."""
        if self.held:
            self.phase = Phase.DOWN
        else:
            self._due = now
        return self.handle(now, Due())

    @property
    def due(self) -> int | None:
        return self._due

    def _version(self) -> str:
        """The one that is to run now."""
        move = self._move
        return move.version if move is not None and self._begun and not move.going_back else self.current

    @property
    def _begun(self) -> bool:
        return self._move is not None and self._move.holder.stand is Stand.BEGUN

    # The process

    def _launch(self, version: str) -> None:
        self.phase, self._due = Phase.STARTING, self._now + self._terms.ready_within
        if self._begun and self._move is not None:
            self._move.tries += 1
        self._effects.append(Launch(version))

    def _ready(self, ready: Ready) -> None:
        version, incarnation = self._version(), ready.incarnation
        self._address = ready.address
        self.phase, self._due, self._incarnation = Phase.RUNNING, None, incarnation
        self._running_since = self._now
        move, permit, failed = self._move, self._owed, ""
        if self._begun and move is not None:
            permit = move.holder.permit
            if move.going_back:
                failed = f"{move.version} does not come up"
            elif move.version != self.current:
                self.current, self.previous = move.version, self.current
            self._move = None
        if permit:
            self._owed = self.held = ""
            self._say_back(permit, failed)
        else:
            self._effects.append(
                Tell(
                    Enter(
                        self.member,
                        self._kind,
                        self._zone,
                        incarnation,
                        version,
                        self._follows,
                        ready.address,
                    )
                )
            )

    def _ended(self) -> None:
        move = self._move
        if self._begun and move is not None and move.stay:
            self.phase, self._due, self.held = Phase.DOWN, None, move.holder.permit
            self._move = None
            return
        if self.phase in (Phase.STOPPING, Phase.LEAVING):
            self._launch(self._version())
            return
        failed = self._begun and self.phase is Phase.STARTING
        if self.phase is Phase.RUNNING and self._now - self._running_since >= self._terms.pause_most:
            self._pause = self._terms.pause_first
        if failed and move is not None and not move.going_back and move.tries >= self._terms.tries:
            move.going_back = True
            self._pause = self._terms.pause_first
            self._effects.append(Note(f"{move.version} does not come up: back to {self.current}"))
        self.phase, self._due = Phase.PAUSING, self._now + self._pause
        self._pause = min(2 * self._pause, self._terms.pause_most)

    # Plans and permits

    def _saw(self, state: State) -> None:
        if state.index < self._index:  # of a keeper that lags behind another one
            return
        self._index = state.index
        if not self._looked and self.phase in (Phase.RUNNING, Phase.DOWN):
            self._looked = True
            held = next((p for p in state.permits.values() if p.holder == self.agent), None)
            if held is not None and self._move is None and held.id != self.held:
                self._recover(held, state)
        if self.phase is Phase.LEAVING or self.phase is Phase.DOWN:
            self._out_by(state)
        wanted = _wanted(state, self.member, self.current)
        free = self._move is None and self.phase is Phase.RUNNING and self._now >= self._ask_at
        if free and wanted is not None:
            plan, version = wanted
            holder = Holder(self._now, self._terms.begin_within)
            self._move = _Move(plan, version, holder, stay=state.plans[plan].stay)
            why = f"to {version}" if version else "to be drained"
            self._effects.append(Request(Ask(self.member, self.agent, why, plan)))

    def _out_by(self, state: State) -> None:
        """What the permit that it is out by has come to."""
        move = self._move
        id = self.held or (move.holder.permit if move is not None else "")
        permit = state.permits.get(id)
        if permit is None and state.index < granted_at(id):
            return
        if self.phase is Phase.LEAVING:
            if permit is None:  # an operator has taken it away: it never went
                self.phase, self._move = Phase.RUNNING, None
            elif permit.returning:
                self.phase, self._move = Phase.RUNNING, None
                self._say_back(permit.id)
            elif permit.cleared:
                self.phase = Phase.STOPPING
                self._effects.append(EndIt())
        elif self.phase is Phase.DOWN and (permit is None or permit.returning):
            self._owed, self.held = (permit.id if permit is not None else ""), ""
            self._launch(self.current)

    def _by_hand(self, order: ByHand) -> None:
        """What an agreed move has begun goes on: it is out already."""
        if self.phase is Phase.DOWN:
            self._owed, self.held = self.held, ""
            self._launch(self.current)
        elif self.phase is not Phase.RUNNING:
            self._effects.append(Note(f"not by hand: it is {self.phase.value}"))
            return
        else:
            holder = Holder(self._now, 1)
            holder.stand = Stand.BEGUN
            self._move = _Move("", order.version or self.current, holder)
            self.phase = Phase.STOPPING
            self._effects.append(EndIt())
        self._effects.append(Note(f"without a permit, by {order.operator}: {order.why}"))
        version = order.version or self.current
        self._effects.append(Tell(Alone(self.member, order.operator, order.why, version, order.at)))

    def _recover(self, permit: Permit, state: State) -> None:
        """The agent was restarted while it held one: the place is back, now that its process is, unless a
        drain wants it out."""
        plan = state.plans.get(permit.plan)
        if permit.began and plan is not None and plan.stay and not permit.returning:
            holder = Holder(self._now, 1)
            holder.stand, holder.permit = Stand.BEGUN, permit.id
            self._move = _Move(permit.plan, self.current, holder, stay=True)
            self.phase = Phase.LEAVING
        else:
            self._say_back(permit.id)

    def _say_back(self, permit: str, failed: str = "") -> None:
        back = Back(permit, self.agent, self._incarnation, self._version(), failed, self._address)
        self._effects.append(Tell(back))

    def _answered(self, permit: str, why: str) -> None:
        move = self._move
        if move is None or move.holder.stand is not Stand.ASKED:
            if permit:
                self._effects.append(Tell(Unbegun(permit, self.agent)))
            return
        if not permit:
            self._move = None
            again = self._terms.ask_again
            self._ask_at = self._now + again + self._random.randrange(again)
            self._effects.append(Note(f"not now: {why}"))
            return
        move.holder.granted(self._now, permit)
        if self.phase is Phase.RUNNING and move.holder.begin(self._now):
            self._effects.append(Tell(Began(permit, self.agent)))
            if self._kind == WORKER:  # it ends once no front end that is heard of sends it anything new
                self.phase = Phase.LEAVING
            else:
                self.phase = Phase.STOPPING
                self._effects.append(EndIt())
        else:  # too late, or its process has ended by itself meanwhile and is started as it was
            self._effects.append(Tell(Unbegun(permit, self.agent)))
            self._move = None


def _wanted(state: State, member: str, current: str) -> tuple[str, str] | None:
    """The plan that has come to this member, and the version that it is to run."""
    if state.halted:
        return None
    for plan in state.plans.values():
        here = member in plan.order[: plan.reached()] and member not in plan.done
        if here and not plan.ended and not plan.halted:
            return plan.id, plan.version or current
    return None
