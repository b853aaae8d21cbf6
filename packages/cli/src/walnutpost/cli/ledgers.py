"""The ledgers that the commands of `walnutpost usage` read, and the options that choose them."""

from __future__ import annotations

import time
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path

import click

from walnutpost.cli.config_files import exit_with, read_config
from walnutpost.config import Config
from walnutpost.config.conversion import build_metering_policy
from walnutpost.config.metering import MeteringConfig
from walnutpost.metering import (
    DAY_US,
    HOUR_US,
    Amount,
    LedgerExtract,
    UsageFigure,
    collect_figures,
    group_figures,
)
from walnutpost.store import StoreError, read_ledger

NS_PER_US = 1000
US_PER_S = 1_000_000


class HourType(click.ParamType):
    """A full hour in UTC, as 2026-12-01 or 2026-12-01T15, in microseconds since the epoch."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, context: click.Context | None) -> int:
        """Convert the text of an option."""
        for form in ("%Y-%m-%d", "%Y-%m-%dT%H"):
            try:
                moment = datetime.strptime(str(value), form).replace(tzinfo=UTC)
            except ValueError:
                continue
            return int(moment.timestamp()) * US_PER_S
        self.fail(f"found {value!r}; wanted a day or an hour in UTC, as 2026-12-01 or 2026-12-01T15")


CONFIGS_ARGUMENT = click.argument("configs", type=click.Path(path_type=Path), nargs=-1, required=True)
SINCE_OPTION = click.option("--from", "since", type=HourType(), help="First hour, UTC; a day ago without it.")
UNTIL_OPTION = click.option(
    "--to", "until", type=HourType(), help="Hour after the last, UTC; now without it."
)


class Ledgers:
    """The ledgers of one site's front ends for a span of time, in microseconds since the epoch."""

    def __init__(
        self, configs: Sequence[Path], since: int | None, until: int | None, with_records: bool = False
    ) -> None:
        """Read the ledgers; end the program where one can't be read.

        `with_records`: workers' records are wanted for closed hours too, as always with several ledgers.
        """
        self.now_us = time.time_ns() // NS_PER_US
        self.until_us = until if until is not None else (self.now_us // HOUR_US + 1) * HOUR_US
        self.since_us = since if since is not None else (self.now_us - DAY_US) // HOUR_US * HOUR_US
        if self.since_us >= self.until_us:
            exit_with("--from: found a time that is not before --to; wanted an earlier one")
        self.paths = list(configs)
        self.configs: list[Config] = []
        self.extracts: list[LedgerExtract] = []
        for path in configs:
            self._read(path, with_records or len(configs) > 1)
        self.metering = _metering_of(self.paths[0], self.configs[0])
        self.policy = build_metering_policy(self.metering)

    def _read(self, path: Path, with_records: bool) -> None:
        config = read_config(path)
        file = path.parent / _metering_of(path, config).file
        self.configs.append(config)
        try:
            self.extracts.append(read_ledger(file, self.since_us, self.until_us, with_records))
        except StoreError as error:
            exit_with(str(error))

    def figures(self) -> list[UsageFigure]:
        """Return the figures of all ledgers as those of one."""
        return collect_figures(self.extracts, self.policy, self.now_us, self.since_us, self.until_us)

    def group_by(self, fields: Sequence[str]) -> dict[tuple[str, ...], Amount]:
        """Return the sums of the figures by the values of `fields`."""
        return group_figures(self.figures(), fields, self.metering.renamed, self._default_tenant)

    def tenant_name(self, recorded: str) -> str:
        """Return the present name of a recorded tenant; calls without one belong to the default tenant."""
        name = recorded or self._default_tenant
        return self.metering.renamed.get(name, name)

    @property
    def _default_tenant(self) -> str:
        return self.configs[0].site.default_tenant or ""


def _metering_of(path: Path, config: Config) -> MeteringConfig:
    if config.metering is None:
        exit_with(f"{path}: metering: found nothing; wanted its section")
    return config.metering
