"""`walnutpost fleet`: asking the keepers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import click

from walnutpost.cli.configs import end
from walnutpost.cli.keepers import keepers_of
from walnutpost.cli.run import make_loop
from walnutpost.config.base import address_of
from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.eventloop import Loop
from walnutpost.fleet import CommandResult

T = TypeVar("T")


class Stop(Exception):
    """Ends a command from within its loop, which is closed first: what to say and the code."""

    def __init__(self, *lines: str, code: int = 1) -> None:
        super().__init__(*lines)
        self.lines, self.code = lines, code


PATIENCE, EACH = 10_000_000, 3_000_000


FORM = click.option("--format", "form", type=click.Choice(["table", "json"]), default="table")


@click.group()
def fleet() -> None:
    """What the fleet has agreed on: who is out, what plans wait for, halts."""


def with_keepers(config: Path, log: Any, ask: Callable[[KeeperClient], T]) -> T:
    """Asks within a loop; no answer ends the program with code 3."""
    return with_loop(config, log, lambda _, client: ask(client))


def with_loop(config: Path, log: Any, ask: Callable[[Loop, KeeperClient], T]) -> T:
    """The same where more than one question is asked."""
    loop: Loop = make_loop(log)
    addresses = {line.name: address_of(line.address) for line in keepers_of(config).keepers}
    try:
        return loop.run(lambda: ask(loop, KeeperClient(loop, addresses, PATIENCE, EACH)))
    except NoAnswer as error:
        _nobody(error)
    except Stop as error:
        end(*error.lines, code=error.code)


def _nobody(error: NoAnswer) -> NoReturn:
    end(f"no quorum of the keepers answered: {error}", code=3)


def tell(answer: CommandResult) -> None:
    if not answer.ok:
        end(f"not done: {answer.error}", code=1)
    click.echo(f"agreed at {answer.index}")
