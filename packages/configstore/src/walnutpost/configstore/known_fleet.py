"""What a leader knows of the registered members and of the relays that report them. No I/O.

The parts of `fleet_progress` share one `KnownFleet`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from walnutpost.configstore.relay_report import MemberReport, RelayState

NEVER_REPORTED = MemberReport("", "", None)


@dataclass(slots=True)
class RegisteredMember:
    """A registered member.

    `proved_revision`: proved of this incarnation by name, by any relay.
    `home`: the relay whose reports count for it, that with the member's highest session.
    `last_report`: of the last home, while there is none.
    """

    incarnation: str
    proved_revision: int = 0
    home: RelayState | None = None
    last_report: MemberReport = NEVER_REPORTED


@dataclass(slots=True)
class KnownFleet:
    """The registered members and the relays, by name.

    `revision`: the newest committed one.
    `unreported`: registered members that no relay reports with the registered incarnation.
    """

    revision: int
    relays: dict[str, RelayState] = field(default_factory=dict)
    members: dict[str, RegisteredMember] = field(default_factory=dict)
    unreported: set[str] = field(default_factory=set)
