"""`walnutpost control-plane`, `walnutpost relay`, `walnutpost agent`: processes of the control plane."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from copy import copy
from inspect import cleandoc
from pathlib import Path

import click

from walnutpost.agent import AgentError, AgentSettings, build_agent
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.listen_addresses import ListenAddress, checked_addresses
from walnutpost.cli.process import make_loop, raise_descriptor_limit, stop_event
from walnutpost.config import ConfigError, load, read_top_level_keys
from walnutpost.config.base import parse_address
from walnutpost.config.control_plane import AgentConfig, ControlPlaneConfig, ReplicaConfig
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.entries import EntryValues
from walnutpost.config.entry_validation import validate_changes
from walnutpost.consensus import Timing
from walnutpost.controlplane import ControlPlaneReplica, ReplicaFailedError, ReplicaSettings
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import AnalysisPolicy
from walnutpost.fleet.agent_instance import ControllerSettings
from walnutpost.relay import RelaySettings, start_relay
from walnutpost.store import StoreError

AGENTS_FOLDER = "agents"
"""Beside the file of the control plane: what agents of this machine have on disk."""
FORMER_NAME = "keeper"
"""Of `control-plane`, accepted in 0.2 and gone with 0.3."""
REPORTS_PER_LEASE = 4
"""An agent's; so many must be lost before its process counts as unresponsive."""
SEED_BITS = 63


def is_control_plane_file(path: Path) -> bool:
    """Whether the file is about the control plane, not about a front end."""
    return "keepers" in read_top_level_keys(path)


def load_control_plane_file(path: Path) -> ControlPlaneConfig:
    """Read the file of the control plane; end the program with its errors."""
    try:
        return load(path, ControlPlaneConfig)
    except ConfigError as error:
        exit_with(*error.lines)


def _place(section: str, lines: Sequence[ReplicaConfig], name: str) -> ListenAddress:
    """Return the setting by which one of `lines` listens."""
    index, line = next((index, line) for index, line in enumerate(lines) if line.name == name)
    if line.listen is not None:
        return ListenAddress(f"{section}.{index}.listen", line.listen)
    return ListenAddress(f"{section}.{index}.address", line.address)


def _constant(address: str) -> Callable[[], tuple[str, int]]:
    return lambda: parse_address(address)


def _replica_addresses(checked: ControlPlaneConfig) -> dict[str, tuple[str, int]]:
    return {line.name: parse_address(line.address) for line in checked.keepers}


@click.command("control-plane")
@CONFIG_ARGUMENT
@click.option("--name", required=True, help="Which of CONFIG's keepers.")
@click.option("--found", is_flag=True, help="The first start of all replicas: they are each other's members.")
@click.pass_obj
def control_plane(log: Logger, config: Path, name: str, found: bool) -> None:
    """Run one replica of the control plane.

    Without --found, one whose folder is empty waits until the others have added it (`fleet keepers`).
    """
    checked = load_control_plane_file(config)
    lines = {line.name: line for line in checked.keepers}
    if name not in lines:
        exit_with(f"--name: found {name!r}; wanted one of {', '.join(lines)}")
    settings = _replica_settings(checked, lines[name], config.parent, found)
    loop = make_loop(log)
    failures: list[ReplicaFailedError] = []
    try:
        with checked_addresses(config, [_place("keepers", checked.keepers, name)]):
            loop.run(lambda: _run_replica(loop, settings, failures, log)).close()
    except (StoreError, OSError) as error:
        exit_with(f"{config}: keeper {name}: {error}")
    if failures:
        exit_with(f"keeper {name}: its disk failed: {failures[0]}", code=1)


def _replica_settings(
    checked: ControlPlaneConfig, line: ReplicaConfig, folder: Path, is_bootstrap: bool
) -> ReplicaSettings:
    return ReplicaSettings(
        name=line.name,
        addresses={other.name: _constant(other.address) for other in checked.keepers},
        listen=parse_address(line.listen or line.address),
        folder=folder / checked.folder,
        timing=Timing(ms_to_us(checked.election_ms), ms_to_us(checked.heartbeat_ms)),
        lease_us=ms_to_us(checked.lease_ms),
        is_bootstrap=is_bootstrap,
        max_log_entries=checked.max_log_entries,
        max_history_entries=checked.max_history_entries,
        analysis_policy=AnalysisPolicy(
            checked.analysis.min_calls, checked.analysis.max_regression, checked.analysis.confidence
        ),
        check=lambda table, ops: validate_changes(EntryValues(table.entries), ops),
    )


def _run_replica(
    loop: Loop, settings: ReplicaSettings, failures: list[ReplicaFailedError], log: Logger
) -> ControlPlaneReplica:
    """Run until a signal, or a failure, which is added to `failures`."""
    stop = stop_event(loop, log)

    def failed(error: ReplicaFailedError) -> None:
        failures.append(error)
        stop.set()

    replica = ControlPlaneReplica(loop, settings, log, secrets.randbits(SEED_BITS), failed)
    stop.wait()
    replica.stop()
    return replica


def _with_former_name(command: click.Command, name: str) -> click.Command:
    """Return the command under its former name."""
    alias = copy(command)
    alias.name = name
    alias.short_help = f"Former name of `{command.name}`."
    notice = f"Former name of `walnutpost {command.name}`; accepted in 0.2, gone with 0.3."
    alias.help = f"{notice}\n\n{cleandoc(command.help or '')}"
    return alias


keeper = _with_former_name(control_plane, FORMER_NAME)


@click.command()
@CONFIG_ARGUMENT
@click.option("--name", required=True, help="Which of CONFIG's relays.")
@click.pass_obj
def relay(log: Logger, config: Path, name: str) -> None:
    """Run one relay: it carries the agreed settings from the control plane to their members.

    It holds no disk; members whose relay is lost go on at another.
    """
    checked = load_control_plane_file(config)
    lines = {line.name: line for line in checked.relays}
    if name not in lines:
        exit_with(f"--name: found {name!r}; wanted one of {', '.join(lines) or 'none, there are no relays'}")
    raise_descriptor_limit()
    line = lines[name]
    loop = make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        settings = RelaySettings(
            name,
            _replica_addresses(checked),
            parse_address(line.listen or line.address),
            secrets.randbits(SEED_BITS),
            line.address,
        )
        process = start_relay(loop, settings, log)
        stop.wait()
        process.stop()

    with checked_addresses(config, [_place("relays", checked.relays, name)]):
        loop.run(run)


@click.command()
@CONFIG_ARGUMENT
@click.option("--member", required=True, help="Which of CONFIG's agents.")
@click.pass_obj
def agent(log: Logger, config: Path, member: str) -> None:
    """Run one process of the fleet and take it from version to version as agreed."""
    checked = load_control_plane_file(config)
    lines = {line.member: line for line in checked.agents}
    if member not in lines:
        known = ", ".join(lines) or "none, there are no agents"
        exit_with(f"--member: found {member!r}; wanted one of {known}")
    loop = make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        process = build_agent(loop, _agent_settings(checked, lines[member], config.parent), log)
        process.start()
        stop.wait()
        process.stop()

    try:
        loop.run(run)
    except (AgentError, OSError) as error:
        exit_with(f"{config}: agent {member}: {error}")


def _agent_settings(checked: ControlPlaneConfig, line: AgentConfig, folder: Path) -> AgentSettings:
    return AgentSettings(
        member=line.member,
        kind=line.kind,
        zone=line.zone,
        command=line.command,
        ready_text=line.ready_text,
        first_version=(folder / line.first_version_file).read_bytes(),
        folder=folder / AGENTS_FOLDER,
        replicas=_replica_addresses(checked),
        controller=ControllerSettings(ms_to_us(checked.begin_within_ms), ms_to_us(line.ready_within_ms)),
        report_interval_us=ms_to_us(checked.lease_ms) // REPORTS_PER_LEASE,
        follows_endpoints=line.reports_itself,
    )
