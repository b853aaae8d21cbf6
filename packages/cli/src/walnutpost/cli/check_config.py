"""`walnutpost check-config`: checks configurations, each by itself and those of one site together."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

import click

from walnutpost.cli.config_files import EXIT_INVALID, read_config
from walnutpost.cli.fleet_processes import is_control_plane_file, load_control_plane_file
from walnutpost.config import Config, build_own_schedules


@click.command("check-config")
@click.argument("configs", type=click.Path(path_type=Path), nargs=-1, required=True)
def check_config(configs: tuple[Path, ...]) -> None:
    """Check CONFIGS; print every error with its place, or what each sets up.

    Several files are taken for the front ends of one site: a schedule that two of them would fire is an
    error.
    """
    for path in [each for each in configs if is_control_plane_file(each)]:
        click.echo(_control_plane_summary(path))
    checked = {path: read_config(path) for path in configs if not is_control_plane_file(path)}
    for path, config in checked.items():
        click.echo(_front_end_summary(path, config))
    errors = _schedule_errors(checked)
    for error in errors:
        click.echo(error, err=True)
    sys.exit(EXIT_INVALID if errors else 0)


def _control_plane_summary(path: Path) -> str:
    config = load_control_plane_file(path)
    relays = f", {len(config.relays)} relays" if config.relays else ""
    return f"{path}: {len(config.keepers)} keepers{relays}"


def _front_end_summary(path: Path, config: Config) -> str:
    counts = {
        "classes": len(config.site.classes),
        "functions": len(config.site.functions),
        "tenants": len(config.site.tenants),
        "schedules": len(config.schedules),
        "workers listed": len(config.front.workers),
        "stand-ins": len(config.fleet.workers) if config.fleet else 0,
    }
    return f"{path}: " + ", ".join(f"{count} {name}" for name, count in counts.items())


def _schedule_errors(configs: Mapping[Path, Config]) -> list[str]:
    """Return the schedules that two front ends would fire."""
    errors: list[str] = []
    owners: dict[str, Path] = {}
    for path, config in configs.items():
        for schedule in build_own_schedules(config):
            other = owners.setdefault(schedule.name, path)
            if other != path:
                place = f"{path}: schedules.{schedule.name}"
                errors.append(f"{place}: found a schedule that {other} fires too; wanted one owner")
    return errors
