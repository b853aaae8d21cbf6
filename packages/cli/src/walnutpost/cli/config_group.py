"""The group `walnutpost config`, and what its commands share."""

from __future__ import annotations

from pathlib import Path

import click

from walnutpost.cli.config_files import read_config
from walnutpost.config.entries import encode_site
from walnutpost.controlplane import ControlPlaneClient


@click.group("config")
def config_group() -> None:
    """Change the settings that a fleet agrees on while it runs, or see which members apply them.

    KEEPERS is the file of the fleet's keepers.
    """


def agreed_entries(client: ControlPlaneClient, key: str = "") -> tuple[int, dict[str, bytes]]:
    """Return the newest revision and its values by key, or that of `key` alone."""
    revision, entries = client.entries(key=key)
    return revision, {entry.key: entry.value for entry in entries}


def wanted_entries(path: Path) -> dict[str, bytes]:
    """Return the values by key that a front end's configuration has."""
    return encode_site(read_config(path).site)
