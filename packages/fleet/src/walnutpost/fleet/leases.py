"""What is reported to a leader about members, and the commands that it proposes in response.

No I/O; clocks are passed in, in microseconds. Nothing here is committed: all of it is lost with the
leadership, and a new leader waits for a full lease before it proposes that a member is unresponsive.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from walnutpost.fleet.analysis import AnalysisPolicy, CallCounts, ReportedCounts, StepAnalysis, Verdict
from walnutpost.fleet.commands import (
    Acknowledgement,
    Command,
    ConfirmPermit,
    MarkResponsive,
    MarkUnresponsive,
    RecordStepVerdict,
)
from walnutpost.fleet.state import FleetState, Member, Plan


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A report of a process, or of the agent in its name.

    `applied_index`: the entry whose list of workers the process acts on; None from a sender that follows no
    list, such as an agent. `call_counts`: since the process began.
    """

    member: str
    incarnation: str
    applied_index: int | None = None
    call_counts: CallCounts | None = None


@dataclass(frozen=True, slots=True)
class _LastReport:
    """The last report of a member: by which incarnation, and when."""

    incarnation: str
    at_us: int


class MemberLeases:
    """Which members have reported within the lease. `began_at_us`: when the leadership began."""

    def __init__(self, began_at_us: int, lease_us: int) -> None:
        self._began_at_us, self._lease_us = began_at_us, lease_us
        self._reports: dict[str, _LastReport] = {}  # by name

    def report(self, now_us: int, member: str, incarnation: str) -> None:
        """Renew the lease of a member."""
        self._reports[member] = _LastReport(incarnation, now_us)

    def check(self, now_us: int, members: Mapping[str, Member]) -> list[Command]:
        """Return the commands to propose; the same ones again until they have been applied."""
        proposals: list[Command] = []
        for name, member in sorted(members.items()):
            last = self._reports.get(name, _LastReport("", self._began_at_us))
            is_alive = last.incarnation == member.incarnation and now_us - last.at_us < self._lease_us
            silent_for_us = now_us - max(last.at_us, self._began_at_us)
            if member.unresponsive and is_alive:
                proposals.append(MarkResponsive(name, member.incarnation))
            elif not member.unresponsive and not is_alive and silent_for_us >= self._lease_us:
                proposals.append(MarkUnresponsive(name, member.incarnation))
        for name in [name for name in self._reports if name not in members]:
            del self._reports[name]
        return proposals


class FleetMonitor:
    """Everything that is reported to a leader: leases, acknowledged lists of workers, and call counts.

    `began_at_us`: when the leadership began. `pending_verdicts`: by plan, why its step has no verdict yet.
    """

    def __init__(self, began_at_us: int, lease_us: int, policy: AnalysisPolicy) -> None:
        self.leases = MemberLeases(began_at_us, lease_us)
        self._policy = policy
        self._acknowledgements: dict[str, Acknowledgement] = {}
        self._call_counts: dict[str, ReportedCounts] = {}  # by name
        self._steps: dict[str, StepAnalysis] = {}
        self.pending_verdicts: dict[str, str] = {}

    def report(self, now_us: int, report: MemberReport, state: FleetState) -> bool:
        """Record a report, and return whether the member is known as this incarnation; others are ignored.

        A front end that follows the list renews its lease only by its own reports: those of its agent would
        hide that it hangs.
        """
        member = state.members.get(report.member)
        if member is None or member.incarnation != report.incarnation:
            return False
        if report.applied_index is None:
            if not member.follows_endpoints:
                self.leases.report(now_us, report.member, report.incarnation)
            return True
        self.leases.report(now_us, report.member, report.incarnation)
        acknowledgement = Acknowledgement(report.member, report.incarnation, report.applied_index)
        self._acknowledgements[report.member] = acknowledgement
        if report.call_counts is not None:
            self._call_counts[report.member] = ReportedCounts(report.incarnation, report.call_counts)
        return True

    def propose(self, now_us: int, state: FleetState) -> list[Command]:
        """Return the commands to propose now."""
        proposals = self.leases.check(now_us, state.members)
        proposals += self._confirm_permits(state)
        proposals += self._analyze_steps(state)
        return proposals

    def missing_acknowledgements(self, state: FleetState, index: int) -> list[str]:
        """Return the responsive front ends that have not acknowledged entry `index` or a later one."""
        followers = [
            (name, member)
            for name, member in sorted(state.members.items())
            if member.follows_endpoints and not member.unresponsive
        ]
        return [name for name, member in followers if not self._has_acknowledged(name, member, index)]

    def _has_acknowledged(self, name: str, member: Member, index: int) -> bool:
        known = self._acknowledgements.get(name)
        return known is not None and known.incarnation == member.incarnation and known.index >= index

    def _confirm_permits(self, state: FleetState) -> list[Command]:
        """Return confirmations of the permits that all responsive front ends have acknowledged."""
        names = sorted(name for name in self._acknowledgements if name in state.members)
        known = [self._acknowledgements[name] for name in names]
        return [
            ConfirmPermit(p.id, tuple(each for each in known if each.index >= p.granted_index))
            for p in state.permits.values()
            if p.has_begun
            and not p.confirmed_index
            and not self.missing_acknowledgements(state, p.granted_index)
        ]

    def _analyze_steps(self, state: FleetState) -> list[Command]:
        """Return verdicts on the steps whose members are all back."""
        running = {
            plan.id: plan
            for plan in state.plans.values()
            if plan.requires_verdict and not plan.end_reason and not plan.halt_reason
        }
        self._steps = {plan: step for plan, step in self._steps.items() if plan in running}
        self.pending_verdicts = {
            plan: reason for plan, reason in self.pending_verdicts.items() if plan in running
        }
        verdicts = [self._analyze_step(plan, state) for plan in running.values()]
        return [verdict for verdict in verdicts if verdict is not None]

    def _analyze_step(self, plan: Plan, state: FleetState) -> RecordStepVerdict | None:
        step = self._steps.get(plan.id)
        if step is None or step.number != plan.step:
            step = self._steps[plan.id] = StepAnalysis(plan.step, CallCounts(*plan.baseline))
        followers = {name: member for name, member in state.members.items() if member.follows_endpoints}
        step.update(followers, plan.version, self._call_counts)
        missing = plan.eligible_count() - len(plan.completed)
        if missing > 0:
            self.pending_verdicts[plan.id] = f"{missing} members of step {plan.step} are not back"
            return None
        result = step.analyze(self._policy)
        self.pending_verdicts[plan.id] = result.reason
        if result.verdict is Verdict.INCONCLUSIVE:
            return None
        has_passed = result.verdict is Verdict.PASSED
        return RecordStepVerdict(plan.id, plan.step, has_passed, result.reason, step.baseline.as_tuple)
