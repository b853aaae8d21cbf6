"""Files of scenarios: every key with its default, and what is read of the examples."""

from __future__ import annotations

from pathlib import Path

import pytest
from pydantic import BaseModel

from walnutpost.config import load, parse
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.testsupport.config.keys import keys
from walnutpost.testsupport.golden.files import assert_as_golden, json_lines

GOLDEN = Path(__file__).parent / "golden" / "scripts"
EXAMPLES = Path(__file__).parents[3] / "examples"

# The one place that says which model reads a file.
MODELS: dict[str, type[BaseModel]] = {"script": Scenario, "fleet-script": FleetScenario}
EXAMPLE_MODELS: dict[str, type[BaseModel]] = {
    "bad-day": Scenario,
    "timers-day": Scenario,
    "release-day": FleetScenario,
}


def golden_files() -> dict[Path, bytes]:
    files = {GOLDEN / f"keys.{name}.json": json_lines(keys(model)) for name, model in MODELS.items()}
    for name, model in EXAMPLE_MODELS.items():
        read = load(EXAMPLES / f"{name}.json5", model)
        files[GOLDEN / f"example.{name}.read.json"] = json_lines(read.model_dump(mode="json", by_alias=True))
    return files


def test_scenario_files_are_read_as_before() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", EXAMPLE_MODELS)
def test_scenario_that_was_read_and_written_is_read_the_same(name: str) -> None:
    read, model = (GOLDEN / f"example.{name}.read.json").read_text(), EXAMPLE_MODELS[name]
    assert parse(read, name, model) == load(EXAMPLES / f"{name}.json5", model)
