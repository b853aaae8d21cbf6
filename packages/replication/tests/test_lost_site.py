"""Three sites as processes, relays between them: one is killed under load, no call it accepted is lost."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from walnutpost.eventloop import Loop
from walnutpost.journal import CallStage, IntervalSet, JournalEntry, MergedJournal
from walnutpost.store import Database, JournalStore
from walnutpost.testsupport.replication.sites import SITES, TIMEOUT_US, Sites

CLIENTS = 8


def statuses_until_a_kill(path: Path, seed: int, copies: int) -> dict[str, int]:
    """Send calls to a1 while replicas have faults, until a1 is killed; return each call's status."""
    loop, random = Loop(), Random(seed)
    answers: dict[str, int] = {}

    def run_sites() -> None:
        sites = Sites(path, loop, copies)
        try:
            for name in SITES:
                sites.start(name)

            def client(number: int) -> None:
                count = 0
                while sites.processes["a1"].poll() is None:
                    count += 1
                    name = f"call-{number}-{count}"
                    answers[name] = sites.send_deferred_call(name, ("price", "reserve")[count % 2])

            tasks = [loop.spawn(client, n) for n in range(CLIENTS)]
            deadline_us = loop.now() + TIMEOUT_US
            while sum(a == 202 for a in answers.values()) < 40:
                assert loop.now() < deadline_us, answers
                loop.sleep(20_000)
            sites.inject_faults(random)
            sites.processes["a1"].kill()
            for task in tasks:
                task.join()
        finally:
            sites.stop()

    loop.run(run_sites)
    return answers


@pytest.mark.parametrize(("seed", "copies"), [(1, 1), (2, 2), (3, 2)])
def test_calls_accepted_by_a_site_when_it_is_killed_are_at_its_replicas(
    tmp_path: Path, seed: int, copies: int
) -> None:
    answers = statuses_until_a_kill(tmp_path, seed, copies)
    accepted = {name for name, status in answers.items() if status == 202}
    merged_by = {name: merged_journal(tmp_path, [name]) for name in ("b1", "c1")}
    merged_by["both"] = merged_journal(tmp_path, ["b1", "c1"])
    for where in ("both",) if copies == 1 else ("b1", "c1", "both"):
        known = {
            c.accepted.name: c for c in merged_by[where].retained_calls().values() if c.accepted is not None
        }
        assert accepted <= known.keys()
        assert not merged_by[where].gaps
        unsafe = [
            c for n, c in known.items() if n in accepted and c.accepted and c.accepted.effect == "unsafe"
        ]
        # A result of an unsafe call is never answered before its intent is at the replicas.
        assert all(c.intents for c in unsafe if c.ended is not None and c.ended.status == "SUCCEEDED")
        assert {c.stage for c in known.values()} >= {CallStage.ENDED}
    rejected = {name for name, status in answers.items() if status == 429}
    live = merged_by["both"].retained_calls().values()
    assert not rejected & {call.accepted.name for call in live if call.accepted is not None}


def merged_journal(path: Path, names: list[str]) -> MergedJournal:
    """Merge the replicas of a1's journal in the files of the named sites."""
    merged_replicas = MergedJournal()
    for name in names:
        loop = Loop()
        database = Database(loop, path / f"{name}.db", "")
        store = JournalStore(loop, database, name)

        def read(store: JournalStore = store) -> list[tuple[IntervalSet, list[JournalEntry]]]:
            return [store.read_journal(origin) for origin in store.offsets if origin.startswith("a1#")]

        for covered, entries in loop.run(read):
            merged_replicas.add(covered, entries)
        database.close()
    return merged_replicas
