"""`walnutpost usage`: reports, explanations, proofs, charts and invoices of the ledgers of memory-time."""

from __future__ import annotations

import csv
import io
import json
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from decimal import Decimal
from pathlib import Path

import click
import msgspec
import pygal

from walnutpost.cli.config_files import exit_with
from walnutpost.cli.ledgers import CONFIGS_ARGUMENT, SINCE_OPTION, UNTIL_OPTION, US_PER_S, Ledgers
from walnutpost.faultinjection.text_tables import align_columns
from walnutpost.metering import (
    DAY_US,
    GROUP_FIELDS,
    HOUR_US,
    Amount,
    LineKind,
    SliceCharge,
    UsageReport,
    UsageSlice,
    build_invoice,
    compare_with_reports,
    list_charges,
    verify_bookings,
)

MB_US_PER_MB_S = 1_000_000
MAX_DAYS_BY_HOUR = 7  # that a chart draws by the hour


@click.group()
def usage() -> None:
    """Show memory-seconds by tenant: reports, what a figure is made of, proofs, charts, invoices."""


# Reports


@usage.command("report")
@CONFIGS_ARGUMENT
@SINCE_OPTION
@UNTIL_OPTION
@click.option(
    "--by", default="tenant,function", show_default=True, help=f"Some of {', '.join(GROUP_FIELDS)}."
)
@click.option("--format", "output_format", type=click.Choice(["table", "csv", "json"]), default="table")
def report(
    configs: tuple[Path, ...], since: int | None, until: int | None, by: str, output_format: str
) -> None:
    """Show memory-seconds (MB x s) by tenant and function, with the least and most that the truth may be.

    CONFIGS are the front ends of one site: their ledgers are read as one.
    """
    fields = by.split(",")
    unknown = [field for field in fields if field not in GROUP_FIELDS]
    if unknown:
        exit_with(f"--by: found {', '.join(unknown)}; wanted some of {', '.join(GROUP_FIELDS)}")
    rows = [
        [*map(_field_text, fields, values), *_amount_texts(amount)]
        for values, amount in Ledgers(configs, since, until).group_by(fields).items()
    ]
    click.echo(_format_rows([*fields, "mb_s", "least", "most"], rows, output_format))


def _amount_texts(amount: Amount) -> list[str]:
    return [_mb_s_text(amount.best), _mb_s_text(amount.lower_bound), _mb_s_text(amount.upper_bound)]


def _mb_s_text(amount_mb_us: int) -> str:
    return f"{Decimal(amount_mb_us) / MB_US_PER_MB_S:.6f}"


def _field_text(field: str, value: str) -> str:
    return _time_text(int(value)) if field in ("hour", "day") else value


def _time_text(moment_us: int) -> str:
    return datetime.fromtimestamp(moment_us / US_PER_S, UTC).strftime("%Y-%m-%dT%H:%MZ")


def _format_rows(heads: list[str], rows: list[list[str]], output_format: str) -> str:
    if output_format == "json":
        return json.dumps([dict(zip(heads, row, strict=True)) for row in rows], indent=1)
    if output_format == "csv":
        out = io.StringIO()
        csv.writer(out, lineterminator="\n").writerows([heads, *rows])
        return out.getvalue().rstrip("\n")
    return align_columns([heads, *rows])


# Explanations


@usage.command("explain")
@CONFIGS_ARGUMENT
@SINCE_OPTION
@UNTIL_OPTION
@click.option("--tenant", help="Only what is charged to this one.")
@click.option("--function", help="Only this one's copies.")
@click.option("--most", "max_charges", default=30, show_default=True, type=click.IntRange(1, 100_000))
def explain(
    configs: tuple[Path, ...],
    since: int | None,
    until: int | None,
    tenant: str | None,
    function: str | None,
    max_charges: int,
) -> None:
    """Show which copies, and which stretches of their lives, make a figure. Greatest first."""
    ledgers = Ledgers(configs, since, until, with_records=True)

    def is_wanted(charged: str, copy: UsageSlice) -> bool:
        is_tenant = tenant is None or ledgers.tenant_name(charged) == tenant
        return is_tenant and (function is None or copy.function == function)

    found = list_charges(ledgers.extracts, ledgers.policy, ledgers.now_us, is_wanted)
    heads = ["tenant", "worker", "copy", "function", "hour", "MB", "ran s", "idle s", "first", "mb_s"]
    rows = [_charge_row(ledgers.tenant_name(charge.tenant), charge) for charge in found[:max_charges]]
    click.echo(align_columns([heads, *rows]))
    total = _mb_s_text(sum(charge.mb_us for charge in found))
    retention_hours = ledgers.metering.slice_retention_hours
    click.echo(f"{len(found)} stretches, {total} MB s; records go back {retention_hours} h")
    _show_gaps(ledgers)


def _charge_row(tenant: str, charge: SliceCharge) -> list[str]:
    copy = charge.slice
    ran_s = copy.running_us.get(charge.tenant, 0) / US_PER_S
    idle_s = copy.idle_us.get(charge.tenant, 0) / US_PER_S
    is_first = (copy.first_tenant or "-") == charge.tenant
    contradictions = f" ({', '.join(sorted(copy.contradictions))})" if copy.contradictions else ""
    return [
        tenant,
        copy.worker,
        str(copy.copy),
        copy.function + contradictions,
        _time_text(copy.hour_us),
        str(copy.memory_mb),
        f"{ran_s:.3f}",
        f"{idle_s:.3f}",
        f"{(copy.loading_us + copy.unused_us) / US_PER_S:.3f} s" if is_first else "",
        _mb_s_text(charge.mb_us),
    ]


def _show_gaps(ledgers: Ledgers) -> None:
    for (cause, hour), amount in ledgers.group_by(["cause", "hour"]).items():
        if cause:
            amounts = " / ".join(_amount_texts(amount))
            click.echo(f"{_time_text(int(hour))} {cause}: {amounts} best / least / most")


# Proofs


@usage.command("verify")
@CONFIGS_ARGUMENT
@SINCE_OPTION
@UNTIL_OPTION
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
    ledgers = Ledgers(configs, since, until, with_records=True)
    exports = [_read_export(path) for path in records]
    differences: list[str] = []
    for path, extract in zip(ledgers.paths, ledgers.extracts, strict=True):
        found = [
            *verify_bookings(extract, ledgers.policy, ledgers.now_us),
            *compare_with_reports(extract, exports, ledgers.now_us),
        ]
        differences += [f"{path}: {each}" for each in found]
        click.echo(
            f"{path}: {len(extract.hour_lines)} lines, {len(extract.day_lines)} days' lines, "
            f"{len(extract.state.slices)} slices added again"
        )
    for difference in differences:
        click.echo(difference, err=True)
    click.echo(f"{len(differences)} differences")
    sys.exit(1 if differences else 0)


def _read_export(path: Path) -> UsageReport:
    try:
        return msgspec.json.decode(path.read_bytes(), type=UsageReport)
    except (OSError, msgspec.MsgspecError) as error:
        exit_with(f"{path}: {error}")


# Charts


@usage.command("chart")
@CONFIGS_ARGUMENT
@SINCE_OPTION
@UNTIL_OPTION
@click.option("--out", type=click.Path(path_type=Path), required=True, help="An SVG file.")
def chart(configs: tuple[Path, ...], since: int | None, until: int | None, out: Path) -> None:
    """Draw memory-seconds by tenant over time: by the hour, or by the day where hours are folded."""
    ledgers = Ledgers(configs, since, until)
    has_folded_hours = any(extract.day_lines for extract in ledgers.extracts)
    is_long = ledgers.until_us - ledgers.since_us > MAX_DAYS_BY_HOUR * DAY_US
    field, step = ("day", DAY_US) if has_folded_hours or is_long else ("hour", HOUR_US)
    times = range(ledgers.since_us // step * step, ledgers.until_us, step)
    out.write_bytes(_draw(ledgers.group_by(["tenant", field]), field, times))


def _draw(sums: dict[tuple[str, ...], Amount], field: str, times: Sequence[int]) -> bytes:
    drawing = pygal.StackedBar(
        title=f"Memory-seconds by tenant and {field}, UTC",
        x_label_rotation=45,
        js=[],
    )
    drawing.x_labels = [_time_text(moment) for moment in times]
    for tenant in sorted({tenant for tenant, _ in sums}):
        amounts = [sums.get((tenant, str(moment))) for moment in times]
        bars = [amount.best / MB_US_PER_MB_S if amount is not None else 0 for amount in amounts]
        drawing.add(tenant or "(nameless)", bars)
    rendered: bytes = drawing.render()
    return rendered


# Invoices


@usage.command("invoice")
@CONFIGS_ARGUMENT
@SINCE_OPTION
@UNTIL_OPTION
@click.option("--digits", default=2, show_default=True, type=click.IntRange(0, 9), help="Of the currency.")
def show_invoices(configs: tuple[Path, ...], since: int | None, until: int | None, digits: int) -> None:
    """Show invoices by tenant, in exact decimals, from metering.price_per_gb_hour. A GB is 1024 MB."""
    ledgers = Ledgers(configs, since, until)
    if ledgers.metering.price_per_gb_hour is None:
        exit_with(f"{configs[0]}: metering.price_per_gb_hour: found nothing; wanted a price")
    price = Decimal(ledgers.metering.price_per_gb_hour)
    by_tenant: dict[str, dict[str, Amount]] = {}
    for (tenant, function), amount in ledgers.group_by(["tenant", "function"]).items():
        by_tenant.setdefault(tenant, {})[function] = amount
    has_open_hours = any(figure.kind == LineKind.OPEN for figure in ledgers.figures())
    for tenant, functions in by_tenant.items():
        _show_invoice(tenant, functions, price, digits, ledgers.metering.currency)
    if has_open_hours:
        click.echo("some of these hours are not closed yet", err=True)


def _show_invoice(
    tenant: str, functions: dict[str, Amount], price: Decimal, digits: int, currency: str
) -> None:
    bill = build_invoice(tenant, functions, price, digits)
    click.echo(f"{tenant}: {bill.total} {currency} for {bill.gb_hours} GB h at {price} {currency}")
    for line in bill.lines:
        click.echo(f"  {line.function}: {line.price}")
    if bill.lower_bound != bill.total or bill.upper_bound != bill.total:
        click.echo(f"  not sure: at least {bill.lower_bound}, at most {bill.upper_bound}")
