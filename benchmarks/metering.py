"""Metering: what it costs a call, how open stretches are found, a month's ledger, three rules side by side.

`python -m benchmarks.metering [calls] [stretches] [rules] [month]`, all of them where none is named.
"""

from __future__ import annotations

import argparse
import random
import sqlite3
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qs

import msgspec

from benchmarks.calls import LOCAL, PAYLOAD, Silent, null_worker, refusal
from walnutpost.config import Config, WorkerConfig
from walnutpost.daemon.composition import build_front_end
from walnutpost.eventloop import Loop
from walnutpost.http import Connection, Exchange, Response, encode_request
from walnutpost.http.server import start_server
from walnutpost.metering import (
    DAY_US,
    HOUR_US,
    AllocationRule,
    Ledger,
    LedgerState,
    MeteringPolicy,
    UsageRecorder,
    UsageReport,
    UsageSlice,
    allocate_slice,
    collect_figures,
    group_figures,
)
from walnutpost.metering.records import IncarnationKey
from walnutpost.store import read_ledger
from walnutpost.store.usage import SCHEMA, LedgerRun, write_batch

SECOND = 1_000_000
START = 1000 * DAY_US
TURNS, IN_A_TURN = 300, 60
WORKERS, FUNCTIONS, TENANTS, COPIES, HOURS = 200, 2_000, 50, 30, 720


def keeping_worker(loop: Loop) -> tuple[str, int]:
    """Answers at once, and has a recorder of twenty copies."""
    recorder = UsageRecorder("w0", loop.now(), 4096)
    for copy in range(1, 21):
        recorder.start_copy(loop.now(), copy, "price", 100)

    def handle(exchange: Exchange) -> Response:
        path, _, query = exchange.request.target.decode().partition("?")
        if path != "/v2/usage":
            return null_worker(exchange)
        after = int(parse_qs(query)["after"][0])
        return Response(200, {}, msgspec.json.encode(recorder.build_report(loop.now(), after)))

    return start_server(loop, LOCAL, handle, refusal).address


def front_end(address: tuple[str, int], action: str | None) -> Callable[[Loop], tuple[str, int]]:
    """`action`: of a budget that is never reached; None without metering."""
    told = {
        "site": {
            "classes": {"look": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500}},
            "functions": {"price": {"class": "look", "memory_mb": 100, "lanes": 512}},
            "tenants": {"tills": {}, "trade": {}},
            "default_tenant": "tills",
        },
        "front": {"listen": "127.0.0.1:0", "seed": 1, "store": str(Path(tempfile.mkdtemp()) / "calls.db")},
    }
    if action is not None:
        told["metering"] = {
            "file": str(Path(tempfile.mkdtemp()) / "usage.db"),
            "budgets": {"trade": {"mb_s": 1e9, "action": action}},
        }
    config = Config.model_validate(told)
    workers = [WorkerConfig(name="w0", address="{}:{}".format(*address))]
    front = config.front.model_copy(update={"workers": workers})
    return lambda loop: build_front_end(loop, config.model_copy(update={"front": front}), Silent()).address


def calls() -> None:
    """All in one process, in turns of a few calls, so that all see the same machine; the front end's own
    share of a call is what an echo and the worker alone leave of it."""
    loop = Loop()
    request = encode_request("POST", "/2015-03-31/functions/price/invocations", "x", {}, PAYLOAD)
    kinds = {"without": None, "metered": "note", "metered, budgets that act": "refuse new loads"}

    def main() -> None:
        worker = keeping_worker(loop)
        fronts = {name: front_end(worker, action)(loop) for name, action in kinds.items()}
        addresses = {"worker alone": worker, **fronts}
        connections = {name: Connection.open(loop, address) for name, address in addresses.items()}
        took: dict[str, list[float]] = {name: [] for name in connections}
        loop.sleep(3 * SECOND)  # the books have been read
        for turn in range(TURNS):
            for name in list(connections)[:: 1 - 2 * (turn % 2)]:
                began = time.process_time()
                for _ in range(IN_A_TURN):
                    connections[name].exchange(request)
                took[name].append((time.process_time() - began) / IN_A_TURN * 1e6)
        alone = statistics.median(took["worker alone"])
        plain = statistics.median(took["without"])
        print(
            f"CPU of a call, client and worker and front end: {plain:.0f} us; without front end {alone:.0f}"
        )
        for name in list(kinds)[1:]:
            pairs = zip(took[name], took["without"], strict=True)
            more = statistics.median(on - off for on, off in pairs)
            print(f"{name}: {more:+.1f} us a call, {1 + more / (plain - alone):.3f} of the front end's own")

    loop.run(main)


def an_hours_slices(rng: random.Random, worker: str, hour: int, number: int) -> list[UsageSlice]:
    out = []
    for copy in range(COPIES):
        function = f"function-{min(FUNCTIONS - 1, int(rng.paretovariate(0.7))):04}"
        share = rng.randrange(HOUR_US // 400)
        runs = {f"tenant-{rng.randrange(TENANTS):02}": share for _ in range(rng.choice((1, 1, 2, 3)))}
        after = dict.fromkeys(runs, 10 * SECOND)
        first = next(iter(runs))
        copies = number * COPIES + copy + 1
        out.append(
            UsageSlice(
                worker,
                START,
                copies,
                hour,
                function,
                200 + copy,
                hour + HOUR_US,
                True,
                SECOND,
                0,
                runs,
                after,
                first,
            )
        )
    return out


def stretches() -> None:
    """Finding the open stretches of one worker's start among all that are kept."""
    known = Ledger(MeteringPolicy(), LedgerState(), START)
    rng = random.Random(1)
    for number in range(WORKERS):
        slices = [s for n in range(10) for s in an_hours_slices(rng, f"w{number}", START + n * HOUR_US, n)]
        slices[-COPIES:] = [msgspec.structs.replace(s, is_final=False) for s in slices[-COPIES:]]
        known.add_report(
            UsageReport(f"w{number}", START, START + 10 * HOUR_US, 1, 1 << 20, slices),
            f"w{number}",
            START + DAY_US,
        )
    incarnation = IncarnationKey("w7", START)

    def index() -> int:
        return len(known._facts.slices._loaded[incarnation])

    def scan() -> int:
        return sum(not s.is_final and s.key.incarnation == incarnation for s in known.slices)

    assert index() == scan() == COPIES
    for look in (index, scan):
        began = time.perf_counter()
        for _ in range(20):
            look()
        took = (time.perf_counter() - began) / 20
        print(f"open stretches of one worker among {len(known.slices)}: {look.__name__} {took * 1e6:.1f} us")


def rules() -> None:
    """The same copies under three rules: a steady tenant, a seldom one, one of short bursts, who share."""
    rng = random.Random(3)
    recorder = UsageRecorder("w", START, 1 << 20)
    plans = {"steady": (0.2, 0.15), "seldom": (7.0, 0.15), "bursts": (60.0, 2.0)}
    keep, now, running, copy, idle_since = 10.0, 0.0, 0, 0, -1e9
    events = []
    for tenant, (gap, length) in plans.items():
        at = rng.expovariate(1 / gap)
        while at < 3600:
            if tenant != "steady" or at % 600 < 300:  # it pauses five minutes of ten
                events += [(at, 1, tenant), (at + length, 0, tenant)]
            at += length + rng.expovariate(1 / gap)
    for now, begins, tenant in sorted(events):
        moment = START + int(now * SECOND)
        if begins:
            if not running and now - idle_since > keep:
                if copy:
                    recorder.remove_copy(START + int((idle_since + keep) * SECOND), copy)
                copy += 1
                recorder.start_copy(moment, copy, "f", 100)
                recorder.mark_ready(moment + SECOND // 100, copy)
            recorder.start_call(moment + SECOND // 100, copy, tenant)
            running += 1
        else:
            recorder.end_call(moment + SECOND // 100, copy, tenant)
            running -= 1
            idle_since = now
    recorder.remove_copy(START + int((idle_since + keep) * SECOND), copy)
    print("| rule | " + " | ".join(plans) + " | nobody |")
    print("| --- |" + " --- |" * (len(plans) + 1))
    slices = recorder.build_report(START + 2 * HOUR_US).slices
    for rule in AllocationRule:
        sums: Counter[str] = Counter()
        for s in slices:
            sums.update(allocate_slice(s, rule))
        whole = sum(sums.values())
        shares = [f"{100 * sums[t] / whole:.1f}%" for t in (*plans, "-")]
        print(f"| {rule.value} | " + " | ".join(shares) + " |")


def month() -> None:
    folder = Path(tempfile.mkdtemp())
    path = folder / "usage.db"
    db = sqlite3.connect(path, isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.executescript(SCHEMA)
    policy = MeteringPolicy(hour_retention_us=7 * DAY_US)
    known = Ledger(policy, LedgerState(), START)
    rng = random.Random(5)
    deciding = writing = 0.0
    lines = slices = 0
    for number in range(HOURS):
        hour = START + number * HOUR_US
        reports = [
            UsageReport(
                f"w{w}",
                START,
                hour + HOUR_US,
                number + 1,
                1 << 20,
                an_hours_slices(rng, f"w{w}", hour, number),
            )
            for w in range(WORKERS)
        ]
        began = time.perf_counter()
        for report in reports:
            known.add_report(report, report.worker, hour + HOUR_US)
        batch = known.build_batch(hour + HOUR_US + policy.close_delay_us)
        assert batch is not None
        middle = time.perf_counter()
        db.execute("begin")
        write_batch(db, batch, LedgerRun())
        db.execute("commit")
        writing += time.perf_counter() - middle
        deciding += middle - began
        began = time.perf_counter()
        known.mark_written(batch)
        deciding += time.perf_counter() - began
        lines, slices = lines + len(batch.lines), slices + len(batch.slices)
    db.execute("pragma wal_checkpoint(truncate)")
    db.close()
    print(f"{HOURS} hours, {WORKERS} workers, {slices} slices, {lines} lines of {FUNCTIONS} functions")
    print(
        f"deciding {deciding / slices * 1e6:.1f} us a slice; writing {(slices + lines) / writing:.0f} rows/s"
    )
    print(f"on disk: {path.stat().st_size / 1e6:.0f} MB (slices for a day, hours for 7, days for all)")
    began = time.perf_counter()
    end = START + HOURS * HOUR_US
    kept = read_ledger(path, START, end, records=False)
    rows = group_figures(
        collect_figures([kept], policy, end + HOUR_US, START, end), ["tenant", "function"], {}
    )
    print(
        f"report of the month by tenant and function: {len(rows)} rows in {time.perf_counter() - began:.1f} s"
    )


if __name__ == "__main__":
    parts = {"calls": calls, "stretches": stretches, "rules": rules, "month": month}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", default=list(parts), metavar="PART", help=", ".join(parts))
    for name in parser.parse_args().parts:
        parts[name]()
