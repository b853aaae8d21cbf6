"""Hollow members beside real front ends, behind five relays and three keepers, all on loopback (simulated).

`python -m benchmarks.scale.followers [--sizes 100,300,900,1800] [--functions N] [--write NAME]`: how long a
change of configuration takes until the last member acts on it, and what that costs each role.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.scale import made
from benchmarks.scale.machine import ROOT, about, process_cpu, process_peak, process_rss
from walnutpost.config import Config, parse
from walnutpost.config.entries import encode_site
from walnutpost.configstore import ConfigStore, Mutation, PropagationStatus, encode
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.eventloop import Loop
from walnutpost.fleet import DisruptionBudget, SetBudgets

SECOND = 1_000_000
RESULTS = ROOT / "docs" / "capacity"
KEEPERS, RELAYS, REAL, TOGETHER = 3, 5, 10, 50
CALLED, RATE, WORKERS = 10, 10.0, 2
WAYS = "sent", "received"
SIZES = [100, 300, 900, 1800]
SET_BYTES = 100_000
RSS_MOST = 12 << 30
PIDS = re.compile(r"pid=(\d+)")
BYTES = re.compile(r"bytes_(sent|received):(\d+)")


def free_ports(count: int) -> list[int]:
    held = [socket.socket() for _ in range(count)]
    try:
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]
    finally:
        for each in held:
            each.close()


def parts(values: dict[str, bytes]) -> Iterator[list[Mutation]]:
    """As many change sets as it takes: each within the bounds of one."""
    ops, size = list[Mutation](), 0
    for key, value in values.items():
        op = Mutation(key, value)
        if ops and (len(ops) == 1000 or size + len(encode(op)) > SET_BYTES):
            yield ops
            ops, size = [], 0
        ops.append(op)
        size += len(encode(op))
    yield ops


class Stage:
    """The processes of one run, each ended by its id."""

    def __init__(self, loop: Loop, folder: Path, functions: int) -> None:
        self.loop, self.folder, self.functions = loop, folder, functions
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        ports = iter(free_ports(KEEPERS + RELAYS + WORKERS))
        self.keepers = {f"k{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(KEEPERS)}
        self.relays = {f"r{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(RELAYS)}
        self.workers = {f"w{n + 1}": f"127.0.0.1:{next(ports)}" for n in range(WORKERS)}
        self.config = made.config(functions)
        lines = {
            "keepers": [{"name": name, "address": at} for name, at in self.keepers.items()],
            "relays": [{"name": name, "address": at} for name, at in self.relays.items()],
        }
        self.file = self._write("fleet.json", lines)
        where = {name: ("127.0.0.1", int(at.rpartition(":")[2])) for name, at in self.keepers.items()}
        self.client = ControlPlaneClient(loop, where, 20 * SECOND, 2 * SECOND)
        self._count = 0

    def _write(self, name: str, told: dict[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(told))
        return path

    def spawn(self, name: str, *words: str) -> None:
        with (self.folder / f"{name}.log").open("wb") as out:
            command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", *words]
            process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=out, cwd=ROOT)
        self.processes[name] = process

    def lines(self, name: str, event: str) -> list[dict[str, Any]]:
        out = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            if f'"event": "{event}"' in line:
                out.append(json.loads(line))
        return out

    def until(self, ready: Callable[[], Any], what: str, seconds: float = 240.0) -> Any:
        until = time.monotonic() + seconds
        while not (found := ready()):
            if time.monotonic() > until:
                raise TimeoutError(f"{what}: not within {seconds:g} s")
            self.loop.sleep(100_000)
        return found

    def start(self) -> None:
        """Keepers, relays, and the agreed table."""
        for name in self.keepers:
            self.spawn(name, "control-plane", str(self.file), "--name", name, "--found")
        self.command(SetBudgets((DisruptionBudget("worker", max_unavailable_ratio=0.05),)))
        for name in self.relays:
            self.spawn(name, "relay", str(self.file), "--name", name)
        for ops in parts(encode_site(self.config.site)):
            self.change(ops)
        revision = self.status().revision
        self.until(lambda: len(self.status().relays) == RELAYS, "relays")
        held = lambda: all(r[1] >= revision for r in self.status().relays)  # noqa: E731
        self.until(held, "the table at the relays")

    def command(self, command: Any) -> None:
        self._count += 1
        until = time.monotonic() + 120
        while time.monotonic() < until:
            with suppress(ControlPlaneUnavailableError):
                if self.client.command(f"c{self._count}", command).ok:
                    return
        raise TimeoutError("no quorum of keepers")

    def change(self, ops: Sequence[Mutation]) -> tuple[int, float, float]:
        """Its revision, when it was asked for, and when it was known to be agreed on."""
        self._count += 1
        began = time.monotonic()
        answer, errors = self.client.submit_change_set(f"s{self._count}", ops)
        if errors or not answer.ok:
            raise ValueError(f"{answer.error} {errors}")
        return answer.index, began, time.monotonic()

    def one_function(self, n: int) -> list[Mutation]:
        """Another function's cost each time, so that each change differs."""
        name = made.function_name(CALLED + n % (self.functions - CALLED))
        line = made.function_line(n) | {"cost_ms": 1 + self._count % 1000}
        text = json.dumps(line, sort_keys=True, separators=(",", ":"))
        site = {"classes": self._classes(), "functions": {name: json.loads(text)}}
        checked = parse(json.dumps({"site": site}), "one", Config)
        return [Mutation(f"function/{name}", encode_site(checked.site)[f"function/{name}"])]

    def _classes(self) -> dict[str, Any]:
        told: dict[str, Any] = json.loads(made.config_text(1))["site"]["classes"]
        return told

    def status(self) -> PropagationStatus:
        while True:
            with suppress(ControlPlaneUnavailableError):
                return self.client.status()

    def all_in_force(self, members: int, seconds: float = 120.0) -> None:
        """Until the leader knows of so many, and that all act on the newest revision."""
        until = time.monotonic() + seconds
        while True:
            told = self.status()
            if (
                told.member_count >= members
                and not told.lagging_count
                and told.min_applied_revision >= told.revision
            ):
                return
            if time.monotonic() > until:
                raise TimeoutError(
                    f"{members} members in force: found {told.member_count}, "
                    f"{told.lagging_count} of them behind "
                    f"{told.revision}: {told.lagging[:3]}; relays {told.relays}"
                )
            self.loop.sleep(200_000)

    # Members

    def table_file(self) -> Path:
        """What a member that starts again has kept."""
        revision, entries = self.client.entries()
        path = self.folder / "kept.table"
        path.write_bytes(ConfigStore.from_entries({e.key: e for e in entries}, revision).snapshot())
        return path

    def child(self, name: str, kind: str, told: dict[str, Any]) -> None:
        told |= {"out": str(self.folder / f"{name}.out")}
        with (self.folder / f"{name}.log").open("wb") as out:
            command = [sys.executable, "-m", "benchmarks.scale.hollow", kind]
            pipe = subprocess.PIPE
            process = subprocess.Popen(command, stdin=pipe, stdout=pipe, stderr=out, cwd=ROOT)
        assert process.stdin is not None
        assert process.stdout is not None
        process.stdin.write(json.dumps(told).encode() + b"\n")
        process.stdin.flush()
        self.processes[name] = process

    def hollow(self, count: int) -> list[str]:
        kept, names = str(self.table_file()), []
        for first in range(0, count, TOGETHER):
            members = [f"hollow-{n:05d}" for n in range(first, min(count, first + TOGETHER))]
            names.append(f"hollow{first // TOGETHER}")
            self.child(names[-1], "members", {"relays": self.relays, "members": members, "table": kept})
        for name in names:
            self._ready(name)
        return names

    def _ready(self, name: str) -> None:
        out = self.processes[name].stdout
        assert out is not None
        self.loop.wait_readable(out.fileno())
        if out.readline() != b"ready\n":
            raise RuntimeError(f"{name}: {(self.folder / f'{name}.log').read_text()}")

    def front(self, name: str, index: int, follows: bool) -> None:
        """Its own file has only the functions that are called; with `follows` it begins with the table that
        it has kept, of all of them."""
        told = json.loads(made.config_text(CALLED))
        workers = [{"name": worker, "address": at} for worker, at in self.workers.items()]
        told["front"] = {"listen": "127.0.0.1:0", "store": f"{name}.db", "workers": workers, "index": index}
        told["front"] |= {"front_ends": 900, "seed": index}
        if follows:
            told["agreement"] = {"relays": self.relays, "member": name}
            (self.folder / f"{name}.db.table").write_bytes(self.table_file().read_bytes())
        self.spawn(name, "serve", str(self._write(f"{name}.json", told)))

    def stand_ins(self) -> None:
        told = json.loads(made.config_text(CALLED))
        lines = [{"name": worker, "listen": at, "cores": 4} for worker, at in self.workers.items()]
        work = {made.function_name(n): {"work_ms": 0, "load_ms": 10, "spread": 0} for n in range(CALLED)}
        told["fleet"] = {"workers": lines, "work": work}
        path = self._write("workers.json", told)
        for worker in self.workers:
            self.spawn(worker, "worker", str(path), "--name", worker)

    def address(self, name: str) -> str:
        found = self.until(lambda: self.lines(name, "listening"), name)
        return str(found[0]["address"])

    # The end

    def end(self, name: str) -> None:
        process = self.processes.pop(name)
        if process.stdin is not None:
            process.stdin.close()
        else:
            with suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGTERM)
        try:
            process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        if process.stdout is not None:
            process.stdout.close()

    def told(self, name: str) -> dict[str, Any]:
        self.end(name)
        out: dict[str, Any] = json.loads((self.folder / f"{name}.out").read_text())
        return out

    def stop(self) -> None:
        for name in reversed(list(self.processes)):
            self.end(name)

    # What it costs

    def used(self, names: Sequence[str]) -> dict[str, float]:
        return {name: process_cpu(self.processes[name].pid) for name in names}

    def rss(self, names: Sequence[str]) -> dict[str, int]:
        return {name: process_rss(self.processes[name].pid) for name in names}

    def carried(self, names: Sequence[str], *ways: str) -> dict[str, int]:
        """Bytes sent to or received from relays over the connections that are open now."""
        ports = " or ".join(f"dport = :{at.rpartition(':')[2]}" for at in self.relays.values())
        text = subprocess.run(
            ["ss", "-tinpH", f"( {ports} )"], capture_output=True, text=True, check=True
        ).stdout
        pids, out = {self.processes[name].pid: name for name in names}, dict.fromkeys(names, 0)
        owner = ""
        for line in text.splitlines():
            if found := PIDS.search(line):
                owner = pids.get(int(found[1]), "")
            if owner:
                out[owner] += sum(int(size) for way, size in BYTES.findall(line) if way in ways)
        return out


@contextmanager
def stage(loop: Loop, functions: int) -> Iterator[Stage]:
    with tempfile.TemporaryDirectory(prefix="followers-") as folder:
        made_stage = Stage(loop, Path(folder), functions)
        try:
            made_stage.start()
            yield made_stage
        finally:
            made_stage.stop()


def quantile(values: Sequence[float], share: float) -> float:
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def spread(values: Sequence[float]) -> dict[str, float]:
    """Of seconds."""
    told = {"p50": 0.5, "p99": 0.99, "p999": 0.999, "max": 1.0}
    return {name: round(quantile(values, share), 4) for name, share in told.items()} | {"n": len(values)}


def delays(changes: Sequence[tuple[int, float, float]], acted: Sequence[tuple[int, float]]) -> list[float]:
    """From the question for each change to when this member acted on it or on a newer one; infinite where
    it never did."""
    revisions = [revision for revision, _ in acted]
    out = []
    for revision, asked, _ in changes:
        at = bisect_left(revisions, revision)
        out.append(acted[at][1] - asked if at < len(acted) else float("inf"))
    return out


def changes(stage: Stage, count: int, every: float) -> list[tuple[int, float, float]]:
    """One function's settings each, at an even pace."""
    out, began = [], time.monotonic()
    for n in range(count):
        stage.loop.sleep(round(max(0.0, began + n * every - time.monotonic()) * SECOND))
        out.append(stage.change(stage.one_function(n)))
    return out


class Costs:
    """Processor time of named processes over a phase, and bytes to and from relays, both ways together."""

    def __init__(self, stage: Stage, groups: dict[str, list[str]], reading: Sequence[str]) -> None:
        self._stage, self._groups, self._reading = stage, groups, list(reading)
        self._names = [name for names in groups.values() for name in names]
        self._cpu, self._bytes = stage.used(self._names), stage.carried(self._reading, *WAYS)
        self._began = time.monotonic()

    def over(self) -> dict[str, Any]:
        seconds = time.monotonic() - self._began
        cpu, received = self._stage.used(self._names), self._stage.carried(self._reading, *WAYS)
        out: dict[str, Any] = {"seconds": round(seconds, 2)}
        for group, names in self._groups.items():
            shares = [(cpu[n] - self._cpu[n]) / seconds for n in names]
            out[group] = {
                "cpu_sum": round(sum(shares), 5),
                "cpu_median": round(median(shares), 5),
                "cpu_max": round(max(shares), 5),
            }
        rates = [(received[n] - self._bytes[n]) / seconds for n in self._reading]
        if rates:
            out["bytes_a_second"] = {"median": round(median(rates)), "max": round(max(rates))}
        return out


def one(size: int, functions: int, quiet: float, every: float, burst: int, real: int) -> dict[str, Any]:
    """`size` followers, `real` of them front ends with calls on them."""
    loop = Loop(on_error=lambda name, error: print(name, repr(error), file=sys.stderr))
    return loop.run(lambda: _one(loop, size, functions, quiet, every, burst, real))


def _one(
    loop: Loop, size: int, functions: int, quiet: float, every: float, burst: int, real: int
) -> dict[str, Any]:
    with stage(loop, functions) as at:
        out: dict[str, Any] = {"followers": size, "real": real, "functions": functions}
        at.stand_ins()
        for worker in at.workers:
            at.address(worker)
        following, plain = [f"front-{n}" for n in range(real)], [f"plain-{n}" for n in range(real)]
        for n in range(real):
            at.front(following[n], n, True)
            at.front(plain[n], n, False)
        fronts = [at.address(name) for name in (*following, *plain)]
        hollow = at.hollow(size - real)
        names = [made.function_name(n) for n in range(CALLED)]
        at.child("load", "load", {"fronts": fronts, "functions": names, "rate": RATE})
        at._ready("load")
        seconds = 240 + functions * 0.02  # a whole table at 22 KB/s
        at.all_in_force(size, seconds)
        loop.sleep(10 * SECOND)
        leader = _leader(at)
        groups = {"leader": [leader], "keepers": list(at.keepers), "relays": list(at.relays)}
        groups |= {"following": following, "plain": plain, "hollow": hollow}
        out["rss_mb"] = {
            g: round(max(at.rss(names).values()) / 1e6, 1) for g, names in groups.items() if names
        }
        total = sum(at.rss(list(at.processes)).values())
        out["rss_all_gb"] = round(total / (1 << 30), 2)
        if total > RSS_MOST:
            raise MemoryError(f"{total} bytes in all, wanted {RSS_MOST} at the most")
        costs = Costs(at, groups, following)
        loop.sleep(round(quiet / 2 * SECOND))
        out["rest"] = costs.over()
        costs = Costs(at, groups, following)
        calm = changes(at, max(1, round(quiet / every)), every)
        loop.sleep(round(every * SECOND))
        out["quiet"] = costs.over() | {"changes": len(calm), "every_s": every}
        at.all_in_force(size)
        costs = Costs(at, groups, following)
        fast = changes(at, burst, 0.1)
        out["burst"] = costs.over() | {"changes": len(fast), "every_s": 0.1}
        at.all_in_force(size)
        out["rss_after_mb"] = most_rss(at, groups)
        peaks = {g: [process_peak(at.processes[n].pid) for n in names] for g, names in groups.items()}
        out["peak_mb"] = {g: round(max(found) / 1e6, 1) for g, found in peaks.items() if found}
        told = at.status()
        out["same_leader"] = _leader(at) == leader
        out["leader_timed_s"] = spread(
            [t.latency_us / 1e6 for t in told.latencies if t.latency_us is not None]
        )
        out["relays"] = {name: at.lines(name, "relay_stats")[-1] for name in at.relays}
        out["load"] = at.told("load")
        ends = [m for name in hollow for m in at.told(name)["members"]]
        acted = {m["member"]: [(r, t) for r, t in m["acted"]] for m in ends}
        shift = time.time() - time.monotonic()
        for name in following:
            at.end(name)
            acted[name] = [
                (line["revision"], datetime.fromisoformat(line["timestamp"]).timestamp() - shift)
                for line in at.lines(name, "config_applied")
            ]
        for phase, made_changes in (("quiet", calm), ("burst", fast)):
            out[phase] |= _in_force(made_changes, acted, following)
        out["states"] = {
            "hollow_revisions": sorted({m["revision"] for m in ends}),
            "hollow_digests": len({m["digest"] for m in ends}),
            "hollow_entries": sorted({m["entries"] for m in ends}),
            "moves": sum(m["moves"] for m in ends),
        }
        return out


def most_rss(at: Stage, groups: dict[str, list[str]]) -> dict[str, float]:
    """MB of the largest process of each group."""
    return {group: round(max(at.rss(names).values()) / 1e6, 1) for group, names in groups.items() if names}


def _in_force(
    changed: Sequence[tuple[int, float, float]],
    acted: dict[str, list[tuple[int, float]]],
    real: Sequence[str],
) -> dict[str, Any]:
    each = {name: delays(changed, told) for name, told in acted.items()}
    everyone = [d for found in each.values() for d in found]
    last = [max(found[n] for found in each.values()) for n in range(len(changed))]
    at_real = [d for name in real for d in each[name]]
    return {
        "agreed_s": spread([known - asked for _, asked, known in changed]),
        "in_force_s": spread(everyone),
        "in_force_at_real_s": spread(at_real) if at_real else {},
        "last_member_s": spread(last),
        "within_9_s": sum(d <= 9 for d in everyone) / len(everyone),
        "pairs": len(everyone),
    }


def _leader(at: Stage) -> str:
    return at.client.state()[0].leader


def alike(count: int, functions: int, seconds: float) -> dict[str, Any]:
    """The same changes for as many hollow members and then as many real front ends, without calls: what
    relays answered and spent."""
    out: dict[str, Any] = {"members": count, "functions": functions, "seconds": seconds}
    for kind in ("hollow", "real"):
        loop = Loop(on_error=lambda name, error: print(name, repr(error), file=sys.stderr))
        out[kind] = loop.run(lambda loop=loop, kind=kind: _alike(loop, kind, count, functions, seconds))
    return out


def _alike(loop: Loop, kind: str, count: int, functions: int, seconds: float) -> dict[str, Any]:
    with stage(loop, functions) as at:
        if kind == "hollow":
            at.hollow(count)
        else:
            at.stand_ins()
            for n in range(count):
                at.front(f"front-{n}", n, True)
        at.all_in_force(count, 90)
        loop.sleep(12 * SECOND)
        before = {name: at.lines(name, "relay_stats")[-1] for name in at.relays}
        cpu = at.used(list(at.relays))
        changes(at, round(seconds / 2), 2.0)
        loop.sleep(11 * SECOND)
        spent = {name: used - cpu[name] for name, used in at.used(list(at.relays)).items()}
        after = {name: at.lines(name, "relay_stats")[-1] for name in at.relays}
        keys = ("responses", "idle_timeouts", "response_bytes", "pages_encoded", "rejected")
        told = {key: sum(after[n][key] - before[n][key] for n in at.relays) for key in keys}
        return told | {"relays_cpu_s": round(sum(spent.values()), 2)}


def table(found: Sequence[dict[str, Any]]) -> str:
    rows = [
        "| followers | run | changes | agreed p50 s | in force p50 | p99 | p99.9 | max | within 9 s "
        "| leader CPU | relays CPU, sum | most | relay MB "
        "| front end CPU, following | without | MB, following | without | bytes/s, both ways |",
        "| --- " * 18 + "|",
    ]
    for each in found:
        for phase in ("quiet", "burst"):
            p, s, rss = each[phase], each[phase]["in_force_s"], each["rss_after_mb"]
            leader, relays = p["leader"]["cpu_sum"], p["relays"]
            rows.append(
                f"| {each['followers']} | {phase} | {p['changes']} | {p['agreed_s']['p50']:.3f} "
                f"| {s['p50']:.3f} | {s['p99']:.3f} | {s['p999']:.3f} | {s['max']:.3f} "
                f"| {p['within_9_s']:.6f} | {leader:.4f} | {relays['cpu_sum']:.4f} | {relays['cpu_max']:.4f} "
                f"| {rss['relays']} | {p['following']['cpu_median']:.4f} | {p['plain']['cpu_median']:.4f} "
                f"| {rss['following']} | {rss['plain']} | {p['bytes_a_second']['median']} "
                f"to {p['bytes_a_second']['max']} |"
            )
    return "\n".join(rows) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.followers", description=__doc__)
    parser.add_argument(
        "--sizes", type=lambda t: [int(w) for w in t.split(",")], default=[100, 300, 900, 1800]
    )
    parser.add_argument("--functions", type=int, default=2000)
    parser.add_argument("--quiet-s", type=float, default=60.0)
    parser.add_argument("--every-s", type=float, default=2.0)
    parser.add_argument("--burst", type=int, default=100)
    parser.add_argument("--real", type=int, default=REAL)
    parser.add_argument("--alike", type=int, default=0, help="only: as many hollow ones against real ones")
    parser.add_argument("--write", metavar="NAME")
    asked = parser.parse_args()
    told, out = about(), dict[str, Any]()
    if asked.alike:
        out = {"about": told, "alike": alike(asked.alike, asked.functions, asked.quiet_s)}
        print(json.dumps(out["alike"], indent=1))
    else:
        found = []
        for size in asked.sizes:
            args = (size, asked.functions, asked.quiet_s, asked.every_s, asked.burst, asked.real)
            found.append(one(*args))
            print(table(found), flush=True)
            out = {"about": told, "runs": found}
            keep(asked.write, out)
    keep(asked.write, out)


def keep(name: str | None, out: dict[str, Any]) -> None:
    """After each size: a run that is ended has what it came to."""
    if name:
        RESULTS.mkdir(parents=True, exist_ok=True)
        (RESULTS / f"{name}.json").write_text(json.dumps(out, indent=1) + "\n")


if __name__ == "__main__":
    main()
