"""What an agent does with the one process in its care. No I/O, no clock, no randomness of its own.

The process is started again when it ends by itself, with pauses that grow; it is taken to another version
under a permit, and back to the one before where that one does not come up. The keepers hear `Enter` when it
came up by itself, and `Back` when it came up under a permit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from walnutpost.fleet.commands import Ask, Back, Began, Command, Enter, Unbegun
from walnutpost.fleet.holder import Holder, Stand
from walnutpost.fleet.state import State


class Phase(Enum):
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    PAUSING = "pausing"  # until it is started again


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
    incarnation: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The process is gone, for whatever reason."""


@dataclass(frozen=True, slots=True)
class Due:
    pass


Input = Saw | Answered | Ready | Ended | Due


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


class Steward:
    """`agent` outlives the process and the agent's own restarts, so that a permit is known for its own.
    `current` and `previous` are the versions on its disk; `moved` tells when they change."""

    def __init__(
        self, agent: str, member: str, kind: str, zone: str, current: str, terms: Terms, seed: int
    ) -> None:
        self.agent, self.member, self.current = agent, member, current
        self.previous = ""
        self._kind, self._zone, self._terms = kind, zone, terms
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
        self._owed = ""  # a permit of before the agent's own restart
        self._looked = False

    def handle(self, now: int, event: Input) -> list[Effect]:
        self._now, self._effects = now, []
        match event:
            case Saw(state):
                self._saw(state)
            case Answered(permit, why):
                self._answered(permit, why)
            case Ready(incarnation) if self.phase is Phase.STARTING:
                self._ready(incarnation)
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

    def _ready(self, incarnation: str) -> None:
        version = self._version()
        self.phase, self._due, self._incarnation = Phase.RUNNING, None, incarnation
        self._running_since = self._now
        move, permit, failed = self._move, self._owed, ""
        if self._begun and move is not None:
            permit = move.holder.permit
            if move.going_back:
                failed = f"{move.version} does not come up"
            else:
                self.current, self.previous = move.version, self.current
            self._move = None
        if permit:
            self._owed = ""
            self._effects.append(Tell(Back(permit, self.agent, incarnation, version, failed)))
        else:
            self._effects.append(Tell(Enter(self.member, self._kind, self._zone, incarnation, version)))

    def _ended(self) -> None:
        if self.phase is Phase.STOPPING:
            self._launch(self._version())
            return
        failed = self._begun and self.phase is Phase.STARTING
        if self.phase is Phase.RUNNING and self._now - self._running_since >= self._terms.pause_most:
            self._pause = self._terms.pause_first
        move = self._move
        if failed and move is not None and not move.going_back and move.tries >= self._terms.tries:
            move.going_back = True
            self._pause = self._terms.pause_first
            self._effects.append(Note(f"{move.version} does not come up: back to {self.current}"))
        self.phase, self._due = Phase.PAUSING, self._now + self._pause
        self._pause = min(2 * self._pause, self._terms.pause_most)

    # Plans and permits

    def _saw(self, state: State) -> None:
        if not self._looked:
            self._looked = True
            held = next((p for p in state.permits.values() if p.holder == self.agent), None)
            if held is not None and self._move is None:
                self._recover(held.id)
        wanted = _wanted(state, self.member, self.current)
        free = self._move is None and self.phase is Phase.RUNNING and self._now >= self._ask_at
        if free and wanted is not None:
            plan, version = wanted
            self._move = _Move(plan, version, Holder(self._now, self._terms.begin_within))
            why = f"to {version}" if version else "to be drained"
            self._effects.append(Request(Ask(self.member, self.agent, why, plan)))

    def _recover(self, permit: str) -> None:
        """The agent was restarted while it held one: the place is back once its process is."""
        if self.phase is Phase.RUNNING:
            self._effects.append(Tell(Back(permit, self.agent, self._incarnation, self.current)))
        else:
            self._owed = permit

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
            self._effects += [Tell(Began(permit, self.agent)), EndIt()]
            self.phase = Phase.STOPPING
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
