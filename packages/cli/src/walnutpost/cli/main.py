"""Sub-commands. They read files, set up logs, and call what does the work."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import click

from walnutpost.certificates import BadKeys
from walnutpost.cli import fleet_orders, fleet_plans, fleet_shown, logs, run, settings_shown
from walnutpost.cli.configs import CONFIG, config_of, end
from walnutpost.cli.fleet import fleet
from walnutpost.cli.keepers import agent, is_keepers, keeper, keepers_of, relay
from walnutpost.cli.keys import keys
from walnutpost.cli.listening import front_places, listening, stand_in_places
from walnutpost.cli.settings import config_group
from walnutpost.cli.times import local, upcoming
from walnutpost.cli.usage import usage
from walnutpost.config import (
    Config,
    ConfigError,
    laid_over,
    load,
    load_with_own,
    own_schedules,
    parse,
    schedules,
)
from walnutpost.cron import select_owner
from walnutpost.faultinjection import days, table
from walnutpost.faultinjection.facts import audit_folder
from walnutpost.faultinjection.fleet_run import play_fleet
from walnutpost.faultinjection.fleet_script import FleetScript
from walnutpost.faultinjection.fleet_stage import StageError as FleetStageError
from walnutpost.faultinjection.run import play
from walnutpost.faultinjection.script import Script
from walnutpost.faultinjection.stage import StageError
from walnutpost.store import StoreError, read_history

PARTS = fleet_orders, fleet_plans, fleet_shown, settings_shown  # their commands join groups at their import
CAPTURE = click.option(
    "--capture", type=click.Path(path_type=Path), help="Write what the sockets carry to this file."
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="walnutpost-cli")
@click.option("--log", "form", type=click.Choice(["console", "json"]), default="console", show_default=True)
@click.option("--level", type=click.Choice(sorted(logs.LEVELS)), default="info", show_default=True)
@click.pass_context
def main(context: click.Context, form: str, level: str) -> None:
    """A gateway that runs calls on workers which load functions when asked.

    Start with `walnutpost up examples/kilbride.json5`: a front end and stand-in workers on this machine.
    """
    context.obj = logs.set_up(form, level)


def _keys(work: Callable[[], None]) -> None:
    """Runs `work`; keys that can't be used end the program before it serves."""
    try:
        work()
    except BadKeys as error:
        end(str(error))


def _fleet(path: Path) -> Config:
    config = config_of(path)
    if config.fleet is None:
        end(f"{path}: fleet: found nothing; wanted the stand-in workers to start")
    return config


@main.command()
@CONFIG
@click.option(
    "--own", type=click.Path(path_type=Path), help="What is this front end's own, laid over CONFIG."
)
@CAPTURE
@click.pass_obj
def serve(log: Any, config: Path, own: Path | None, capture: Path | None) -> None:
    """Run a front end for the workers that CONFIG lists.

    With --own, files that are named are looked for beside that file.
    """
    if own is None:
        checked = config_of(config)
    else:
        try:
            checked = load_with_own(config, own, Config)
        except ConfigError as error:
            end(*error.lines)
    base = (own or config).parent
    source = config if own is None else f"{config} with {own}"
    with listening(source, front_places(checked)):
        _keys(lambda: run.serve(checked, base, log, False, capture, config, own))


@main.command()
@CONFIG
@CAPTURE
@click.pass_obj
def up(log: Any, config: Path, capture: Path | None) -> None:
    """Run a front end and the stand-in workers of CONFIG's fleet in one process."""
    checked = _fleet(config)
    with listening(config, [*front_places(checked), *stand_in_places(checked)]):
        _keys(lambda: run.serve(checked, config.parent, log, True, capture, config))


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
        end(f"--name: found {name!r}; wanted one of {', '.join(lines)}")
    with listening(config, stand_in_places(checked, [name])):
        _keys(lambda: run.work(checked, lines[name], store, log, capture, cold, config.parent))


@main.command("store")
@CONFIG
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.pass_obj
def keep_store(log: Any, config: Path, listen: str) -> None:
    """Run the stand-in package store of CONFIG's fleet."""
    checked = _fleet(config)
    with listening("walnutpost store", [("--listen", listen)]):
        run.keep_store(checked, listen, log)


@main.command("check-config")
@click.argument("configs", type=click.Path(path_type=Path), nargs=-1, required=True)
def check_config(configs: tuple[Path, ...]) -> None:
    """Check CONFIGS; say every error with its place, or what each sets up.

    Several files are taken for the front ends of one site: a schedule that two of them would fire is an
    error.
    """
    for path in [p for p in configs if is_keepers(p)]:
        told = keepers_of(path)
        relays = f", {len(told.relays)} relays" if told.relays else ""
        click.echo(f"{path}: {len(told.keepers)} keepers{relays}")
    checked = {path: config_of(path) for path in configs if not is_keepers(path)}
    for path, config in checked.items():
        site, fleet = config.site, config.fleet
        counts = {
            "classes": len(site.classes),
            "functions": len(site.functions),
            "tenants": len(site.tenants),
            "schedules": len(config.schedules),
            "workers listed": len(config.front.workers),
            "stand-ins": len(fleet.workers) if fleet else 0,
        }
        click.echo(f"{path}: " + ", ".join(f"{count} {what}" for what, count in counts.items()))
    owners: dict[str, Path] = {}
    wrong = False
    for path, config in checked.items():
        for schedule in own_schedules(config):
            other = owners.setdefault(schedule.name, path)
            if other != path:
                wrong = True
                place = f"{path}: schedules.{schedule.name}"
                click.echo(f"{place}: found a schedule that {other} fires too; wanted one owner", err=True)
    sys.exit(2 if wrong else 0)


main.add_command(usage)
main.add_command(keys)
main.add_command(keeper)
main.add_command(relay)
main.add_command(agent)
main.add_command(fleet)
main.add_command(config_group)


@main.group()
def timers() -> None:
    """Cron schedules: what comes, and what became of what was due."""


@timers.command("next")
@CONFIG
@click.option("--count", default=20, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--all", "everyone", is_flag=True, help="Also schedules that other front ends fire.")
def timers_next(config: Path, count: int, everyone: bool) -> None:
    """The coming firings of CONFIG's front end, soonest first."""
    checked = config_of(config)
    now = time.time_ns() // 1000
    coming = upcoming(schedules(checked) if everyone else own_schedules(checked), now, count)
    for when, due, schedule in coming:
        owner = select_owner(schedule, checked.front.front_ends)
        paused = "  (paused)" if schedule.is_paused else ""
        times = f"{local(when, schedule.zone)}  {schedule.name}  due {local(due, schedule.zone)}"
        click.echo(f"{times}  front end {owner}{paused}")


@timers.command("history")
@CONFIG
@click.option("--schedule", help="Only this one.")
@click.option("--count", default=20, show_default=True, type=click.IntRange(1, 100_000))
def timers_history(config: Path, schedule: str | None, count: int) -> None:
    """What became of past due times, newest first, as the store of CONFIG's front end has it."""
    checked = config_of(config)
    try:
        rows = read_history(config.parent / checked.front.store, schedule, count)
    except StoreError as error:
        end(str(error))
    for row in rows:
        line = checked.schedules.get(row.schedule)
        zone = line.zone if line is not None else "UTC"
        span = f" to {local(row.last, zone)} ({row.count} times)" if row.count > 1 else ""
        why = f"  {row.why}" if row.why else ""
        click.echo(f"{local(row.due, zone)}{span}  {row.schedule}  {row.status}{why}")


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
        end(*error.lines)
    for missing in checked.no_counterpart:
        click.echo(f"no counterpart here: {missing}", err=True)
    with ExitStack() as stack:
        folder = out or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="trial-")))
        try:
            outcome = play(checked, config, folder, log)
        except StageError as error:
            end(f"trial: {error}", code=3)
    click.echo(table.calls_table(outcome.results))
    click.echo()
    click.echo(table.rules_table(outcome.verdict))
    if outcome.usage:
        click.echo()
        click.echo(table.usage_table(outcome.usage))
    for failure in outcome.failures:
        click.echo(f"the trial itself: {failure}", err=True)
    covered = all(c.covered for c in outcome.usage)
    sys.exit(0 if outcome.verdict.kept and covered and not outcome.failures else 1)


@main.command("fleet-trial")
@click.argument("script", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Folder for captures and logs; kept.")
@click.pass_obj
def fleet_trial(log: Any, script: Path, out: Path | None) -> None:
    """Play a fleet's day with keepers, agents, front ends, workers and clients on this machine.

    Exits 1 where a rule was broken, or more were out than agreed, by an observer who asks the processes.
    """
    try:
        checked = load(script, FleetScript)
        told = _fleet(script.parent / checked.config).model_dump(mode="json", by_alias=True)
        config = parse(json.dumps(laid_over(told, checked.over)), f"{script}: over", Config)
    except ConfigError as error:
        end(*error.lines)
    with ExitStack() as stack:
        folder = out or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="fleet-")))
        try:
            outcome = play_fleet(checked, config, folder.absolute(), log)
        except (StageError, FleetStageError) as error:
            end(f"trial: {error}", code=3)
    click.echo(table.calls_table(outcome.results))
    click.echo()
    click.echo(table.rules_table(outcome.verdict))
    click.echo()
    click.echo(table.plans_table(outcome.state))
    for kind, most in outcome.most_out.items():
        click.echo(f"most {kind}s out at once, but for what the script did: {most}")
    for broken in outcome.broken:
        click.echo(f"broken: {broken}")
    for failure in outcome.failures:
        click.echo(f"the trial itself: {failure}", err=True)
    sys.exit(0 if outcome.good else 1)


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
