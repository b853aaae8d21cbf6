"""Members, relays and a leader over a network that loses, duplicates and delays, beside what members
have really applied. The caller chooses the events; `check` compares the leader's claims."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from walnutpost.configstore.fleet_progress import FleetProgress
from walnutpost.configstore.member_registry import SECOND_US, MemberRegistry
from walnutpost.configstore.messages import ProgressSummary, ProgressSummaryResponse, WatchRequest

NAMES = ("a", "b", "c", "d", "e")
RELAYS = ("r1", "r2", "r3")


@dataclass
class Process:
    """One process of a member. `held`: the revision of its store."""

    name: str
    incarnation: str
    relay: int
    in_force: int = 0
    held: int = 0
    session: int = 1
    alive: bool = True
    asked: WatchRequest | None = None


@dataclass
class Relay:
    name: str
    incarnation: str
    registry: MemberRegistry
    revision: int = 0


@dataclass
class Office:
    """A leader's term, with the registered members as it knows them."""

    leader: FleetProgress
    agreed: dict[str, str]
    revision: int
    before: dict[tuple[str, str], int] = field(default_factory=dict)

    def agree(self, now: int, agreed: dict[str, str]) -> None:
        self.agreed = agreed
        self.leader.set_members(now, agreed)
        self.before = {key: claim for key, claim in self.before.items() if key in agreed.items()}


@dataclass
class World:
    progress: type[FleetProgress] = FleetProgress
    registry: type[MemberRegistry] = MemberRegistry
    now: int = SECOND_US
    revision: int = 1
    made: int = 0
    members: dict[str, Process] = field(default_factory=dict)
    former: list[Process] = field(default_factory=list)
    relays: list[Relay] = field(default_factory=list)
    questions: list[tuple[int, WatchRequest]] = field(default_factory=list)
    reports: list[ProgressSummary] = field(default_factory=list)
    answers: list[tuple[str, ProgressSummaryResponse]] = field(default_factory=list)
    truth: dict[tuple[str, str], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.office = Office(self.progress(self.now, self.revision), {}, self.revision)
        self.deposed: Office | None = None
        self.relays = [self._relay(name) for name in RELAYS]
        for n, name in enumerate(NAMES):
            self.members[name] = self._process(name, n)

    def _relay(self, name: str) -> Relay:
        self.made += 1
        return Relay(name, f"i{self.made}", self.registry(name, f"i{self.made}"), 1)

    def _process(self, name: str, at: int) -> Process:
        self.made += 1
        process = Process(name, f"{name}.{self.made}", at % len(self.relays))
        self.truth[name, process.incarnation] = 0
        return process

    # What happens. `n` chooses among the possible.

    def passes(self, n: int) -> None:
        self.now += (n % 40 + 1) * SECOND_US // 10

    def waits(self, n: int) -> None:
        self.now += (n % 9) * 2 * SECOND_US

    def change(self, n: int) -> None:
        self.revision += n % 3 + 1
        self.office.revision = self.revision
        self.office.leader.revision_committed(self.now, self.revision)

    def relay_follows(self, n: int) -> None:
        relay = self.relays[n % len(self.relays)]
        relay.revision = self.revision

    def acts(self, n: int) -> None:
        """A member gets what its relay holds, or all get it."""
        names = NAMES if n % 4 == 0 else (NAMES[n // 4 % len(NAMES)],)
        for name in names:
            process = self.members[name]
            process.in_force = max(process.in_force, self.relays[process.relay].revision)
            self.truth[name, process.incarnation] = process.in_force

    def _ask(self, process: Process, **more: bool) -> WatchRequest:
        stuck = "no such class" if hash((process.in_force, len(process.name))) % 11 == 0 else ""
        question = WatchRequest(
            process.name,
            process.incarnation,
            process.session,
            process.in_force,
            process.in_force,
            0,
            3 * SECOND_US,
            stuck,
            **more,  # type: ignore[arg-type]
        )
        process.asked = question
        return question

    def asks(self, n: int) -> None:
        names = NAMES if n % 4 == 0 else (NAMES[n // 4 % len(NAMES)],)
        for name in names:
            process = self.members[name]
            self.relays[process.relay].registry.observe(self.now, self._ask(process))

    def asks_slowly(self, n: int) -> None:
        process = self.members[NAMES[n % len(NAMES)]]
        self.questions.append((process.relay, self._ask(process)))

    def former_asks(self, n: int) -> None:
        """A process of which another has taken the name, and that doesn't know."""
        if self.former:
            process = self.former[n % len(self.former)]
            self.relays[process.relay].registry.observe(self.now, self._ask(process))

    def arrives(self, n: int) -> None:
        """A question that was on its way, kept on it one time in three."""
        if self.questions:
            at = n // 3 % len(self.questions)
            relay, question = self.questions[at] if n % 3 == 0 else self.questions.pop(at)
            self.relays[relay].registry.observe(self.now, question)

    def moves(self, n: int) -> None:
        process = self.members[NAMES[n % len(NAMES)]]
        if n // 5 % 2 and process.asked is not None:
            self.relays[process.relay].registry.connection_closed(process.asked)
        process.relay = (process.relay + 1 + n // 10 % 2) % len(self.relays)
        process.session += 1

    def restarts(self, n: int) -> None:
        """In the same place or another, with what it had on disk or nothing; the old one ends, says so, or
        goes on."""
        name = NAMES[n % len(NAMES)]
        old = self.members[name]
        new = self.members[name] = self._process(name, old.relay + n // 5 % 2)
        new.in_force = old.in_force // 2 if n // 10 % 2 else 0
        self.truth[name, new.incarnation] = new.in_force
        if n // 20 % 3 == 0:
            self.relays[old.relay].registry.observe(self.now, self._ask(old, is_leaving=True))
        elif n // 20 % 3 == 1:
            self.former.append(old)

    def relay_restarts(self, n: int) -> None:
        at = n % len(self.relays)
        self.relays[at] = self._relay(self.relays[at].name)

    def relay_doubles(self, n: int) -> None:
        if len(self.relays) < 5:
            self.relays.append(self._relay(RELAYS[n % len(RELAYS)]))

    def reports_on(self, n: int) -> None:
        relay = self.relays[n % len(self.relays)]
        self.reports.append(relay.registry.next_summary(self.now, relay.revision))
        del self.reports[:-30]

    def report_arrives(self, n: int) -> None:
        """The newest as a rule, else any; it may come again."""
        if self.reports:
            at = n // 6 % len(self.reports) if n % 2 else len(self.reports) - 1
            summary = self.reports[at] if n % 3 else self.reports.pop(at)
            self.answers.append((summary.incarnation, self.office.leader.handle_summary(self.now, summary)))
            del self.answers[:-10]

    def answer_arrives(self, n: int) -> None:
        if self.answers:
            at = n // 2 % len(self.answers) if n % 2 else len(self.answers) - 1
            incarnation, heard = self.answers[at]
            for relay in self.relays:
                if relay.incarnation == incarnation:
                    relay.registry.handle_response(heard)

    def exchanges(self, n: int) -> None:
        """A report and its answer, with nothing in between."""
        relay = self.relays[n % len(self.relays)]
        relay.registry.handle_response(
            self.office.leader.handle_summary(self.now, relay.registry.next_summary(self.now, relay.revision))
        )

    def exchanges_with_the_deposed(self, n: int) -> None:
        """A relay turns to a leader that hasn't heard yet that it is none any more."""
        if self.deposed is not None:
            relay = self.relays[n % len(self.relays)]
            heard = self.deposed.leader.handle_summary(
                self.now, relay.registry.next_summary(self.now, relay.revision)
            )
            if n // len(self.relays) % 2:
                relay.registry.handle_response(heard)

    def agrees(self, n: int) -> None:
        found = dict(self.office.leader.unregistered_members(self.now))
        self.office.agree(self.now, self.office.agreed | found)

    def agrees_unheard(self, n: int) -> None:
        """By an operator, or by a leader before this one."""
        name = NAMES[n % len(NAMES)]
        self.office.agree(self.now, {**self.office.agreed, name: self.members[name].incarnation})

    def forgets(self, n: int) -> None:
        gone = self.office.leader.ended_members() if n % 2 else [NAMES[n // 2 % len(NAMES)]]
        self.office.agree(self.now, {m: i for m, i in self.office.agreed.items() if m not in gone})

    def another_leader(self, n: int) -> None:
        self.deposed = self.office
        self.office = Office(self.progress(self.now, self.revision), {}, self.revision)
        self.office.agree(self.now, dict(self.deposed.agreed))

    def run(self, steps: Sequence[tuple[int, int]]) -> None:
        for kind, n in steps:
            STEPS[kind](self, n)
            self.check()
        self.settles()

    def check(self) -> None:
        for office in (self.office, self.deposed):
            if office is not None:
                self._check(office)

    def _check(self, office: Office) -> None:
        """Nothing is claimed of a member that it hasn't come to, and nothing is taken back of a process."""
        proved = {key: office.leader.applied_revision(*key) for key in office.agreed.items()}
        for key, claim in proved.items():
            assert office.before.get(key, 0) <= claim <= self.truth[key], (key, claim, self.truth[key])
        assert office.leader.min_applied_revision == min(proved.values(), default=office.revision)
        office.before = proved

    def settles(self) -> None:
        """No more faults: each member sends a request, reports arrive, and the claims are complete."""
        self.questions.clear()
        self.former.clear()
        for at in range(12):
            self.now += 2 * SECOND_US
            for process in self.members.values():
                self.relays[process.relay].registry.observe(self.now, self._ask(process))
            for relay in self.relays[: len(RELAYS)]:
                for _ in range(4):
                    summary = relay.registry.next_summary(self.now, relay.revision)
                    relay.registry.handle_response(self.office.leader.handle_summary(self.now, summary))
            if at > 8:
                self.agrees(0)
            self.check()
        live = {name: process.incarnation for name, process in self.members.items()}
        on = [name for name in live if self.members[name].relay < len(RELAYS)]
        assert {name: self.office.agreed.get(name) for name in on} == {name: live[name] for name in on}
        self.office.agree(self.now, {name: live[name] for name in on})
        truth = [self.truth[key] for key in self.office.agreed.items()]
        assert self.office.leader.min_applied_revision == min(truth, default=self.revision)
        assert not self.office.leader.unregistered_members(self.now) or len(on) < len(live)


STEPS: list[Callable[[World, int], None]] = [
    World.passes,
    World.waits,
    World.change,
    World.relay_follows,
    World.acts,
    World.acts,
    World.asks,
    World.asks,
    World.asks_slowly,
    World.former_asks,
    World.arrives,
    World.moves,
    World.restarts,
    World.relay_restarts,
    World.relay_doubles,
    World.reports_on,
    World.report_arrives,
    World.report_arrives,
    World.answer_arrives,
    World.exchanges,
    World.exchanges,
    World.agrees,
    World.agrees_unheard,
    World.forgets,
    World.another_leader,
    World.exchanges_with_the_deposed,
]
