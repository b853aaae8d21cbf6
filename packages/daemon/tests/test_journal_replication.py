"""Replication of deferred calls between three front ends on one loop, with proxies that inject faults."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from walnutpost.http import Response
from walnutpost.journal import CallStage
from walnutpost.testsupport.daemon.fleet import EXECUTION_ARN_HEADER, SECOND
from walnutpost.testsupport.daemon.replicated_sites import RUN, SITES, Sites


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
            assert {c.stage for c in journal.retained_calls().values()} == {CallStage.ENDED}
            assert not journal.gaps
            assert len(journal.retained_calls()) == 12

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
        assert len(sites.merged_journal("a1", "b1").retained_calls()) == 2
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
                assert len(journal.retained_calls()) == 3
            assert sites.runs(RUN) == 3
        else:
            sites.relays["b1"].heal()
            sites.relays["c1"].heal()
            sites.loop.sleep(3 * SECOND)
            assert sites.defer("a1", RUN, "three").status == 429
            assert any(event == "journal_diverged" for event, _ in sites.log.lines)

    sites.play(script)
