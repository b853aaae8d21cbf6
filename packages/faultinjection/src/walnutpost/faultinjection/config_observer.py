"""An observer of a configuration store: what members wrote, against what the control plane agreed on.

Members write which revision they act on before they report it to a relay. So whatever the control plane
takes for applied everywhere must be in the log of each member.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from walnutpost.configstore import (
    ApplyOutcome,
    ConfigStore,
    InvalidSnapshotError,
    PropagationStatus,
    WatchState,
)
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.config_topology import FRONT_ENDS, REPLICAS
from walnutpost.faultinjection.network import Address
from walnutpost.faultinjection.simulated_members import NullLog
from walnutpost.watch import ServerPool, Watcher, WatcherSettings

OBSERVER = "observer"
APPLIED_EVENT = "config_applied"
TASK_FAILED_EVENT = "task_failed"
WATCH_TIMEOUT_US = 500_000
STALE_AFTER_US = 50_000_000
MAX_SHOWN_BYTES = 300
MEMBER_LOGS = "[fh]*.log"


@dataclass(slots=True)
class MemberHistory:
    """The revisions that one incarnation of a member wrote that it acts on, oldest first.

    A digest is None where the member does not write it.
    """

    revisions: list[int] = field(default_factory=list)
    digests: list[int | None] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class RequestCount:
    """The watch requests of all simulated members so far, and the time of the count by their clock."""

    requests: int
    at_us: int


class ConfigObserver:
    """Follows the store, and reads the logs of members. What is not as agreed is in `violations`."""

    def __init__(self, loop: Loop, folder: Path, find_replica: Callable[[str], Address | None]) -> None:
        self.violations: list[str] = []
        self.status_checks = 0
        self._folder = folder
        self._follower = WatchState("", OBSERVER, loop.now())
        self._digests: dict[int, int] = {}  # by revision, as the observer has it
        self._histories: dict[tuple[str, str], MemberHistory] = {}  # by member and incarnation
        self._counts: dict[str, RequestCount] = {}  # by log, the last one
        self._offsets: dict[Path, int] = {}
        self._watcher = self._make_watcher(loop, find_replica)

    def _make_watcher(self, loop: Loop, find_replica: Callable[[str], Address | None]) -> Watcher:
        def finder(name: str) -> Callable[[], Address]:
            def find() -> Address:
                address = find_replica(name)
                if address is None:
                    raise ConnectionRefusedError(f"{name} is down")
                return address

            return find

        servers = {name: finder(name) for name in REPLICAS}
        selector = RelaySelector(OBSERVER, dict.fromkeys(REPLICAS, ""), "", Random(1))
        return Watcher(
            loop,
            ServerPool(servers, selector),
            self._follower,
            self._on_applied,
            NullLog(),
            WatcherSettings(WATCH_TIMEOUT_US, STALE_AFTER_US),
        )

    def follow(self) -> None:
        """Follow the store until cancelled."""
        self._watcher.run()

    def _on_applied(self, outcome: ApplyOutcome) -> None:
        store = self._follower.store
        self._digests |= {change.revision: change.digest for change in outcome.changes}
        self._digests[store.revision] = store.digest
        self._follower.mark_applied(store.revision)

    # Logs of members

    def read_logs(self) -> None:
        """Read what members have written since the last time."""
        for path in sorted(self._folder.glob(MEMBER_LOGS)):
            with path.open("rb") as log:
                log.seek(self._offsets.get(path, 0))
                complete = log.read().rpartition(b"\n")[0]
            if complete:
                self._offsets[path] = self._offsets.get(path, 0) + len(complete) + 1
                for line in complete.splitlines():
                    self._read_line(path, line)

    def request_count(self, logs: Sequence[Path]) -> RequestCount:
        """Return the sum of the last counts in these logs, and the time of the first one's."""
        self.read_logs()
        last = [self._counts[log.name] for log in logs]
        return RequestCount(sum(count.requests for count in last), last[0].at_us)

    def _read_line(self, path: Path, line: bytes) -> None:
        try:
            entry = json.loads(line)
        except ValueError:
            self.violations.append(f"{path.name}: {line[:MAX_SHOWN_BYTES]!r}")
            return
        if "stale_members" in entry:
            self._counts[path.name] = RequestCount(entry["requests"], entry["at_us"])
        if entry.get("event") == TASK_FAILED_EVENT:
            self.violations.append(f"{path.name}: {entry}")
        if "revision" in entry and entry.get("event", APPLIED_EVENT) == APPLIED_EVENT:
            self._add_applied(path, entry)

    def _add_applied(self, path: Path, entry: dict[str, Any]) -> None:
        member = entry.get("member", path.name.split(".")[0])
        incarnation = entry.get("incarnation", path.name)
        history = self._histories.setdefault((member, incarnation), MemberHistory())
        revision = entry["revision"]
        if history.revisions and revision <= history.revisions[-1]:
            self.violations.append(f"{member}: acted on {history.revisions[-1]}, then on {revision}")
        if not entry.get("are_twins_equal", True):
            self.violations.append(f"{member}: acted on a part of a change set at {revision}")
        history.revisions.append(revision)
        history.digests.append(entry.get("digest"))

    # Checks

    def check_status(self, status: PropagationStatus, followers: Mapping[str, str]) -> None:
        """Check that each follower wrote that it acts on what is reported as applied everywhere.

        `followers` has the agreed members with their incarnations.
        """
        self.read_logs()
        self.status_checks += 1
        newest: dict[str, int] = {}
        for (name, incarnation), history in self._histories.items():
            # A front end's log doesn't name its incarnation: its present process is the last one that wrote.
            if followers.get(name) == incarnation or name in FRONT_ENDS:
                newest[name] = history.revisions[-1]
        lowest = status.min_applied_revision
        for name in followers:
            applied = newest.get(name, 0)
            if applied < lowest:
                self.violations.append(f"{lowest} told to be in force, {name} acts on {applied}")

    def check_observed(self, status: PropagationStatus) -> None:
        """Check that the observer has what the control plane agreed on."""
        store = self._follower.store
        if (store.revision, store.digest) != (status.revision, status.digest):
            self.violations.append(f"the observer holds {store.revision}, the keepers tell {status.revision}")

    def check_stores(self) -> None:
        """Check all digests that members wrote, and the stores that front ends left on disk."""
        self.read_logs()
        for (name, incarnation), history in self._histories.items():
            for revision, digest in zip(history.revisions, history.digests, strict=True):
                if digest is not None and digest != self._digests.get(revision, digest):
                    self.violations.append(f"{name} ({incarnation}): another table at revision {revision}")
        for name in FRONT_ENDS:
            self._check_store_file(name)

    def _check_store_file(self, name: str) -> None:
        agreed = self._follower.store
        try:
            found = ConfigStore.restore((self._folder / f"{name}.db.table").read_bytes())
        except (OSError, InvalidSnapshotError) as error:
            self.violations.append(f"{name}: its table: {error}")
            return
        if (found.revision, found.digest) != (agreed.revision, agreed.digest):
            self.violations.append(f"{name}: holds {found.revision}, agreed is {agreed.revision}")
        elif dict(found.entries) != dict(agreed.entries):
            self.violations.append(f"{name}: other entries under the same digest")
