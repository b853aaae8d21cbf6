"""The machine that the history drives: the same commands give the same state at every keeper.

No I/O, no clock. Each invariant is held in one function: `budgets.out` says who is out, `_grant` alone makes
permits, `_returned` alone ends them, `_set_entries` alone changes the table, `_follow` alone who follows it.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, zip_longest
from typing import Any

import msgspec
from msgspec import structs

from walnutpost.configstore.table import BadChange, BadTable, Table
from walnutpost.fleet import budgets
from walnutpost.fleet.commands import (
    WORKER,
    Alone,
    Answer,
    Ask,
    Back,
    BadCommand,
    Began,
    Clear,
    Command,
    Enter,
    Followers,
    Forget,
    Halt,
    Heard,
    Judge,
    Keep,
    Remove,
    Resume,
    Return,
    SetBudgets,
    SetEntries,
    Silent,
    Start,
    Unbegun,
    decode,
)
from walnutpost.fleet.state import Member, Permit, Plan, State

ALONE_MOST = 100  # of what was done without a quorum
VERSIONS_MOST, PLANS_MOST = 20, 100  # beyond what is needed
ANSWERS_MOST = 10_000  # remembered: a command that comes again later than so many others is applied anew
MEANWHILE = "changed meanwhile"  # the table, between a change set's check and its entry


class BadState(Exception):
    """Bytes that are no state, or not the one that they were written as."""


class _Kept(State):
    """What a snapshot holds. `table` empty: of a version that had none."""

    table: bytes = b""


_decoder = msgspec.msgpack.Decoder(_Kept)


class Fleet:
    """`state` and `table` are what the history has made; both are looked at, and changed by `apply` alone.
    `rolls` counts the commands of this process that changed who follows."""

    def __init__(self, state: State | None = None, table: Table | None = None) -> None:
        self.state = state or State()
        self.table = table or Table()
        self.rolls = 0

    def snapshot(self, table: bool = True) -> bytes:
        """The same bytes at each keeper that is at the same entry. `table` False: all but the table, which
        may be large, for those who ask about the rest."""
        kept = _Kept(**structs.asdict(self.state), table=self.table.snapshot() if table else b"")
        return msgspec.msgpack.encode(kept)

    @classmethod
    def restore(cls, data: bytes) -> Fleet:
        """Raises BadState. Without its table where the snapshot was taken without."""
        if not data:
            return cls()
        try:
            kept = structs.asdict(_decoder.decode(data))
            held = kept.pop("table")
            table = Table.restore(held) if held else Table()
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, BadTable) as error:
            raise BadState(str(error)) from error
        # A version before wrote its dicts sorted: the oldest would no longer be the first.
        kept["answers"] = dict(sorted(kept["answers"].items(), key=lambda answer: answer[1].index))
        return cls(State(**kept), table)

    def apply(self, index: int, id: str, data: bytes) -> Answer:
        """Once for each id: a command that an asker repeats after a lost answer gets the first answer."""
        state = self.state
        state.index = index
        known = state.answers.get(id) if id else None
        if known is not None:
            return known
        try:
            answer = self._do(index, decode(data))
        except BadCommand as error:
            answer = self._no(str(error))
        if id and answer.why != MEANWHILE:
            state.answers[id] = answer
            while len(state.answers) > ANSWERS_MOST:
                del state.answers[next(iter(state.answers))]
        return answer

    def _yes(self, permit: str = "") -> Answer:
        return Answer(True, self.state.index, "", permit)

    def _no(self, why: str) -> Answer:
        return Answer(False, self.state.index, why)

    def _do(self, index: int, command: Command) -> Answer:
        state = self.state
        match command:
            case Enter():
                return self._enter(command)
            case Silent(member, incarnation) | Heard(member, incarnation):
                return self._told_of(member, incarnation, isinstance(command, Silent))
            case Forget(member):
                for permit in [p for p in state.permits.values() if p.member == member]:
                    self._returned(permit)
                followed = state.followers.pop(member, None) is not None
                self.rolls += followed
                known = state.members.pop(member, None)
                if known is None:
                    return self._yes() if followed else self._no(f"no member {member}")
                self._listed(known.kind)
                for plan in [p for p in state.plans.values() if not p.ended and member in p.order]:
                    plan.order.remove(member)
                    plan.done = [m for m in plan.done if m != member]
                    self._look(plan)
                return self._yes()
            case Ask():
                return self._grant(index, command)
            case Began(permit, holder):
                held = self._held(permit, holder)
                if held is None:
                    return self._no(f"{holder} holds no permit {permit}")
                held.began = True
                return self._yes()
            case Unbegun(permit, holder):
                held = self._held(permit, holder)
                if held is None or held.began:
                    return self._no(f"{holder} holds no permit {permit} that has not begun")
                self._returned(held)
                return self._yes()
            case Clear():
                return self._clear(command)
            case Return(member):
                permits = [p for p in state.permits.values() if p.member == member and p.plan]
                if not permits or not state.plans[permits[0].plan].stay:
                    return self._no(f"no drain holds {member} out")
                permits[0].returning = True
                return self._yes()
            case Back():
                return self._back(command)
            case Remove(permit):
                held = state.permits.get(permit)
                if held is None:
                    return self._no(f"no permit {permit}")
                self._returned(held)
                return self._yes()
            case Keep(version, content):
                state.versions[version] = content
                self._trim(state.versions, VERSIONS_MOST, self._needed())
                return self._yes()
            case Start():
                return self._start(command)
            case Judge():
                return self._judge(command)
            case Halt(why, plan):
                return self._halt(why or "halted by an operator", plan)
            case Resume(plan):
                return self._resume(plan)
            case Alone():
                state.alone = [*state.alone, command][-ALONE_MOST:]
                return self._yes()
            case SetBudgets(told):
                state.budgets = list(told)
                return self._yes()
            case SetEntries():
                return self._set_entries(index, command)
            case Followers():
                return self._follow(command)

    # Members

    def _enter(self, e: Enter) -> Answer:
        """A place that is out by permit stays out: its holder says when it is back."""
        self.state.members[e.member] = Member(
            e.kind, e.zone, e.incarnation, e.version, False, e.follows, e.address
        )
        self._listed(e.kind)
        return self._yes()

    def _listed(self, kind: str) -> None:
        """What front ends are told of workers is another from this entry on."""
        if kind == WORKER:
            self.state.listed = self.state.index

    def _told_of(self, name: str, incarnation: str, silent: bool) -> Answer:
        member = self.state.members.get(name)
        if member is None or member.incarnation != incarnation:
            return self._no(f"{name} is not {incarnation} any more")
        member.silent = silent
        for use in self._uses(member):
            if silent and len(use.silent) >= use.allowed:
                for plan in self.state.plans.values():
                    if not plan.ended and not plan.halted and self._counts_in(plan, member.kind, use.zone):
                        plan.halted = f"the budget is used up without it: {use.told}"
        return self._yes()

    def _counts_in(self, plan: Plan, kind: str, zone: str) -> bool:
        """Whether it has yet to take out a member of this kind, in this zone where one is named."""
        left = [m for n in plan.order if n not in plan.done and (m := self.state.members.get(n)) is not None]
        return any(m.kind == kind and zone in ("", m.zone) for m in left)

    def _uses(self, member: Member) -> list[budgets.Use]:
        state = self.state
        return budgets.uses(state.budgets, state.members, state.permits.values(), member.kind, member.zone)

    # The table

    def _set_entries(self, index: int, change: SetEntries) -> Answer:
        """Whole or not at all, and only on the table that it was checked against."""
        if change.base != self.table.revision:
            return self._no(MEANWHILE)
        try:
            self.table.change(index, change.ops)
        except BadChange as error:
            return self._no(str(error))
        return self._yes()

    def _follow(self, change: Followers) -> Answer:
        """Who has ended is meant as that process: another one of its name may have come meanwhile."""
        followers = self.state.followers
        for name, incarnation in change.left:
            if followers.get(name) == incarnation:
                del followers[name]
        followers.update(change.joined)
        self.rolls += 1
        return self._yes()

    # Permits

    def _grant(self, index: int, ask: Ask) -> Answer:
        state = self.state
        member = state.members.get(ask.member)
        if member is None:
            return self._no(f"no member {ask.member}")
        if held := next((p for p in state.permits.values() if p.member == ask.member), None):
            return self._no(f"{ask.member} is out by {held.holder} under {held.id}")
        if why := state.halted or self._against(ask):
            return self._no(why)
        if not member.silent:  # one that is silent is out already: to bring it back takes nothing more
            for use in self._uses(member):
                if len(use.out) >= use.allowed:
                    return self._no(use.told)
        permit = Permit(f"p{index}", ask.member, ask.holder, ask.why, index, ask.plan)
        state.permits[permit.id] = permit
        self._listed(member.kind)
        return self._yes(permit.id)

    def _against(self, ask: Ask) -> str:
        """What its plan has against it."""
        if not ask.plan:
            return ""
        plan = self.state.plans.get(ask.plan)
        if plan is None or plan.ended:
            return f"no plan {ask.plan} under way"
        if plan.halted:
            return plan.halted
        if ask.member not in plan.order[: plan.reached()]:
            return f"{ask.member} is not in step {plan.step + 1} of {ask.plan}"
        if ask.member in plan.done:
            return f"{ask.member} is done in {ask.plan}"
        return ""

    def _held(self, id: str, holder: str) -> Permit | None:
        """The permit, if it is this holder's."""
        permit = self.state.permits.get(id)
        return permit if permit is not None and permit.holder == holder else None

    def _returned(self, permit: Permit) -> None:
        del self.state.permits[permit.id]
        if (member := self.state.members.get(permit.member)) is not None:
            self._listed(member.kind)

    def _clear(self, clear: Clear) -> Answer:
        """Checked here and not only where it is proposed: a front end may have come up since."""
        permit = self.state.permits.get(clear.permit)
        if permit is None:
            return self._no(f"no permit {clear.permit}")
        acted = {a.member: a for a in clear.acted}
        for name, member in self.state.members.items():
            if not member.follows or member.silent:
                continue
            told = acted.get(name)
            if told is None or told.incarnation != member.incarnation or told.index < permit.at:
                return self._no(f"{name} has not said that it acts on {permit.at}")
        if not permit.cleared:
            permit.cleared, permit.acted = self.state.index, clear.acted
        return self._yes()

    def _back(self, back: Back) -> Answer:
        held = self._held(back.permit, back.holder)
        if held is None:
            return self._no(f"{back.holder} holds no permit {back.permit}")
        member = self.state.members[held.member]
        member.incarnation, member.version, member.silent = back.incarnation, back.version, False
        member.address = back.address or member.address
        self._returned(held)
        for plan in [p for p in self.state.plans.values() if not p.ended]:
            due = held.member in plan.order and held.member not in plan.done
            if due and (plan.version == back.version if plan.version else plan.id == held.plan):
                plan.done.append(held.member)
                self._look(plan)
            elif due and back.failed and plan.id == held.plan:
                self._bad(plan, f"{held.member}: {back.failed}")
        return self._yes()

    # Plans

    def _start(self, s: Start) -> Answer:
        state = self.state
        if s.plan in state.plans:
            return self._no(f"plan {s.plan} is known already")
        for plan in [p for p in state.plans.values() if not p.ended and p.id != s.replaces]:
            if (s.version and plan.version) or set(plan.order) & set(s.members):
                return self._no(f"plan {plan.id} is under way")
        if s.replaces and (s.replaces not in state.plans or state.plans[s.replaces].ended):
            return self._no(f"no plan {s.replaces} under way to replace")
        if s.version and s.version not in state.versions:
            return self._no(f"version {s.version} is not kept")
        if s.back and s.back not in state.versions:
            return self._no(f"version {s.back} to go back to is not kept")
        if unknown := [m for m in s.members if m not in state.members]:
            return self._no(f"no member {', '.join(unknown)}")
        if not s.members or list(s.steps) != sorted({*s.steps}) or not s.steps or s.steps[-1] != 1.0:
            return self._no("members, and steps that rise to 1, are wanted")
        if s.stay and s.version:
            return self._no("a release holds nobody out")
        going = {p.member for p in state.permits.values()}
        wanted = [
            m for m in s.members if not s.version or m in going or state.members[m].version != s.version
        ]
        if s.replaces:
            state.plans[s.replaces].ended = f"replaced by {s.plan}"
        judged = s.judged and bool(s.version)
        plan = Plan(
            s.plan, self._spread(wanted), s.version, list(s.steps), s.back, stay=s.stay, judged=judged
        )
        plan.ended = "" if wanted else "done: all were at it"
        state.plans[s.plan] = plan
        held = {p.plan for p in state.permits.values()}
        self._trim(state.plans, PLANS_MOST, held | {p.id for p in state.plans.values() if not p.ended})
        return self._yes()

    def _needed(self) -> set[str]:
        """Versions that run, or that a plan under way goes to or back to."""
        run = {m.version for m in self.state.members.values()}
        return run.union(*({p.version, p.back} for p in self.state.plans.values() if not p.ended))

    @staticmethod
    def _trim(held: dict[str, Any], most: int, needed: set[str]) -> None:
        """The oldest go first that nothing needs; the newest stays in any case."""
        for name in list(held)[:-1]:
            if len(held) <= most:
                return
            if name not in needed:
                del held[name]

    def _spread(self, names: Iterable[str]) -> list[str]:
        """Each zone in turn, so that a step never takes a zone by itself."""
        zones: dict[str, list[str]] = {}
        for name in sorted(set(names)):
            zones.setdefault(self.state.members[name].zone, []).append(name)
        turns = zip_longest(*(zones[z] for z in sorted(zones)))
        return [name for name in chain.from_iterable(turns) if name is not None]

    def _look(self, plan: Plan) -> None:
        """A drain and a way back need no judgement; a release's steps end by one (`_judge`)."""
        if not plan.judged and len(plan.done) == len(plan.order):
            plan.ended = "done"

    def _judge(self, j: Judge) -> Answer:
        plan = self.state.plans.get(j.plan)
        if plan is None or plan.ended or plan.step != j.step:
            return self._no(f"plan {j.plan} is not at step {j.step}")
        if not j.good:
            self._bad(plan, j.why)
            return self._yes()
        if plan.halted:
            return self._no(plan.halted)
        if len(plan.done) < plan.reached():
            return self._no(f"{plan.reached() - len(plan.done)} members of step {j.step} are not back")
        plan.before = j.before or plan.before
        if len(plan.done) == len(plan.order):
            plan.ended = "done"
        else:
            plan.step += 1
        return self._yes()

    def _bad(self, plan: Plan, why: str) -> None:
        """Halts by itself and, where the plan says so, goes back by itself: a plan like any other."""
        plan.halted = plan.halted or why
        if plan.back and not plan.ended:
            plan.ended = f"gone back: {why}"
            touched = [m for m in plan.order if self._touched(plan, m)]
            if touched:
                id = f"{plan.id}.back"
                self.state.plans[id] = Plan(id, touched, plan.back, [1.0], "", judged=False)

    def _touched(self, plan: Plan, name: str) -> bool:
        member = self.state.members.get(name)
        going = any(p.member == name and p.plan == plan.id for p in self.state.permits.values())
        return going or (member is not None and member.version == plan.version)

    def _halt(self, why: str, plan: str) -> Answer:
        if not plan:
            self.state.halted = why
            return self._yes()
        known = self.state.plans.get(plan)
        if known is None or known.ended:
            return self._no(f"no plan {plan} under way")
        known.halted = why
        return self._yes()

    def _resume(self, plan: str) -> Answer:
        if not plan:
            self.state.halted = ""
            return self._yes()
        known = self.state.plans.get(plan)
        if known is None or known.ended or not known.halted:
            return self._no(f"no plan {plan} that is halted")
        known.halted = ""
        return self._yes()
