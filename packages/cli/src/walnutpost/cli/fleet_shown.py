"""What the fleet has agreed on, shown."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
from msgspec.structs import asdict

from walnutpost.cli.configs import CONFIG, end
from walnutpost.cli.fleet import FORM, Stop, fleet, with_keepers
from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.controlplane.wire import History, View
from walnutpost.faultinjection.table import aligned
from walnutpost.fleet import FRONT_END, CommandResult, Fleet, FleetState, Plan
from walnutpost.fleet import budgets as rules


@fleet.command()
@CONFIG
@FORM
@click.pass_obj
def status(log: Any, config: Path, form: str) -> None:
    """Who leads, what is halted, how far each budget is used, who is out and why, whose disk fails."""

    def work(client: KeeperClient) -> tuple[View, Fleet, dict[str, str]]:
        try:
            return *client.state(), client.failing_disks()
        except NoAnswer as error:
            lines = _disk_lines(client.failing_disks())
            if not lines:
                raise
            raise Stop(f"no quorum of the keepers answered: {error}", *lines, code=3) from error

    view, agreed, failing_disks = with_keepers(config, log, work)
    told = _status(view, agreed)
    if failing_disks:
        told["failing_disks"] = failing_disks
    if form == "json":
        click.echo(json.dumps(told))
        return
    click.echo(f"index {told['index']}, led by {told['leader']} in term {told['term']}")
    click.echo(f"halted: {told['halted']}" if told["halted"] else "not halted")
    for line in told["budgets"]:
        click.echo(line)
    rows = [[o["member"], o["holder"], o["why"], o["waits"], o["permit"]] for o in told["out"]]
    click.echo(aligned([["out", "by", "why", "waits for", "permit"], *rows]) if rows else "nobody is out")
    for line in told["alone"]:
        click.echo(f"without a quorum: {line}")
    for line in _disk_lines(failing_disks):
        click.echo(line)


def _disk_lines(failing_disks: dict[str, str]) -> list[str]:
    return [f"keeper {name}: its disk fails: {reason}" for name, reason in failing_disks.items()]


def _status(view: View, agreed: Fleet) -> dict[str, Any]:
    state = agreed.state
    permits = {p.member: p for p in state.permits.values()}
    used: dict[str, None] = {}
    for member in state.members.values():
        for use in rules.budget_usages(
            state.budgets, state.members, state.permits.values(), member.kind, member.zone
        ):
            used[use.description] = None
    return {
        "index": view.index,
        "leader": view.leader,
        "term": view.term,
        "keepers": list(view.members.all),
        "halted": state.halt_reason,
        "budgets": list(used),
        "out": [
            {
                "member": name,
                "holder": permits[name].holder if name in permits else "",
                "why": permits[name].reason if name in permits else "not heard of for a lease",
                "waits": _out_waits(state, name),
                "permit": permits[name].id if name in permits else "",
            }
            for name in sorted(rules.unavailable_members(state.members, state.permits.values()))
        ],
        "plans": {p.id: _plan(view, state, p) for p in state.plans.values()},
        "alone": [f"{a.member} by {a.operator}: {a.reason} (to {a.version})" for a in state.manual_changes],
    }


def _out_waits(state: FleetState, name: str) -> str:
    """What stands between a member that is out and its coming back."""
    permit = next((p for p in state.permits.values() if p.member == name), None)
    if permit is None:
        return "a sign of life"
    if not permit.has_begun:
        return "its holder to begin"
    plan = state.plans.get(permit.plan)
    if state.members[name].kind != FRONT_END and not permit.confirmed_index:
        return f"all front ends to act on {permit.granted_index}"
    return (
        "an operator"
        if plan is not None and plan.keeps_members_out and not permit.return_requested
        else "its process to be ready"
    )


def _plan(view: View, state: FleetState, p: Plan) -> dict[str, Any]:
    """A plan, and what it waits for."""
    waits = ""
    if not p.end_reason:
        waits = p.halt_reason or state.halt_reason or view.waits.get(p.id, "")
    if not waits and not p.end_reason:
        open_now = [m for m in p.members[: p.eligible_count()] if m not in p.completed]
        held = {q.member for q in state.permits.values() if q.plan == p.id}
        waits = ", ".join(f"{m} ({_out_waits(state, m) if m in held else 'a permit'})" for m in open_now)
    return {
        "version": p.version,
        "back": p.rollback_version,
        "step": p.step,
        "steps": p.steps,
        "done": len(p.completed),
        "of": len(p.members),
        "halted": p.halt_reason,
        "ended": p.end_reason,
        "waits": waits or ("" if p.end_reason else "a judgement"),
    }


def _result(result: CommandResult | None) -> dict[str, Any] | None:
    """A command's result under the keys that programs read."""
    if result is None:
        return None
    return {"done": result.ok, "index": result.index, "why": result.error, "permit": result.permit}


@fleet.command("plan")
@CONFIG
@click.argument("name", required=False)
@FORM
@click.pass_obj
def show_plan(log: Any, config: Path, name: str | None, form: str) -> None:
    """The plans, or NAME alone: how far each is, and what it waits for."""
    view, agreed = with_keepers(config, log, lambda client: client.state())
    plans = _status(view, agreed)["plans"]
    if name is not None and name not in plans:
        end(f"no plan {name}; there are {', '.join(plans) or 'none'}", code=1)
    told = plans if name is None else {name: plans[name]}
    if form == "json":
        click.echo(json.dumps(told))
        return
    rows = [
        [n, p["version"] or "drain", f"{p['step']}", f"{p['done']} of {p['of']}", p["ended"] or p["waits"]]
        for n, p in told.items()
    ]
    click.echo(
        aligned([["plan", "to", "step", "done", "ended, or waits for"], *rows]) if rows else "no plans"
    )


@fleet.command()
@CONFIG
@FORM
@click.pass_obj
def members(log: Any, config: Path, form: str) -> None:
    """Every member: zone, version, whether it is in."""
    view, agreed = with_keepers(config, log, lambda client: client.state())
    state = agreed.state
    out = rules.unavailable_members(state.members, state.permits.values())
    told = [
        {
            "member": name,
            "kind": m.kind,
            "zone": m.zone,
            "version": m.version,
            "incarnation": m.incarnation,
            "address": m.address,
            "stands": "in"
            if name not in out
            else "silent"
            if m.unresponsive
            else f"out: {_out_waits(state, name)}",
        }
        for name, m in sorted(state.members.items())
    ]
    if form == "json":
        click.echo(json.dumps({"index": view.index, "members": told}))
        return
    heads = ("member", "kind", "zone", "version", "incarnation", "stands")
    click.echo(aligned([list(heads), *[[str(m[h]) for h in heads] for m in told]]))


@fleet.command()
@CONFIG
@click.option("--after", default=0, show_default=True, help="Only what follows this entry.")
@click.option("--most", default=100, show_default=True, type=click.IntRange(1, 10_000))
@FORM
@click.pass_obj
def history(log: Any, config: Path, after: int, most: int, form: str) -> None:
    """What was agreed on, oldest first. Times are the askers' clocks, hints alone; the order is the index."""

    def work(client: KeeperClient) -> tuple[str, History]:
        view, _ = client.state()
        return view.keeper, client.history(view.keeper, after, most)

    keeper, told = with_keepers(config, log, work)
    if form == "json":
        lines = [asdict(line) | {"answer": _result(line.answer)} for line in told.lines]
        click.echo(json.dumps({"keeper": keeper, "first": told.first, "lines": lines}))
        return
    if told.first > after + 1:
        click.echo(f"entries before {told.first} are not kept by {keeper} any more", err=True)
    rows = []
    for line in told.lines:
        when = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(line.at)) if line.at else ""
        answer = line.answer
        said = "" if answer is None else "yes" if answer.ok else f"no: {answer.error}"
        rows.append([str(line.index), when, line.what, line.told, said])
    click.echo(aligned([["index", "asked at", "what", "told", "answer"], *rows]) if rows else "nothing")
