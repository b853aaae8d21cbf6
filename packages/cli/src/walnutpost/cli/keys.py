"""`walnutpost keys`: a test authority, and what stands with the keys in use."""

from __future__ import annotations

import time
from pathlib import Path

import click

from walnutpost.certificates import DAY, BadKeys, examine, trusted
from walnutpost.cli.configs import CONFIG, config_of, end
from walnutpost.cli.times import local
from walnutpost.eventloop import replace_file
from walnutpost.fakes.authority import Authority
from walnutpost.faultinjection.table import aligned
from walnutpost.workerclient.contexts import read


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
    checked = config_of(config)
    names = ["front", *(line.name for line in (checked.fleet.workers if checked.fleet else []))]
    out.mkdir(parents=True, exist_ok=True)
    authority = Authority()
    replace_file(out / "root.pem", authority.root)
    for name in names:
        authority.issue(name).write(out, name)
    click.echo(f"{out}: root.pem, and .pem and .key of {', '.join(names)}; valid for 30 days")


@keys.command("status")
@CONFIG
def status(config: Path) -> None:
    """What CONFIG's front end would use now, and until when. Exits 1 where it can't be used."""
    checked = config_of(config)
    tls = checked.front.tls
    if tls is None:
        end(f"{config}: front.tls: found nothing; wanted its section")
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
        end(str(error), code=1)
