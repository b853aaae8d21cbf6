"""Hollow members, many in one process: the real protocol code, state machine and sockets, but no calls and
no workers. Also the client that puts calls on real front ends. Both are told what to do on standard input
and end when that closes."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from random import Random
from typing import Any

from walnutpost.cli.process import raise_descriptor_limit
from walnutpost.config.base import parse_address
from walnutpost.configstore import ApplyOutcome, ConfigStore, WatchState
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError
from walnutpost.watch import ServerPool, Watcher

SECOND = 1_000_000
SPREAD = 2 * SECOND  # in which the members of a process begin
PATIENCE = 3 * SECOND


class Quiet:
    """A log of which only warnings are counted."""

    def __init__(self) -> None:
        self.warnings = 0

    def info(self, *args: Any, **named: Any) -> None:
        pass

    def warning(self, *args: Any, **named: Any) -> None:
        self.warnings += 1


class Member:
    """One hollow member: it acts at once on what it was told, and notes when."""

    def __init__(
        self, loop: Loop, name: str, relays: dict[str, str], table: ConfigStore | None, log: Any
    ) -> None:
        random = Random(name)
        self.name = name
        self.acted: list[tuple[int, float]] = []  # revision, and when by the machine's monotonic clock
        self.follower = WatchState(name, f"{random.getrandbits(48):012x}", loop.now())
        if table is not None:  # as from its kept file; the entries are shared by all of this process
            self.follower.store = ConfigStore.from_entries(table.entries, table.revision, max_log_entries=0)
            self.follower.mark_applied(table.revision)
        servers = {relay: lambda at=at: parse_address(at) for relay, at in relays.items()}
        choice = RelaySelector(name, dict.fromkeys(relays, ""), "", random)
        self.watcher = Watcher(loop, ServerPool(servers, choice), self.follower, self._taken, log)
        self._loop, self._wait = loop, random.randrange(SPREAD)

    def run(self) -> None:
        self._loop.sleep(self._wait)
        self.watcher.run()

    def _taken(self, taken: ApplyOutcome) -> None:
        revision = self.follower.store.revision
        if revision > self.follower.applied_revision:
            self.follower.mark_applied(revision)
            self.acted.append((revision, time.monotonic()))

    def told(self) -> dict[str, Any]:
        counts = self.watcher.counts
        return {
            "member": self.name,
            "acted": self.acted,
            "revision": self.follower.store.revision,
            "digest": self.follower.store.digest,
            "entries": len(self.follower.store.entries),
            "questions": counts.requests,
            "moves": counts.server_changes,
            "bytes_in": counts.bytes_in,
            "bytes_out": counts.bytes_out,
        }


def members(loop: Loop, told: dict[str, Any]) -> dict[str, Any]:
    table = ConfigStore.restore(Path(told["table"]).read_bytes()) if told["table"] else None
    log = Quiet()
    all_of_them = [Member(loop, name, told["relays"], table, log) for name in told["members"]]
    tasks = [loop.spawn(member.run, name="member") for member in all_of_them]
    print("ready", flush=True)
    before = time.process_time()
    wait_for_end(loop)
    for task in tasks:
        task.cancel()
    cpu = time.process_time() - before
    return {"members": [m.told() for m in all_of_them], "warnings": log.warnings, "cpu": cpu}


def load(loop: Loop, told: dict[str, Any]) -> dict[str, Any]:
    """So many calls a second at each front end, one after another on a connection that is kept."""
    counts: dict[str, int] = {}
    took: list[float] = []

    def at(address: str, number: int) -> None:
        connection: Connection | None = None
        every, n = round(SECOND / told["rate"]), 0
        due = loop.now() + number * every // max(1, len(told["fronts"]))
        while True:
            loop.sleep(max(0, due - loop.now()))
            due += every
            name, n = told["functions"][n % len(told["functions"])], n + 1
            began = time.monotonic()
            try:
                if connection is None or not connection.is_reusable:
                    connection = Connection.open(loop, parse_address(address))
                with loop.timeout(PATIENCE):
                    target = f"/2015-03-31/functions/{name}/invocations"
                    response = connection.request("POST", target, {}, b"{}")
                key = str(response.status)
            except (OSError, HttpMessageError, WaitTimeoutError) as error:
                key, connection = type(error).__name__, None
            took.append(time.monotonic() - began)
            counts[key] = counts.get(key, 0) + 1

    tasks = [loop.spawn(at, address, n, name="calls") for n, address in enumerate(told["fronts"])]
    print("ready", flush=True)
    wait_for_end(loop)
    for task in tasks:
        task.cancel()
    took.sort()
    return {
        "answers": counts,
        "p50_ms": took[len(took) // 2] * 1e3,
        "p99_ms": took[len(took) * 99 // 100] * 1e3,
    }


def wait_for_end(loop: Loop) -> None:
    """Until standard input closes."""
    loop.wait_readable(sys.stdin.fileno())


def main() -> None:
    raise_descriptor_limit()
    told = json.loads(sys.stdin.readline())
    loop = Loop(on_error=lambda name, error: print(name, repr(error), file=sys.stderr))
    work = {"members": members, "load": load}[sys.argv[1]]
    out = loop.run(lambda: work(loop, told))
    Path(told["out"]).write_text(json.dumps(out))


if __name__ == "__main__":
    main()
