"""`walnutpost keys`: a test authority, and what stands with the keys in use."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click

from walnutpost.cli.times import local
from walnutpost.config import Config, ConfigError, load
from walnutpost.links.contexts import read
from walnutpost.standins.authority import Authority
from walnutpost.trials.table import aligned
from walnutpost.trust import BadKeys, examine, trusted

CONFIG = click.argument("config", type=click.Path(path_type=Path))
DAY = 86_400_000_000


def _load(path: Path) -> Config:
    try:
        return load(path, Config)
    except ConfigError as error:
        for line in error.lines:
            click.echo(line, err=True)
        sys.exit(2)


@click.group()
def keys() -> None:
    """Certificates and keys for TLS towards workers."""


@keys.command("make-test-ca")
@CONFIG
@click.option("--out", type=click.Path(path_type=Path), required=True, help="A folder; made if missing.")
def make_test_ca(config: Path, out: Path) -> None:
    """Make a root and certificates for CONFIG's front end and stand-in workers, for trials only.

    The root's own key is not kept: nothing more can be signed by it.
    """
    checked = _load(config)
    names = ["front", *(line.name for line in (checked.fleet.workers if checked.fleet else []))]
    out.mkdir(parents=True, exist_ok=True)
    authority = Authority()
    (out / "root.pem").write_bytes(authority.root)
    for name in names:
        authority.issue(name).write(out, name)
    click.echo(f"{out}: root.pem, and .pem and .key of {', '.join(names)}; valid for 30 days")


@keys.command("status")
@CONFIG
def status(config: Path) -> None:
    """What CONFIG's front end would use now, and until when. Exits 1 where it can't be used."""
    checked = _load(config)
    tls = checked.front.tls
    if tls is None:
        click.echo(f"{config}: front.tls: found nothing; wanted its section", err=True)
        sys.exit(2)
    base, now = config.parent, time.time_ns() // 1000
    try:
        roots = read(base / tls.roots)
        click.echo(f"{tls.roots}: {trusted(roots, now)} roots valid now")
        if tls.chain is not None and tls.key is not None:
            own = examine(read(base / tls.chain), read(base / tls.key), roots, now, tls.chain)
            left = f"{(own.ends - now) / DAY:.1f} days left"
            row = [
                ", ".join(own.names),
                f"{own.serial:x}"[:16],
                local(own.begins, "UTC"),
                local(own.ends, "UTC"),
            ]
            click.echo(aligned([["names", "serial", "from", "until", "left"], [*row, left]]))
    except BadKeys as error:
        click.echo(f"{error}", err=True)
        sys.exit(1)
