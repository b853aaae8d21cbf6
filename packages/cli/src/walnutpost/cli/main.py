"""The program `walnutpost`: its options for all commands, and the commands."""

from __future__ import annotations

import click

from walnutpost.cli import config_set, config_status, config_views, fleet_commands, fleet_plans, fleet_views
from walnutpost.cli.check_config import check_config
from walnutpost.cli.config_group import config_group
from walnutpost.cli.fleet import fleet
from walnutpost.cli.fleet_processes import agent, control_plane, keeper, relay
from walnutpost.cli.keys import keys
from walnutpost.cli.logs import LEVELS, configure_logging
from walnutpost.cli.process_commands import serve, store, up, worker
from walnutpost.cli.scenarios import audit, fleet_trial, trial
from walnutpost.cli.timers import timers
from walnutpost.cli.usage import usage

# Their commands join the groups `fleet` and `config` at their import.
GROUP_MODULES = (fleet_commands, fleet_plans, fleet_views, config_set, config_views, config_status)
COMMANDS: tuple[click.Command, ...] = (
    *(serve, up, worker, store, check_config, timers, trial, fleet_trial, audit),
    *(usage, keys, control_plane, keeper, relay, agent, fleet, config_group),
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="walnutpost-cli")
@click.option(
    "--log", "log_format", type=click.Choice(["console", "json"]), default="console", show_default=True
)
@click.option("--level", type=click.Choice(sorted(LEVELS)), default="info", show_default=True)
@click.pass_context
def main(context: click.Context, log_format: str, level: str) -> None:
    """Run a gateway for calls on workers which load functions when asked.

    Start with `walnutpost up examples/kilbride.json5`: a front end and stand-in workers on this machine.
    """
    context.obj = configure_logging(log_format, level)


for command in COMMANDS:
    main.add_command(command)
