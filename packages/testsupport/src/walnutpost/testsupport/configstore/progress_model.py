"""Members, relays and a leader over a network that loses, duplicates and delays messages.

The model knows what members have really applied. The caller chooses the events; `check` compares the leader's
claims with it.
"""

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
    """One process of a member.

    `in_force`: the revision it has applied. `held`: the revision of its store. `asked`: its last request.
    """

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
    """One process of a relay, with the revision of its store."""

    name: str
    incarnation: str
    registry: MemberRegistry
    revision: int = 0


@dataclass
class Office:
    """A leader's term, with the registered members as the leader knows them.

    `before`: its claims of applied revisions at the last check.
    """

    leader: FleetProgress
    agreed: dict[str, str]
    revision: int
    before: dict[tuple[str, str], int] = field(default_factory=dict)

    def agree(self, now: int, agreed: dict[str, str]) -> None:
        """Set the registered members."""
        self.agreed = agreed
        self.leader.set_members(now, agreed)
        self.before = {key: claim for key, claim in self.before.items() if key in agreed.items()}


@dataclass
class ProgressModel:
    """The processes, the messages in transit, and the revisions that were really applied.

    `former`: processes that run on although another has their name. `truth`: applied revisions by member and
    incarnation. `deposed`: the last leader's term, which may still receive reports. The `n` of a step
    chooses among the possible events.
    """

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
        """Start the first leader's term, the relays and the members."""
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

    def passes(self, n: int) -> None:
        """Advance the time by up to 4 s."""
        self.now += (n % 40 + 1) * SECOND_US // 10

    def waits(self, n: int) -> None:
        """Advance the time by up to 16 s."""
        self.now += (n % 9) * 2 * SECOND_US

    def change(self, n: int) -> None:
        """Commit a revision."""
        self.revision += n % 3 + 1
        self.office.revision = self.revision
        self.office.leader.revision_committed(self.now, self.revision)

    def relay_follows(self, n: int) -> None:
        """Bring a relay's store up to date."""
        relay = self.relays[n % len(self.relays)]
        relay.revision = self.revision

    def acts(self, n: int) -> None:
        """Let one member or all apply what the relay holds."""
        names = NAMES if n % 4 == 0 else (NAMES[n // 4 % len(NAMES)],)
        for name in names:
            process = self.members[name]
            process.in_force = max(process.in_force, self.relays[process.relay].revision)
            self.truth[name, process.incarnation] = process.in_force

    def _ask(self, process: Process, **more: bool) -> WatchRequest:
        """Return a new request of the process."""
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
        """Deliver a request of one member or of all."""
        names = NAMES if n % 4 == 0 else (NAMES[n // 4 % len(NAMES)],)
        for name in names:
            process = self.members[name]
            self.relays[process.relay].registry.observe(self.now, self._ask(process))

    def asks_slowly(self, n: int) -> None:
        """Send a member's request that arrives later or never."""
        process = self.members[NAMES[n % len(NAMES)]]
        self.questions.append((process.relay, self._ask(process)))

    def former_asks(self, n: int) -> None:
        """Deliver a request of a process that does not know that another has taken its name."""
        if self.former:
            process = self.former[n % len(self.former)]
            self.relays[process.relay].registry.observe(self.now, self._ask(process))

    def arrives(self, n: int) -> None:
        """Deliver a delayed request; in one case of three it may be delivered again."""
        if self.questions:
            at = n // 3 % len(self.questions)
            relay, question = self.questions[at] if n % 3 == 0 else self.questions.pop(at)
            self.relays[relay].registry.observe(self.now, question)

    def moves(self, n: int) -> None:
        """Let a member reconnect to another relay; the former one may see the connection close."""
        process = self.members[NAMES[n % len(NAMES)]]
        if n // 5 % 2 and process.asked is not None:
            self.relays[process.relay].registry.connection_closed(process.asked)
        process.relay = (process.relay + 1 + n // 10 % 2) % len(self.relays)
        process.session += 1

    def restarts(self, n: int) -> None:
        """Restart a member at the same relay or the next, with half its revision or none.

        The former process ends silently, announces its end, or continues to run.
        """
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
        """Replace a relay by a new process without state."""
        at = n % len(self.relays)
        self.relays[at] = self._relay(self.relays[at].name)

    def relay_doubles(self, n: int) -> None:
        """Start a second process with a relay's name."""
        if len(self.relays) < 5:
            self.relays.append(self._relay(RELAYS[n % len(RELAYS)]))

    def reports_on(self, n: int) -> None:
        """Send a report of a relay; it arrives later or never."""
        relay = self.relays[n % len(self.relays)]
        self.reports.append(relay.registry.next_summary(self.now, relay.revision))
        del self.reports[:-30]

    def report_arrives(self, n: int) -> None:
        """Deliver the newest report or any other; it may be delivered again."""
        if self.reports:
            at = n // 6 % len(self.reports) if n % 2 else len(self.reports) - 1
            summary = self.reports[at] if n % 3 else self.reports.pop(at)
            self.answers.append((summary.incarnation, self.office.leader.handle_summary(self.now, summary)))
            del self.answers[:-10]

    def answer_arrives(self, n: int) -> None:
        """Deliver a leader's response to the relay process that it is for."""
        if self.answers:
            at = n // 2 % len(self.answers) if n % 2 else len(self.answers) - 1
            incarnation, heard = self.answers[at]
            for relay in self.relays:
                if relay.incarnation == incarnation:
                    relay.registry.handle_response(heard)

    def exchanges(self, n: int) -> None:
        """Deliver a report and its response at once."""
        relay = self.relays[n % len(self.relays)]
        relay.registry.handle_response(
            self.office.leader.handle_summary(self.now, relay.registry.next_summary(self.now, relay.revision))
        )

    def exchanges_with_the_deposed(self, n: int) -> None:
        """Deliver a report to a leader that does not know yet that it was deposed."""
        if self.deposed is not None:
            relay = self.relays[n % len(self.relays)]
            heard = self.deposed.leader.handle_summary(
                self.now, relay.registry.next_summary(self.now, relay.revision)
            )
            if n // len(self.relays) % 2:
                relay.registry.handle_response(heard)

    def agrees(self, _n: int) -> None:
        """Register the members that the leader has found."""
        found = dict(self.office.leader.unregistered_members(self.now))
        self.office.agree(self.now, self.office.agreed | found)

    def agrees_unheard(self, n: int) -> None:
        """Register a member that the leader may not have heard of, as an operator or a former leader does."""
        name = NAMES[n % len(NAMES)]
        self.office.agree(self.now, {**self.office.agreed, name: self.members[name].incarnation})

    def forgets(self, n: int) -> None:
        """Remove a member or those that have ended."""
        gone = self.office.leader.ended_members() if n % 2 else [NAMES[n // 2 % len(NAMES)]]
        self.office.agree(self.now, {m: i for m, i in self.office.agreed.items() if m not in gone})

    def another_leader(self, _n: int) -> None:
        """Elect another leader, which knows only the registered members."""
        self.deposed = self.office
        self.office = Office(self.progress(self.now, self.revision), {}, self.revision)
        self.office.agree(self.now, dict(self.deposed.agreed))

    def run(self, steps: Sequence[tuple[int, int]]) -> None:
        """Carry out the steps with a check after each, then let the model settle."""
        for kind, n in steps:
            STEPS[kind](self, n)
            self.check()
        self.settles()

    def check(self) -> None:
        """Check the claims of the present leader and of the deposed one."""
        for office in (self.office, self.deposed):
            if office is not None:
                self._check(office)

    def _check(self, office: Office) -> None:
        """Check that no claim exceeds what was applied, and that none of a process decreases."""
        proved = {key: office.leader.applied_revision(*key) for key in office.agreed.items()}
        for key, claim in proved.items():
            assert office.before.get(key, 0) <= claim <= self.truth[key], (key, claim, self.truth[key])
        assert office.leader.min_applied_revision == min(proved.values(), default=office.revision)
        office.before = proved

    def settles(self) -> None:
        """Stop the faults and check that the claims become complete.

        Each member sends requests, and all reports arrive.
        """
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


STEPS: list[Callable[[ProgressModel, int], None]] = [
    ProgressModel.passes,
    ProgressModel.waits,
    ProgressModel.change,
    ProgressModel.relay_follows,
    ProgressModel.acts,
    ProgressModel.acts,
    ProgressModel.asks,
    ProgressModel.asks,
    ProgressModel.asks_slowly,
    ProgressModel.former_asks,
    ProgressModel.arrives,
    ProgressModel.moves,
    ProgressModel.restarts,
    ProgressModel.relay_restarts,
    ProgressModel.relay_doubles,
    ProgressModel.reports_on,
    ProgressModel.report_arrives,
    ProgressModel.report_arrives,
    ProgressModel.answer_arrives,
    ProgressModel.exchanges,
    ProgressModel.exchanges,
    ProgressModel.agrees,
    ProgressModel.agrees_unheard,
    ProgressModel.forgets,
    ProgressModel.another_leader,
    ProgressModel.exchanges_with_the_deposed,
]
