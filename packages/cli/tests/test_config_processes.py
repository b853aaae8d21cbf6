"""Agreed settings through processes: control plane, relays, a front end; relays are killed in between."""

from __future__ import annotations

import json
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from walnutpost.cli import main
from walnutpost.testsupport.cli.control_plane import wait_for_leader
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings
from walnutpost.testsupport.eventloop.loopback import free_address

FEW_DESCRIPTORS = 512
WAIT_OPTIONS = ("--within", 60)  # seconds; a busy machine may take them, a test that passes does not


class Processes:
    """Three keepers, two relays and a front end, each a process; commands on the keepers' file."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.starts: dict[str, int] = {}
        self.relays = {name: free_address() for name in ("r1", "r2")}
        content = {
            "keepers": [{"name": name, "address": free_address()} for name in ("k1", "k2", "k3")],
            "relays": [{"name": name, "address": address} for name, address in self.relays.items()],
            # So long that no busy machine changes the leader, which alone knows the killed relays' reports.
            "election_ms": 3000,
            "heartbeat_ms": 300,
        }
        self.keepers = self.written("keepers.json5", content)
        agreement = {"agreement": {"member": "f0", "relays": self.relays}}
        self.site = self.written("site.json5", merge_settings(BASE_SETTINGS, agreement))
        for name in ("k1", "k2", "k3"):
            self.start(name, "control-plane", self.keepers, "--name", name, "--found")
        for name in self.relays:
            self.start_relay(name)
        wait_for_leader(self, self.running, self.logs)

    def written(self, name: str, content: dict[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(content))
        return path

    def start(self, name: str, *args: object) -> None:
        self.starts[name] = self.starts.get(name, 0) + 1
        with self.log(name).open("wb") as out:
            command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", *map(str, args)]
            self.running[name] = subprocess.Popen(command, stdout=out, stderr=out)

    def start_relay(self, name: str) -> None:
        """Start with fewer descriptors than the hard limit, as a shell does."""
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, limits[1]))
        try:
            self.start(name, "relay", self.keepers, "--name", name)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def start_front(self) -> None:
        self.start("f0", "serve", self.site)

    def log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def lines(self, name: str, event: str) -> list[dict[str, Any]]:
        content = []
        for line in self.log(name).read_text().splitlines():
            if line.startswith("{"):
                content.append(json.loads(line))
        return [line for line in content if line["event"] == event]

    def kill(self, name: str, how: signal.Signals = signal.SIGKILL) -> None:
        process = self.running.pop(name)
        process.send_signal(how)
        process.wait(30)

    def close(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait(30)

    def __call__(self, command: str, *args: object) -> Result:
        given = ["config", command, str(self.keepers), *map(str, args)]
        return CliRunner().invoke(main, given, catch_exceptions=False)

    def set(self, *args: object) -> int:
        """Return the revision of the change."""
        done = self("set", *args)
        assert done.exit_code == 0, done.output
        return int(done.stdout.split()[-1])

    def in_force(self, revision: int) -> dict[str, Any]:
        """Return the status once all members apply the revision."""
        content = self("status", "--wait", revision, *WAIT_OPTIONS, "--format", "json")
        assert content.exit_code == 0, (content.output, self.logs())
        status: dict[str, Any] = json.loads(content.stdout)
        return status

    def logs(self) -> str:
        return "\n".join(self.log(name).read_text()[-2000:] for name in self.starts)


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[Processes]:
    running = Processes(tmp_path)
    try:
        yield running
    finally:
        running.close()


def test_setting_is_applied_and_reported_by_member_while_relays_are_killed(processes: Processes) -> None:
    run = processes
    first = run.set(run.site)
    run.start_front()
    content = run.in_force(first)
    assert (content["members"], content["in_force"], content["lacking"]) == (1, first, [])
    assert content["acting"] == ["f0"]
    few = run("status", "--wait", "--members", 2, "--within", 0)
    assert few.exit_code == 1
    assert "1 members follow the table, wanted 2" in few.stderr
    assert {relay["relay"] for relay in content["relays"]} <= {"r1", "r2"}

    # A relay has a connection for each of its members: it takes as many descriptors as it may have.
    soft, hard = resource.prlimit(run.running["r1"].pid, resource.RLIMIT_NOFILE)
    assert soft == hard > FEW_DESCRIPTORS

    second = run.set("--function", "price", "lanes=4")
    assert run.in_force(second)["digest"] != content["digest"]
    assert [line["revision"] for line in run.lines("f0", "config_applied")][-1] == second

    # The relay that the front end follows is killed in between.
    serving = next(r["relay"] for r in run.in_force(second)["relays"] if r["members"])
    run.kill(serving)
    third = run.set("--function", "price", "lanes=3")
    content = run.in_force(third)
    assert content["members"] == 1
    shown = run("status").stdout
    assert f"in force everywhere: all 1 members act on revision {third}" in shown
    assert f"acting on revision {third}: f0" in shown.splitlines()
    other = next(name for name in run.relays if name != serving)
    assert other in shown

    # Without any relay the status names who lacks it, and the front end goes on with what it has.
    run.kill(other)
    fourth = run.set("--function", "price", "lanes=1")
    lacks = run("status", "--wait", fourth, "--within", 1)
    assert lacks.exit_code == 1
    assert (
        f"in force everywhere up to revision {third}; 1 of 1 members lack revision {fourth}" in lacks.stdout
    )
    assert any(line.split()[:2] == ["f0", str(third)] for line in lacks.stdout.splitlines())
    assert f"revision {fourth} is not in force everywhere after 1 s: 1 of 1 members lack it" in lacks.stderr
    assert run.running["f0"].poll() is None

    run.start_relay(serving)
    run.in_force(fourth)
    assert [line["revision"] for line in run.lines("f0", "config_applied")][-1] == fourth
    took = json.loads(run("status", "--format", "json").stdout)["times"]
    assert took[-1]["revision"] == fourth
    assert took[-1]["took_s"] > 0


def test_member_that_cannot_apply_a_revision_is_named_with_the_reason(processes: Processes) -> None:
    run = processes
    first = run.set(run.site)
    run.start_front()
    run.in_force(first)
    classes = {"sale": BASE_SETTINGS["site"]["classes"]["valuation"]}
    functions = {"new": {"class": "sale", "memory_mb": 10}}
    more = {"site": {"classes": classes, "functions": functions}}
    unknown = run.set(run.written("more.json5", merge_settings(BASE_SETTINGS, more)))
    lacking: dict[str, Any] = {"why": ""}
    while "function/new" not in lacking["why"]:  # until the front end has reported
        assert run.running["f0"].poll() is None, run.logs()
        lacks = run("status", "--wait", unknown, "--within", 0.2, "--format", "json")
        assert lacks.exit_code == 1
        assert json.loads(lacks.stdout)["acting"] == []
        (lacking,) = json.loads(lacks.stdout)["lacking"]
        assert lacking["member"] == "f0"
        assert lacking["in_force"] <= first
    assert lacking["in_force"] == first
    assert "function/new: class: found 'sale'; wanted one of reservation, valuation" in lacking["why"]
    assert "function/new: class: found 'sale'" in run("status").stdout
    mended = run.set("--function", "new", "--delete")
    assert run.in_force(mended)["lacking"] == []
    # One that has gone for good blocks nothing once it is forgotten.
    run.kill("f0")
    last = run.set("--function", "price", "lanes=7")
    assert run("status", "--wait", last, "--within", 1).exit_code == 1
    assert run("forget", "f0").exit_code == 0
    assert "nobody follows the table" in run("status").stdout


def test_relay_with_an_address_in_use_prints_one_line(tmp_path: Path) -> None:
    keeper = {"name": "k1", "address": free_address()}
    relay = {"name": "r1", "address": keeper["address"]}
    file = tmp_path / "keepers.json5"
    file.write_text(json.dumps({"keepers": [keeper], "relays": [relay]}))
    unknown = CliRunner().invoke(main, ["relay", str(file), "--name", "r2"])
    assert unknown.exit_code == 2
    assert "--name: found 'r2'; wanted one of r1" in unknown.output
    with subprocess.Popen(
        [sys.executable, "-m", "walnutpost.cli", "control-plane", str(file), "--name", "k1", "--found"],
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stderr is not None
        try:
            while "address=" not in process.stderr.readline():
                assert process.poll() is None
            taken = CliRunner().invoke(main, ["relay", str(file), "--name", "r1"])
        finally:
            process.kill()
    assert taken.exit_code == 2
    expected = (
        f"{file}: relays.0.address: found {relay['address']}, which is taken (Address already in use); "
    )
    assert taken.output.splitlines() == [expected + "wanted a free address"]
