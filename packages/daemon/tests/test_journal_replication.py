"""Deferred calls that stand at other sites: front ends on one loop, relays between, faults on command."""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from fleet_rig import INVOKE, SECOND, Fleet, merged
from walnutpost.config import Config, parse
from walnutpost.config.base import parse_address
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.faultinjection.mesh import Relay
from walnutpost.http import Connection, Response
from walnutpost.journal import CallStage, CallState, MergedJournal

SITES = {"a1": ("east", "a"), "b1": ("east", "b"), "c1": ("west", "c")}
ARN = "x-amz-durable-execution-arn"
RUN = "reserve"  # an unsafe function


class Sites(Fleet):
    """Three front ends at three sites, with the same workers; relays stand before each one's journal."""

    def __init__(self, path: Path, copies: int = 1, without: str = "refuse", **journal: Any) -> None:
        super().__init__(path)
        self.fronts: dict[str, FrontEnd] = {}
        self.relays: dict[str, Relay] = {}
        self.classes = {name: {"copies": copies, "without": without} for name in ("valuation", "reservation")}
        self.more = {"lost_after_ms": 2000, "replace_after_ms": 3_600_000, **journal}

    def play(self, script: Callable[[], None]) -> None:
        def main() -> None:
            self.start_workers()
            for name in SITES:
                self.relays[name] = Relay(self.loop, lambda name=name: self.listens(name))  # type: ignore[misc]
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

    def listens(self, name: str) -> tuple[str, int] | None:
        front = self.fronts.get(name)
        return (
            None if front is None or front.replication is None else parse_address(front.replication.address)
        )

    def start(self, name: str) -> None:
        holders = [
            {"name": n, "address": "{}:{}".format(*self.relays[n].address), "region": r, "zone": z}
            for n, (r, z) in SITES.items()
        ]
        told = self.front_config.model_dump(by_alias=True, exclude_unset=True, mode="json")
        section = {"name": name, "listen": "127.0.0.1:0", "holders": holders, "classes": self.classes}
        told = merged(told, {"front": {"store": f"{name}.db"}, "journal": section | self.more})
        told["front"]["workers"] = [line.model_dump(mode="json") for line in self.lines]
        self.fronts[name] = FrontEnd(
            self.loop, parse(json.dumps(told), name, Config), self.log, None, self.path
        )

    def lose(self, name: str) -> None:
        """The process is gone without a word, its disk, too."""
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
            return connection.ask("POST", INVOKE.format(function), headers, b'{"copy": 7}')
        finally:
            connection.close()

    def ask_status(self, at: str, response: Response) -> Response:
        arn = response.headers[ARN].replace(":", "%3A").replace("/", "%2F")
        connection = Connection.open(self.loop, self.fronts[at].address)
        try:
            return connection.ask("GET", f"/2025-12-01/durable-executions/{arn}")
        finally:
            connection.close()

    def status(self, at: str, response: Response) -> str:
        return str(json.loads(self.ask_status(at, response).body)["Status"])

    def joined(self, origin: str, *holders: str) -> MergedJournal:
        """What the holders' copies of an origin's journal say together."""
        found = MergedJournal()
        for holder in holders:
            replication = self.fronts[holder].replication
            assert replication is not None
            for journal in [j for j in replication.store.offsets if j.startswith(f"{origin}#")]:
                found.add(*replication.store.read_journal(journal))
        return found

    def call(self, joined: MergedJournal, name: str) -> CallState:
        return next(c for c in joined.calls.values() if c.accepted is not None and c.accepted.name == name)


@pytest.mark.parametrize(("copies", "holders"), [(1, 1), (2, 2)])
def test_accepted_calls_when_their_site_is_lost_are_at_replicas_with_their_results(
    tmp_path: Path, copies: int, holders: int
) -> None:
    sites = Sites(tmp_path, copies=copies)

    def script() -> None:
        told = {f"n{n}": sites.defer("a1", ("price", RUN)[n % 2], f"n{n}") for n in range(12)}
        assert {r.status for r in told.values()} == {202}
        assert all(int(r.headers["x-walnutpost-copies"]) >= copies for r in told.values())
        sites.loop.sleep(5 * SECOND)
        for site in SITES:  # wherever it is asked for, whoever holds it
            assert {sites.status(site, r) for r in told.values()} == {"SUCCEEDED"}
        sites.lose("a1")
        for site in ("b1", "c1"):
            assert {sites.status(site, r) for r in told.values()} == {"SUCCEEDED"}
        for part in (["b1", "c1"],) if holders == 1 else (["b1"], ["c1"]):
            joined = sites.joined("a1", *part)
            assert {c.stage for c in joined.live_calls().values()} == {CallStage.ENDED} and not joined.gaps
            assert len(joined.live_calls()) == 12

    sites.play(script)


def test_calls_when_no_replica_is_reachable_are_neither_accepted_nor_sent(tmp_path: Path) -> None:
    """The holders are cut off while a call waits for its copy: its client hears that it is not sure, and an
    unsafe one is not sent before a holder has its intent."""
    sites = Sites(tmp_path, copy_wait_ms=500)

    def script() -> None:
        assert sites.defer("a1", RUN, "warm").status == 202
        sites.loop.sleep(3 * SECOND)
        for relay in ("b1", "c1"):
            sites.relays[relay].there.hold()
        first = sites.defer("a1", RUN, "unsure")
        assert first.status == 500 and b"ask again as unsure" in first.body
        assert sites.runs(RUN) == 1
        sites.loop.sleep(3 * SECOND)  # by now they count as out of reach
        refused = sites.defer("a1", "price", "never")
        assert refused.status == 429 and int(refused.headers["retry-after"]) >= 1
        for relay in ("b1", "c1"):
            sites.relays[relay].heal()
        sites.loop.sleep(3 * SECOND)
        assert sites.defer("a1", "price", "after").status == 202
        joined = sites.joined("a1", "b1", "c1")
        # Its time was over before an intent could be copied: it never left, and is known to have ended.
        assert sites.runs(RUN) == 1 and sites.call(joined, "unsure").stage is CallStage.ENDED
        assert not [c for c in joined.calls.values() if c.accepted and c.accepted.name == "never"]

    sites.play(script)


def test_class_that_accepts_fewer_replicas_accepts_calls_and_answers_with_their_number(
    tmp_path: Path,
) -> None:
    sites = Sites(tmp_path, copies=2, without="less")

    def script() -> None:
        sites.relays["c1"].cut()
        sites.loop.sleep(5 * SECOND)
        told = sites.defer("a1", RUN, "near")
        assert told.status == 202 and told.headers["x-walnutpost-copies"] == "1"
        sites.relays["b1"].cut()
        sites.loop.sleep(5 * SECOND)
        told = sites.defer("a1", RUN, "alone")
        assert told.status == 202 and told.headers["x-walnutpost-copies"] == "0"
        sites.loop.sleep(3 * SECOND)
        assert sites.status("a1", told) == "SUCCEEDED" and sites.runs(RUN) == 2
        sites.relays["b1"].heal()
        sites.relays["c1"].heal()
        sites.loop.sleep(10 * SECOND)
        for holder in ("b1", "c1"):  # resumed by number, nothing lacking
            joined = sites.joined("a1", holder)
            assert not joined.gaps and sites.call(joined, "alone").stage is CallStage.ENDED

    sites.play(script)


def test_replica_when_unreachable_is_replaced_and_with_a_new_disk_is_sent_all(tmp_path: Path) -> None:
    sites = Sites(tmp_path, copies=2, replace_after_ms=3000)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        sites.lose("b1")
        sites.loop.sleep(SECOND // 4)
        sites.start("b1")
        sites.loop.sleep(3 * SECOND)
        assert sites.call(sites.joined("a1", "b1"), "one").stage is CallStage.ENDED
        sites.lose("b1")
        sites.loop.sleep(8 * SECOND)
        refused = sites.defer("a1", RUN, "two")  # two sites are left, and two copies wanted besides its own
        assert refused.status == 429
        sites.start("b1")
        sites.loop.sleep(40 * SECOND)
        assert sites.defer("a1", RUN, "two").status == 202

    sites.play(script)


def test_status_is_equal_at_each_site_and_unknown_only_if_all_were_asked(
    tmp_path: Path,
) -> None:
    sites = Sites(tmp_path, copies=2)

    def script() -> None:
        told = sites.defer("a1", RUN, "one")
        assert {sites.status(site, told) for site in SITES} == {"RUNNING"}
        sites.loop.sleep(3 * SECOND)
        assert {sites.status(site, told) for site in SITES} == {"SUCCEEDED"}
        unknown = Response(202, {"x-amz-durable-execution-arn": told.headers[ARN][:-32] + "0" * 32})
        assert sites.ask_status("b1", unknown).status == 404
        sites.relays["a1"].cut()
        silent = sites.ask_status("b1", unknown)
        assert silent.status == 503 and b"not asked: a1" in silent.body and "retry-after" in silent.headers
        assert sites.status("b1", told) == "SUCCEEDED"

    sites.play(script)


@pytest.mark.parametrize("reached", [True, False])
def test_origin_with_an_old_disk_recovers_from_replicas_or_accepts_nothing(
    tmp_path: Path, reached: bool
) -> None:
    sites = Sites(tmp_path, copies=2)

    def restart(replace: Path | None = None) -> None:
        front = sites.fronts.pop("a1")
        front.stop()
        front.close()
        if replace is not None:
            for file in tmp_path.glob("a1.db*"):
                file.unlink()
            shutil.copy(replace, tmp_path / "a1.db")
        sites.start("a1")
        sites.loop.sleep(SECOND)

    def script() -> None:
        assert sites.defer("a1", RUN, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        restart()
        old = tmp_path / "old"
        shutil.copy(tmp_path / "a1.db", old)
        two = sites.defer("a1", RUN, "two")
        sites.loop.sleep(3 * SECOND)
        assert sites.runs(RUN) == 2 and len(sites.joined("a1", "b1").live_calls()) == 2
        if not reached:
            sites.relays["b1"].cut()
            sites.relays["c1"].cut()
        restart(old)  # its numbers from here on have been given out already
        if reached:
            assert sites.status("a1", two) == "SUCCEEDED"
            assert sites.defer("a1", RUN, "two").headers[ARN] == two.headers[ARN]  # the same call
            assert sites.defer("a1", RUN, "three").status == 202
            sites.loop.sleep(3 * SECOND)
            for holder in ("b1", "c1"):
                joined = sites.joined("a1", holder)
                assert not joined.gaps and len(joined.live_calls()) == 3
            assert sites.runs(RUN) == 3
        else:
            sites.relays["b1"].heal()
            sites.relays["c1"].heal()
            sites.loop.sleep(3 * SECOND)
            assert sites.defer("a1", RUN, "three").status == 429
            assert any(event == "journal_diverged" for event, _ in sites.log.lines)

    sites.play(script)
