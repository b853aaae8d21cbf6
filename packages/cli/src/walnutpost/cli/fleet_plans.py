"""Plans of the fleet: releases, rollbacks, restarts and drains."""

from __future__ import annotations

import json
import secrets
from collections import Counter
from pathlib import Path

import click

from walnutpost.agent import manual_order_path, version_of
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with, read_config
from walnutpost.cli.control_plane import ask, show_result
from walnutpost.cli.fleet import fleet
from walnutpost.cli.fleet_processes import AGENTS_FOLDER, load_control_plane_file
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.eventloop import Logger, replace_file
from walnutpost.fleet import FRONT_END, CommandResult, FleetState, StartPlan, StoreVersion

PLAN_NAME_BYTES = 3

PLAN_OPTION = click.option(
    "--plan", help="The plan's name, to be given again after a time-out; generated without it."
)
ALONE_OPTION = click.option(
    "--alone",
    "is_manual",
    is_flag=True,
    help="No quorum answers: have the agents on this machine do it without a permit.",
)
OPERATOR_OPTION = click.option("--operator", default="", help="With --alone: who answers for it.")
REASON_OPTION = click.option("--why", "reason", default="", help="With --alone: the reason, for the history.")


def _plan_name(kind: str, given: str | None) -> str:
    return given or f"{kind}-{secrets.token_hex(PLAN_NAME_BYTES)}"


def write_manual_orders(
    config: Path, names: tuple[str, ...], version: str, operator: str, reason: str
) -> None:
    """Leave an order with agents of this machine, which obey without a permit: no budget is checked."""
    known = {agent.member for agent in load_control_plane_file(config).agents}
    unknown = [name for name in names if name not in known]
    if not operator or not reason or not names or unknown:
        exit_with(
            "--alone wants --operator, --why and members of this file's agents"
            + (f"; found {', '.join(unknown)}" if unknown else "")
        )
    click.echo("nobody has agreed to this: how many are out is not looked at", err=True)
    order = json.dumps({"version": version, "operator": operator, "why": reason}).encode()
    for name in names:
        replace_file(manual_order_path(config.parent / AGENTS_FOLDER, name), order)
        click.echo(f"{name}: left for its agent, which tells the keepers once they answer")


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("content", type=click.Path(path_type=Path))
@click.option("--steps", default="0.25,1", show_default=True, help="Shares of the members, rising to 1.")
@click.option(
    "--back/--no-back",
    "rolls_back",
    default=True,
    help="On a bad judgement go back to what most run now.",
)
@click.option("--check/--no-check", default=True, help="Whether CONTENT must be a front end's configuration.")
@PLAN_OPTION
@click.pass_obj
def release(
    log: Logger,
    config: Path,
    content: Path,
    steps: str,
    rolls_back: bool,
    check: bool,
    plan: str | None,
) -> None:
    """Bring all front ends to the version in the file CONTENT, one first, then by steps."""
    try:
        data = content.read_bytes()
        ratios = tuple(float(ratio) for ratio in steps.split(","))
    except OSError as error:
        exit_with(f"{content}: cannot be read: {error.strerror}")
    except ValueError:
        exit_with(f"--steps: found {steps!r}; wanted shares that rise to 1, as 0.25,1")
    if check:
        read_config(content)
    name = _plan_name("release", plan)
    version = version_of(data)

    def start(client: ControlPlaneClient) -> CommandResult:
        _, agreed = client.state()
        rollback_version = _most_common_version(agreed.state) if rolls_back else ""
        client.command(f"{name}-keep", StoreVersion(version, data))
        members = _front_ends(agreed.state)
        return client.command(f"{name}-start", StartPlan(name, members, version, ratios, rollback_version))

    result = ask(config, log, start)
    click.echo(f"plan {name}: version {version}")
    show_result(result)


def _front_ends(state: FleetState) -> tuple[str, ...]:
    return tuple(name for name, member in state.members.items() if member.kind == FRONT_END)


def _most_common_version(state: FleetState) -> str:
    """Return the version that most front ends run, "" if the control plane does not have its content."""
    versions = Counter(state.members[name].version for name in _front_ends(state))
    for version, _ in versions.most_common(1):
        if version in state.versions:
            return version
    return ""


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("names", nargs=-1)
@click.option("--to", "version", required=True, help="A version that the keepers still have.")
@PLAN_OPTION
@ALONE_OPTION
@OPERATOR_OPTION
@REASON_OPTION
@click.pass_obj
def rollback(
    log: Logger,
    config: Path,
    names: tuple[str, ...],
    version: str,
    plan: str | None,
    is_manual: bool,
    operator: str,
    reason: str,
) -> None:
    """Take all front ends, or NAMES alone, to a former version, in place of the plan under way."""
    if is_manual:
        write_manual_orders(config, names, version, operator, reason)
        return
    name = _plan_name("rollback", plan)

    def start(client: ControlPlaneClient) -> CommandResult:
        _, agreed = client.state()
        members = names or _front_ends(agreed.state)
        running = [each.id for each in agreed.state.plans.values() if not each.end_reason and each.id != name]
        replaced = running[0] if running else ""
        command = StartPlan(name, members, version, replaces=replaced, requires_verdict=False)
        return client.command(f"{name}-start", command)

    result = ask(config, log, start)
    click.echo(f"plan {name}")
    show_result(result)


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("members", nargs=-1, required=True)
@PLAN_OPTION
@ALONE_OPTION
@OPERATOR_OPTION
@REASON_OPTION
@click.pass_obj
def cycle(
    log: Logger,
    config: Path,
    members: tuple[str, ...],
    plan: str | None,
    is_manual: bool,
    operator: str,
    reason: str,
) -> None:
    """Take MEMBERS out and back in with the versions that they run, within the budgets."""
    if is_manual:
        write_manual_orders(config, members, "", operator, reason)
        return
    name = _plan_name("cycle", plan)
    _start(log, config, StartPlan(name, members))


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("members", nargs=-1, required=True)
@PLAN_OPTION
@click.pass_obj
def drain(log: Logger, config: Path, members: tuple[str, ...], plan: str | None) -> None:
    """Take MEMBERS out, within the budgets, until `fleet return` lets each come back."""
    name = _plan_name("drain", plan)
    _start(log, config, StartPlan(name, members, keeps_members_out=True))


def _start(log: Logger, config: Path, plan: StartPlan) -> None:
    click.echo(f"plan {plan.plan}")
    show_result(ask(config, log, lambda client: client.command(f"{plan.plan}-start", plan)))
