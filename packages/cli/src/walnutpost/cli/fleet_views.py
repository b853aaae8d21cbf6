"""What the fleet has agreed on, shown: `walnutpost fleet status`, `plan`, `members`, `history`."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
from msgspec import to_builtins

from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.control_plane import EXIT_NO_QUORUM, FORMAT_OPTION, ask, no_quorum_line
from walnutpost.cli.errors import CommandFailedError
from walnutpost.cli.fleet import fleet
from walnutpost.cli.fleet_status import describe_fleet, return_condition
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.controlplane.wire import History, HistoryEntry, ReplicaStatus
from walnutpost.eventloop import Logger
from walnutpost.faultinjection.text_tables import align_columns
from walnutpost.fleet import CommandResult, Fleet, FleetState
from walnutpost.fleet.budgets import unavailable_members

# Status


@fleet.command()
@CONFIG_ARGUMENT
@FORMAT_OPTION
@click.pass_obj
def status(log: Logger, config: Path, output_format: str) -> None:
    """Show the leader, halts, how far each budget is used, who is out and why, whose disk fails."""
    view, agreed, failing_disks = ask(config, log, _read_status)
    described = describe_fleet(view, agreed)
    if failing_disks:
        described["failing_disks"] = failing_disks
    if output_format == "json":
        click.echo(json.dumps(described))
        return
    for line in [*_status_lines(described), *_disk_lines(failing_disks)]:
        click.echo(line)


def _read_status(client: ControlPlaneClient) -> tuple[ReplicaStatus, Fleet, dict[str, str]]:
    """Read the state and the failing disks; these are named even if no quorum answers."""
    try:
        view, agreed = client.state()
        return view, agreed, client.failing_disks()
    except ControlPlaneUnavailableError as error:
        disks = _disk_lines(client.failing_disks())
        if not disks:
            raise
        raise CommandFailedError(no_quorum_line(error), *disks, exit_code=EXIT_NO_QUORUM) from error


def _status_lines(described: dict[str, Any]) -> list[str]:
    halted = described["halted"]
    rows = [
        [each["member"], each["holder"], each["why"], each["waits"], each["permit"]]
        for each in described["out"]
    ]
    heads = ["out", "by", "why", "waits for", "permit"]
    return [
        f"index {described['index']}, led by {described['leader']} in term {described['term']}",
        f"halted: {halted}" if halted else "not halted",
        *described["budgets"],
        align_columns([heads, *rows]) if rows else "nobody is out",
        *(f"without a quorum: {change}" for change in described["alone"]),
    ]


def _disk_lines(failing_disks: dict[str, str]) -> list[str]:
    return [f"keeper {name}: its disk fails: {reason}" for name, reason in failing_disks.items()]


# Plans


@fleet.command("plan")
@CONFIG_ARGUMENT
@click.argument("name", required=False)
@FORMAT_OPTION
@click.pass_obj
def show_plan(log: Logger, config: Path, name: str | None, output_format: str) -> None:
    """Show the plans, or NAME alone: how far each is, and what it waits for."""
    view, agreed = ask(config, log, lambda client: client.state())
    plans = describe_fleet(view, agreed)["plans"]
    if name is not None and name not in plans:
        exit_with(f"no plan {name}; there are {', '.join(plans) or 'none'}", code=1)
    shown = plans if name is None else {name: plans[name]}
    if output_format == "json":
        click.echo(json.dumps(shown))
        return
    heads = ["plan", "to", "step", "done", "ended, or waits for"]
    rows = [_plan_row(plan_name, plan) for plan_name, plan in shown.items()]
    click.echo(align_columns([heads, *rows]) if rows else "no plans")


def _plan_row(name: str, plan: dict[str, Any]) -> list[str]:
    return [
        name,
        plan["version"] or "drain",
        str(plan["step"]),
        f"{plan['done']} of {plan['of']}",
        plan["ended"] or plan["waits"],
    ]


# Members


@fleet.command()
@CONFIG_ARGUMENT
@FORMAT_OPTION
@click.pass_obj
def members(log: Logger, config: Path, output_format: str) -> None:
    """Show every member: zone, version, whether it is in."""
    view, agreed = ask(config, log, lambda client: client.state())
    described = _describe_members(agreed.state)
    if output_format == "json":
        click.echo(json.dumps({"index": view.index, "members": described}))
        return
    heads = ["member", "kind", "zone", "version", "incarnation", "stands"]
    rows = [[str(member[head]) for head in heads] for member in described]
    click.echo(align_columns([heads, *rows]))


def _describe_members(state: FleetState) -> list[dict[str, Any]]:
    unavailable = unavailable_members(state.members, state.permits.values())
    return [
        {
            "member": name,
            "kind": member.kind,
            "zone": member.zone,
            "version": member.version,
            "incarnation": member.incarnation,
            "address": member.address,
            "stands": _availability(state, name) if name in unavailable else "in",
        }
        for name, member in sorted(state.members.items())
    ]


def _availability(state: FleetState, name: str) -> str:
    if state.members[name].unresponsive:
        return "silent"
    return f"out: {return_condition(state, name)}"


# History


@fleet.command()
@CONFIG_ARGUMENT
@click.option("--after", default=0, show_default=True, help="Only what follows this entry.")
@click.option("--most", "max_lines", default=100, show_default=True, type=click.IntRange(1, 10_000))
@FORMAT_OPTION
@click.pass_obj
def history(log: Logger, config: Path, after: int, max_lines: int, output_format: str) -> None:
    """Show what was agreed on, oldest first.

    Times are the askers' clocks, hints alone; the order is the index.
    """

    def read(client: ControlPlaneClient) -> tuple[str, History]:
        view, _ = client.state()
        return view.replica, client.history(view.replica, after, max_lines)

    replica, found = ask(config, log, read)
    if output_format == "json":
        lines = [to_builtins(entry) | {"answer": _result_as_json(entry.result)} for entry in found.entries]
        click.echo(json.dumps({"keeper": replica, "first": found.first_index, "lines": lines}))
        return
    if found.first_index > after + 1:
        click.echo(f"entries before {found.first_index} are not kept by {replica} any more", err=True)
    heads = ["index", "asked at", "what", "told", "answer"]
    rows = [_history_row(entry) for entry in found.entries]
    click.echo(align_columns([heads, *rows]) if rows else "nothing")


def _history_row(entry: HistoryEntry) -> list[str]:
    asked_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.sent_at_s)) if entry.sent_at_s else ""
    return [str(entry.index), asked_at, entry.command, entry.description, _result_text(entry.result)]


def _result_text(result: CommandResult | None) -> str:
    if result is None:
        return ""
    return "yes" if result.ok else f"no: {result.error}"


def _result_as_json(result: CommandResult | None) -> dict[str, Any] | None:
    """Return a command's result under the keys that programs read."""
    if result is None:
        return None
    return {"done": result.ok, "index": result.index, "why": result.error, "permit": result.permit}
