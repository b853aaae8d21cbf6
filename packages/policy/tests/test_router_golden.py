"""Replays the golden files: the Router must give every recorded action, in order, to the microsecond."""

from __future__ import annotations

import typing
from collections import Counter
from typing import Any

import pytest

from walnutpost import interface as api
from walnutpost.policy import Router
from walnutpost.testsupport.golden.neutral_values import KINDS, from_neutral, neutral_of_each, read_lines
from walnutpost.testsupport.policy.golden_days import GOLDEN_DIR, RECORDINGS, START_MARKER, golden_path

UNUSED_ACTIONS = {api.Unload, api.Probe, api.CloseIdleConnections, api.FetchEndpoints}


def find_first_difference(rows: list[Any]) -> str:
    """Replay the rows; describe the first one with different actions, or return an empty string."""
    router, now_us = None, 0
    for number, row in enumerate(rows):
        if row[0] == START_MARKER:
            router = Router(from_neutral(row[2]), row[1])
            continue
        assert router is not None
        now_us += row[0]
        actions = neutral_of_each(router.handle(now_us, from_neutral(row[1])))
        if actions != row[2]:
            return f"row {number} at {now_us} us: {row[1]} gave {actions}, recorded {row[2]}"
    return ""


@pytest.mark.parametrize(("site", "seed"), RECORDINGS)
def test_recorded_events_give_the_recorded_actions(site: str, seed: int) -> None:
    assert find_first_difference(read_lines(golden_path(site, seed))) == ""


def test_recordings_contain_every_event_type_and_every_action_type_in_use() -> None:
    seen: Counter[type[Any]] = Counter()
    for site, seed in RECORDINGS:
        for row in read_lines(golden_path(site, seed)):
            for value in (row[1], *row[2]) if row[0] != START_MARKER else ():
                seen[KINDS[value[1]][0]] += 1
    expected = {*typing.get_args(api.Event), *typing.get_args(api.Action)} - UNUSED_ACTIONS
    assert expected == set(seen)


def test_every_golden_file_is_replayed() -> None:
    assert {path.name for path in GOLDEN_DIR.iterdir()} == {
        golden_path(*recording).name for recording in RECORDINGS
    }
