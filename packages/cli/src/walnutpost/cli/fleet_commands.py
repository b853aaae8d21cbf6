"""Commands of operators to the fleet: halts, permits, members, budgets, verdicts, the set of replicas."""

from __future__ import annotations

import secrets
from pathlib import Path

import click

from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.control_plane import ID_BYTES, ID_OPTION, ask, give_command, show_result
from walnutpost.cli.fleet import fleet
from walnutpost.cli.fleet_processes import load_control_plane_file
from walnutpost.consensus import Members
from walnutpost.eventloop import Logger
from walnutpost.fleet import (
    DisruptionBudget,
    EndDrain,
    ForgetMember,
    HaltPlan,
    RecordStepVerdict,
    ResumePlan,
    RevokePermit,
    SetBudgets,
)


@fleet.command()
@CONFIG_ARGUMENT
@click.option("--plan", default="", help="This plan alone.")
@click.option("--why", "reason", required=True)
@ID_OPTION
@click.pass_obj
def halt(log: Logger, config: Path, plan: str, reason: str, command_id: str | None) -> None:
    """Halt plans: nothing that has not begun begins; in effect begin_within_ms after it is agreed."""
    give_command(log, config, command_id, HaltPlan(reason, plan))


@fleet.command()
@CONFIG_ARGUMENT
@click.option("--plan", default="", help="This plan alone.")
@ID_OPTION
@click.pass_obj
def resume(log: Logger, config: Path, plan: str, command_id: str | None) -> None:
    """Let what was halted go on."""
    give_command(log, config, command_id, ResumePlan(plan))


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("permit")
@click.option("--operator", required=True, help="Who vouches that the member is not out.")
@ID_OPTION
@click.pass_obj
def remove(log: Logger, config: Path, permit: str, operator: str, command_id: str | None) -> None:
    """Give back a permit whose holder will never do so."""
    give_command(log, config, command_id, RevokePermit(permit, operator))


@fleet.command("return")
@CONFIG_ARGUMENT
@click.argument("member")
@click.option("--operator", required=True)
@ID_OPTION
@click.pass_obj
def end_drain(log: Logger, config: Path, member: str, operator: str, command_id: str | None) -> None:
    """Let MEMBER, which was drained, come back."""
    give_command(log, config, command_id, EndDrain(member, operator))


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("member")
@ID_OPTION
@click.pass_obj
def forget(log: Logger, config: Path, member: str, command_id: str | None) -> None:
    """Remove MEMBER, which is gone for good: no budget, plan or drain waits for it any more."""
    give_command(log, config, command_id, ForgetMember(member))


@fleet.command()
@CONFIG_ARGUMENT
@click.option("--agree", is_flag=True, help="Have those of CONFIG agreed on in place of what holds.")
@ID_OPTION
@click.pass_obj
def budgets(log: Logger, config: Path, agree: bool, command_id: str | None) -> None:
    """Show how many may be out at once, as agreed."""
    if agree:
        give_command(log, config, command_id, SetBudgets(_configured_budgets(config)))
        return
    _, agreed = ask(config, log, lambda client: client.state())
    for budget in agreed.state.budgets:
        click.echo(_budget_line(budget))


def _configured_budgets(config: Path) -> tuple[DisruptionBudget, ...]:
    configured = load_control_plane_file(config).budgets
    if not configured:
        exit_with(f"{config}: budgets: found none; wanted those that are to hold")
    return tuple(
        DisruptionBudget(each.kind, each.zone, each.max_unavailable, each.max_unavailable_ratio)
        for each in configured
    )


def _budget_line(budget: DisruptionBudget) -> str:
    scope = {"": "in all", "*": "in each zone"}.get(budget.zone, f"in {budget.zone}")
    limit = str(budget.max_unavailable)
    if budget.max_unavailable is None:
        limit = f"{budget.max_unavailable_ratio:g} of them, one at least"
    return f"{budget.kind}s {scope}: {limit}"


@fleet.command()
@CONFIG_ARGUMENT
@click.argument("plan")
@click.argument("verdict", type=click.Choice(["good", "bad"]))
@click.option("--why", "reason", default="")
@ID_OPTION
@click.pass_obj
def judge(log: Logger, config: Path, plan: str, verdict: str, reason: str, command_id: str | None) -> None:
    """Record how the present step of PLAN has gone; bad halts it and rolls back where it says so."""
    _, agreed = ask(config, log, lambda client: client.state())
    plans = agreed.state.plans
    if plan not in plans:
        exit_with(f"no plan {plan}; there are {', '.join(plans) or 'none'}", code=1)
    command = RecordStepVerdict(plan, plans[plan].step, verdict == "good", reason)
    give_command(log, config, command_id, command)


@fleet.command("keepers")
@CONFIG_ARGUMENT
@click.option("--voter", "voters", multiple=True, help="By the name of its disk; all of them to be.")
@click.option("--learner", "learners", multiple=True, help="Is sent everything, and counts for nothing yet.")
@click.pass_obj
def replicas(log: Logger, config: Path, voters: tuple[str, ...], learners: tuple[str, ...]) -> None:
    """Show the keepers, or change them by one voter: add one as a learner, then as a voter."""
    if voters:
        members = Members(voters, learners)
        change_id = secrets.token_hex(ID_BYTES)
        show_result(ask(config, log, lambda client: client.change_members(change_id, members)))
        return
    view, _ = ask(config, log, lambda client: client.state())
    for name in view.members.all:
        click.echo(f"{name}  {'votes' if name in view.members.voters else 'learns'}")
