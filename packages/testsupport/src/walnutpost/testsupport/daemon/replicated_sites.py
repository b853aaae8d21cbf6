"""Three front ends at three sites that replicate their journals, with proxies that inject faults."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

from walnutpost.config import Config, parse
from walnutpost.config.base import parse_address
from walnutpost.daemon.composition import build_front_end
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.faultinjection.network import LinkProxy
from walnutpost.http import Connection, Response
from walnutpost.journal import CallState, MergedJournal
from walnutpost.testsupport.daemon.fleet import INVOKE, SECOND, Fleet, execution_path, merged

SITES = {"a1": ("east", "a"), "b1": ("east", "b"), "c1": ("west", "c")}
RUN = "reserve"  # an unsafe function


class Sites(Fleet):
    """Three front ends at three sites, with the same workers; a relay is in front of each one's journal."""

    def __init__(self, path: Path, copies: int = 1, without: str = "refuse", **journal: int) -> None:
        super().__init__(path)
        self.fronts: dict[str, FrontEnd] = {}
        self.relays: dict[str, LinkProxy] = {}
        self.classes = {name: {"copies": copies, "without": without} for name in ("valuation", "reservation")}
        self.more = {"lost_after_ms": 2000, "replace_after_ms": 3_600_000, **journal}

    def play(self, script: Callable[[], None]) -> None:
        def main() -> None:
            self.start_workers()
            for name in SITES:
                self.relays[name] = LinkProxy(self.loop, lambda name=name: self.journal_address(name))  # type: ignore[misc]
            for name in SITES:
                self.start(name)
            self.loop.sleep(SECOND)
            script()

        try:
            self.loop.run(main)
        finally:
            for front in self.fronts.values():
                front.close()
        assert not self.errors, self.errors

    def journal_address(self, name: str) -> tuple[str, int] | None:
        front = self.fronts.get(name)
        return (
            None if front is None or front.replication is None else parse_address(front.replication.address)
        )

    def start(self, name: str) -> None:
        holders = [
            {"name": n, "address": "{}:{}".format(*self.relays[n].address), "region": r, "zone": z}
            for n, (r, z) in SITES.items()
        ]
        settings = self.front_config.model_dump(by_alias=True, exclude_unset=True, mode="json")
        section = {"name": name, "listen": "127.0.0.1:0", "holders": holders, "classes": self.classes}
        settings = merged(settings, {"front": {"store": f"{name}.db"}, "journal": section | self.more})
        settings["front"]["workers"] = [line.model_dump(mode="json") for line in self.lines]
        self.fronts[name] = build_front_end(
            self.loop, parse(json.dumps(settings), name, Config), self.log, None, self.path
        )

    def lose_site(self, name: str) -> None:
        """Lose a site: its process ends, and its disk is deleted."""
        front = self.fronts.pop(name)
        front.stop()
        front.close()
        for file in self.path.glob(f"{name}.db*"):
            file.unlink()

    def defer(self, at: str, function: str, name: str = "") -> Response:
        headers = {"x-amz-invocation-type": "Event", "content-type": "application/json"}
        if name:
            headers["x-amz-durable-execution-name"] = name
        connection = Connection.open(self.loop, self.fronts[at].address)
        try:
            return connection.request("POST", INVOKE.format(function), headers, b'{"copy": 7}')
        finally:
            connection.close()

    def ask_status(self, at: str, response: Response) -> Response:
        connection = Connection.open(self.loop, self.fronts[at].address)
        try:
            return connection.request("GET", execution_path(response))
        finally:
            connection.close()

    def status(self, at: str, response: Response) -> str:
        return str(json.loads(self.ask_status(at, response).body)["Status"])

    def merged_journal(self, origin: str, *replicas: str) -> MergedJournal:
        """Return an origin's journal, merged from what these replicas have."""
        journal = MergedJournal()
        for replica in replicas:
            replication = self.fronts[replica].replication
            assert replication is not None
            for origin_id in [each for each in replication.store.offsets if each.startswith(f"{origin}#")]:
                journal.add(*replication.store.read_journal(origin_id))
        return journal

    def find_call(self, journal: MergedJournal, name: str) -> CallState:
        return next(
            call
            for call in journal.calls.values()
            if call.accepted is not None and call.accepted.name == name
        )
