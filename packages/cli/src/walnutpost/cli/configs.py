"""Configurations for commands: what is wrong with one is said, and ends the program."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn

import click

from walnutpost.config import Config, ConfigError, load

CONFIG = click.argument("config", type=click.Path(path_type=Path))


def end(*lines: str, code: int = 2) -> NoReturn:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def config_of(path: Path) -> Config:
    try:
        return load(path, Config)
    except ConfigError as error:
        end(*error.lines)
