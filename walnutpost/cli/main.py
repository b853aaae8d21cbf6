"""Sub-commands. They read files, set up logs, and call what does the work."""

from __future__ import annotations

import sys
import tempfile
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import click

from walnutpost.cli import logs, run
from walnutpost.config import Config, ConfigError, load
from walnutpost.trials import days, table
from walnutpost.trials.facts import audit_folder
from walnutpost.trials.run import play
from walnutpost.trials.script import Script
from walnutpost.trials.stage import StageError

CONFIG = click.argument("config", type=click.Path(path_type=Path))
CAPTURE = click.option(
    "--capture", type=click.Path(path_type=Path), help="Write what the sockets carry to this file."
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="walnutpost")
@click.option("--log", "form", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.option("--level", type=click.Choice(sorted(logs.LEVELS)), default="info", show_default=True)
@click.pass_context
def main(context: click.Context, form: str, level: str) -> None:
    """A gateway that runs calls on workers which load functions when asked.

    Start with `walnutpost up examples/kilbride.json5`: a front end and stand-in workers on this machine.
    """
    context.obj = logs.set_up(form, level)


def _load(path: Path) -> Config:
    try:
        return load(path, Config)
    except ConfigError as error:
        for line in error.lines:
            click.echo(line, err=True)
        sys.exit(2)


def _fleet(path: Path) -> Config:
    config = _load(path)
    if config.fleet is None:
        click.echo(f"{path}: fleet: found nothing; wanted the stand-in workers to start", err=True)
        sys.exit(2)
    return config


@main.command()
@CONFIG
@CAPTURE
@click.pass_obj
def serve(log: Any, config: Path, capture: Path | None) -> None:
    """Run a front end for the workers that CONFIG lists."""
    run.serve(_load(config), config.parent, log, False, capture)


@main.command()
@CONFIG
@CAPTURE
@click.pass_obj
def up(log: Any, config: Path, capture: Path | None) -> None:
    """Run a front end and the stand-in workers of CONFIG's fleet in one process."""
    run.serve(_fleet(config), config.parent, log, True, capture)


@main.command()
@CONFIG
@click.option("--name", required=True, help="Which of the fleet's workers.")
@click.option("--store", help="Address of a stand-in store; without it the worker has one of its own.")
@click.option("--cold", is_flag=True, help="It has just been restarted.")
@CAPTURE
@click.pass_obj
def worker(log: Any, config: Path, name: str, store: str | None, cold: bool, capture: Path | None) -> None:
    """Run one stand-in worker of CONFIG's fleet."""
    checked = _fleet(config)
    assert checked.fleet is not None
    lines = {line.name: line for line in checked.fleet.workers}
    if name not in lines:
        click.echo(f"--name: found {name!r}; wanted one of {', '.join(lines)}", err=True)
        sys.exit(2)
    run.work(checked, lines[name], store, log, capture, cold)


@main.command("store")
@CONFIG
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.pass_obj
def keep_store(log: Any, config: Path, listen: str) -> None:
    """Run the stand-in package store of CONFIG's fleet."""
    run.keep_store(_fleet(config), listen, log)


@main.command("check-config")
@CONFIG
def check_config(config: Path) -> None:
    """Check CONFIG; say every error with its place, or what it sets up."""
    checked = _load(config)
    site, fleet = checked.site, checked.fleet
    counts = {
        "classes": len(site.classes),
        "functions": len(site.functions),
        "tenants": len(site.tenants),
        "workers listed": len(checked.front.workers),
        "stand-ins": len(fleet.workers) if fleet else 0,
    }
    click.echo(f"{config}: " + ", ".join(f"{count} {what}" for what, count in counts.items()))


@main.command()
@click.argument("script", type=click.Path(path_type=Path), required=False)
@click.option(
    "--from-day", type=click.Path(path_type=Path), help="A day file of the bench instead of SCRIPT."
)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for captures and logs; kept.")
@click.pass_obj
def trial(log: Any, script: Path | None, from_day: Path | None, out: Path | None) -> None:
    """Play a scripted bad day with processes on this machine, then audit it. Exits 1 on a broken rule."""
    if (script is None) == (from_day is None):
        raise click.UsageError("either SCRIPT or --from-day FILE is wanted")
    try:
        if from_day is not None:
            checked, config = days.read_day(from_day)
        else:
            assert script is not None
            checked = load(script, Script)
            config = _fleet(script.parent / checked.config)
    except ConfigError as error:
        for line in error.lines:
            click.echo(line, err=True)
        sys.exit(2)
    for missing in checked.no_counterpart:
        click.echo(f"no counterpart here: {missing}", err=True)
    with ExitStack() as stack:
        folder = out or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="trial-")))
        try:
            outcome = play(checked, config, folder, log)
        except StageError as error:
            click.echo(f"trial: {error}", err=True)
            sys.exit(3)
    click.echo(table.calls_table(outcome.results))
    click.echo()
    click.echo(table.rules_table(outcome.verdict))
    for failure in outcome.failures:
        click.echo(f"the trial itself: {failure}", err=True)
    sys.exit(0 if outcome.verdict.kept and not outcome.failures else 1)


@main.command()
@click.argument("capture", type=click.Path(path_type=Path))
def audit(capture: Path) -> None:
    """Check the five rules from a folder of captures. Exits 1 on a broken rule."""
    try:
        verdict = audit_folder(capture)
    except (OSError, ValueError) as error:
        click.echo(f"{capture}: cannot be audited: {error}", err=True)
        sys.exit(2)
    click.echo(table.rules_table(verdict))
    sys.exit(0 if verdict.kept else 1)
