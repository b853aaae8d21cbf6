"""`walnutpost config status`: which revision is agreed on, and which members apply it."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.config_group import config_group
from walnutpost.cli.control_plane import FORMAT_OPTION, ask_in_loop
from walnutpost.cli.text import columns
from walnutpost.configstore import MemberStatus, PropagationStatus
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.eventloop import Logger, Loop

POLL_INTERVAL_US = 250_000
US_PER_S = 1_000_000
MAX_SHOWN_LATENCIES = 10
MAX_SHOWN_NAMES = 20
NEWEST_REVISION = 0  # as the value of --wait


@dataclass(frozen=True, slots=True)
class _WaitGoal:
    """The revision that members are waited for, and how many of them there must be; None: no wait."""

    revision: int | None
    min_members: int
    timeout_s: float

    def is_reached(self, status: PropagationStatus) -> bool:
        """Whether all members apply it. If none is known, none does."""
        if self.revision is None:
            return True
        has_members = status.member_count >= max(1, self.min_members)
        return has_members and status.min_applied_revision >= self.revision


@dataclass(frozen=True, slots=True)
class _Observation:
    """The status, and who followed the store just before.

    So one that joins in between is in neither, and does not count as applying anything.
    """

    status: PropagationStatus
    followers: tuple[str, ...]


@config_group.command("status")
@CONFIG_ARGUMENT
@click.option(
    "--wait",
    "revision",
    type=int,
    is_flag=False,
    flag_value=NEWEST_REVISION,
    metavar="[REVISION]",
    help="Until all members act on it, or on the newest; exits 1 where they don't in time.",
)
@click.option(
    "--members", "min_members", type=int, default=1, help="With --wait: of so many members at the least."
)
@click.option("--within", "timeout_s", default=30.0, show_default=True, help="Seconds to wait at the most.")
@FORMAT_OPTION
@click.pass_obj
def show_status(
    log: Logger,
    config: Path,
    revision: int | None,
    min_members: int,
    timeout_s: float,
    output_format: str,
) -> None:
    """Show which revision is agreed on, who acts on it, who lacks it and why; relays; the last changes."""
    wanted = _WaitGoal(revision, min_members, timeout_s)
    observation, goal = ask_in_loop(config, log, lambda loop, client: _wait(loop, client, wanted))
    if output_format == "json":
        click.echo(json.dumps(_as_json(observation)))
    else:
        for line in _as_lines(observation):
            click.echo(line)
    if not goal.is_reached(observation.status):
        exit_with(_unreached_line(observation.status, goal), code=1)


def _unreached_line(status: PropagationStatus, goal: _WaitGoal) -> str:
    assert goal.revision is not None
    if goal.revision > status.revision:
        return f"--wait: found {goal.revision}; wanted a revision up to {status.revision}, the newest"
    reason = f"{status.lagging_count} of {status.member_count} members lack it"
    if status.member_count < goal.min_members:
        followers = f"{status.member_count} members follow" if status.member_count else "nobody follows"
        reason = f"{followers} the table, wanted {goal.min_members}"
    return f"revision {goal.revision} is not in force everywhere after {goal.timeout_s:g} s: {reason}"


def _wait(loop: Loop, client: ControlPlaneClient, wanted: _WaitGoal) -> tuple[_Observation, _WaitGoal]:
    """Observe until the goal is reached or time is over; return the goal with its revision resolved."""
    observation = _observe(client)
    revision = wanted.revision
    if revision == NEWEST_REVISION:
        revision = observation.status.revision
    goal = _WaitGoal(revision, wanted.min_members, wanted.timeout_s)
    deadline_s = time.monotonic() + goal.timeout_s
    while revision is not None and not goal.is_reached(observation.status):
        if revision > observation.status.revision or time.monotonic() >= deadline_s:
            break
        loop.sleep(POLL_INTERVAL_US)
        observation = _observe(client)
    return observation, goal


def _observe(client: ControlPlaneClient) -> _Observation:
    _, agreed = client.state()
    followers = tuple(sorted(agreed.state.followers))
    return _Observation(client.status(), followers)


def applying_members(status: PropagationStatus, followers: Sequence[str]) -> list[str] | None:
    """Return who applies the newest revision; None if not all who don't are named."""
    if status.lagging_count > len(status.lagging):
        return None
    lagging = {member.member for member in status.lagging}
    return [name for name in followers if name not in lagging]


# JSON


def _as_json(observation: _Observation) -> dict[str, Any]:
    status = observation.status
    return {
        "revision": status.revision,
        "digest": f"{status.digest:016x}",
        "floor": status.compacted_revision,
        "entries": status.entry_count,
        "members": status.member_count,
        "in_force": status.min_applied_revision,
        "acting": applying_members(status, observation.followers),
        "lacks": status.lagging_count,
        "lacking": [_member_as_json(member) for member in status.lagging],
        "relays": [
            {"relay": name, "revision": revision, "members": members, "heard_s": silent_us / US_PER_S}
            for name, revision, members, silent_us in status.relays
        ],
        "times": [
            {"revision": each.revision, "took_s": _seconds(each.latency_us)} for each in status.latencies
        ],
    }


def _member_as_json(member: MemberStatus) -> dict[str, Any]:
    return {
        "member": member.member,
        "incarnation": member.incarnation,
        "in_force": member.applied_revision,
        "why": _lag_reason(member),
        "relay": member.relay,
        "heard_s": _seconds(member.silent_for_us),
    }


def _seconds(duration_us: int | None) -> float | None:
    return None if duration_us is None else duration_us / US_PER_S


def _lag_reason(member: MemberStatus) -> str:
    """Return why it lacks the newest revision, as far as that was reported."""
    if member.blocked_reason:
        return member.blocked_reason
    if member.silent_for_us is None:
        return "this leader has not heard of it"
    return "on its way, or its process does not answer"


# Text


def _as_lines(observation: _Observation) -> list[str]:
    status = observation.status
    return [
        f"revision {status.revision}, digest {status.digest:016x}: {status.entry_count} entries, "
        f"changes held after revision {status.compacted_revision}",
        *_propagation_lines(status),
        *_applying_lines(observation),
        _relay_table(status),
        *_latency_tables(status),
    ]


def _propagation_lines(status: PropagationStatus) -> list[str]:
    if not status.member_count:
        return ["nobody follows the table"]
    if not status.lagging_count:
        return [f"in force everywhere: all {status.member_count} members act on revision {status.revision}"]
    rows = [
        [
            member.member,
            str(member.applied_revision),
            _lag_reason(member),
            member.relay or "-",
            _ago(member.silent_for_us),
        ]
        for member in status.lagging
    ]
    lines = [
        f"in force everywhere up to revision {status.min_applied_revision}; "
        f"{status.lagging_count} of {status.member_count} members lack revision {status.revision}",
        columns([["lacks it", "acts on", "why", "relay", "heard of"], *rows]),
    ]
    if status.lagging_count > len(status.lagging):
        lines.append(f"and {status.lagging_count - len(status.lagging)} more")
    return lines


def _applying_lines(observation: _Observation) -> list[str]:
    names = applying_members(observation.status, observation.followers)
    if not names:
        return []
    more = f" and {len(names) - MAX_SHOWN_NAMES} more" if len(names) > MAX_SHOWN_NAMES else ""
    shown = ", ".join(names[:MAX_SHOWN_NAMES])
    return [f"acting on revision {observation.status.revision}: {shown}{more}"]


def _relay_table(status: PropagationStatus) -> str:
    rows = [
        [name, str(revision), str(members), _ago(silent_us)]
        for name, revision, members, silent_us in status.relays
    ]
    return columns([["relay", "holds", "members", "heard of"], *rows]) if rows else "no relay reports"


def _latency_tables(status: PropagationStatus) -> list[str]:
    """Return the latencies of the last changes; without members they mean nothing."""
    latencies = status.latencies[-MAX_SHOWN_LATENCIES:] if status.member_count else ()
    if not latencies:
        return []
    rows = [
        [
            str(each.revision),
            "not yet" if each.latency_us is None else f"{each.latency_us / US_PER_S:.3f} s",
        ]
        for each in latencies
    ]
    return [columns([["revision", "everywhere after"], *rows])]


def _ago(duration_us: int | None) -> str:
    return "never" if duration_us is None else f"{duration_us / US_PER_S:.1f} s ago"
