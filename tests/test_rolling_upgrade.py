"""A rolling upgrade: processes of the former release and of this one in one fleet, at each stage of it."""

from __future__ import annotations

import json
from itertools import count, cycle
from pathlib import Path
from typing import Any

import pytest

from walnutpost.testsupport.system.release_fleet import (
    CALLED,
    FRONT_ENDS,
    RELAYS,
    REPLICAS,
    WORKERS,
    Release,
    ReleaseFleet,
    former_release,
    present_release,
    running_fleet,
)


@pytest.fixture(scope="session")
def former(tmp_path_factory: pytest.TempPathFactory) -> Release:
    return former_release(tmp_path_factory.mktemp("former"))


@pytest.fixture(scope="session")
def present(tmp_path_factory: pytest.TempPathFactory) -> Release:
    return present_release(tmp_path_factory.mktemp("present"))


def test_each_release_runs_its_own_modules_alone(former: Release, present: Release) -> None:
    for release in (former, present):
        modules = release.modules()
        assert "walnutpost.cli" in modules
        outside = {
            name: file for name, file in modules.items() if not Path(file).is_relative_to(release.root)
        }
        assert not outside
    assert former.modules().keys() != present.modules().keys()


class Stages:
    """What must hold at every stage of an upgrade; the commands are of either release in turns."""

    def __init__(self, fleet: ReleaseFleet, former: Release, present: Release) -> None:
        self.fleet = fleet
        self._operators = cycle([(former, present), (present, former)])
        self._drainers = cycle([former, former, present, present])  # each of them drains and gives back
        self._numbers = count(1)
        self._out: set[str] = set()

    def change(self, release: Release) -> int:
        """A change set proposed by a command of `release`: its revision."""
        lanes = f"lanes={1 + next(self._numbers)}"
        words = ("config", "set", self.fleet.file, "--function", CALLED, lanes)
        return int(self.fleet.operator(release, *words).split()[-1])

    def check(self) -> None:
        """A change set comes into force, a command is agreed on and carried out, replicas hold the same
        bytes, calls are answered."""
        fleet, (one, other) = self.fleet, next(self._operators)
        revision = self.change(one)
        wait = ("--wait", revision, "--members", len(FRONT_ENDS), "--within", 60, "--format", "json")
        printed = fleet.begin(other, "config", "status", fleet.file, *wait)
        if self._out:
            self.give_back()
        else:
            self.drain(WORKERS[0])
        status = json.loads(printed())
        assert (status["lacking"], status["acting"]) == ([], list(FRONT_ENDS))
        assert (status["revision"], status["in_force"]) == (revision, revision)
        fleet.assert_replicas_equal()
        for front_end in FRONT_ENDS:
            fleet.invoke(front_end)

    def drain(self, *workers: str) -> None:
        """Until front ends act on a list without them and their processes have ended."""
        release, plan = next(self._drainers), f"drain-{next(self._numbers)}"
        self.fleet.operator(release, "fleet", "drain", self.fleet.file, *workers, "--plan", plan)
        self._out = set(workers)
        self.fleet.until(lambda: all(map(self._is_ending, workers)), f"{workers} to end")
        self.fleet.until(lambda: self._all_stand(release, "out: an operator"), f"{workers} to be drained")

    def give_back(self) -> None:
        """Whatever is drained comes back."""
        if not self._out:
            return
        release = next(self._drainers)
        for worker in self._out:
            self.fleet.output(worker).unlink()  # so that what stands in it is of the next process
        words = ("--operator", "test")
        asked = [
            self.fleet.begin(release, "fleet", "return", self.fleet.file, worker, *words)
            for worker in self._out
        ]
        for printed in asked:
            printed()
        for worker in self._out:
            self.fleet.until_ready(worker)
        self.fleet.until(lambda: self._all_stand(release, "in"), f"{self._out} to be in")
        self._out = set()

    def _is_ending(self, worker: str) -> bool:
        return '"stopping"' in self.fleet.output(worker).read_text()

    def _all_stand(self, release: Release, wanted: str) -> bool:
        members = self.fleet.members(release)
        return all(members[worker]["stands"] == wanted for worker in self._out)

    def check_led_by(self, *leaders: str) -> None:
        """With one of these as leader, who tells the table as the one before, byte for byte."""
        self.fleet.until(self.fleet.leader, "a leader")
        if self.fleet.leader() not in leaders:
            tables: list[bytes] = []

            def agree() -> None:
                self.change(self.fleet.releases[leaders[0]])
                tables.append(self.fleet.table())

            self.fleet.make_leader(leaders[0], agree)
            assert all(table == self.fleet.table() for table in tables)
        self.check()


def assert_same_fate(before: dict[str, Any], after: dict[str, Any]) -> None:
    """All that is told of a call but its times is the same, and so are the spans between these: the first
    start on a store without time marks may move them all ahead (docs/recovery.md, "Time over restarts")."""
    times = ("StartTimestamp", "EndTimestamp", "ExpectedExecutionTimeoutTimestamp")
    assert {key: value for key, value in before.items() if key not in times} == {
        key: value for key, value in after.items() if key not in times
    }
    moved = [round(after[key] - before[key], 6) for key in times]  # microseconds: they are told as floats
    assert moved == [moved[0]] * len(times)
    assert moved[0] >= 0


def test_both_releases_work_in_one_fleet_at_each_stage_of_an_upgrade(
    tmp_path: Path, former: Release, present: Release
) -> None:
    with running_fleet(tmp_path, former) as fleet:
        stages = Stages(fleet, former, present)
        fleet.operator(present, "config", "set", fleet.file, tmp_path / "site.json")
        stages.check()

        # Replicas one by one, led by the former release and by this one in turns.
        first, second, third = REPLICAS
        fleet.replace(first, present)
        stages.check_led_by(second, third)
        stages.check_led_by(first)
        fleet.replace(second, present)
        stages.check_led_by(third)
        fleet.replace(third, present)

        # Each relay carries settings alone for a while: the other's members turn to it.
        first_relay, last_relay = RELAYS
        fleet.replace(first_relay, present)
        stages.check()
        fleet.replace(last_relay, present)

        # A front end under an agent of the former release, while a deferred call waits for a worker.
        upgraded_first, upgraded_last = FRONT_ENDS
        stages.give_back()
        stages.drain(*WORKERS)
        waiting = fleet.defer(upgraded_first)
        assert fleet.fate(upgraded_first, waiting)["Status"] == "RUNNING"
        fleet.replace(upgraded_first, former, program=present)
        assert fleet.fate(upgraded_first, waiting)["Status"] == "RUNNING"
        stages.give_back()
        fleet.until_succeeded(upgraded_first, waiting)
        stages.check()

        # An agent of this release over a front end of the former; then the front end, after a call's fate.
        fleet.replace(upgraded_last, present, program=former)
        ended = fleet.defer(upgraded_last)
        fate = fleet.until_succeeded(upgraded_last, ended)
        fleet.replace(upgraded_first, present)
        stages.check()
        fleet.replace(upgraded_last, present, program=present)
        assert_same_fate(fate, fleet.fate(upgraded_last, ended))
        stages.give_back()
        for worker in WORKERS:
            fleet.replace(worker, present, program=present)
        stages.check()

        # One replica goes back to the former release on the folder that this one has written, and leads.
        fleet.replace(second, former)
        stages.check_led_by(second)
