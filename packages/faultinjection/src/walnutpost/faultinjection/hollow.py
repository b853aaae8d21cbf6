"""Hollow members: the real protocol, state machine and sockets of those who follow the agreed table,
many to a process, without calls. `python -m walnutpost.faultinjection.hollow SPEC` reads where the relays
are, and writes a line of JSON whenever one of its members acts on another revision, before that is said to a
relay."""

from __future__ import annotations

import json
import secrets
import signal
import sys
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from walnutpost.config.base import parse_address
from walnutpost.configstore import ApplyOutcome, ConfigStore, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Event, Loop
from walnutpost.watch import Watcher

SECOND = 1_000_000
TWINS = "function/twin-a", "function/twin-b"  # each change set gives both the same value
Say = Callable[[dict[str, Any]], None]


class NoLog:
    """What a member logs is not wanted here."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *_, **__: None


def twins_agree(table: ConfigStore) -> bool:
    one, other = (table.entries.get(key) for key in TWINS)
    return (one.value if one else None) == (other.value if other else None)


class Hollow:
    """One member. `fault` breaks a rule on purpose, for an observer to find: "half" acts on the first
    key of a change set before the others, "early" says that it acts on a revision and does so a second
    later."""

    def __init__(self, loop: Loop, name: str, relays: Mapping[str, str], say: Say, fault: str) -> None:
        self._loop, self._say, self._fault = loop, say, fault
        self.incarnation = secrets.token_hex(6)
        self.follower = WatchState(name, self.incarnation, loop.now())
        choice = RelaySelector(name, dict.fromkeys(relays, ""), "", Random(f"{name} {self.incarnation}"))
        servers = {relay: partial(parse_address, address) for relay, address in relays.items()}
        self.watcher = Watcher(loop, servers, self.follower, choice, self._taken, NoLog())

    def _taken(self, taken: ApplyOutcome) -> None:
        table = self.follower.store
        if self._fault == "half" and taken.changes and taken.changes[-1].mutations[0].key in TWINS:
            self._acts(table.revision, table.digest, False)
        if self._fault == "early":
            revision, digest = table.revision, table.digest
            self._loop.call_later(SECOND, lambda: self._acts(revision, digest, True))
        else:
            self._acts(table.revision, table.digest, twins_agree(table))
        self.follower.mark_applied(table.revision)

    def _acts(self, revision: int, digest: int, agree: bool) -> None:
        follower = self.follower
        line = {"member": follower.member, "incarnation": self.incarnation, "revision": revision}
        self._say(line | {"digest": digest, "agree": agree})


def main(path: Path) -> None:
    spec = json.loads(path.read_text())
    loop = Loop()

    def say(line: dict[str, Any]) -> None:
        print(json.dumps(line), flush=True)

    def run() -> None:
        stop = Event(loop)
        loop.on_signal(signal.SIGTERM, stop.set)
        faults = spec.get("faults", {})
        members = [Hollow(loop, name, spec["relays"], say, faults.get(name, "")) for name in spec["members"]]
        for member in members:
            loop.spawn(member.watcher.run, name=member.follower.member)

        def figures() -> None:
            counts = [m.watcher.counts for m in members]
            say(
                {
                    "questions": sum(c.requests for c in counts),
                    "moves": sum(c.server_changes for c in counts),
                    "bytes_in": sum(c.bytes_in for c in counts),
                    "late": sum(m.follower.is_stale(loop.now()) for m in members),
                    "at": loop.now(),
                }
            )

        loop.call_every(SECOND, figures, name="figures")
        say({"listening": True})
        stop.wait()

    loop.run(run)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
