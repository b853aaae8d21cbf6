"""Deferred calls with copies at other sites: `python -m benchmarks.journal [accept] [sync] [replay]`.

All parts where none is named; processes on one machine, ratios in one run.
accept: calls accepted a second, with no journal and with 0, 1 and 2 holders, one asker and 32, and what the
origin writes for each byte of payload. sync: processor time of a synchronous call with a journal against
without, in pairs. replay: a start, a join of a copy and a purge, with 20,000 and 200,000 open calls.
"""

from __future__ import annotations

import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from walnutpost.eventloop import Loop
from walnutpost.http import Connection, encode_request
from walnutpost.journal import CallAccepted, MergedJournal, ResultsPurged
from walnutpost.store import Change, Database, JournalStore
from walnutpost.testsupport.daemon.fleet import INVOKE_PATH, SECOND
from walnutpost.testsupport.replication.sites import SITES, Sites

PAYLOAD = b'{"isbn": "' + b"0" * 1000 + b'"}'
QUICK = {
    "site": {
        "classes": {"valuation": {"aim_ms": 30_000, "deadline_ms": 60_000}},
        "functions": {"price": {"lanes": 256}},
    },
    "fleet": {"work": {"price": {"work_ms": 0.1}}, "workers": [{"name": "w", "cores": 64, "queue": 4096}]},
}
CASES: list[tuple[str, int | None]] = [
    ("no journal", None),
    ("0 holders", 0),
    ("1 holder", 1),
    ("2 holders", 2),
]


def written(sites: Sites, name: str) -> int:
    lines = Path(f"/proc/{sites.processes[name].pid}/io").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("write_bytes")).split()[1])


def cpu(sites: Sites, name: str) -> float:
    fields = Path(f"/proc/{sites.processes[name].pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def at_sites(copies: int | None, work: Callable[[Sites, Loop], Any]) -> Any:
    loop = Loop()
    with tempfile.TemporaryDirectory() as folder:

        def run() -> Any:
            sites = Sites(Path(folder), loop, copies or 0)
            sites.overrides = QUICK
            if copies is None:
                sites.journal = {}
            try:
                for name in SITES if copies is not None else ["a1"]:
                    sites.start(name)
                return work(sites, loop)
            finally:
                sites.stop()

        return loop.run(run)


def askers(sites: Sites, loop: Loop, many: int, seconds: float, headers: dict[str, str]) -> list[int]:
    """Latencies of calls that were taken, each asker on one connection."""
    address = sites.listening_address("a1", "address")
    assert address is not None
    until, took = loop.now() + int(seconds * SECOND), list[int]()
    request = encode_request("POST", INVOKE_PATH.format("price"), "localhost", headers, PAYLOAD)

    def ask() -> None:
        connection = Connection.open(loop, address)
        while loop.now() < until:
            began = loop.now()
            if connection.exchange(request).status in (200, 202):
                took.append(loop.now() - began)
        connection.close()

    for task in [loop.spawn(ask) for _ in range(many)]:
        task.join()
    return sorted(took)


def accept() -> None:
    heads = "case", "askers", "accepted/s", "against no journal", "p50 ms", "p99 ms", "bytes written for each"
    print(f"| {' | '.join(heads)} |")
    print("| --- " * len(heads) + "|")
    event = {"x-amz-invocation-type": "Event"}
    for many in (1, 32):
        base = 0.0
        for name, copies in CASES:

            def work(sites: Sites, loop: Loop, many: int = many) -> tuple[list[int], int]:
                askers(sites, loop, many, 1, event)
                before = written(sites, "a1")
                took = askers(sites, loop, many, 4, event)
                return took, written(sites, "a1") - before

            took, size = at_sites(copies, work)
            rate = len(took) / 4
            base = base or rate
            p50, p99 = took[len(took) // 2] / 1000, took[len(took) * 99 // 100] / 1000
            each = size / (len(took) * len(PAYLOAD))
            print(
                f"| {name} | {many} | {rate:.0f} | {rate / base:.2f} | {p50:.1f} | {p99:.1f} | {each:.1f} |",
                flush=True,
            )


def sync() -> None:
    """Alternating stretches of the same number of calls at two front ends that run at the same time."""
    ratios: list[float] = []

    def pair(plain: Sites, loop: Loop) -> None:
        def work(with_journal: Sites, _: Loop) -> None:
            both = (plain, with_journal)
            for sites in both:
                askers(sites, loop, 4, 1, {})
            for turn in range(20):
                spent = {}
                for sites in both if turn % 2 else both[::-1]:
                    before = cpu(sites, "a1")
                    calls = len(askers(sites, loop, 4, 1, {}))
                    spent[sites is plain] = (cpu(sites, "a1") - before) / calls
                ratios.append(spent[False] / spent[True])

        with tempfile.TemporaryDirectory() as folder:
            sites = Sites(Path(folder), loop, 1)
            sites.overrides = QUICK
            try:
                for name in SITES:
                    sites.start(name)
                work(sites, loop)
            finally:
                sites.stop()

    at_sites(None, pair)
    ratios.sort()
    print(
        f"a synchronous call's CPU with a journal against without: median {statistics.median(ratios):.3f}, ",
        end="",
    )
    print(f"20 pairs from {ratios[0]:.3f} to {ratios[-1]:.3f}")


def together(changes: Sequence[Change]) -> Change:
    return lambda db: [change(db) for change in changes]


def replay() -> None:
    print("| open calls | bytes on disk | start of the store, s | read and joined, s | a purge of all, s |")
    print("| --- | --- | --- | --- | --- |")
    for count in (20_000, 200_000):
        with tempfile.TemporaryDirectory() as folder:
            path, loop = Path(folder) / "b1.db", Loop()
            database = Database(loop, path, "")
            store = JournalStore(loop, database, "b1")

            def fill(database: Database = database, store: JournalStore = store, count: int = count) -> None:
                for start in range(0, count, 1000):
                    appends = [
                        store.new_append(
                            CallAccepted(f"{n}", f"{n}", "f", "1", None, PAYLOAD, "d", 1, 2, "unsafe", 1)
                        )
                        for n in range(start, start + 1000)
                    ]
                    database.submit(together(appends))

            loop.run(fill)
            database.close()
            size, began = path.stat().st_size, time.perf_counter()
            loop = Loop()
            database = Database(loop, path, "")
            store = JournalStore(loop, database, "b1")
            opened = time.perf_counter() - began
            began = time.perf_counter()

            def join(store: JournalStore = store) -> MergedJournal:
                found = MergedJournal()
                found.add(*store.read_journal(store.own_origin))
                return found

            assert len(loop.run(join).calls) == count
            joined = time.perf_counter() - began
            began = time.perf_counter()
            loop = Loop()
            database.close()
            database = Database(loop, path, "")
            store = JournalStore(loop, database, "b1")
            loop.run(partial(store.append_durably, ResultsPurged(3)))
            print(
                f"| {count} | {size} | {opened:.2f} | {joined:.2f} | {time.perf_counter() - began:.2f} |",
                flush=True,
            )
            database.close()


PARTS = {"accept": accept, "sync": sync, "replay": replay}

if __name__ == "__main__":
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
