"""Configuration files as arguments of commands; the errors of one are printed, and end the program."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from walnutpost.config import Config, ConfigError, load, load_with_overlay

CONFIG_ARGUMENT = click.argument("config", type=click.Path(path_type=Path))
EXIT_INVALID = 2  # wrong arguments or files


def exit_with(*lines: str, code: int = EXIT_INVALID) -> NoReturn:
    """Print lines on standard error and end the program."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def read_config(path: Path, own: Path | None = None) -> Config:
    """Read a front end's configuration, with the file `own` over it if there is one, or end the program."""
    try:
        if own is None:
            return load(path, Config)
        return load_with_overlay(path, own, Config)
    except ConfigError as error:
        exit_with(*error.lines)


def read_config_with_fleet(path: Path) -> Config:
    """Read a configuration that has fake workers, or end the program."""
    config = read_config(path)
    if config.fleet is None:
        exit_with(f"{path}: fleet: found nothing; wanted the stand-in workers to start")
    return config
