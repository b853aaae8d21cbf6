"""The Gateway's effects match the recorded days: every effect, in order, with its payload."""

from __future__ import annotations

import typing
from typing import Any

import pytest

from walnutpost import gateway as gw
from walnutpost.testsupport.gateway.golden_days import GOLDEN, RECORDED, START_ROW, make_gateway, path_of
from walnutpost.testsupport.golden.neutral_values import KINDS, from_neutral, neutral_of_each, read_lines

# Effects that the Router never decides on, or not in the recorded days.
NOT_RECORDED = {gw.Unload, gw.Probe, gw.CloseIdleConnections}


def first_difference(rows: list[Any]) -> str:
    """Replay the rows and describe the first one whose effects differ; return "" if none does."""
    gateway, now = make_gateway(rows[0]), 0
    for index, row in enumerate(rows[1:], start=1):
        now += row[0]
        effects = neutral_of_each(gateway.handle(now, from_neutral(row[1])))
        if effects != row[2]:
            return f"row {index} at {now}: {row[1]} gave {effects}, recorded {row[2]}"
    return ""


@pytest.mark.parametrize(("site", "seed"), RECORDED)
def test_recorded_inputs_give_the_recorded_effects(site: str, seed: int) -> None:
    assert first_difference(read_lines(path_of(site, seed))) == ""


def test_recordings_contain_every_input_and_effect() -> None:
    seen: set[type[Any]] = set()
    for site, seed in RECORDED:
        for row in read_lines(path_of(site, seed)):
            values = (row[1], *row[2]) if row[0] != START_ROW else ()
            seen |= {KINDS[value[1]][0] for value in values}
    assert {*typing.get_args(gw.Input), *typing.get_args(gw.Effect)} - NOT_RECORDED == seen


def test_every_recording_is_tested() -> None:
    assert {path.name for path in GOLDEN.iterdir()} == {path_of(*day).name for day in RECORDED}
