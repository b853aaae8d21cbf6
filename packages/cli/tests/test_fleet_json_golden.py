"""Programs that read the JSON of `walnutpost fleet` and `walnutpost config`: its keys and values stay."""

from __future__ import annotations

import click
import pytest

from walnutpost.cli import main
from walnutpost.testsupport.cli.fleet_json_samples import GOLDEN, shown


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_command_prints_the_golden_json(name: str) -> None:
    GOLDEN.check_written(name)


def test_golden_file_has_exactly_these_forms() -> None:
    GOLDEN.check_names()


def test_each_json_command_of_these_groups_has_a_golden_form() -> None:
    wanted = set()
    for group in ("fleet", "config"):
        commands = main.commands[group]
        assert isinstance(commands, click.Group)
        for name, command in commands.commands.items():
            options = [p for p in command.params if isinstance(p, click.Option) and "--format" in p.opts]
            if any(isinstance(o.type, click.Choice) and "json" in o.type.choices for o in options):
                wanted.add((group, name))
    assert wanted == {form.value[:2] for form in GOLDEN.forms.values() if form.encode is shown}
