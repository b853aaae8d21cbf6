"""Simulated members: followers of the configuration store that serve no calls, many to a process.

They have the real protocol, state machine and sockets. `python -m
walnutpost.faultinjection.simulated_members SPEC` reads a MemberProcessSpec and writes a line of JSON
whenever one of its members acts on another revision, before that is reported to a relay.
"""

from __future__ import annotations

import secrets
import signal
import sys
from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import partial
from pathlib import Path
from random import Random

import msgspec

from walnutpost.config.base import parse_address
from walnutpost.configstore import ApplyOutcome, ConfigStore, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Event, Loop
from walnutpost.watch import ServerPool, Watcher

SECOND_US = 1_000_000
INCARNATION_BYTES = 6
TWIN_KEYS = "function/twin-a", "function/twin-b"  # each change set gives both the same value


class MemberFault(StrEnum):
    """A rule that a simulated member breaks on purpose, for an observer to find."""

    NONE = ""
    PARTIAL_CHANGE = "half"  # acts on the first key of a change set before the others
    EARLY_REPORT = "early"  # reports that it acts on a revision, and does so a second later


class MemberProcessSpec(msgspec.Struct, frozen=True):
    """What a process of simulated members is given: its members, and by name where each relay is."""

    members: tuple[str, ...]
    relays: dict[str, str]
    faults: dict[str, MemberFault]


class Listening(msgspec.Struct, frozen=True):
    """The line that a process writes once its members run."""

    listening: bool = True


class MemberActed(msgspec.Struct, frozen=True):
    """The line of a member that acts on a revision; `are_twins_equal` is not so within a change set."""

    member: str
    incarnation: str
    revision: int
    digest: int
    are_twins_equal: bool


class MemberStats(msgspec.Struct, frozen=True):
    """The line that a process writes every second, for all of its members."""

    requests: int
    server_changes: int
    bytes_in: int
    stale_members: int
    at_us: int


Line = Listening | MemberActed | MemberStats
Write = Callable[[Line], None]


class NullLog:
    """A log whose events are dropped."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Return a method that does nothing."""
        return lambda *_, **__: None


class SimulatedMember:
    """One follower, which may break a rule on purpose."""

    def __init__(
        self, loop: Loop, name: str, relays: Mapping[str, str], write: Write, fault: MemberFault
    ) -> None:
        self._loop = loop
        self._write = write
        self._fault = fault
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.follower = WatchState(name, self.incarnation, loop.now())
        rng = Random(f"{name} {self.incarnation}")
        selector = RelaySelector(name, dict.fromkeys(relays, ""), "", rng)
        servers = {relay: partial(parse_address, address) for relay, address in relays.items()}
        self.watcher = Watcher(
            loop, ServerPool(servers, selector), self.follower, self._on_applied, NullLog()
        )

    def _on_applied(self, outcome: ApplyOutcome) -> None:
        store = self.follower.store
        revision = store.revision
        digest = store.digest
        changes_twins = bool(outcome.changes) and outcome.changes[-1].mutations[0].key in TWIN_KEYS
        if self._fault is MemberFault.PARTIAL_CHANGE and changes_twins:
            self._act(revision, digest, are_twins_equal=False)
        if self._fault is MemberFault.EARLY_REPORT:
            self._loop.call_later(SECOND_US, lambda: self._act(revision, digest, are_twins_equal=True))
        else:
            self._act(revision, digest, are_twins_equal(store))
        self.follower.mark_applied(revision)

    def _act(self, revision: int, digest: int, are_twins_equal: bool) -> None:
        member = self.follower.member
        self._write(MemberActed(member, self.incarnation, revision, digest, are_twins_equal))


def are_twins_equal(store: ConfigStore) -> bool:
    """Whether both twins have the same value, as they have after each change set."""
    first, second = (store.entries.get(key) for key in TWIN_KEYS)
    return (first.value if first else None) == (second.value if second else None)


def run_members(loop: Loop, spec: MemberProcessSpec, write: Write) -> None:
    """Run the members of a process until it is terminated."""
    stop = Event(loop)
    loop.on_signal(signal.SIGTERM, stop.set)
    members = [
        SimulatedMember(loop, name, spec.relays, write, spec.faults.get(name, MemberFault.NONE))
        for name in spec.members
    ]
    for member in members:
        loop.spawn(member.watcher.run, name=member.follower.member)
    loop.call_every(SECOND_US, lambda: write(_stats(loop, members)), name="stats")
    write(Listening())
    stop.wait()


def _stats(loop: Loop, members: list[SimulatedMember]) -> MemberStats:
    counts = [member.watcher.counts for member in members]
    return MemberStats(
        requests=sum(each.requests for each in counts),
        server_changes=sum(each.server_changes for each in counts),
        bytes_in=sum(each.bytes_in for each in counts),
        stale_members=sum(member.follower.is_stale(loop.now()) for member in members),
        at_us=loop.now(),
    )


def write_line(line: Line) -> None:
    """Write a line to the standard output, at once."""
    print(msgspec.json.encode(line).decode(), flush=True)


def main(path: Path) -> None:
    """Run the members that the file specifies."""
    spec = msgspec.json.decode(path.read_bytes(), type=MemberProcessSpec)
    loop = Loop()
    loop.run(lambda: run_members(loop, spec, write_line))


if __name__ == "__main__":
    main(Path(sys.argv[1]))
