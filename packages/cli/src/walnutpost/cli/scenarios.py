"""`walnutpost trial`, `fleet-trial`, `audit`: scenarios with processes on this machine, and their audit."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from walnutpost.cli.config_files import EXIT_INVALID, exit_with, read_config_with_fleet
from walnutpost.config import Config, ConfigError, load, overlay_sections, parse
from walnutpost.eventloop import Logger
from walnutpost.faultinjection import text_tables
from walnutpost.faultinjection.audit import audit_folder
from walnutpost.faultinjection.errors import ClusterError
from walnutpost.faultinjection.fleet_run import FleetOutcome, play_fleet
from walnutpost.faultinjection.fleet_scenario import FleetScenario
from walnutpost.faultinjection.scenario import Scenario
from walnutpost.faultinjection.scenario_run import ScenarioOutcome, play
from walnutpost.faultinjection.simulator_days import read_day

EXIT_NOT_PLAYED = 3  # the scenario itself could not go on
OUT_OPTION = click.option(
    "--out", type=click.Path(path_type=Path), help="Folder for captures and logs; not removed."
)


@contextmanager
def _output_folder(out: Path | None, prefix: str) -> Iterator[Path]:
    """Give the folder that was asked for, or one that goes with the command."""
    if out is not None:
        yield out
        return
    with tempfile.TemporaryDirectory(prefix=prefix) as folder:
        yield Path(folder)


@click.command()
@click.argument("script", type=click.Path(path_type=Path), required=False)
@click.option(
    "--from-day", type=click.Path(path_type=Path), help="A day file of the bench instead of SCRIPT."
)
@OUT_OPTION
@click.pass_obj
def trial(log: Logger, script: Path | None, from_day: Path | None, out: Path | None) -> None:
    """Play a scripted bad day with processes on this machine, then audit it. Exits 1 on a broken rule."""
    if (script is None) == (from_day is None):
        raise click.UsageError("either SCRIPT or --from-day FILE is wanted")
    try:
        if from_day is not None:
            day = read_day(from_day)
            checked, config = day.scenario, day.config
        else:
            assert script is not None
            checked = load(script, Scenario)
            config = read_config_with_fleet(script.parent / checked.config)
    except ConfigError as error:
        exit_with(*error.lines)
    for missing in checked.no_counterpart:
        click.echo(f"no counterpart here: {missing}", err=True)
    with _output_folder(out, "trial-") as folder:
        try:
            outcome = play(checked, config, folder, log)
        except ClusterError as error:
            exit_with(f"trial: {error}", code=EXIT_NOT_PLAYED)
    _show_outcome(outcome)
    is_covered = all(each.is_covered for each in outcome.usage)
    sys.exit(0 if outcome.verdict.has_passed and is_covered and not outcome.failures else 1)


def _show_outcome(outcome: ScenarioOutcome) -> None:
    click.echo(text_tables.calls_table(outcome.results))
    click.echo()
    click.echo(text_tables.rules_table(outcome.verdict))
    if outcome.usage:
        click.echo()
        click.echo(text_tables.usage_table(outcome.usage))
    _show_failures(outcome.failures)


def _show_failures(failures: list[str]) -> None:
    for failure in failures:
        click.echo(f"the trial itself: {failure}", err=True)


@click.command("fleet-trial")
@click.argument("script", type=click.Path(path_type=Path))
@OUT_OPTION
@click.pass_obj
def fleet_trial(log: Logger, script: Path, out: Path | None) -> None:
    """Play a fleet's day with keepers, agents, front ends, workers and clients on this machine.

    Exits 1 where a rule was broken, or more were out than agreed, by an observer who asks the processes.
    """
    try:
        checked = load(script, FleetScenario)
        base = read_config_with_fleet(script.parent / checked.config).model_dump(mode="json")
        config = parse(json.dumps(overlay_sections(base, checked.over)), f"{script}: over", Config)
    except ConfigError as error:
        exit_with(*error.lines)
    with _output_folder(out, "fleet-") as folder:
        try:
            outcome = play_fleet(checked, config, folder.absolute(), log)
        except ClusterError as error:
            exit_with(f"trial: {error}", code=EXIT_NOT_PLAYED)
    _show_fleet_outcome(outcome)
    sys.exit(0 if outcome.has_passed else 1)


def _show_fleet_outcome(outcome: FleetOutcome) -> None:
    click.echo(text_tables.calls_table(outcome.results))
    click.echo()
    click.echo(text_tables.rules_table(outcome.verdict))
    click.echo()
    click.echo(text_tables.plans_table(outcome.state))
    for kind, count in outcome.max_unavailable.items():
        click.echo(f"most {kind}s out at once, but for what the script did: {count}")
    for violation in outcome.violations:
        click.echo(f"broken: {violation}")
    _show_failures(outcome.failures)


@click.command()
@click.argument("capture", type=click.Path(path_type=Path))
def audit(capture: Path) -> None:
    """Check the five rules from a folder of captures. Exits 1 on a broken rule."""
    try:
        verdict = audit_folder(capture)
    except (OSError, ValueError) as error:
        exit_with(f"{capture}: cannot be audited: {error}", code=EXIT_INVALID)
    click.echo(text_tables.rules_table(verdict))
    sys.exit(0 if verdict.has_passed else 1)
