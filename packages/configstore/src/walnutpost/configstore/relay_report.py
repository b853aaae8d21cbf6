"""One relay's reports as a leader has received them, and whether another report fits them. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from walnutpost.configstore.messages import MemberProgress, ProgressSummary


@dataclass(frozen=True, slots=True)
class MemberReport:
    """What a relay has last reported of one member.

    `heard_at_us`: when the relay last heard a lagging member, else the time of its report; None if no relay
    ever reported the member.
    """

    relay: str
    blocked_reason: str
    heard_at_us: int | None


@dataclass(slots=True)
class RelayState:
    """One relay by its reports so far.

    `full_report_number`: the last complete report.
    `reported_min_revision`, `lagging`: as in the last report.
    `members`: all members that the relay has reported, with their last progress by name.
    `common_revision`: registered members at home here that are not in `individual` have applied at least
    this revision; they are `common_count`.
    `individual`: members at home here of which another revision is proved.
    """

    name: str
    incarnation: str
    number: int = 0
    full_report_number: int = 0
    revision: int = 0
    reported_min_revision: int = 0
    reported_at_us: int = 0
    members: dict[str, MemberProgress] = field(default_factory=dict)
    lagging: dict[str, MemberProgress] = field(default_factory=dict)
    common_revision: int = 0
    common_count: int = 0
    individual: set[str] = field(default_factory=set)

    def covers(self, number: int) -> bool:
        """Whether a report that is relative to report `number` of this incarnation can be added."""
        return self.full_report_number <= number <= self.number

    def last_report_of(self, member: str) -> MemberReport:
        """Return what this relay's last report says of a member."""
        listed = self.lagging.get(member)
        if listed is None:
            return MemberReport(self.name, "", self.reported_at_us)
        return MemberReport(self.name, listed.blocked_reason, self.reported_at_us - listed.silent_for_us)


def is_consistent(members: Mapping[str, MemberProgress], summary: ProgressSummary) -> bool:
    """Return whether a report fits the members that its relay has reported before.

    Otherwise `min_applied_revision` would be taken to cover a member that the relay does not have, or
    another process of that name.
    """
    joined = {progress.member: progress for progress in summary.joined}
    left = set(summary.left)
    if (
        len(joined) < len(summary.joined)
        or (left and not summary.since_number)
        or not left.isdisjoint(joined)
    ):
        return False
    count = len(members) + sum(name not in members for name in joined) - sum(name in members for name in left)
    if count != summary.member_count or len({each.member for each in summary.lagging}) < len(summary.lagging):
        return False
    for progress in summary.lagging:
        known = joined.get(progress.member) or members.get(progress.member)
        if known is None or progress.member in left or known.incarnation != progress.incarnation:
            return False
    return True
