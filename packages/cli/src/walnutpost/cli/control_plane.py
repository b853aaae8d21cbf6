"""Asks the control plane on behalf of a command."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from walnutpost.cli.config_files import exit_with
from walnutpost.cli.errors import CommandFailedError
from walnutpost.cli.fleet_processes import load_control_plane_file
from walnutpost.cli.process import make_loop
from walnutpost.config.base import parse_address
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import Command, CommandResult

Result = TypeVar("Result")

TIMEOUT_US = 10_000_000  # for the answer of any replica
ATTEMPT_TIMEOUT_US = 3_000_000  # for that of one
EXIT_NO_QUORUM = 3
ID_BYTES = 8

ID_OPTION = click.option("--id", "command_id", help="The id of an earlier attempt that got no answer.")
FORMAT_OPTION = click.option(
    "--format", "output_format", type=click.Choice(["table", "json"]), default="table"
)


def ask(config: Path, log: Logger, question: Callable[[ControlPlaneClient], Result]) -> Result:
    """Ask within a loop and return the answer.

    Ends the program with code 3 if no replica answers, or as a CommandFailedError says.
    """
    return ask_in_loop(config, log, lambda _, client: question(client))


def ask_in_loop(config: Path, log: Logger, question: Callable[[Loop, ControlPlaneClient], Result]) -> Result:
    """Do the same as `ask` with a question that also sleeps on the loop."""
    loop = make_loop(log)
    replicas = load_control_plane_file(config).keepers
    addresses = {replica.name: parse_address(replica.address) for replica in replicas}
    client = ControlPlaneClient(loop, addresses, TIMEOUT_US, ATTEMPT_TIMEOUT_US)
    try:
        return loop.run(lambda: question(loop, client))
    except ControlPlaneUnavailableError as error:
        exit_with(no_quorum_line(error), code=EXIT_NO_QUORUM)
    except CommandFailedError as error:
        exit_with(*error.lines, code=error.exit_code)


def no_quorum_line(error: ControlPlaneUnavailableError) -> str:
    """Return the line for a command that no replica answered."""
    return f"no quorum of the keepers answered: {error}"


def announce_id(command_id: str | None) -> str:
    """Print the id under which a command may be repeated; return the one given, or a new one."""
    announced = command_id or secrets.token_hex(ID_BYTES)
    click.echo(f"id {announced}", err=True)
    return announced


def give_command(log: Logger, config: Path, command_id: str | None, command: Command) -> None:
    """Give a command and print its result; one repeated under its id gets the result of the first time."""
    announced = announce_id(command_id)
    show_result(ask(config, log, lambda client: client.command(announced, command)))


def show_result(result: CommandResult) -> None:
    """Print what applying a command gave; end the program with code 1 if it was rejected."""
    if not result.ok:
        exit_with(f"not done: {result.error}", code=1)
    click.echo(f"agreed at {result.index}")
