"""`walnutpost timers`: cron schedules, what is due and what became of what was."""

from __future__ import annotations

import time
from pathlib import Path

import click

from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with, read_config
from walnutpost.cli.local_time import UpcomingFiring, format_local_time, upcoming_firings
from walnutpost.config import build_own_schedules, build_schedules
from walnutpost.cron import select_owner
from walnutpost.store import StoreError, read_history

NS_PER_US = 1000


@click.group()
def timers() -> None:
    """Show cron schedules: what comes, and what became of what was due."""


@timers.command("next")
@CONFIG_ARGUMENT
@click.option("--count", default=20, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--all", "shows_all", is_flag=True, help="Also schedules that other front ends fire.")
def show_next(config: Path, count: int, shows_all: bool) -> None:
    """Show the coming firings of CONFIG's front end, soonest first."""
    checked = read_config(config)
    schedules = build_schedules(checked) if shows_all else build_own_schedules(checked)
    for firing in upcoming_firings(schedules, time.time_ns() // NS_PER_US, count):
        click.echo(_firing_line(firing, checked.front.front_ends))


def _firing_line(firing: UpcomingFiring, front_ends: int) -> str:
    schedule = firing.schedule
    fires_at = format_local_time(firing.fires_at_us, schedule.zone)
    due = format_local_time(firing.due_us, schedule.zone)
    paused = "  (paused)" if schedule.is_paused else ""
    return f"{fires_at}  {schedule.name}  due {due}  front end {select_owner(schedule, front_ends)}{paused}"


@timers.command("history")
@CONFIG_ARGUMENT
@click.option("--schedule", help="Only this one.")
@click.option("--count", default=20, show_default=True, type=click.IntRange(1, 100_000))
def show_history(config: Path, schedule: str | None, count: int) -> None:
    """Show what became of past due times, newest first, as the store of CONFIG's front end has it."""
    checked = read_config(config)
    try:
        rows = read_history(config.parent / checked.front.store, schedule, count)
    except StoreError as error:
        exit_with(str(error))
    for row in rows:
        configured = checked.schedules.get(row.schedule)
        zone = configured.zone if configured is not None else "UTC"
        last = f" to {format_local_time(row.last, zone)} ({row.count} times)" if row.count > 1 else ""
        reason = f"  {row.why}" if row.why else ""
        click.echo(f"{format_local_time(row.due, zone)}{last}  {row.schedule}  {row.status}{reason}")
