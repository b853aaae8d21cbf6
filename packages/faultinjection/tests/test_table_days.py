"""Keepers, relays, front ends under calls and hollow members as processes, with faults between them: who is
told to act on a revision of the agreed table has written so before, and all end on the same table."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.faultinjection.table_run import Fault, TableDay, TableOutcome, play_table, random_table_day

HOLD = 3.0  # seconds that a question is held at rest


def day(folder: Path, played: TableDay) -> TableOutcome:
    """No rule broken, no call lost or refused, and at the end all act on what is agreed on."""
    out = play_table(played, folder)
    assert not out.broken and not out.lost, (out.broken, out.lost)
    status = out.status
    assert status is not None and status.min_applied_revision == status.revision and not status.lagging
    assert out.changes > len(played.faults) and out.calls > 10 and out.claims
    return out


def test_relays_and_the_leader_are_lost_within_changes_and_whole_states(tmp_path: Path) -> None:
    """Members that start anew load a whole state of several pages while their relays' ways are torn."""
    faults = (
        Fault("relay killed", "r1"),
        Fault("leader killed"),
        Fault("all relays killed", for_s=1.5),
        Fault("members restarted", for_s=0.3),
        Fault("ways torn"),
    )
    day(tmp_path, TableDay(faults, padding=1200))


def test_regions_are_cut_off_both_ways_and_one_way_and_a_disk_is_lost(tmp_path: Path) -> None:
    faults = (
        Fault("region cut", "one"),
        Fault("region mute", "two"),
        Fault("region deaf", "three"),
        Fault("disk lost", "k2", for_s=0.5),
    )
    out = day(tmp_path, TableDay(faults, rest_s=7))
    assert out.asked <= out.rested / HOLD + 1, "one question a hold, where nothing changes"


@pytest.mark.parametrize("seed", [4])
def test_random_faults(tmp_path: Path, seed: int) -> None:
    day(tmp_path, random_table_day(seed))


def test_rules_broken_on_purpose_are_found(tmp_path: Path) -> None:
    broken = {"h1-0": "half", "h2-0": "early"}
    out = play_table(TableDay((Fault("relay killed", "r2", for_s=0.5),), hollow=8, broken=broken), tmp_path)
    assert any(line.startswith("h1-0: acted on a part of a change set") for line in out.broken), out.broken
    assert any("told to be in force, h2-0 acts on" in line for line in out.broken), out.broken
    assert all("h1-0" in line or "h2-0" in line for line in out.broken), out.broken
