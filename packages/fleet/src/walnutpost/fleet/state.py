"""What the fleet has agreed on, as plain values that a snapshot holds."""

from __future__ import annotations

import msgspec

from walnutpost.fleet.commands import Acted, Alone, Answer, Budget


class Value(msgspec.Struct):
    """Changed by `machine.py` alone."""


class Member(Value):
    """One place in the fleet; `incarnation` is the process that fills it."""

    kind: str
    zone: str
    incarnation: str
    version: str = ""
    silent: bool = False
    follows: bool = False
    address: str = ""


class Permit(Value):
    """`at`: the entry that granted it. It comes back by proof only, never by time. `cleared`: the entry by
    which all front ends had acted on it, 0 before; `acted`: who had said so. `returning`: an operator wants
    the member back that a drain holds out."""

    id: str
    member: str
    holder: str
    why: str
    at: int
    plan: str = ""
    began: bool = False
    cleared: int = 0
    acted: tuple[Acted, ...] = ()
    returning: bool = False


def granted_at(permit: str) -> int:
    """The entry that granted it, by its name: who holds an older state can't know of it."""
    return int(permit[1:])


class Plan(Value):
    """`order`: members as they are taken, spread over zones. `step`: how many judgements it has passed."""

    id: str
    order: list[str]
    version: str
    steps: list[float]
    back: str
    step: int = 0
    done: list[str] = []
    halted: str = ""
    ended: str = ""
    stay: bool = False
    judged: bool = True
    before: tuple[int, ...] = ()

    def reached(self) -> int:
        """How many of the order may be at it by now: one first, and a share at each step after."""
        if not self.judged:
            return len(self.order)
        share = self.steps[min(self.step, len(self.steps)) - 1] if self.step else 0.0
        return max(1, int(share * len(self.order) + 1e-9)) if self.step < len(self.steps) else len(self.order)


class State(Value):
    """`listed`: the entry that last changed what front ends are told of workers. `alone`: what was done
    without a quorum, the newest last. `followers`: who follows the table, incarnations by name. Dicts keep
    the order in which the history filled them: the oldest go first."""

    index: int = 0
    listed: int = 0
    members: dict[str, Member] = {}
    permits: dict[str, Permit] = {}
    plans: dict[str, Plan] = {}
    versions: dict[str, bytes] = {}
    budgets: list[Budget] = []
    halted: str = ""
    alone: list[Alone] = []
    answers: dict[str, Answer] = {}  # by command id, the newest last
    followers: dict[str, str] = {}
