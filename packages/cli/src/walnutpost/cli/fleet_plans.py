"""Plans of the fleet: releases, ways back, drains."""

from __future__ import annotations

import json
import secrets
from collections import Counter
from pathlib import Path
from typing import Any

import click

from walnutpost.agent import manual_order_path, version_of
from walnutpost.cli.configs import CONFIG, config_of, end
from walnutpost.cli.fleet import fleet, tell, with_keepers
from walnutpost.cli.keepers import AGENTS, keepers_of
from walnutpost.controlplane import KeeperClient
from walnutpost.eventloop import replace_file
from walnutpost.fleet import FRONT_END, CommandResult, StartPlan, StoreVersion


def _plan_name(kind: str, told: str | None) -> str:
    return told or f"{kind}-{secrets.token_hex(3)}"


PLAN = click.option("--plan", help="The plan's name, to be given again after a time-out; made up without it.")


ALONE = click.option(
    "--alone", is_flag=True, help="No quorum answers: have the agents on this machine do it without a permit."
)


WHO = click.option("--operator", default="", help="With --alone: who answers for it.")


WHY = click.option("--why", default="", help="With --alone: the reason, for the history.")


def _by_hand(config: Path, names: tuple[str, ...], version: str, operator: str, why: str) -> None:
    """Leaves an order with the agents of this machine; nobody counts who else is out."""
    known = {line.member for line in keepers_of(config).agents}
    wrong = [n for n in names if n not in known]
    if not operator or not why or not names or wrong:
        end(
            "--alone wants --operator, --why and members of this file's agents"
            + (f"; found {', '.join(wrong)}" if wrong else "")
        )
    click.echo("nobody has agreed to this: how many are out is not looked at", err=True)
    for name in names:
        path = manual_order_path(config.parent / AGENTS, name)
        replace_file(path, json.dumps({"version": version, "operator": operator, "why": why}).encode())
        click.echo(f"{name}: left for its agent, which tells the keepers once they answer")


@fleet.command()
@CONFIG
@click.argument("content", type=click.Path(path_type=Path))
@click.option("--steps", default="0.25,1", show_default=True, help="Shares of the members, rising to 1.")
@click.option("--back/--no-back", default=True, help="On a bad judgement go back to what most run now.")
@click.option("--check/--no-check", default=True, help="Whether CONTENT must be a front end's configuration.")
@PLAN
@click.pass_obj
def release(
    log: Any, config: Path, content: Path, steps: str, back: bool, check: bool, plan: str | None
) -> None:
    """Bring all front ends to the version in the file CONTENT, one first, then by steps."""
    try:
        data, shares = content.read_bytes(), tuple(float(share) for share in steps.split(","))
    except OSError as error:
        end(f"{content}: cannot be read: {error.strerror}")
    except ValueError:
        end(f"--steps: found {steps!r}; wanted shares that rise to 1, as 0.25,1")
    if check:
        config_of(content)
    name = _plan_name("release", plan)
    version = version_of(data)

    def work(client: KeeperClient) -> CommandResult:
        _, agreed = client.state()
        members = {n: m for n, m in agreed.state.members.items() if m.kind == FRONT_END}
        usual = Counter(m.version for m in members.values()).most_common(1)
        before = usual[0][0] if usual and back and usual[0][0] in agreed.state.versions else ""
        client.command(f"{name}-keep", StoreVersion(version, data))
        return client.command(f"{name}-start", StartPlan(name, tuple(members), version, shares, before))

    answer = with_keepers(config, log, work)
    click.echo(f"plan {name}: version {version}")
    tell(answer)


@fleet.command()
@CONFIG
@click.argument("names", nargs=-1)
@click.option("--to", "version", required=True, help="A version that the keepers still hold.")
@PLAN
@ALONE
@WHO
@WHY
@click.pass_obj
def rollback(
    log: Any,
    config: Path,
    names: tuple[str, ...],
    version: str,
    plan: str | None,
    alone: bool,
    operator: str,
    why: str,
) -> None:
    """Take all front ends, or NAMES alone, to a version of before, in place of the plan under way."""
    if alone:
        return _by_hand(config, names, version, operator, why)
    name = _plan_name("rollback", plan)

    def work(client: KeeperClient) -> CommandResult:
        state = client.state()[1].state
        wanted = names or tuple(n for n, m in state.members.items() if m.kind == FRONT_END)
        under_way = next((p.id for p in state.plans.values() if not p.end_reason and p.id != name), "")
        start = StartPlan(name, wanted, version, replaces=under_way, requires_verdict=False)
        return client.command(f"{name}-start", start)

    answer = with_keepers(config, log, work)
    click.echo(f"plan {name}")
    tell(answer)


@fleet.command()
@CONFIG
@click.argument("members", nargs=-1, required=True)
@PLAN
@ALONE
@WHO
@WHY
@click.pass_obj
def cycle(
    log: Any, config: Path, members: tuple[str, ...], plan: str | None, alone: bool, operator: str, why: str
) -> None:
    """Take MEMBERS out and back in with what they run, within the budgets."""
    if alone:
        return _by_hand(config, members, "", operator, why)
    name = _plan_name("cycle", plan)
    click.echo(f"plan {name}")
    tell(with_keepers(config, log, lambda client: client.command(f"{name}-start", StartPlan(name, members))))


@fleet.command()
@CONFIG
@click.argument("members", nargs=-1, required=True)
@PLAN
@click.pass_obj
def drain(log: Any, config: Path, members: tuple[str, ...], plan: str | None) -> None:
    """Take MEMBERS out, within the budgets, and hold each out until `fleet return`."""
    name = _plan_name("drain", plan)
    click.echo(f"plan {name}")
    start = StartPlan(name, members, keeps_members_out=True)
    tell(with_keepers(config, log, lambda client: client.command(f"{name}-start", start)))
