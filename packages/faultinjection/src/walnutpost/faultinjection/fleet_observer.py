"""An observer of a fleet, who asks each member's process itself whether it serves."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.faultinjection.network import Address
from walnutpost.faultinjection.waits import POLL_INTERVAL_US
from walnutpost.http import Connection, HttpMessageError

HEALTH_CHECK_TIMEOUT_US = 1_000_000
UNAVAILABLE = 503
ADDRESS = re.compile(r"address\W+([\d.]+):(\d+)")


def address_in(text: str) -> Address | None:
    """Return the first address in a log; None where there is none."""
    found = ADDRESS.search(text)
    return None if found is None else (found[1], int(found[2]))


@dataclass(slots=True)
class Outage:
    """A time in which a member was seen down: first and last, in microseconds.

    `is_injected`: the scenario had done something to it, so that nobody had to agree.
    """

    member: str
    first_us: int
    last_us: int
    is_injected: bool


class FleetObserver:
    """Health checks of all members. `outages` are those seen once `is_recording`."""

    def __init__(self, loop: Loop, folder: Path, front_ends: Sequence[str], workers: Sequence[str]) -> None:
        self.outages: list[Outage] = []
        self.is_recording = False
        self._loop = loop
        self._folder = folder
        self._workers = workers
        self._members = (*front_ends, *workers)
        self._open: dict[str, Outage] = {}
        self._addresses: dict[str, Address] = {}
        self._injected: set[str] = set()

    def address_of(self, member: str) -> Address | None:
        """Return where a member answered last; None where it did not."""
        return self._addresses.get(member)

    def is_down(self, member: str) -> bool:
        """Whether a member did not serve when it was asked last."""
        return member in self._open

    def begin_injected(self, member: str) -> None:
        """Count whatever happens to a member until `end_injected` as the scenario's doing."""
        self._injected.add(member)

    def end_injected(self, member: str) -> None:
        """Count what happens to a member as its own doing again."""
        self._injected.discard(member)

    def run(self) -> None:
        """Check all members again and again, until cancelled."""
        while True:
            self.check()
            self._loop.sleep(POLL_INTERVAL_US)

    def check(self) -> set[str]:
        """Ask all members at once; return those who do not serve."""
        with TaskGroup(self._loop) as group:
            for member in self._members:
                group.spawn(self._check_member, member)
        return set(self._open)

    def _check_member(self, member: str) -> None:
        asked_us = self._loop.now()
        if self._serves(member):
            self._open.pop(member, None)
            return
        if member not in self._open:
            self._open[member] = Outage(member, self._loop.now(), asked_us, False)
            if self.is_recording:
                self.outages.append(self._open[member])
        outage = self._open[member]
        outage.last_us = asked_us
        outage.is_injected = outage.is_injected or member in self._injected

    def _serves(self, member: str) -> bool:
        output = self._folder / "agents" / f"{member}.out"
        try:
            address = address_in(output.read_text())
            if address is None:
                raise ConnectionRefusedError("it does not listen yet")
            status = self._ask(member, address)
        except (OSError, WaitTimeoutError, HttpMessageError):
            self._addresses.pop(member, None)
            return False
        self._addresses[member] = address
        return status != UNAVAILABLE

    def _ask(self, member: str, address: Address) -> int:
        target = "/v2/health/ready" if member in self._workers else "/"
        with self._loop.timeout(HEALTH_CHECK_TIMEOUT_US):
            connection = Connection.open(self._loop, address)
            try:
                return connection.request("GET", target).status
            finally:
                connection.close()
