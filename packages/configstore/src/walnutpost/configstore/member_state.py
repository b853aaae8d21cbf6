"""What a relay knows of one member. No I/O.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.configstore.messages import MemberProgress, WatchRequest

SECOND_US = 1_000_000
MEMBER_SILENT_AFTER_US = 6 * SECOND_US
"""Two watch requests with a wait timeout of 3 s each."""


@dataclass(slots=True)
class MemberState:
    """A member's last request; `former_incarnation`: the process that this one replaced here."""

    incarnation: str
    session: int
    applied_revision: int
    blocked_reason: str
    heard_at_us: int
    request: WatchRequest
    former_incarnation: str = ""

    def is_silent(self, now: int) -> bool:
        """Whether the member has sent no request within MEMBER_SILENT_AFTER_US."""
        return now - self.heard_at_us >= MEMBER_SILENT_AFTER_US

    def progress(self, member: str, now: int) -> MemberProgress:
        """Return the progress of the member of this name, for a report."""
        return MemberProgress(
            member,
            self.incarnation,
            self.session,
            self.applied_revision,
            self.blocked_reason,
            now - self.heard_at_us,
        )
