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
from walnutpost.testsupport.daemon.fleet import INVOKE_PATH, SECOND, Fleet, execution_path, merge_settings

SITES = {"a1": ("east", "a"), "b1": ("east", "b"), "c1": ("west", "c")}
UNSAFE_FUNCTION = "reserve"


class ReplicatedSites(Fleet):
    """Three front ends at three sites that share their workers; a proxy is in front of each journal address.

    `copies` and `without` are the journal settings of all classes; `journal` overrides the other ones.
    """

    def __init__(self, path: Path, copies: int = 1, without: str = "refuse", **journal: int) -> None:
        super().__init__(path)
        self.fronts: dict[str, FrontEnd] = {}
        self.proxies: dict[str, LinkProxy] = {}
        self.classes = {name: {"copies": copies, "without": without} for name in ("valuation", "reservation")}
        self.journal_settings = {"lost_after_ms": 2000, "replace_after_ms": 3_600_000, **journal}

    def run_script(self, script: Callable[[], None]) -> None:
        """Start the workers, the proxies and the front ends, and run `script` in a task."""

        def main() -> None:
            self.start_workers()
            for name in SITES:
                self.proxies[name] = LinkProxy(self.loop, lambda name=name: self.journal_address(name))  # type: ignore[misc]
            for name in SITES:
                self.start_site(name)
            self.loop.sleep(SECOND)
            script()

        try:
            self.loop.run(main)
        finally:
            for front in self.fronts.values():
                front.close()
        assert not self.errors, self.errors

    def journal_address(self, name: str) -> tuple[str, int] | None:
        """Return the address of a site's journal, or None while its front end is down."""
        front = self.fronts.get(name)
        return (
            None if front is None or front.replication is None else parse_address(front.replication.address)
        )

    def start_site(self, name: str) -> None:
        """Start the front end of a site."""
        holders = [
            {
                "name": holder,
                "address": "{}:{}".format(*self.proxies[holder].address),
                "region": region,
                "zone": zone,
            }
            for holder, (region, zone) in SITES.items()
        ]
        settings = self.front_config.model_dump(by_alias=True, exclude_unset=True, mode="json")
        section = {"name": name, "listen": "127.0.0.1:0", "holders": holders, "classes": self.classes}
        settings = merge_settings(
            settings, {"front": {"store": f"{name}.db"}, "journal": section | self.journal_settings}
        )
        settings["front"]["workers"] = [entry.model_dump(mode="json") for entry in self.worker_entries]
        self.fronts[name] = build_front_end(
            self.loop, parse(json.dumps(settings), name, Config), self.log, None, self.path
        )

    def lose_site(self, name: str) -> None:
        """Stop the front end of a site and delete its store."""
        front = self.fronts.pop(name)
        front.stop()
        front.close()
        for file in self.path.glob(f"{name}.db*"):
            file.unlink()

    def defer(self, site: str, function: str, name: str = "") -> Response:
        """Send a deferred call to a site; `name` is the execution name."""
        headers = {"x-amz-invocation-type": "Event", "content-type": "application/json"}
        if name:
            headers["x-amz-durable-execution-name"] = name
        connection = Connection.open(self.loop, self.fronts[site].address)
        try:
            return connection.request("POST", INVOKE_PATH.format(function), headers, b'{"copy": 7}')
        finally:
            connection.close()

    def request_status(self, site: str, response: Response) -> Response:
        """Request the status of an execution from a site."""
        connection = Connection.open(self.loop, self.fronts[site].address)
        try:
            return connection.request("GET", execution_path(response))
        finally:
            connection.close()

    def status(self, site: str, response: Response) -> str:
        """Return the status of an execution as a site reports it."""
        return str(json.loads(self.request_status(site, response).body)["Status"])

    def merged_journal(self, origin: str, *replicas: str) -> MergedJournal:
        """Return an origin's journal, merged from the entries that these replicas have."""
        journal = MergedJournal()
        for replica in replicas:
            replication = self.fronts[replica].replication
            assert replication is not None
            for origin_id in [key for key in replication.store.offsets if key.startswith(f"{origin}#")]:
                journal.add(*replication.store.read_journal(origin_id))
        return journal

    def find_call(self, journal: MergedJournal, name: str) -> CallState:
        """Return the call with this execution name."""
        return next(
            call
            for call in journal.calls.values()
            if call.accepted is not None and call.accepted.name == name
        )
