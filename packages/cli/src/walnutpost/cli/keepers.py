"""`walnutpost keeper`, `walnutpost relay`, `walnutpost agent`: the processes of the agreed history."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from walnutpost.agent import Agent, AgentError
from walnutpost.cli.configs import CONFIG, end
from walnutpost.cli.listening import Place, listening
from walnutpost.cli.run import make_loop, raise_descriptors, stop_event
from walnutpost.config import ConfigError, keys_of, load
from walnutpost.config.base import address_of
from walnutpost.config.entries import Held, check
from walnutpost.config.keepers import KeeperLine, Keepers
from walnutpost.config.settings import us
from walnutpost.consensus import Timing
from walnutpost.controlplane import Keeper, KeeperError
from walnutpost.fleet import AnalysisPolicy
from walnutpost.fleet.agent_state import ControllerSettings
from walnutpost.relay import Relay
from walnutpost.store import StoreError

AGENTS = "agents"  # beside the configuration: what agents of this machine hold on disk


def is_keepers(path: Path) -> bool:
    """Whether the file is about keepers, not about a front end."""
    return "keepers" in keys_of(path)


def keepers_of(path: Path) -> Keepers:
    try:
        return load(path, Keepers)
    except ConfigError as error:
        end(*error.lines)


def _place(section: str, lines: Sequence[KeeperLine], name: str) -> Place:
    """The setting by which one of `lines` listens."""
    place, line = next((place, line) for place, line in enumerate(lines) if line.name == name)
    if line.listen is not None:
        return f"{section}.{place}.listen", line.listen
    return f"{section}.{place}.address", line.address


@click.command()
@CONFIG
@click.option("--name", required=True, help="Which of CONFIG's keepers.")
@click.option("--found", is_flag=True, help="The first start of all keepers: they are each other's members.")
@click.pass_obj
def keeper(log: Any, config: Path, name: str, found: bool) -> None:
    """Run one keeper of the fleet's agreed history.

    Without --found, one whose folder is empty waits until the others have taken it in (`fleet keepers`).
    """
    checked = keepers_of(config)
    lines = {line.name: line for line in checked.keepers}
    if name not in lines:
        end(f"--name: found {name!r}; wanted one of {', '.join(lines)}")
    listen = lines[name].listen or lines[name].address
    loop = make_loop(log)
    broken: list[KeeperError] = []

    def run() -> Keeper:
        stop = stop_event(loop, log)

        def failed(error: KeeperError) -> None:
            broken.append(error)
            stop.set()

        def at(address: str) -> Callable[[], tuple[str, int]]:
            return lambda: address_of(address)

        kept = Keeper(
            loop,
            name,
            {line.name: at(line.address) for line in checked.keepers},
            address_of(listen),
            config.parent / checked.folder,
            Timing(us(checked.election_ms), us(checked.heartbeat_ms)),
            us(checked.lease_ms),
            log,
            secrets.randbits(63),
            found,
            checked.log_most,
            checked.history_most,
            AnalysisPolicy(checked.judge.calls, checked.judge.worse, checked.judge.sure),
            failed,
            lambda table, ops: check(Held(table.entries), ops),
        )
        stop.wait()
        kept.stop()
        return kept

    try:
        with listening(config, [_place("keepers", checked.keepers, name)]):
            loop.run(run).close()
    except (StoreError, OSError) as error:
        end(f"{config}: keeper {name}: {error}")
    if broken:
        end(f"keeper {name}: its disk failed: {broken[0]}", code=1)


@click.command()
@CONFIG
@click.option("--name", required=True, help="Which of CONFIG's relays.")
@click.pass_obj
def relay(log: Any, config: Path, name: str) -> None:
    """Run one relay: it carries the agreed settings from the keepers to their members.

    It holds no disk; members whose relay is lost go on at another.
    """
    checked = keepers_of(config)
    lines = {line.name: line for line in checked.relays}
    if name not in lines:
        end(f"--name: found {name!r}; wanted one of {', '.join(lines) or 'none, there are no relays'}")
    raise_descriptors()
    line, loop = lines[name], make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        keepers = {k.name: address_of(k.address) for k in checked.keepers}
        listen = address_of(line.listen or line.address)
        kept = Relay(loop, name, keepers, listen, log, secrets.randbits(63), line.address)
        stop.wait()
        kept.stop()

    with listening(config, [_place("relays", checked.relays, name)]):
        loop.run(run)


@click.command()
@CONFIG
@click.option("--member", required=True, help="Which of CONFIG's agents.")
@click.pass_obj
def agent(log: Any, config: Path, member: str) -> None:
    """Run one process of the fleet and take it from version to version as agreed."""
    checked = keepers_of(config)
    lines = {line.member: line for line in checked.agents}
    if member not in lines:
        end(f"--member: found {member!r}; wanted one of {', '.join(lines) or 'none, there are no agents'}")
    line, loop = lines[member], make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        kept = Agent(
            loop,
            member,
            line.kind,
            line.zone,
            line.command,
            line.ready,
            (config.parent / line.first).read_bytes(),
            config.parent / AGENTS,
            {k.name: address_of(k.address) for k in checked.keepers},
            ControllerSettings(us(checked.begin_within_ms), us(line.ready_within_ms)),
            us(checked.lease_ms) // 4,
            log,
            follows=line.follows,
        )
        stop.wait()
        kept.stop()

    try:
        loop.run(run)
    except (AgentError, OSError) as error:
        end(f"{config}: agent {member}: {error}")
