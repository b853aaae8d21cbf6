"""Agents and replicas of the control plane as processes: releases, a killed agent, manual orders."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import NamedTuple

from walnutpost.agent import process_ids_of, version_of
from walnutpost.eventloop import Loop
from walnutpost.fleet import FRONT_END, DisruptionBudget, FleetState, SetBudgets
from walnutpost.testsupport.controlplane.replica_processes import NAMES, ReplicaProcesses

MEMBERS = ("f0", "f1", "f2", "f3")
CHILD = """
import json, os, signal, sys, time
config = json.load(open(sys.argv[1]))
time.sleep(config.get("slow", 0))
if config["version"] in config.get("bad", []): sys.exit("it does not start")
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
print("listening", os.getpid(), config["version"], flush=True)
for _ in range(600): time.sleep(0.1)
"""
V1, V2 = b'{"version": "v1"}', b'{"version": "v2"}'
SLOW = b'{"version": "v2", "slow": 3}'
BAD = b'{"version": "v3", "bad": ["v3"]}'


class RunningChild(NamedTuple):
    """The process of an agent, by its own output."""

    pid: int
    version: str


class Agents:
    """Four agents in two zones, each a process that looks after another process.

    `max_unavailable`: the most members of which no process was running at the same time.
    """

    def __init__(self, replicas: ReplicaProcesses) -> None:
        self.replicas, self.folder = replicas, replicas.folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.max_unavailable = 0
        (self.folder / "child.py").write_text(CHILD)
        (self.folder / "v1").write_bytes(V1)
        replicas.client().command("budget", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),)))
        for name in MEMBERS:
            self.start(name)
        self.wait_until(lambda: len(self.versions()) == 4 and len(self.state().members) == 4, observe=False)

    def start(self, name: str) -> None:
        command = [sys.executable, str(self.folder / "child.py"), "{config}"]
        line = {"member": name, "zone": "ab"[int(name[1]) % 2], "command": command, "first": "v1"}
        addresses = {n: address for n in NAMES if (address := self.replicas.address_of(n)) is not None}
        lines = [{"name": n, "address": "{}:{}".format(*addresses.get(n, ("127.0.0.1", 1)))} for n in NAMES]
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({"keepers": lines, "agents": [line], "lease_ms": 60_000}))
        with (self.folder / f"{name}.log").open("wb") as out:
            program = [sys.executable, "-m", "walnutpost.cli", "agent", str(config), "--member", name]
            self.running[name] = subprocess.Popen(program, stdout=out, stderr=out)

    def child(self, name: str) -> RunningChild | None:
        """Return the process of a member, None if none is running."""
        with suppress(OSError, ValueError, IndexError):
            words = (self.folder / "agents" / f"{name}.out").read_text().split()
            os.kill(int(words[1]), 0)
            return RunningChild(int(words[1]), words[2])
        return None

    def versions(self) -> dict[str, str]:
        """Return the versions of the running processes by member."""
        return {name: child.version for name in MEMBERS if (child := self.child(name)) is not None}

    def state(self) -> FleetState:
        return self.replicas.client().state()[1].state

    def wait_until(self, condition: Callable[[], object], observe: bool = True) -> None:
        def met() -> object:
            if observe:
                self.max_unavailable = max(self.max_unavailable, len(MEMBERS) - len(self.versions()))
            return condition()

        self.replicas.wait_until(met)

    def release(self, plan: str, content: bytes) -> None:
        file = self.folder / "next"
        file.write_bytes(content)
        output = self.fleet_command("release", str(file), "--steps", "1", "--plan", plan, "--no-check")
        assert f"plan {plan}: version {version_of(content)}" in output

    def fleet_command(self, command: str, *arguments: str) -> str:
        """Run `walnutpost fleet` while the links between the replicas stay served; return its output."""
        program = [sys.executable, "-m", "walnutpost.cli", "fleet", command]
        program += [str(self.folder / "f0.json"), *arguments]
        done = self.replicas.loop.run_blocking(
            lambda: subprocess.run(program, check=False, capture_output=True, text=True)
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    def close(self) -> None:
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            process.wait()


def run_scenario(folder: Path, scenario: Callable[[Agents], None]) -> None:
    """Run a scenario with three replicas and four agents; end all processes afterwards."""
    loop = Loop()
    with ExitStack() as stack:

        def main() -> None:
            replicas = ReplicaProcesses(loop, folder)
            stack.callback(replicas.end)
            agents = Agents(replicas)
            stack.callback(agents.close)
            scenario(agents)

        loop.run(main)


def test_release_when_the_leader_is_killed_continues_with_one_member_unavailable_at_most(
    tmp_path: Path,
) -> None:
    def scenario(agents: Agents) -> None:
        agents.release("r", V2)
        agents.wait_until(lambda: "v2" in agents.versions().values())
        agents.wait_until(lambda: len(agents.state().plans["r"].completed) == 1)
        assert list(agents.versions().values()).count("v2") == 1, "the first member alone before a verdict"
        agents.fleet_command("judge", "r", "good")
        agents.wait_until(lambda: agents.state().permits)
        agents.replicas.kill(agents.replicas.leader())
        agents.wait_until(lambda: len(agents.state().plans["r"].completed) == 4)
        assert set(agents.versions().values()) == {"v2"}
        assert len(agents.versions()) == 4
        agents.fleet_command("judge", "r", "good")
        status = json.loads(agents.fleet_command("status", "--format", "json"))
        assert status["plans"]["r"]["ended"] == "done"
        assert status["budgets"] == ["0 of 1 front_ends are out"]
        assert agents.state().plans["r"].end_reason == "done"
        assert agents.max_unavailable == 1

    run_scenario(tmp_path, scenario)


def test_release_when_its_version_does_not_start_is_rolled_back_on_that_member_only(tmp_path: Path) -> None:
    def scenario(agents: Agents) -> None:
        before = {name: agents.child(name) for name in MEMBERS}
        program = [sys.executable, "-m", "walnutpost.cli", "fleet", "release"]
        program += [str(agents.folder / "f0.json"), str(agents.folder / "v1")]
        done = subprocess.run(program, check=False, capture_output=True, text=True)
        assert done.returncode == 2
        assert "site" in done.stderr, "no front end could start with it"
        agents.release("r", BAD)
        agents.wait_until(lambda: agents.state().plans["r"].end_reason)
        assert "does not come up" in agents.state().plans["r"].end_reason
        agents.wait_until(lambda: set(agents.versions().values()) == {"v1"} and len(agents.versions()) == 4)
        assert sum(agents.child(name) != before[name] for name in MEMBERS) == 1
        assert agents.max_unavailable == 1

    run_scenario(tmp_path, scenario)


def test_agent_when_killed_with_a_permit_completes_it_after_its_restart(tmp_path: Path) -> None:
    def scenario(agents: Agents) -> None:
        agents.release("r", SLOW)
        begun: list[str] = []

        def has_begun() -> bool:
            begun[:] = [p.member for p in agents.state().permits.values() if p.has_begun]
            return bool(begun)

        agents.wait_until(has_begun)
        (name,) = begun
        agents.running[name].kill()
        agents.running[name].wait()
        agent = json.loads((agents.folder / "agents" / f"{name}.json").read_text())["agent"]
        orphans = process_ids_of(agent)
        agents.replicas.loop.sleep(2_000_000)
        assert [p.member for p in agents.state().permits.values()] == [name]
        agents.start(name)
        agents.wait_until(lambda: agents.state().plans["r"].completed == [name])
        assert agents.max_unavailable <= 1
        assert not agents.state().permits
        (process,) = process_ids_of(agent)
        assert process not in orphans, "the processes that the killed agent left behind have ended"

    run_scenario(tmp_path, scenario)


def test_operator_order_when_there_is_no_quorum_is_executed_and_recorded_afterwards(tmp_path: Path) -> None:
    def scenario(agents: Agents) -> None:
        before = agents.child("f0")
        agents.fleet_command("cycle", "f1", "--plan", "c")
        agents.wait_until(lambda: agents.state().plans["c"].end_reason)
        paused = [name for name in NAMES if name != agents.replicas.leader()]
        for name in paused:
            agents.replicas.signal(name, signal.SIGSTOP)
        agents.fleet_command("cycle", "f0", "--alone", "--operator", "jo", "--why", "nobody answers")
        agents.wait_until(lambda: agents.child("f0") not in (None, before), observe=False)
        for name in paused:
            agents.replicas.signal(name, signal.SIGCONT)
        agents.wait_until(lambda: agents.state().manual_changes)
        assert "f0 by jo: nobody answers" in agents.fleet_command("status")
        history = json.loads(agents.fleet_command("history", "--format", "json"))
        kinds = [line["what"] for line in history["lines"] if line["answer"] and line["answer"]["done"]]
        assert kinds.index("began") < kinds.index("back") < kinds.index("alone")
        assert history["first"] == 1
        assert "f3" in agents.fleet_command("members")
        assert "1 of 1" in agents.fleet_command("plan", "c")
        assert agents.fleet_command("budgets").strip() == "front_ends in all: 1"
        agents.fleet_command("forget", "f3")
        assert "f3" not in agents.state().members

    run_scenario(tmp_path, scenario)
