"""Keepers and agents as processes: a release, one that does not start, and an agent killed with a permit."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from replica_processes import NAMES, ReplicaProcesses
from walnutpost.agent import version_of
from walnutpost.agent.child_process import processes_of
from walnutpost.eventloop import Loop, replace_file
from walnutpost.fleet import FRONT_END, DisruptionBudget, FleetState, SetBudgets

MEMBERS = ("f0", "f1", "f2", "f3")
CHILD = """
import json, os, signal, sys, time
told = json.load(open(sys.argv[1]))
time.sleep(told.get("slow", 0))
if told["version"] in told.get("bad", []): sys.exit("it does not start")
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
print("listening", os.getpid(), told["version"], flush=True)
for _ in range(600): time.sleep(0.1)
"""
V1, V2 = b'{"version": "v1"}', b'{"version": "v2"}'
SLOW = b'{"version": "v2", "slow": 3}'
BAD = b'{"version": "v3", "bad": ["v3"]}'


class Agents:
    """Four agents in two zones, each a process with a process of its own; and who is really up."""

    def __init__(self, keepers: ReplicaProcesses) -> None:
        self.keepers, self.folder = keepers, keepers.folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.most_out = 0
        (self.folder / "child.py").write_text(CHILD)
        (self.folder / "v1").write_bytes(V1)
        keepers.client().command("budget", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),)))
        for name in MEMBERS:
            self.start(name)
        self.until(lambda: len(self.up()) == 4 and len(self.state().members) == 4, watch=False)

    def start(self, name: str) -> None:
        command = [sys.executable, str(self.folder / "child.py"), "{config}"]
        line = {"member": name, "zone": "ab"[int(name[1]) % 2], "command": command, "first": "v1"}
        known = {n: w for n in NAMES if (w := self.keepers.address_of(n)) is not None}
        lines = [{"name": n, "address": "{}:{}".format(*known.get(n, ("127.0.0.1", 1)))} for n in NAMES]
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({"keepers": lines, "agents": [line], "lease_ms": 60_000}))
        with (self.folder / f"{name}.log").open("wb") as out:
            run = [sys.executable, "-m", "walnutpost.cli", "agent", str(config), "--member", name]
            self.running[name] = subprocess.Popen(run, stdout=out, stderr=out)

    def child(self, name: str) -> tuple[int, str] | None:
        """Its process and version, asked of the process itself."""
        with suppress(OSError, ValueError, IndexError):
            words = (self.folder / "agents" / f"{name}.out").read_text().split()
            os.kill(int(words[1]), 0)
            return int(words[1]), words[2]
        return None

    def up(self) -> dict[str, str]:
        return {name: child[1] for name in MEMBERS if (child := self.child(name)) is not None}

    def state(self) -> FleetState:
        return self.keepers.client().state()[1].state

    def until(self, condition: Callable[[], object], watch: bool = True) -> None:
        def looked() -> object:
            if watch:
                self.most_out = max(self.most_out, len(MEMBERS) - len(self.up()))
            return condition()

        self.keepers.wait_until(looked)

    def release(self, plan: str, content: bytes) -> None:
        file = self.folder / "next"
        file.write_bytes(content)
        told = self.operator("release", str(file), "--steps", "1", "--plan", plan, "--no-check")
        assert f"plan {plan}: version {version_of(content)}" in told

    def operator(self, command: str, *words: str) -> str:
        """What `walnutpost fleet` prints, asked beside the relays."""
        run = [sys.executable, "-m", "walnutpost.cli", "fleet", command, str(self.folder / "f0.json"), *words]
        done = self.keepers.loop.run_blocking(
            lambda: subprocess.run(run, check=False, capture_output=True, text=True)
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    def close(self) -> None:
        for process in self.running.values():
            process.terminate()
        for process in self.running.values():
            process.wait()


def play(folder: Path, script: Callable[[ReplicaProcesses, Agents], None]) -> None:
    loop, held, agents = Loop(), list[ReplicaProcesses](), list[Agents]()

    def body() -> None:
        held.append(ReplicaProcesses(loop, folder))
        agents.append(Agents(held[0]))
        script(held[0], agents[0])

    try:
        loop.run(body)
    finally:
        for all_agents in agents:
            all_agents.close()
        for keepers in held:
            keepers.end()


def test_release_when_the_leader_is_killed_goes_on_with_one_member_out_at_most(tmp_path: Path) -> None:
    def script(keepers: ReplicaProcesses, agents: Agents) -> None:
        agents.release("r", V2)
        agents.until(lambda: "v2" in agents.up().values())
        agents.until(lambda: len(agents.state().plans["r"].completed) == 1)
        assert list(agents.up().values()).count("v2") == 1, "the first one alone before a judgement"
        agents.operator("judge", "r", "good")
        agents.until(lambda: agents.state().permits)
        keepers.kill(keepers.leader())
        agents.until(lambda: len(agents.state().plans["r"].completed) == 4)
        assert set(agents.up().values()) == {"v2"}
        assert len(agents.up()) == 4
        agents.operator("judge", "r", "good")
        told = json.loads(agents.operator("status", "--format", "json"))
        assert told["plans"]["r"]["ended"] == "done"
        assert told["budgets"] == ["0 of 1 front_ends are out"]
        assert agents.state().plans["r"].end_reason == "done"
        assert agents.most_out == 1

    play(tmp_path, script)


def test_release_when_its_version_does_not_start_is_rolled_back_on_that_member_alone(tmp_path: Path) -> None:
    def script(keepers: ReplicaProcesses, agents: Agents) -> None:
        before = {name: agents.child(name) for name in MEMBERS}
        wrong = [sys.executable, "-m", "walnutpost.cli", "fleet", "release"]
        wrong += [str(agents.folder / "f0.json"), str(agents.folder / "v1")]
        done = subprocess.run(wrong, check=False, capture_output=True, text=True)
        assert done.returncode == 2
        assert "site" in done.stderr, "no front end could start with it"
        agents.release("r", BAD)
        agents.until(lambda: agents.state().plans["r"].end_reason)
        assert "does not come up" in agents.state().plans["r"].end_reason
        agents.until(lambda: set(agents.up().values()) == {"v1"} and len(agents.up()) == 4)
        assert sum(agents.child(name) != before[name] for name in MEMBERS) == 1
        assert agents.most_out == 1

    play(tmp_path, script)


def test_agent_when_killed_with_a_permit_completes_it_after_its_restart(tmp_path: Path) -> None:
    def script(keepers: ReplicaProcesses, agents: Agents) -> None:
        agents.release("r", SLOW)
        held: list[str] = []

        def begun() -> list[str]:
            held[:] = [p.member for p in agents.state().permits.values() if p.has_begun]
            return held

        agents.until(begun)
        (name,) = held
        agents.running[name].kill()
        agents.running[name].wait()
        agent = json.loads((agents.folder / "agents" / f"{name}.json").read_text())["agent"]
        left = processes_of(agent)
        keepers.loop.sleep(2_000_000)
        assert [p.member for p in agents.state().permits.values()] == [name]
        agents.start(name)
        agents.until(lambda: agents.state().plans["r"].completed == [name])
        assert agents.most_out <= 1
        assert not agents.state().permits
        now = processes_of(agent)
        assert len(now) == 1
        assert not set(left) & set(now), "what it left behind has ended"

    play(tmp_path, script)


def test_operator_order_when_there_is_no_quorum_is_executed_and_recorded_afterwards(
    tmp_path: Path,
) -> None:
    def script(keepers: ReplicaProcesses, agents: Agents) -> None:
        before = agents.child("f0")
        agents.operator("cycle", "f1", "--plan", "c")
        agents.until(lambda: agents.state().plans["c"].end_reason)
        paused = [name for name in NAMES if name != keepers.leader()]
        for name in paused:
            keepers.signal(name, signal.SIGSTOP)
        agents.operator("cycle", "f0", "--alone", "--operator", "jo", "--why", "nobody answers")
        agents.until(lambda: agents.child("f0") not in (None, before), watch=False)
        for name in paused:
            keepers.signal(name, signal.SIGCONT)
        agents.until(lambda: agents.state().manual_changes)
        assert "f0 by jo: nobody answers" in agents.operator("status")
        told = json.loads(agents.operator("history", "--format", "json"))
        kinds = [line["what"] for line in told["lines"] if line["answer"] and line["answer"]["done"]]
        assert kinds.index("began") < kinds.index("back") < kinds.index("alone")
        assert told["first"] == 1
        assert "f3" in agents.operator("members")
        assert "1 of 1" in agents.operator("plan", "c")
        assert agents.operator("budgets").strip() == "front_ends in all: 1"
        agents.operator("forget", "f3")
        assert "f3" not in agents.state().members

    play(tmp_path, script)


def test_version_when_another_agent_is_storing_it_is_stored_too(tmp_path: Path) -> None:
    """Four agents kept their first version at once; one found its half-written file gone, and ended."""
    (tmp_path / "version.new").mkdir()  # stands for what another has in hand
    replace_file(tmp_path / "version", b"content")
    assert (tmp_path / "version").read_bytes() == b"content"
