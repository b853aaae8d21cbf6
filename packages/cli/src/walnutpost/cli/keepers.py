"""`walnutpost keeper`, `walnutpost relay`, `walnutpost agent`: the processes of the agreed history."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click

from walnutpost.agent import Agent, AgentError
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.listen_addresses import ListenAddress, checked_addresses
from walnutpost.cli.process import make_loop, raise_descriptor_limit, stop_event
from walnutpost.config import ConfigError, load, read_top_level_keys
from walnutpost.config.base import parse_address
from walnutpost.config.control_plane import ControlPlaneConfig, ReplicaConfig
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.entries import EntryValues
from walnutpost.config.entry_validation import validate_changes
from walnutpost.consensus import Timing
from walnutpost.controlplane import Keeper, KeeperError
from walnutpost.fleet import AnalysisPolicy
from walnutpost.fleet.agent_state import ControllerSettings
from walnutpost.relay import Relay
from walnutpost.store import StoreError

AGENTS = "agents"  # beside the configuration: what agents of this machine hold on disk


def is_keepers(path: Path) -> bool:
    """Whether the file is about keepers, not about a front end."""
    return "keepers" in read_top_level_keys(path)


def keepers_of(path: Path) -> ControlPlaneConfig:
    try:
        return load(path, ControlPlaneConfig)
    except ConfigError as error:
        exit_with(*error.lines)


def _place(section: str, lines: Sequence[ReplicaConfig], name: str) -> ListenAddress:
    """The setting by which one of `lines` listens."""
    place, line = next((place, line) for place, line in enumerate(lines) if line.name == name)
    if line.listen is not None:
        return ListenAddress(f"{section}.{place}.listen", line.listen)
    return ListenAddress(f"{section}.{place}.address", line.address)


@click.command()
@CONFIG_ARGUMENT
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
        exit_with(f"--name: found {name!r}; wanted one of {', '.join(lines)}")
    listen = lines[name].listen or lines[name].address
    loop = make_loop(log)
    broken: list[KeeperError] = []

    def run() -> Keeper:
        stop = stop_event(loop, log)

        def failed(error: KeeperError) -> None:
            broken.append(error)
            stop.set()

        def at(address: str) -> Callable[[], tuple[str, int]]:
            return lambda: parse_address(address)

        kept = Keeper(
            loop,
            name,
            {line.name: at(line.address) for line in checked.keepers},
            parse_address(listen),
            config.parent / checked.folder,
            Timing(ms_to_us(checked.election_ms), ms_to_us(checked.heartbeat_ms)),
            ms_to_us(checked.lease_ms),
            log,
            secrets.randbits(63),
            found,
            checked.max_log_entries,
            checked.max_history_entries,
            AnalysisPolicy(
                checked.analysis.min_calls, checked.analysis.max_regression, checked.analysis.confidence
            ),
            failed,
            lambda table, ops: validate_changes(EntryValues(table.entries), ops),
        )
        stop.wait()
        kept.stop()
        return kept

    try:
        with checked_addresses(config, [_place("keepers", checked.keepers, name)]):
            loop.run(run).close()
    except (StoreError, OSError) as error:
        exit_with(f"{config}: keeper {name}: {error}")
    if broken:
        exit_with(f"keeper {name}: its disk failed: {broken[0]}", code=1)


@click.command()
@CONFIG_ARGUMENT
@click.option("--name", required=True, help="Which of CONFIG's relays.")
@click.pass_obj
def relay(log: Any, config: Path, name: str) -> None:
    """Run one relay: it carries the agreed settings from the keepers to their members.

    It holds no disk; members whose relay is lost go on at another.
    """
    checked = keepers_of(config)
    lines = {line.name: line for line in checked.relays}
    if name not in lines:
        exit_with(f"--name: found {name!r}; wanted one of {', '.join(lines) or 'none, there are no relays'}")
    raise_descriptor_limit()
    line, loop = lines[name], make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        keepers = {k.name: parse_address(k.address) for k in checked.keepers}
        listen = parse_address(line.listen or line.address)
        kept = Relay(loop, name, keepers, listen, log, secrets.randbits(63), line.address)
        stop.wait()
        kept.stop()

    with checked_addresses(config, [_place("relays", checked.relays, name)]):
        loop.run(run)


@click.command()
@CONFIG_ARGUMENT
@click.option("--member", required=True, help="Which of CONFIG's agents.")
@click.pass_obj
def agent(log: Any, config: Path, member: str) -> None:
    """Run one process of the fleet and take it from version to version as agreed."""
    checked = keepers_of(config)
    lines = {line.member: line for line in checked.agents}
    if member not in lines:
        exit_with(
            f"--member: found {member!r}; wanted one of {', '.join(lines) or 'none, there are no agents'}"
        )
    line, loop = lines[member], make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        kept = Agent(
            loop,
            member,
            line.kind,
            line.zone,
            line.command,
            line.ready_text,
            (config.parent / line.first_version_file).read_bytes(),
            config.parent / AGENTS,
            {k.name: parse_address(k.address) for k in checked.keepers},
            ControllerSettings(ms_to_us(checked.begin_within_ms), ms_to_us(line.ready_within_ms)),
            ms_to_us(checked.lease_ms) // 4,
            log,
            follows=line.reports_itself,
        )
        stop.wait()
        kept.stop()

    try:
        loop.run(run)
    except (AgentError, OSError) as error:
        exit_with(f"{config}: agent {member}: {error}")
