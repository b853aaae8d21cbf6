"""What a leader hears of members, and what it proposes of it. No I/O; it decides nothing that holds.

All of it is lost with its office: a new leader has heard of nobody, and waits.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from walnutpost.fleet.commands import Acted, Clear, Command, Heard, Judge, Silent
from walnutpost.fleet.judgement import Figures, Step, Terms, Verdict
from walnutpost.fleet.state import Member, State


@dataclass(frozen=True, slots=True)
class Report:
    """What a process says of itself. `acts` is the entry whose list of workers it acts on, `figures` what it
    has answered since it began; None from one that follows no list, such as an agent for its process."""

    member: str
    incarnation: str
    acts: int | None = None
    figures: Figures | None = None


class Leases:
    """Who has been heard of. A front end that follows the list speaks for itself: its agent's word that the
    process is there would hide that it is stuck."""

    def __init__(self, began: int, lease: int) -> None:
        self._began, self._lease = began, lease
        self._heard: dict[str, tuple[str, int]] = {}

    def report(self, now: int, member: str, incarnation: str) -> None:
        self._heard[member] = incarnation, now

    def look(self, now: int, members: Mapping[str, Member]) -> list[Command]:
        """What is to be proposed. The same is proposed again until it is agreed on."""
        found: list[Command] = []
        for name, member in sorted(members.items()):
            incarnation, at = self._heard.get(name, ("", self._began))
            alive = incarnation == member.incarnation and now - at < self._lease
            if member.silent and alive:
                found.append(Heard(name, member.incarnation))
            elif not member.silent and not alive and now - max(at, self._began) >= self._lease:
                found.append(Silent(name, member.incarnation))
        for name in [n for n in self._heard if n not in members]:
            del self._heard[name]
        return found


class Watch:
    """All that a leader hears: leases, which list each front end acts on, and what each has answered."""

    def __init__(self, began: int, lease: int, terms: Terms) -> None:
        self.leases = Leases(began, lease)
        self._terms = terms
        self._acts: dict[str, Acted] = {}
        self._figures: dict[str, tuple[str, Figures]] = {}
        self._steps: dict[str, Step] = {}
        self.waits: dict[str, str] = {}  # by plan: why it is not judged yet

    def report(self, now: int, report: Report, state: State) -> bool:
        """Whether the member is known as this incarnation; the others' words count for nothing."""
        member = state.members.get(report.member)
        if member is None or member.incarnation != report.incarnation:
            return False
        if report.acts is None:
            if not member.follows:
                self.leases.report(now, report.member, report.incarnation)
            return True
        self.leases.report(now, report.member, report.incarnation)
        self._acts[report.member] = Acted(report.member, report.incarnation, report.acts)
        if report.figures is not None:
            self._figures[report.member] = report.incarnation, report.figures
        return True

    def look(self, now: int, state: State) -> list[Command]:
        found = self.leases.look(now, state.members)
        found += self._cleared(state)
        found += self._judged(state)
        return found

    def missing(self, state: State, at: int) -> list[str]:
        """The front ends that have not said that they act on entry `at` or a later one."""
        return [
            name
            for name, m in sorted(state.members.items())
            if m.follows
            and not m.silent
            and not ((a := self._acts.get(name)) and a.incarnation == m.incarnation and a.index >= at)
        ]

    def _cleared(self, state: State) -> list[Command]:
        acted = tuple(self._acts[name] for name in sorted(self._acts) if name in state.members)
        return [
            Clear(p.id, tuple(a for a in acted if a.index >= p.at))
            for p in state.permits.values()
            if p.began and not p.cleared and not self.missing(state, p.at)
        ]

    def _judged(self, state: State) -> list[Command]:
        """The steps whose members are all back, judged by what front ends have told of their calls."""
        open_plans = {p.id: p for p in state.plans.values() if p.judged and not p.ended and not p.halted}
        self._steps = {id: s for id, s in self._steps.items() if id in open_plans}
        self.waits = {id: why for id, why in self.waits.items() if id in open_plans}
        found: list[Command] = []
        for id, plan in open_plans.items():
            step = self._steps.get(id)
            if step is None or step.number != plan.step:
                step = self._steps[id] = Step(plan.step, Figures(*plan.before))
            step.look({n: m for n, m in state.members.items() if m.follows}, plan.version, self._figures)
            if len(plan.done) < plan.reached():
                self.waits[id] = f"{plan.reached() - len(plan.done)} members of step {plan.step} are not back"
                continue
            verdict, why = step.judge(self._terms)
            self.waits[id] = why
            if verdict is not Verdict.NOT_YET:
                before = step.before
                found.append(Judge(id, plan.step, verdict is Verdict.GOOD, why, before.told))
        return found
