"""What a fleet has agreed on of its settings, who acts on it, and what became of it, shown."""

from __future__ import annotations

import json
import re
import sys
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import click

from walnutpost.cli.configs import CONFIG, end
from walnutpost.cli.fleet import FORM, with_keepers, with_loop
from walnutpost.cli.settings import agreed, changes_of, config_group, in_words, wanted_by
from walnutpost.config.entries import CLASS, FUNCTION, TENANT, differences
from walnutpost.configstore import Entry, MemberStatus, PropagationStatus
from walnutpost.controlplane import KeeperClient
from walnutpost.controlplane.wire import Line
from walnutpost.eventloop import Loop

LOOK_EVERY = 250_000
TIMES_SHOWN, NAMES_SHOWN = 10, 20
WINDOW = 1000  # lines of the history that are asked for at a time
SECTIONS = ((CLASS, "classes"), (FUNCTION, "functions"), (TENANT, "tenants"))
CHANGE = re.compile(r"ops=(?P<keys>.*?)(, base=\d+)?(, operator=(?P<operator>.*))?")


@config_group.command()
@CONFIG
@click.argument("key", required=False)
@click.option(
    "--format",
    "form",
    type=click.Choice(["table", "json", "site"]),
    default="table",
    help="`site`: as a section of a configuration file.",
)
@click.pass_obj
def get(log: Any, config: Path, key: str | None, form: str) -> None:
    """What is agreed on: all of it, or of one KEY as function/NAME, or of one kind as function."""
    kind, name = (key or "").partition("/")[::2]
    asked = {"key": key} if key is not None and name else {"kind": kind}
    revision, found = with_keepers(config, log, lambda client: client.entries(**asked))
    if key is not None and not found:
        end(f"{key}: found nothing under it at revision {revision}; wanted a key that is agreed on", code=1)
    if form == "site":
        click.echo(json.dumps({"site": _site(found)}, indent=2))
    elif form == "json":
        told = {e.key: {"revision": e.revision, "value": json.loads(e.value)} for e in found}
        click.echo(json.dumps({"revision": revision, "entries": told}))
    else:
        rows = [[e.key, str(e.revision), e.value.decode()] for e in found]
        click.echo(
            columns([["key", "since revision", "settings"], *rows]) if rows else "nothing is agreed on"
        )


def _site(entries: Iterable[Entry]) -> dict[str, dict[str, Any]]:
    out: dict[str, dict[str, Any]] = {}
    for entry in entries:
        for kind, section in SECTIONS:
            if entry.key.startswith(kind):
                out.setdefault(section, {})[entry.key[len(kind) :]] = json.loads(entry.value)
    return out


@config_group.command()
@CONFIG
@click.argument("file", type=click.Path(path_type=Path))
@FORM
@click.pass_obj
def diff(log: Any, config: Path, file: Path, form: str) -> None:
    """What `config set KEEPERS FILE` would change. Exits 1 where there is anything."""
    wanted = wanted_by(file)
    revision, held = with_keepers(config, log, lambda client: agreed(client))
    found = changes_of(held, differences(held, wanted))
    if form == "json":
        told = [{"key": key, "agreed": was, "file": now} for key, was, now in found]
        click.echo(json.dumps({"revision": revision, "differences": told}))
    elif not found:
        click.echo(f"{file} says what revision {revision} does")
    else:
        for each in found:
            click.echo(in_words(*each))
    sys.exit(1 if found else 0)


@config_group.command()
@CONFIG
@click.option("--after", default=0, show_default=True, help="Only what follows this revision.")
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 10_000))
@FORM
@click.pass_obj
def history(log: Any, config: Path, after: int, most: int, form: str) -> None:
    """The last changes: revision, when by the asker's clock, by whom, which keys."""
    keeper, first, lines = with_keepers(config, log, lambda client: _changes(client, after, most))
    told = [_change(line) for line in lines]
    if form == "json":
        click.echo(json.dumps({"keeper": keeper, "first": first, "changes": told}))
        return
    if first > after + 1 and len(told) < most:
        click.echo(f"entries before {first} are not kept by {keeper} any more", err=True)
    heads = ("revision", "asked at", "operator", "agreed on", "keys")
    rows = [[str(c[head]) for head in heads] for c in told]
    click.echo(columns([list(heads), *rows]) if rows else "no changes")


def _changes(client: KeeperClient, after: int, most: int) -> tuple[str, int, list[Line]]:
    """The newest `most` change sets after an entry, oldest first; read from the end, window by window."""
    view, _ = client.state()
    found: list[Line] = []
    until, first = view.index, 1
    while until > after and len(found) < most:
        since = max(after, until - WINDOW)
        told = client.history(view.keeper, since, until - since)
        lines = [line for line in told.lines if line.index <= until]
        found = [line for line in lines if line.what == "setentries"] + found
        until, first = since, told.first
        if first > since + 1:
            break
    return view.keeper, first, found[-most:]


def _change(line: Line) -> dict[str, Any]:
    told = CHANGE.fullmatch(line.told)
    answer = line.answer
    if answer is None:
        entered = "?"  # too long ago for its answer to be remembered, or asked again
    elif answer.ok and answer.index == line.index:
        entered = "yes"
    elif answer.ok:
        entered = f"no: again as {answer.index}"
    else:
        entered = f"no: {answer.error}"
    return {
        "revision": line.index,
        "asked at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(line.at)) if line.at else "",
        "operator": (told["operator"] or "") if told else "",
        "keys": told["keys"] if told else line.told,
        "agreed on": entered,
    }


@config_group.command()
@CONFIG
@click.option(
    "--wait",
    "wanted",
    type=int,
    is_flag=False,
    flag_value=0,
    metavar="[REVISION]",
    help="Until all members act on it, or on the newest; exits 1 where they don't in time.",
)
@click.option("--members", "least", type=int, default=1, help="With --wait: of so many members at the least.")
@click.option("--within", default=30.0, show_default=True, help="Seconds to wait at the most.")
@FORM
@click.pass_obj
def status(log: Any, config: Path, wanted: int | None, least: int, within: float, form: str) -> None:
    """Which revision is agreed on, who acts on it, by name who lacks it and why; relays; the last changes."""
    told, names, wanted = with_loop(
        config, log, lambda loop, client: _status(loop, client, wanted, least, within)
    )
    if form == "json":
        click.echo(json.dumps(_as_dict(told, names)))
    else:
        for line in _in_lines(told, names):
            click.echo(line)
    if wanted is None or _in_force(told, wanted, least):
        return
    if wanted > told.revision:
        end(f"--wait: found {wanted}; wanted a revision up to {told.revision}, the newest", code=1)
    why = f"{told.lagging_count} of {told.member_count} members lack it"
    if told.member_count < least:
        many = f"{told.member_count} members follow" if told.member_count else "nobody follows"
        why = f"{many} the table, wanted {least}"
    end(f"revision {wanted} is not in force everywhere after {within:g} s: {why}", code=1)


def _in_force(told: PropagationStatus, revision: int, least: int) -> bool:
    """Where nobody is known to follow, nobody acts on it."""
    return told.member_count >= max(1, least) and told.min_applied_revision >= revision


def _status(
    loop: Loop, client: KeeperClient, wanted: int | None, least: int, within: float
) -> tuple[PropagationStatus, tuple[str, ...], int | None]:
    """The status, who followed the table just before, and the revision that was waited for: for 0 that which
    is newest now."""
    names, told = _asked(client)
    revision = told.revision if wanted == 0 else wanted
    until = time.monotonic() + within
    while revision is not None and not _in_force(told, revision, least):
        if revision > told.revision or time.monotonic() >= until:
            break
        loop.sleep(LOOK_EVERY)
        names, told = _asked(client)
    return told, names, revision


def _asked(client: KeeperClient) -> tuple[tuple[str, ...], PropagationStatus]:
    """Names before the status: one who comes in between is in neither, and is not told to act on anything."""
    names = tuple(sorted(client.state()[1].state.followers))
    return names, client.status()


def _acting(told: PropagationStatus, names: Sequence[str]) -> list[str] | None:
    """Who acts on the newest revision, by name; None where not all who don't are told by name."""
    if told.lagging_count > len(told.lagging):
        return None
    lacking = {m.member for m in told.lagging}
    return [name for name in names if name not in lacking]


def _as_dict(told: PropagationStatus, names: Sequence[str]) -> dict[str, Any]:
    return {
        "revision": told.revision,
        "digest": f"{told.digest:016x}",
        "floor": told.compacted_revision,
        "entries": told.entry_count,
        "members": told.member_count,
        "in_force": told.min_applied_revision,
        "acting": _acting(told, names),
        "lacks": told.lagging_count,
        "lacking": [
            {
                "member": m.member,
                "incarnation": m.incarnation,
                "in_force": m.applied_revision,
                "why": _why(m),
                "relay": m.relay,
                "heard_s": None if m.silent_for_us is None else m.silent_for_us / 1e6,
            }
            for m in told.lagging
        ],
        "relays": [
            {"relay": name, "revision": revision, "members": members, "heard_s": ago / 1e6}
            for name, revision, members, ago in told.relays
        ],
        "times": [
            {"revision": t.revision, "took_s": None if t.latency_us is None else t.latency_us / 1e6}
            for t in told.latencies
        ],
    }


def _why(member: MemberStatus) -> str:
    """Why it lacks the newest revision, as far as anyone has said."""
    if member.blocked_reason:
        return member.blocked_reason
    if member.silent_for_us is None:
        return "this leader has not heard of it"
    return "on its way, or its process does not answer"


def _in_lines(told: PropagationStatus, names: Sequence[str]) -> list[str]:
    lines = [
        f"revision {told.revision}, digest {told.digest:016x}: {told.entry_count} entries, "
        f"changes held after revision {told.compacted_revision}"
    ]
    if not told.member_count:
        lines.append("nobody follows the table")
    elif not told.lagging_count:
        lines.append(f"in force everywhere: all {told.member_count} members act on revision {told.revision}")
    else:
        lines.append(
            f"in force everywhere up to revision {told.min_applied_revision}; "
            f"{told.lagging_count} of {told.member_count} members lack revision {told.revision}"
        )
        rows = [
            [m.member, str(m.applied_revision), _why(m), m.relay or "-", _ago(m.silent_for_us)]
            for m in told.lagging
        ]
        lines.append(columns([["lacks it", "acts on", "why", "relay", "heard of"], *rows]))
        if told.lagging_count > len(told.lagging):
            lines.append(f"and {told.lagging_count - len(told.lagging)} more")
    acting = _acting(told, names)
    if acting:
        more = f" and {len(acting) - NAMES_SHOWN} more" if len(acting) > NAMES_SHOWN else ""
        lines.append(f"acting on revision {told.revision}: {', '.join(acting[:NAMES_SHOWN])}{more}")
    rows = [[name, str(rev), str(members), _ago(ago)] for name, rev, members, ago in told.relays]
    lines.append(columns([["relay", "holds", "members", "heard of"], *rows]) if rows else "no relay reports")
    last = told.latencies[-TIMES_SHOWN:] if told.member_count else ()  # with no member at all it says nothing
    if last:
        rows = [
            [str(t.revision), "not yet" if t.latency_us is None else f"{t.latency_us / 1e6:.3f} s"]
            for t in last
        ]
        lines.append(columns([["revision", "everywhere after"], *rows]))
    return lines


def _ago(us: int | None) -> str:
    return "never" if us is None else f"{us / 1e6:.1f} s ago"


def columns(rows: Sequence[Sequence[str]]) -> str:
    """Texts of any length side by side, the last as long as it is."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ("  ".join(t.ljust(w) for t, w in zip(row, widths, strict=True)).rstrip() for row in rows)
    return "\n".join(lines)
