"""Which relay's reports count for a member. No I/O."""

from __future__ import annotations

from walnutpost.configstore.known_fleet import KnownFleet, RegisteredMember
from walnutpost.configstore.proved_revisions import ProvedRevisions
from walnutpost.configstore.relay_report import RelayState


class HomeRelays:
    """The home relays of the members of `fleet`.

    What a former relay still reports of a member that has moved neither counts twice nor holds it back.
    """

    def __init__(self, fleet: KnownFleet, proved: ProvedRevisions) -> None:
        self._fleet = fleet
        self._proved = proved

    def assign(self, name: str) -> None:
        """Find the home: of the relays that report this incarnation the one with the highest session."""
        member = self._fleet.members[name]
        home = self._find(name, member)
        if home is not None and home is member.home:
            return
        self.detach(name)
        if home is None:
            self._fleet.unreported.add(name)
            return
        self._fleet.unreported.discard(name)
        member.home = home
        self._proved.begin_individually(home, name)

    def detach(self, name: str) -> None:
        """Remove a member from its home, if it has one; it keeps what is proved of it."""
        member = self._fleet.members[name]
        home = member.home
        if home is None:
            return
        self._proved.track_individually(home, name)
        home.individual.discard(name)
        member.last_report = home.last_report_of(name)
        member.home = None

    def _find(self, name: str, member: RegisteredMember) -> RelayState | None:
        home, session = None, 0
        for relay in self._fleet.relays.values():
            progress = relay.members.get(name)
            if progress is None or progress.incarnation != member.incarnation:
                continue
            if home is None or progress.session > session:
                home, session = relay, progress.session
        return home
