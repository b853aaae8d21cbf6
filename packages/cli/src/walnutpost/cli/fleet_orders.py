"""Orders to the fleet by hand."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import Any

import click

from walnutpost.cli.configs import CONFIG, end
from walnutpost.cli.fleet import fleet, tell, with_keepers
from walnutpost.cli.keepers import keepers_of
from walnutpost.consensus import Members
from walnutpost.fleet import (
    Command,
    DisruptionBudget,
    EndDrain,
    ForgetMember,
    HaltPlan,
    RecordStepVerdict,
    ResumePlan,
    RevokePermit,
    SetBudgets,
)


def _do(log: Any, config: Path, id: str | None, command: Command) -> None:
    """An `--id` that is given again after a time-out gets the answer of the first time."""
    known = id or secrets.token_hex(8)
    click.echo(f"id {known}", err=True)
    tell(with_keepers(config, log, lambda client: client.command(known, command)))


ID = click.option("--id", "id", help="The id of an earlier try that got no answer.")


@fleet.command()
@CONFIG
@click.option("--plan", default="", help="This plan alone.")
@click.option("--why", required=True)
@ID
@click.pass_obj
def halt(log: Any, config: Path, plan: str, why: str, id: str | None) -> None:
    """Nothing that has not begun begins any more; in effect begin_within_ms after it is agreed."""
    _do(log, config, id, HaltPlan(why, plan))


@fleet.command()
@CONFIG
@click.option("--plan", default="", help="This plan alone.")
@ID
@click.pass_obj
def resume(log: Any, config: Path, plan: str, id: str | None) -> None:
    """What was halted may go on."""
    _do(log, config, id, ResumePlan(plan))


@fleet.command()
@CONFIG
@click.argument("permit")
@click.option("--operator", required=True, help="Who vouches that the place is not out.")
@ID
@click.pass_obj
def remove(log: Any, config: Path, permit: str, operator: str, id: str | None) -> None:
    """Give back a permit whose holder will never do so."""
    _do(log, config, id, RevokePermit(permit, operator))


@fleet.command("return")
@CONFIG
@click.argument("member")
@click.option("--operator", required=True)
@ID
@click.pass_obj
def bring_back(log: Any, config: Path, member: str, operator: str, id: str | None) -> None:
    """Let MEMBER, which a drain holds out, come back."""
    _do(log, config, id, EndDrain(member, operator))


@fleet.command()
@CONFIG
@click.argument("member")
@ID
@click.pass_obj
def forget(log: Any, config: Path, member: str, id: str | None) -> None:
    """MEMBER is gone for good: no budget, plan or drain waits for it any more."""
    _do(log, config, id, ForgetMember(member))


@fleet.command()
@CONFIG
@click.option("--agree", is_flag=True, help="Have those of CONFIG agreed on in place of what holds.")
@ID
@click.pass_obj
def budgets(log: Any, config: Path, agree: bool, id: str | None) -> None:
    """How many may be out at once, as agreed."""
    if agree:
        lines = keepers_of(config).budgets
        if not lines:
            end(f"{config}: budgets: found none; wanted those that are to hold")
        told = tuple(DisruptionBudget(b.kind, b.zone, b.most, b.share) for b in lines)
        return _do(log, config, id, SetBudgets(told))
    for b in with_keepers(config, log, lambda client: client.state())[1].state.budgets:
        most = (
            f"{b.max_unavailable}"
            if b.max_unavailable is not None
            else f"{b.max_unavailable_ratio:g} of them, one at least"
        )
        where = {"": "in all", "*": "in each zone"}.get(b.zone, f"in {b.zone}")
        click.echo(f"{b.kind}s {where}: {most}")


@fleet.command()
@CONFIG
@click.argument("plan")
@click.argument("verdict", type=click.Choice(["good", "bad"]))
@click.option("--why", default="")
@ID
@click.pass_obj
def judge(log: Any, config: Path, plan: str, verdict: str, why: str, id: str | None) -> None:
    """Say how the present step of PLAN has gone; bad halts it and goes back where it says so."""
    state = with_keepers(config, log, lambda client: client.state())[1].state
    if plan not in state.plans:
        end(f"no plan {plan}; there are {', '.join(state.plans) or 'none'}", code=1)
    _do(log, config, id, RecordStepVerdict(plan, state.plans[plan].step, verdict == "good", why))


@fleet.command("keepers")
@CONFIG
@click.option("--voter", "voters", multiple=True, help="By the name of its disk; all of them to be.")
@click.option("--learner", "learners", multiple=True, help="Is sent everything, and counts for nothing yet.")
@click.pass_obj
def keepers(log: Any, config: Path, voters: tuple[str, ...], learners: tuple[str, ...]) -> None:
    """Show the keepers, or change them by one voter: take one in to learn, then to vote."""
    if not voters:
        view, _ = with_keepers(config, log, lambda client: client.state())
        for name in view.members.all:
            click.echo(f"{name}  {'votes' if name in view.members.voters else 'learns'}")
        return
    members = Members(voters, learners)
    tell(with_keepers(config, log, lambda client: client.change(secrets.token_hex(8), members)))
