"""Replication of deferred calls between three front ends, with proxies that inject faults."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from walnutpost.http import Response
from walnutpost.journal import CallStage
from walnutpost.testsupport.daemon.fleet import EXECUTION_ARN_HEADER, SECOND
from walnutpost.testsupport.daemon.replicated_sites import SITES, UNSAFE_FUNCTION, ReplicatedSites


@pytest.mark.parametrize(("copies", "min_replicas"), [(1, 1), (2, 2)])
def test_replicas_keep_accepted_calls_and_results_after_their_site_is_lost(
    tmp_path: Path, copies: int, min_replicas: int
) -> None:
    sites = ReplicatedSites(tmp_path, copies=copies)

    def script() -> None:
        responses = {
            f"n{n}": sites.defer("a1", ("price", UNSAFE_FUNCTION)[n % 2], f"n{n}") for n in range(12)
        }
        assert {response.status for response in responses.values()} == {202}
        assert all(int(response.headers["x-walnutpost-copies"]) >= copies for response in responses.values())
        sites.loop.sleep(5 * SECOND)
        for site in SITES:  # each site answers, no matter which replicas have the call
            assert {sites.status(site, response) for response in responses.values()} == {"SUCCEEDED"}
        sites.lose_site("a1")
        for site in ("b1", "c1"):
            assert {sites.status(site, response) for response in responses.values()} == {"SUCCEEDED"}
        for replicas in (["b1", "c1"],) if min_replicas == 1 else (["b1"], ["c1"]):
            journal = sites.merged_journal("a1", *replicas)
            assert {c.stage for c in journal.retained_calls().values()} == {CallStage.ENDED}
            assert not journal.gaps
            assert len(journal.retained_calls()) == 12

    sites.run_script(script)


def test_calls_are_neither_accepted_nor_sent_while_no_replica_is_reachable(tmp_path: Path) -> None:
    """The replicas become unreachable while a call waits for its quorum.

    The client receives an error that says the outcome is uncertain. An unsafe call is not sent to a worker
    before a replica has its intent.
    """
    sites = ReplicatedSites(tmp_path, copy_wait_ms=500)

    def script() -> None:
        assert sites.defer("a1", UNSAFE_FUNCTION, "warm").status == 202
        sites.loop.sleep(3 * SECOND)
        for site in ("b1", "c1"):
            sites.proxies[site].forward.block()
        uncertain = sites.defer("a1", UNSAFE_FUNCTION, "unsure")
        assert uncertain.status == 500
        assert b"ask again as unsure" in uncertain.body
        assert sites.runs(UNSAFE_FUNCTION) == 1
        sites.loop.sleep(3 * SECOND)  # by now the replicas count as unreachable
        rejected = sites.defer("a1", "price", "never")
        assert rejected.status == 429
        assert int(rejected.headers["retry-after"]) >= 1
        for site in ("b1", "c1"):
            sites.proxies[site].heal()
        sites.loop.sleep(3 * SECOND)
        assert sites.defer("a1", "price", "after").status == 202
        journal = sites.merged_journal("a1", "b1", "c1")
        # The deadline of this call passed before its intent was replicated, so it ended without being sent.
        assert sites.runs(UNSAFE_FUNCTION) == 1
        assert sites.find_call(journal, "unsure").stage is CallStage.ENDED
        assert not [c for c in journal.calls.values() if c.accepted and c.accepted.name == "never"]

    sites.run_script(script)


def test_class_that_permits_fewer_replicas_accepts_calls_and_returns_the_replica_count(
    tmp_path: Path,
) -> None:
    sites = ReplicatedSites(tmp_path, copies=2, without="less")

    def script() -> None:
        sites.proxies["c1"].cut()
        sites.loop.sleep(5 * SECOND)
        response = sites.defer("a1", UNSAFE_FUNCTION, "near")
        assert response.status == 202
        assert response.headers["x-walnutpost-copies"] == "1"
        sites.proxies["b1"].cut()
        sites.loop.sleep(5 * SECOND)
        response = sites.defer("a1", UNSAFE_FUNCTION, "alone")
        assert response.status == 202
        assert response.headers["x-walnutpost-copies"] == "0"
        sites.loop.sleep(3 * SECOND)
        assert sites.status("a1", response) == "SUCCEEDED"
        assert sites.runs(UNSAFE_FUNCTION) == 2
        sites.proxies["b1"].heal()
        sites.proxies["c1"].heal()
        sites.loop.sleep(10 * SECOND)
        for replica in ("b1", "c1"):  # replication resumed at the next sequence number, without gaps
            journal = sites.merged_journal("a1", replica)
            assert not journal.gaps
            assert sites.find_call(journal, "alone").stage is CallStage.ENDED

    sites.run_script(script)


def test_unreachable_replica_is_replaced_and_a_new_disk_receives_the_whole_journal(tmp_path: Path) -> None:
    sites = ReplicatedSites(tmp_path, copies=2, replace_after_ms=3000)

    def script() -> None:
        assert sites.defer("a1", UNSAFE_FUNCTION, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        sites.lose_site("b1")
        sites.loop.sleep(SECOND // 4)
        sites.start_site("b1")
        sites.loop.sleep(3 * SECOND)
        assert sites.find_call(sites.merged_journal("a1", "b1"), "one").stage is CallStage.ENDED
        sites.lose_site("b1")
        sites.loop.sleep(8 * SECOND)
        # Only two sites are up, but two replicas are required besides the origin.
        rejected = sites.defer("a1", UNSAFE_FUNCTION, "two")
        assert rejected.status == 429
        sites.start_site("b1")
        sites.loop.sleep(40 * SECOND)
        assert sites.defer("a1", UNSAFE_FUNCTION, "two").status == 202

    sites.run_script(script)


def test_status_is_the_same_at_each_site_and_404_only_if_all_sites_were_asked(
    tmp_path: Path,
) -> None:
    sites = ReplicatedSites(tmp_path, copies=2)

    def script() -> None:
        response = sites.defer("a1", UNSAFE_FUNCTION, "one")
        assert {sites.status(site, response) for site in SITES} == {"RUNNING"}
        sites.loop.sleep(3 * SECOND)
        assert {sites.status(site, response) for site in SITES} == {"SUCCEEDED"}
        unknown = Response(
            202, {EXECUTION_ARN_HEADER: response.headers[EXECUTION_ARN_HEADER][:-32] + "0" * 32}
        )
        assert sites.request_status("b1", unknown).status == 404
        sites.proxies["a1"].cut()
        unavailable = sites.request_status("b1", unknown)
        assert unavailable.status == 503
        assert b"not asked: a1" in unavailable.body
        assert "retry-after" in unavailable.headers
        assert sites.status("b1", response) == "SUCCEEDED"

    sites.run_script(script)


def restart_site(sites: ReplicatedSites, name: str, backup: Path | None = None) -> None:
    """Restart a front end, on a copy of the older store `backup` if given."""
    front = sites.fronts.pop(name)
    front.stop()
    front.close()
    if backup is not None:
        for file in sites.path.glob(f"{name}.db*"):
            file.unlink()
        shutil.copy(backup, sites.path / f"{name}.db")
    sites.start_site(name)
    sites.loop.sleep(SECOND)


@pytest.mark.parametrize("is_reachable", [True, False])
def test_origin_with_an_outdated_disk_recovers_from_replicas_or_rejects_calls(
    tmp_path: Path, is_reachable: bool
) -> None:
    sites = ReplicatedSites(tmp_path, copies=2)

    def script() -> None:
        assert sites.defer("a1", UNSAFE_FUNCTION, "one").status == 202
        sites.loop.sleep(3 * SECOND)
        restart_site(sites, "a1")
        backup = tmp_path / "old"
        shutil.copy(tmp_path / "a1.db", backup)
        two = sites.defer("a1", UNSAFE_FUNCTION, "two")
        sites.loop.sleep(3 * SECOND)
        assert sites.runs(UNSAFE_FUNCTION) == 2
        assert len(sites.merged_journal("a1", "b1").retained_calls()) == 2
        if not is_reachable:
            sites.proxies["b1"].cut()
            sites.proxies["c1"].cut()
        restart_site(sites, "a1", backup)  # the next sequence numbers have been used already
        if is_reachable:
            assert sites.status("a1", two) == "SUCCEEDED"
            # The retry returns the same call.
            assert (
                sites.defer("a1", UNSAFE_FUNCTION, "two").headers[EXECUTION_ARN_HEADER]
                == two.headers[EXECUTION_ARN_HEADER]
            )
            assert sites.defer("a1", UNSAFE_FUNCTION, "three").status == 202
            sites.loop.sleep(3 * SECOND)
            for replica in ("b1", "c1"):
                journal = sites.merged_journal("a1", replica)
                assert not journal.gaps
                assert len(journal.retained_calls()) == 3
            assert sites.runs(UNSAFE_FUNCTION) == 3
        else:
            sites.proxies["b1"].heal()
            sites.proxies["c1"].heal()
            sites.loop.sleep(3 * SECOND)
            assert sites.defer("a1", UNSAFE_FUNCTION, "three").status == 429
            assert any(event == "journal_diverged" for event, _ in sites.log.events)

    sites.run_script(script)
