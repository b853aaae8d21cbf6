"""The worker list: from the configuration, or from a file that is replaced while the front end runs; and what
the fleet has agreed on, where the front end is one of a fleet."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.config import ConfigError, Site, WorkerLine, WorkerList, load, worker_lines
from walnutpost.dispatch import Core
from walnutpost.eventloop import Loop
from walnutpost.fleet.endpoints import EndpointFollower, ListedEndpoint
from walnutpost.gateway import WorkersListed
from walnutpost.interface import ListKind
from walnutpost.workerclient import Links

SECOND = 1_000_000


class Lists:
    """`on_told` sees each list as it is passed on, for captures."""

    def __init__(
        self,
        loop: Loop,
        core: Core,
        links: Links,
        site: Site,
        log: Any,
        on_told: Callable[[int, list[WorkerLine]], None] | None = None,
    ) -> None:
        self._loop = loop
        self._core = core
        self._links = links
        self._site = site
        self._log = log
        self._on_told = on_told
        self._version = -1  # of the list's own source
        self._told = -1
        self._base: tuple[ListKind, list[WorkerLine]] | None = None
        self._agreed: EndpointFollower | None = None
        self._complaint = ""
        self._seen: tuple[int, int, int] | None = None

    def tell(self, kind: ListKind, version: int, lines: list[WorkerLine]) -> None:
        self._version = version
        self._base = kind, lines
        self._pass_on()

    def agreed(self, follower: EndpointFollower) -> None:
        """When this returns, no new work goes by a list older than what the follower was told last."""
        self._agreed = follower
        self._pass_on()

    def _pass_on(self) -> None:
        if self._base is None and self._agreed is None:
            return
        kind, lines = self._base or (ListKind.CACHED, [])
        if self._agreed is not None:
            lines = _with_agreed(lines, self._agreed, self._site)
        told, addresses, leaving = worker_lines(self._site, lines)
        version = self._told = max(self._version, self._told + 1)
        names = {line.name: line.tls_name for line in lines if line.tls_name is not None}
        self._links.told(addresses, leaving, names)
        if self._on_told is not None:
            self._on_told(version, lines)
        self._core.feed(WorkersListed(kind, version, told))

    def read(self, path: Path, kind: ListKind = ListKind.FULL) -> bool:
        """Passes the file's list on if it is new and whole; a broken one leaves the last one in force."""
        try:
            stat = path.stat()
            mark = (stat.st_mtime_ns, stat.st_ino, stat.st_size)
            if mark == self._seen:
                return False
            listed = load(path, WorkerList)
        except (OSError, ConfigError) as error:
            return self._complain(str(error))
        self._seen = mark
        if listed.version < self._version:
            return self._complain(f"{path}: version {listed.version} is older than {self._version}, in force")
        self._complaint = ""
        self.tell(kind, listed.version, listed.workers)
        return True

    def _complain(self, text: str) -> bool:
        """Once, not at every look."""
        if text != self._complaint:
            self._complaint = text
            self._log.warning("worker list", error=text)
        return False

    def follow(self, path: Path, every: int) -> None:
        """Runs until cancelled."""
        while True:
            self._loop.sleep(every)
            self.read(path)


def _with_agreed(lines: list[WorkerLine], follower: EndpointFollower, site: Site) -> list[WorkerLine]:
    own = {line.name: line for line in lines}
    told = [
        ListedEndpoint(w.name, w.address, w.zone, round(w.started_at * SECOND), w.state == "draining")
        for w in lines
    ]
    out = []
    for w in follower.merge(told):
        zone = w.zone if w.zone in site.zones else None
        line = own.get(w.name) or WorkerLine(name=w.name, address=w.address, zone=zone)
        state = "draining" if w.is_draining else "ready"
        changed = {"address": w.address, "state": state, "started_at": w.started_at_us / SECOND}
        out.append(line.model_copy(update=changed))
    return out
