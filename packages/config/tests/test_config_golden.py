"""Files of configuration: every key, its default, what is read of it, and the errors of invalid files."""

from __future__ import annotations

from copy import deepcopy
from pathlib import Path
from typing import Any

import json5
import pytest
from pydantic import BaseModel

from walnutpost.config import (
    Config,
    ConfigError,
    WorkerList,
    build_catalogue,
    build_router_settings,
    build_schedules,
    load,
    parse,
)
from walnutpost.config.control_plane import ControlPlaneConfig
from walnutpost.config.conversion import build_budgets, build_endpoint_list, build_metering_policy
from walnutpost.config.entries import encode_site
from walnutpost.testsupport.config.keys import NO_KEY, keys, missing_keys, sections
from walnutpost.testsupport.golden.files import assert_as_golden, json_lines, values_of

GOLDEN = Path(__file__).parent / "golden"
EXAMPLES = Path(__file__).parents[3] / "examples"

# The one place that says which model reads a file.
EVERY_KEY: dict[str, type[BaseModel]] = {
    "config": Config,
    "keepers": ControlPlaneConfig,
    "workers": WorkerList,
}
EXAMPLE_MODELS: dict[str, type[BaseModel]] = {
    "bad-day-fleet": Config,
    "fleet": ControlPlaneConfig,
    "kilbride": Config,
    "settings": Config,
    "settings-keepers": ControlPlaneConfig,
}
INVALID: dict[str, str] = {
    "not JSON5": "{",
    "a key twice": '{"site": 1, "site": 2}',
    "missing keys": "{site: {classes: {c: {}}, functions: {f: {class: 'c'}}}}",
    "wrong values": "{site: {classes: {c: {effect: 'none', aim_ms: -1, deadline_ms: '2'}}, functions: {}}}",
    "an unknown class": (
        "{site: {classes: {c: {effect: 'safe', aim_ms: 1, deadline_ms: 2}},"
        " functions: {f: {class: 'd', memory_mb: 1}}}}"
    ),
}


def document(name: str) -> Path:
    return GOLDEN / f"every-key.{name}.json5"


def dump(model: BaseModel) -> Any:
    """What was read, by the keys of the file."""
    return model.model_dump(mode="json", by_alias=True)


def converted(config: Config) -> dict[str, Any]:
    """What the parts of a front end are given of a configuration, as values in the order of their fields. Not
    stored but for the agreed entries: another order in the code is a reason to write this file anew."""
    endpoints = build_endpoint_list(config.site, config.front.workers)
    assert config.metering is not None
    return {
        "router": repr_of(build_router_settings(config)),
        "functions": {name: repr_of(f) for name, f in build_catalogue(config.site).functions.items()},
        "schedules": [repr_of(each) for each in build_schedules(config)],
        "meter policy": repr_of(build_metering_policy(config.metering)),
        "budgets": [repr_of(each) for each in build_budgets(config.metering)],
        "workers": [
            [repr_of(each) for each in endpoints.workers],
            endpoints.addresses,
            sorted(endpoints.draining),
        ],
        "agreed entries": {key: value.decode() for key, value in encode_site(config.site).items()},
    }


def repr_of(value: Any) -> Any:
    """Values of nested objects, enumerations by their values; whatever has no JSON as its text."""
    value = values_of(value)
    if isinstance(value, dict):
        return {str(key): repr_of(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [repr_of(each) for each in value]
    if isinstance(value, (set, frozenset)):
        return sorted(map(str, value))
    return value


def errors(text: str, model: type[BaseModel]) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse(text, "FILE", model)
    return caught.value.lines


def with_unknown_keys(name: str) -> list[str]:
    """The errors of a file that has an unknown key in each of its sections."""
    content = deepcopy(json5.loads(document(name).read_text()))
    for _, part in list(sections(EVERY_KEY[name], content)):
        part[NO_KEY] = 1
    return errors(json5.dumps(content), EVERY_KEY[name])


def golden_files() -> dict[Path, bytes]:
    every_key: dict[str, Any] = {name: load(document(name), model) for name, model in EVERY_KEY.items()}
    files = {document(name): document(name).read_bytes() for name in EVERY_KEY}  # written by hand
    for name, model in EVERY_KEY.items():
        files[GOLDEN / f"keys.{name}.json"] = json_lines(keys(model))
        files[GOLDEN / f"every-key.{name}.read.json"] = json_lines(dump(every_key[name]))
        files[GOLDEN / f"unknown-keys.{name}.json"] = json_lines(with_unknown_keys(name))
    files[GOLDEN / "every-key.config.made-of-it.json"] = json_lines(converted(every_key["config"]))
    for name, model in EXAMPLE_MODELS.items():
        files[GOLDEN / f"example.{name}.read.json"] = json_lines(
            dump(load(EXAMPLES / f"{name}.json5", model))
        )
    files[GOLDEN / "wrong-files.json"] = json_lines(
        {why: errors(text, Config) for why, text in INVALID.items()}
    )
    return files


def test_files_read_as_before_and_invalid_ones_give_the_same_errors() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", EVERY_KEY)
def test_golden_document_has_every_key_and_an_unknown_key_is_found_in_each_section(name: str) -> None:
    content = json5.loads(document(name).read_text())
    # Either a list of workers or a file of one; the file is read by `WorkerList`.
    left_out = {"FrontEndConfig.workers_file"} if name == "config" else set()
    assert missing_keys(EVERY_KEY[name], content) == left_out
    assert len(with_unknown_keys(name)) == len(list(sections(EVERY_KEY[name], content)))


@pytest.mark.parametrize("name", EVERY_KEY)
def test_dumped_configuration_reads_back_as_equal(name: str) -> None:
    """The dump has the keys of the file."""
    read = (GOLDEN / f"every-key.{name}.read.json").read_text()
    assert parse(read, name, EVERY_KEY[name]) == load(document(name), EVERY_KEY[name])


@pytest.mark.parametrize("name", EVERY_KEY)
def test_dump_without_arguments_has_the_keys_of_the_file(name: str) -> None:
    read = load(document(name), EVERY_KEY[name])
    assert read.model_dump(mode="json") == dump(read)


def test_name_of_a_field_whose_key_differs_is_an_unknown_key() -> None:
    lines = errors("{keepers: [], max_log_entries: 10}", ControlPlaneConfig)
    assert lines[-1].startswith("FILE: max_log_entries: found a key that is not known here; ")
