"""Replication of deferred calls between three front ends on one loop, with proxies that inject faults."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from walnutpost.config import Config, parse
from walnutpost.config.base import parse_address
from walnutpost.daemon.composition import build_front_end
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.faultinjection.network import LinkProxy
from walnutpost.http import Connection, Response
from walnutpost.journal import CallStage, CallState, MergedJournal
from walnutpost.testsupport.daemon.fleet import (
    EXECUTION_ARN_HEADER,
    INVOKE,
    SECOND,
    Fleet,
    execution_path,
    merged,
)

SITES = {"a1": ("east", "a"), "b1": ("east", "b"), "c1": ("west", "c")}
RUN = "reserve"  # an unsafe function


class Sites(Fleet):
    """Three front ends at three sites, with the same workers; a relay is in front of each one's journal."""

    def __init__(self, path: Path, copies: int = 1, without: str = "refuse", **journal: Any) -> None:
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

    def defer(self, at: str, function: str, name: str = "", wait_ms: int = 0) -> Response:
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


@pytest.mark.parametrize(("copies", "min_replicas"), [(1, 1), (2, 2)])
def test_accepted_calls_when_their_site_is_lost_are_at_replicas_with_their_results(
    tmp_path: Path, copies: int, min_replicas: int
) -> None:
    sites = Sites(tmp_path, copies=copies)

    def script() -> None:
        responses = {f"n{n}": sites.defer("a1", ("price", RUN)[n % 2], f"n{n}") for n in range(12)}
        assert {response.status for response in responses.values()} == {202}
        assert all(int(response.headers["x-walnutpost-copies"]) >= copies for response in responses.values())
        sites.loop.sleep(5 * SECOND)
        for site in SITES:  # each site answers, whichever replicas have the call
            assert {sites.status(site, response) for response in responses.values()} == {"SUCCEEDED"}
        sites.lose_site("a1")
        for site in ("b1", "c1"):
            assert {sites.status(site, response) for response in responses.values()} == {"SUCCEEDED"}
        for replicas in (["b1", "c1"],) if min_replicas == 1 else (["b1"], ["c1"]):
            journal = sites.merged_journal("a1", *replicas)
            assert {c.stage for c in journal.live_calls().values()} == {CallStage.ENDED}
            assert not journal.gaps
            assert len(journal.live_calls()) == 12

    sites.play(script)


def test_calls_when_no_replica_is_reachable_are_neither_accepted_nor_sent(tmp_path: Path) -> None:
    """The replicas are cut off while a call waits for its quorum: its client is answered that the outcome is
    uncertain, and an unsafe call is not sent before a replica has its intent."""
    sites = Sites(tmp_path, copy_wait_ms=500)

    def script() -> None:
        assert sites.defer("a1", RUN, "warm").status == 202
        sites.loop.sleep(3 * SECOND)
        for relay in ("b1", "c1"):
            sites.relays[relay].forward.block()
        uncertain = sites.defer("a1", RUN, "unsure")
        assert uncertain.status == 500
        assert b"ask again as unsure" in uncertain.body
        assert sites.runs(RUN) == 1
        sites.loop.sleep(3 * SECOND)  # by now they count as unreachable
        rejected = sites.defer("a1", "price", "never")
        assert rejected.status == 429
        assert int(rejected.headers["retry-after"]) >= 1
        for relay in ("b1", "c1"):
            sites.relays[relay].heal()
        sites.loop.sleep(3 * SECOND)
        assert sites.defer("a1", "price", "after").status == 202
        journal = sites.merged_journal("a1", "b1", "c1")
        # Its deadline passed before its intent was replicated: it was never sent, and has ended.
        assert sites.runs(RUN) == 1
        assert sites.find_call(journal, "unsure").stage is CallStage.ENDED
        assert not [c for c in journal.calls.values() if c.accepted and c.accepted.name == "never"]

    sites.play(script)


def test_class_that_accepts_fewer_replicas_accepts_calls_and_answers_with_their_number(
    tmp_path: Path,
) -> None:
    sites = Sites(tmp_path, copies=2, without="less")

    def script() -> None:
        sites.relays["c1"].cut()
        sites.loop.sleep(5 * SECOND)
        response = sites.defer("a1", RUN, "near")
        assert response.status == 202
        assert response.headers["x-walnutpost-copies"] == "1"
        sites.relays["b1"].cut()
        sites.loop.sleep(5 * SECOND)
        response = sites.defer("a1", RUN, "alone")
        assert response.status == 202
        assert response.headers["x-walnutpost-copies"] == "0"
        sites.loop.sleep(3 * SECOND)
        assert sites.status("a1", response) == "SUCCEEDED"
        assert sites.runs(RUN) == 2
        sites.relays["b1"].heal()
        sites.relays["c1"].heal()
        sites.loop.sleep(10 * SECOND)
        for replica in ("b1", "c1"):  # resumed by sequence number, without gaps
            journal = sites.merged_journal("a1", replica)
            assert not journal.gaps
            assert sites.find_call(journal, "alone").stage is CallStage.ENDED

    sites.play(script)


def test_replica_when_unreachable_is_replaced_and_with_a_new_disk_is_sent_all(tmp_path: Path) -> None:
    sites = Sites(tmp_path, copies=2, replace_after_ms=3000)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        sites.lose_site("b1")
        sites.loop.sleep(SECOND // 4)
        sites.start("b1")
        sites.loop.sleep(3 * SECOND)
        assert sites.find_call(sites.merged_journal("a1", "b1"), "one").stage is CallStage.ENDED
        sites.lose_site("b1")
        sites.loop.sleep(8 * SECOND)
        rejected = sites.defer(
            "a1", RUN, "two"
        )  # two sites are up, and two replicas are required besides its own
        assert rejected.status == 429
        sites.start("b1")
        sites.loop.sleep(40 * SECOND)
        assert sites.defer("a1", RUN, "two").status == 202

    sites.play(script)


def test_status_is_equal_at_each_site_and_unknown_only_if_all_were_asked(
    tmp_path: Path,
) -> None:
    sites = Sites(tmp_path, copies=2)

    def script() -> None:
        response = sites.defer("a1", RUN, "one")
        assert {sites.status(site, response) for site in SITES} == {"RUNNING"}
        sites.loop.sleep(3 * SECOND)
        assert {sites.status(site, response) for site in SITES} == {"SUCCEEDED"}
        unknown = Response(
            202, {EXECUTION_ARN_HEADER: response.headers[EXECUTION_ARN_HEADER][:-32] + "0" * 32}
        )
        assert sites.ask_status("b1", unknown).status == 404
        sites.relays["a1"].cut()
        unavailable = sites.ask_status("b1", unknown)
        assert unavailable.status == 503
        assert b"not asked: a1" in unavailable.body
        assert "retry-after" in unavailable.headers
        assert sites.status("b1", response) == "SUCCEEDED"

    sites.play(script)


def restart_site(sites: Sites, name: str, backup: Path | None = None) -> None:
    """Stop a front end and start it again, on a copy of an older store if `backup` is given."""
    front = sites.fronts.pop(name)
    front.stop()
    front.close()
    if backup is not None:
        for file in sites.path.glob(f"{name}.db*"):
            file.unlink()
        shutil.copy(backup, sites.path / f"{name}.db")
    sites.start(name)
    sites.loop.sleep(SECOND)


@pytest.mark.parametrize("is_reachable", [True, False])
def test_origin_with_an_old_disk_recovers_from_replicas_or_accepts_nothing(
    tmp_path: Path, is_reachable: bool
) -> None:
    sites = Sites(tmp_path, copies=2)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        restart_site(sites, "a1")
        backup = tmp_path / "old"
        shutil.copy(tmp_path / "a1.db", backup)
        two = sites.defer("a1", RUN, "two")
        sites.loop.sleep(3 * SECOND)
        assert sites.runs(RUN) == 2
        assert len(sites.merged_journal("a1", "b1").live_calls()) == 2
        if not is_reachable:
            sites.relays["b1"].cut()
            sites.relays["c1"].cut()
        restart_site(sites, "a1", backup)  # the next sequence numbers were used already
        if is_reachable:
            assert sites.status("a1", two) == "SUCCEEDED"
            assert (
                sites.defer("a1", RUN, "two").headers[EXECUTION_ARN_HEADER]
                == two.headers[EXECUTION_ARN_HEADER]
            )  # the same call
            assert sites.defer("a1", RUN, "three").status == 202
            sites.loop.sleep(3 * SECOND)
            for replica in ("b1", "c1"):
                journal = sites.merged_journal("a1", replica)
                assert not journal.gaps
                assert len(journal.live_calls()) == 3
            assert sites.runs(RUN) == 3
        else:
            sites.relays["b1"].heal()
            sites.relays["c1"].heal()
            sites.loop.sleep(3 * SECOND)
            assert sites.defer("a1", RUN, "three").status == 429
            assert any(event == "journal_diverged" for event, _ in sites.log.lines)

    sites.play(script)
