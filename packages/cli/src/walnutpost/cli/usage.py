"""`walnutpost usage`: what the ledgers of memory-time say."""

from __future__ import annotations

import csv
import io
import json
import sys
import time
from collections.abc import Sequence
from datetime import UTC, datetime
from decimal import Decimal
from pathlib import Path

import click
import msgspec
import pygal

from walnutpost.cli.configs import config_of, end
from walnutpost.config import Config
from walnutpost.config.model import Metering
from walnutpost.config.settings import meter_policy
from walnutpost.faultinjection.table import aligned
from walnutpost.metering import Amount, Report
from walnutpost.metering.records import DAY, HOUR
from walnutpost.metering.reports import (
    FIELDS,
    Figure,
    Kept,
    compared,
    figures,
    grouped,
    invoice,
    parts,
    proof,
)
from walnutpost.store import StoreError, read_ledger

MB_S = 1_000_000  # MB-microseconds
CONFIGS = click.argument("configs", type=click.Path(path_type=Path), nargs=-1, required=True)


class Moment(click.ParamType):
    """A full hour in UTC, as 2026-12-01 or 2026-12-01T15."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, context: click.Context | None) -> int:
        for form in ("%Y-%m-%d", "%Y-%m-%dT%H"):
            try:
                moment = datetime.strptime(str(value), form).replace(tzinfo=UTC)
                return int(moment.timestamp()) * 1_000_000
            except ValueError:
                continue
        self.fail(f"found {value!r}; wanted a day or an hour in UTC, as 2026-12-01 or 2026-12-01T15")


SINCE = click.option("--from", "since", type=Moment(), help="First hour, UTC; a day ago without it.")
UNTIL = click.option("--to", "until", type=Moment(), help="Hour after the last, UTC; now without it.")


class Ledgers:
    """The ledgers of one site's front ends for a span of time; ends the program where one can't be read."""

    def __init__(
        self, configs: Sequence[Path], since: int | None, until: int | None, records: bool = False
    ) -> None:
        """`records`: workers' records are wanted for closed hours too, as always with several ledgers."""
        self.now = time.time_ns() // 1000
        self.until = until if until is not None else (self.now // HOUR + 1) * HOUR
        self.since = since if since is not None else (self.now - DAY) // HOUR * HOUR
        if self.since >= self.until:
            end("--from: found a time that is not before --to; wanted an earlier one")
        self.paths, self.kept = list(configs), list[Kept]()
        self.configs: list[Config] = []
        for path in configs:
            config = config_of(path)
            if config.metering is None:
                end(f"{path}: metering: found nothing; wanted its section")
            self.configs.append(config)
            try:
                file = path.parent / config.metering.file
                self.kept.append(read_ledger(file, self.since, self.until, records or len(configs) > 1))
            except StoreError as error:
                end(str(error))
        assert self.configs[0].metering is not None
        self.metering: Metering = self.configs[0].metering
        self.policy = meter_policy(self.metering)

    def figures(self) -> list[Figure]:
        return figures(self.kept, self.policy, self.now, self.since, self.until)

    def grouped(self, by: Sequence[str]) -> dict[tuple[str, ...], Amount]:
        default = self.configs[0].site.default_tenant or ""
        return grouped(self.figures(), by, self.metering.renamed, default)


@click.group()
def usage() -> None:
    """Memory-seconds by tenant: reports, what a figure is made of, proofs, charts, invoices."""


@usage.command("report")
@CONFIGS
@SINCE
@UNTIL
@click.option("--by", default="tenant,function", show_default=True, help=f"Some of {', '.join(FIELDS)}.")
@click.option("--format", "form", type=click.Choice(["table", "csv", "json"]), default="table")
def report(configs: tuple[Path, ...], since: int | None, until: int | None, by: str, form: str) -> None:
    """Memory-seconds (MB x s) by tenant and function, with the least and most that the truth may be.

    CONFIGS are the front ends of one site: their ledgers are read as one.
    """
    named = by.split(",")
    wrong = [field for field in named if field not in FIELDS]
    if wrong:
        end(f"--by: found {', '.join(wrong)}; wanted some of {', '.join(FIELDS)}")
    rows = Ledgers(configs, since, until).grouped(named)
    table = [
        [*(_shown(f, value) for f, value in zip(named, key, strict=True)), *map(_mb_s, _three(amount))]
        for key, amount in rows.items()
    ]
    click.echo(_written([*named, "mb_s", "least", "most"], table, form))


def _three(amount: Amount) -> tuple[int, int, int]:
    return amount.best, amount.least, amount.most


def _mb_s(amount: int) -> str:
    return f"{Decimal(amount) / MB_S:.6f}"


def _shown(field: str, value: str) -> str:
    return _time(int(value)) if field in ("hour", "day") else value


def _time(moment: int) -> str:
    return datetime.fromtimestamp(moment / 1e6, UTC).strftime("%Y-%m-%dT%H:%MZ")


def _written(head: list[str], rows: list[list[str]], form: str) -> str:
    if form == "json":
        return json.dumps([dict(zip(head, row, strict=True)) for row in rows], indent=1)
    if form == "csv":
        out = io.StringIO()
        csv.writer(out, lineterminator="\n").writerows([head, *rows])
        return out.getvalue().rstrip("\n")
    return aligned([head, *rows])


@usage.command("explain")
@CONFIGS
@SINCE
@UNTIL
@click.option("--tenant", help="Only what is charged to this one.")
@click.option("--function", help="Only this one's copies.")
@click.option("--most", default=30, show_default=True, type=click.IntRange(1, 100_000))
def explain(
    configs: tuple[Path, ...],
    since: int | None,
    until: int | None,
    tenant: str | None,
    function: str | None,
    most: int,
) -> None:
    """Which copies, and which stretches of their lives, make a figure. Greatest first."""
    ledgers = Ledgers(configs, since, until, records=True)
    default, renamed = ledgers.configs[0].site.default_tenant or "", ledgers.metering.renamed

    def name(raw: str) -> str:
        return renamed.get(raw or default, raw or default)

    found = parts(
        ledgers.kept,
        ledgers.policy,
        ledgers.now,
        lambda t, s: (tenant is None or name(t) == tenant) and (function is None or s.function == function),
    )
    rows = [["tenant", "worker", "copy", "function", "hour", "MB", "ran s", "idle s", "first", "mb_s"]]
    for part in found[:most]:
        s = part.slice
        ran, idle = s.runs.get(part.tenant, 0) / 1e6, s.after.get(part.tenant, 0) / 1e6
        first = f"{(s.loading + s.unused) / 1e6:.3f} s" if (s.first or "-") == part.tenant else ""
        doubt = f" ({', '.join(sorted(s.doubts))})" if s.doubts else ""
        place = [s.worker, str(s.copy), s.function + doubt, _time(s.hour), str(s.memory_mb)]
        rows.append([name(part.tenant), *place, f"{ran:.3f}", f"{idle:.3f}", first, _mb_s(part.amount)])
    click.echo(aligned(rows))
    total = sum(p.amount for p in found)
    click.echo(
        f"{len(found)} stretches, {_mb_s(total)} MB s; records go back {ledgers.metering.keep_slices_h} h"
    )
    gaps = ledgers.grouped(["cause", "hour"])
    for (cause, hour), amount in gaps.items():
        if cause:
            click.echo(
                f"{_time(int(hour))} {cause}: {' / '.join(map(_mb_s, _three(amount)))} best / least / most"
            )


@usage.command("verify")
@CONFIGS
@SINCE
@UNTIL
@click.option(
    "--records",
    type=click.Path(path_type=Path),
    multiple=True,
    help="A worker's own records, as its /v2/usage gives them.",
)
def verify(
    configs: tuple[Path, ...], since: int | None, until: int | None, records: tuple[Path, ...]
) -> None:
    """Add everything up again, and compare it with exports of workers' records. Exits 1 on a difference."""
    ledgers = Ledgers(configs, since, until, records=True)
    exports = []
    for path in records:
        try:
            exports.append(msgspec.json.decode(path.read_bytes(), type=Report))
        except (OSError, msgspec.MsgspecError) as error:
            end(f"{path}: {error}")
    wrong = []
    for path, kept in zip(ledgers.paths, ledgers.kept, strict=True):
        found = [*proof(kept, ledgers.policy, ledgers.now), *compared(kept, exports, ledgers.now)]
        wrong += [f"{path}: {each}" for each in found]
        counts = (len(kept.lines), len(kept.days), len(kept.saved.slices))
        click.echo("{}: {} lines, {} days' lines, {} slices added again".format(path, *counts))
    for each in wrong:
        click.echo(each, err=True)
    click.echo(f"{len(wrong)} differences")
    sys.exit(1 if wrong else 0)


@usage.command("chart")
@CONFIGS
@SINCE
@UNTIL
@click.option("--out", type=click.Path(path_type=Path), required=True, help="An SVG file.")
def chart(configs: tuple[Path, ...], since: int | None, until: int | None, out: Path) -> None:
    """Draw memory-seconds by tenant over time: by the hour, or by the day where hours are folded."""
    ledgers = Ledgers(configs, since, until)
    whole = any(kept.days for kept in ledgers.kept) or ledgers.until - ledgers.since > 7 * DAY
    field, step = ("day", DAY) if whole else ("hour", HOUR)
    sums = ledgers.grouped(["tenant", field])
    times = list(range(ledgers.since // step * step, ledgers.until, step))
    drawing = pygal.StackedBar(
        title=f"Memory-seconds by tenant and {field}, UTC",
        x_label_rotation=45,
        js=[],
    )
    drawing.x_labels = [_time(moment) for moment in times]
    for tenant in sorted({tenant for tenant, _ in sums}):
        amounts = [sums.get((tenant, str(moment))) for moment in times]
        drawing.add(tenant or "(nameless)", [a.best / MB_S if a is not None else 0 for a in amounts])
    out.write_bytes(drawing.render())


@usage.command("invoice")
@CONFIGS
@SINCE
@UNTIL
@click.option("--digits", default=2, show_default=True, type=click.IntRange(0, 9), help="Of the currency.")
def invoices(configs: tuple[Path, ...], since: int | None, until: int | None, digits: int) -> None:
    """Invoices by tenant, in exact decimals, from metering.price_per_gb_hour. A GB is 1024 MB."""
    ledgers = Ledgers(configs, since, until)
    if ledgers.metering.price_per_gb_hour is None:
        end(f"{configs[0]}: metering.price_per_gb_hour: found nothing; wanted a price")
    price, currency = Decimal(ledgers.metering.price_per_gb_hour or 0), ledgers.metering.currency
    by_tenant: dict[str, dict[str, Amount]] = {}
    for (tenant, function), amount in ledgers.grouped(["tenant", "function"]).items():
        by_tenant.setdefault(tenant, {})[function] = amount
    open_hours = any(f.kind == "open" for f in ledgers.figures())
    for tenant, functions in by_tenant.items():
        bill = invoice(tenant, functions, price, digits)
        click.echo(f"{tenant}: {bill.total} {currency} for {bill.gb_hours} GB h at {price} {currency}")
        for name, money in bill.lines:
            click.echo(f"  {name}: {money}")
        if bill.least != bill.total or bill.most != bill.total:
            click.echo(f"  not sure: at least {bill.least}, at most {bill.most}")
    if open_hours:
        click.echo("some of these hours are not closed yet", err=True)
