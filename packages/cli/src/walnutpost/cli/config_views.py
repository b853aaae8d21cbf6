"""`walnutpost config get`, `diff` and `history`: the agreed settings, and who changed them."""

from __future__ import annotations

import json
import re
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from walnutpost.cli.config_changes import Change, changes_of
from walnutpost.cli.config_files import CONFIG_ARGUMENT, exit_with
from walnutpost.cli.config_group import agreed_entries, config_group, wanted_entries
from walnutpost.cli.control_plane import FORMAT_OPTION, ask
from walnutpost.cli.text import columns
from walnutpost.config.entries import CLASS_PREFIX, FUNCTION_PREFIX, TENANT_PREFIX, diff_entries
from walnutpost.configstore import Entry
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.controlplane.wire import HistoryEntry
from walnutpost.eventloop import Logger

HISTORY_WINDOW = 1000  # lines of the history that are asked for at a time
SECTION_BY_PREFIX = {CLASS_PREFIX: "classes", FUNCTION_PREFIX: "functions", TENANT_PREFIX: "tenants"}
CHANGE_SET_COMMAND = "setentries"
CHANGE_SET_TEXT = re.compile(r"ops=(?P<keys>.*?)(, base=\d+)?(, operator=(?P<operator>.*))?")


@config_group.command()
@CONFIG_ARGUMENT
@click.argument("key", required=False)
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["table", "json", "site"]),
    default="table",
    help="`site`: as a section of a configuration file.",
)
@click.pass_obj
def get(log: Logger, config: Path, key: str | None, output_format: str) -> None:
    """Show what is agreed on: all of it, or of one KEY as function/NAME, or of one kind as function."""
    kind, _, name = (key or "").partition("/")
    query = {"key": key} if key is not None and name else {"kind": kind}
    revision, entries = ask(config, log, lambda client: client.entries(**query))
    if key is not None and not entries:
        exit_with(
            f"{key}: found nothing under it at revision {revision}; wanted a key that is agreed on", code=1
        )
    if output_format == "site":
        click.echo(json.dumps({"site": _as_site(entries)}, indent=2))
    elif output_format == "json":
        shown = {each.key: {"revision": each.revision, "value": json.loads(each.value)} for each in entries}
        click.echo(json.dumps({"revision": revision, "entries": shown}))
    elif entries:
        rows = [[each.key, str(each.revision), each.value.decode()] for each in entries]
        click.echo(columns([["key", "since revision", "settings"], *rows]))
    else:
        click.echo("nothing is agreed on")


def _as_site(entries: Iterable[Entry]) -> dict[str, dict[str, Any]]:
    site: dict[str, dict[str, Any]] = {}
    for entry in entries:
        for prefix, section in SECTION_BY_PREFIX.items():
            if entry.key.startswith(prefix):
                site.setdefault(section, {})[entry.key[len(prefix) :]] = json.loads(entry.value)
    return site


@config_group.command()
@CONFIG_ARGUMENT
@click.argument("file", type=click.Path(path_type=Path))
@FORMAT_OPTION
@click.pass_obj
def diff(log: Logger, config: Path, file: Path, output_format: str) -> None:
    """Show what `config set KEEPERS FILE` would change. Exits 1 where there is anything."""
    wanted = wanted_entries(file)
    revision, current = ask(config, log, agreed_entries)
    changes = changes_of(current, diff_entries(current, wanted))
    if output_format == "json":
        click.echo(json.dumps({"revision": revision, "differences": [_as_json(each) for each in changes]}))
    elif not changes:
        click.echo(f"{file} says what revision {revision} does")
    else:
        for change in changes:
            click.echo(str(change))
    sys.exit(1 if changes else 0)


def _as_json(change: Change) -> dict[str, Any]:
    return {"key": change.key, "agreed": change.before, "file": change.after}


# History


@dataclass(frozen=True, slots=True)
class _History:
    """Change sets, oldest first, and the first entry that the replica which answered still has."""

    replica: str
    first_index: int
    entries: list[HistoryEntry]


@config_group.command()
@CONFIG_ARGUMENT
@click.option("--after", default=0, show_default=True, help="Only what follows this revision.")
@click.option("--most", "max_changes", default=20, show_default=True, type=click.IntRange(1, 10_000))
@FORMAT_OPTION
@click.pass_obj
def history(log: Logger, config: Path, after: int, max_changes: int, output_format: str) -> None:
    """Show the last changes: revision, when by the asker's clock, by whom, which keys."""
    found = ask(config, log, lambda client: _read_history(client, after, max_changes))
    changes = [_describe_change(entry) for entry in found.entries]
    if output_format == "json":
        shown = {"keeper": found.replica, "first": found.first_index, "changes": changes}
        click.echo(json.dumps(shown))
        return
    if found.first_index > after + 1 and len(changes) < max_changes:
        click.echo(f"entries before {found.first_index} are not kept by {found.replica} any more", err=True)
    heads = ["revision", "asked at", "operator", "agreed on", "keys"]
    rows = [[str(change[head]) for head in heads] for change in changes]
    click.echo(columns([heads, *rows]) if rows else "no changes")


def _read_history(client: ControlPlaneClient, after: int, max_changes: int) -> _History:
    """Read the newest change sets after an entry, from the end, window by window."""
    view, _ = client.state()
    changes: list[HistoryEntry] = []
    until, first_index = view.index, 1
    while until > after and len(changes) < max_changes:
        since = max(after, until - HISTORY_WINDOW)
        window = client.history(view.replica, since, until - since)
        entries = [entry for entry in window.entries if entry.index <= until]
        changes = [entry for entry in entries if entry.command == CHANGE_SET_COMMAND] + changes
        until, first_index = since, window.first_index
        if first_index > since + 1:
            break
    return _History(view.replica, first_index, changes[-max_changes:])


def _describe_change(entry: HistoryEntry) -> dict[str, Any]:
    text = CHANGE_SET_TEXT.fullmatch(entry.description)
    return {
        "revision": entry.index,
        "asked at": _format_time(entry.sent_at_s),
        "operator": (text["operator"] or "") if text else "",
        "keys": text["keys"] if text else entry.description,
        "agreed on": _describe_result(entry),
    }


def _format_time(sent_at_s: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(sent_at_s)) if sent_at_s else ""


def _describe_result(entry: HistoryEntry) -> str:
    result = entry.result
    if result is None:
        return "?"  # too long ago for its result to be remembered, or a repeat
    if result.ok and result.index == entry.index:
        return "yes"
    if result.ok:
        return f"no: again as {result.index}"
    return f"no: {result.error}"
