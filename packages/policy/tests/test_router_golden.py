"""The Router decides as when the golden days were recorded: every action, in order, to the microsecond."""

from __future__ import annotations

import typing
from collections import Counter
from typing import Any

import pytest

from walnutpost import interface as api
from walnutpost.policy import Router
from walnutpost.testsupport.golden.neutral_values import KINDS, from_neutral, neutral_of_each, read_lines
from walnutpost.testsupport.policy.golden_days import GOLDEN, RECORDED, START_ROW, path_of

NEVER_DECIDED = {api.Unload, api.Probe, api.CloseIdleConnections, api.FetchEndpoints}


def first_difference(rows: list[Any]) -> str:
    """Replays the rows; the first one whose actions differ, or nothing."""
    router, now = None, 0
    for number, row in enumerate(rows):
        if row[0] == START_ROW:
            router = Router(from_neutral(row[2]), row[1])
            continue
        assert router is not None
        now += row[0]
        actions = neutral_of_each(router.handle(now, from_neutral(row[1])))
        if actions != row[2]:
            return f"row {number} at {now}: {row[1]} gave {actions}, recorded {row[2]}"
    return ""


@pytest.mark.parametrize(("site", "seed"), RECORDED)
def test_recorded_inputs_give_the_recorded_actions(site: str, seed: int) -> None:
    assert first_difference(read_lines(path_of(site, seed))) == ""


def test_the_recordings_have_every_kind_of_event_and_each_action_that_is_ever_decided() -> None:
    seen: Counter[type[Any]] = Counter()
    for site, seed in RECORDED:
        for row in read_lines(path_of(site, seed)):
            for value in (row[1], *row[2]) if row[0] != START_ROW else ():
                seen[KINDS[value[1]][0]] += 1
    wanted = {*typing.get_args(api.Event), *typing.get_args(api.Action)} - NEVER_DECIDED
    assert wanted == set(seen)


def test_no_golden_recording_is_left_out() -> None:
    assert {path.name for path in GOLDEN.iterdir()} == {path_of(*day).name for day in RECORDED}
