"""`walnutpost keys`: a test authority, and the state of the keys in use."""

from __future__ import annotations

import time
from pathlib import Path

import click

from walnutpost.certificates import (
    DAY_US,
    InvalidCertificateError,
    count_valid_roots,
    verify_certificate_set,
)
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with, read_config
from walnutpost.cli.local_time import format_local_time
from walnutpost.config.front_end import TlsConfig
from walnutpost.eventloop import replace_file
from walnutpost.fakes.authority import Authority
from walnutpost.faultinjection.text_tables import align_columns
from walnutpost.workerclient.tls_contexts import read_certificate_file

NS_PER_US = 1000
SERIAL_DIGITS = 16  # of a serial number that are shown


@click.group()
def keys() -> None:
    """Manage certificates and keys for TLS towards workers."""


@keys.command("make-test-ca")
@CONFIG_ARGUMENT
@click.option("--out", type=click.Path(path_type=Path), required=True, help="A folder; made if missing.")
def make_test_ca(config: Path, out: Path) -> None:
    """Make a root and certificates for CONFIG's front end and stand-in workers, for trials only.

    The root's own key is not stored: nothing more can be signed by it.
    """
    checked = read_config(config)
    names = ["front", *(worker.name for worker in (checked.fleet.workers if checked.fleet else []))]
    out.mkdir(parents=True, exist_ok=True)
    authority = Authority()
    replace_file(out / "root.pem", authority.root)
    for name in names:
        authority.issue(name).write(out, name)
    click.echo(f"{out}: root.pem, and .pem and .key of {', '.join(names)}; valid for 30 days")


@keys.command("status")
@CONFIG_ARGUMENT
def show_status(config: Path) -> None:
    """Show what CONFIG's front end would use now, and until when. Exits 1 where it can't be used."""
    tls = read_config(config).front.tls
    if tls is None:
        exit_with(f"{config}: front.tls: found nothing; wanted its section")
    try:
        _show_certificates(config.parent, tls, time.time_ns() // NS_PER_US)
    except InvalidCertificateError as error:
        exit_with(str(error), code=1)


def _show_certificates(base: Path, tls: TlsConfig, now_us: int) -> None:
    roots = read_certificate_file(base / tls.roots)
    click.echo(f"{tls.roots}: {count_valid_roots(roots, now_us)} roots valid now")
    if tls.chain is None or tls.key is None:
        return
    chain = read_certificate_file(base / tls.chain)
    key = read_certificate_file(base / tls.key)
    own = verify_certificate_set(chain, key, roots, now_us, tls.chain)
    row = [
        ", ".join(own.names),
        f"{own.serial:x}"[:SERIAL_DIGITS],
        format_local_time(own.valid_from_us, "UTC"),
        format_local_time(own.valid_until_us, "UTC"),
        f"{(own.valid_until_us - now_us) / DAY_US:.1f} days left",
    ]
    click.echo(align_columns([["names", "serial", "from", "until", "left"], row]))
