"""`walnutpost config`: the settings that a fleet agrees on, changed while it runs."""

from __future__ import annotations

import getpass
import json
import secrets
from collections.abc import Mapping, Sequence
from hashlib import sha256
from pathlib import Path
from typing import Any

import click
import json5
from pydantic import ValidationError

from walnutpost.cli.configs import CONFIG, config_of, end
from walnutpost.cli.fleet import Stop, with_keepers
from walnutpost.config.entries import FUNCTION, differences, entries_of, parts_of, value_of
from walnutpost.config.load import error_line
from walnutpost.config.model import FunctionLine
from walnutpost.configstore import ChangeSet, Mutation, encode, validate_mutations
from walnutpost.controlplane import KeeperClient
from walnutpost.fleet import ForgetMember

REST = click.argument("rest", nargs=-1, metavar="[FILE | FIELD=VALUE...]")


SHOWN_MOST = 50  # changes of one file


@click.group("config")
def config_group() -> None:
    """The settings that a fleet agrees on and takes up while it runs: change them, see who acts on them.

    KEEPERS is the file of the fleet's keepers.
    """


def agreed(client: KeeperClient, key: str = "") -> tuple[int, dict[str, bytes]]:
    """The newest revision and what stands at it, by key; that under `key` alone where one is given."""
    revision, entries = client.entries(key=key)
    return revision, {entry.key: entry.value for entry in entries}


def wanted_by(path: Path) -> dict[str, bytes]:
    """What a front end's configuration says of what is agreed on."""
    return entries_of(config_of(path).site)


def changes_of(held: Mapping[str, bytes], ops: Sequence[Mutation]) -> list[tuple[str, Any, Any]]:
    """Key, what is held and what it is to be, None where there is nothing."""
    return [(op.key, _told(held.get(op.key)), _told(op.value)) for op in ops]


def _told(value: bytes | None) -> Any:
    return None if value is None else json.loads(value)


def in_words(key: str, was: Any, now: Any) -> str:
    """One change in a line: what is new, gone, or has other fields."""
    if was is None:
        return f"+ {key}: {_compact(now)}"
    if now is None:
        return f"- {key}: {_compact(was)}"
    fields = (f for f in sorted({*was, *now}) if was.get(f) != now.get(f))
    return f"~ {key}: " + ", ".join(f"{f} {_field(was, f)} -> {_field(now, f)}" for f in fields)


def _compact(value: Any) -> str:
    return json.dumps(value, separators=(", ", ": "))


def _field(line: Mapping[str, Any], field: str) -> str:
    return _compact(line[field]) if field in line else "default"


def user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # no name stands for this process's user
        return ""


@config_group.command("set")
@CONFIG
@REST
@click.option("--function", "name", help="This function alone, by FIELD=VALUE; FIELD= for its default.")
@click.option("--delete", is_flag=True, help="With --function: it is not to be called any more.")
@click.option("--functions", "alone", is_flag=True, help="Of FILE, the functions alone.")
@click.option("--in-parts", is_flag=True, help="Let a FILE that is too much for one change set be several.")
@click.option("--dry", is_flag=True, help="Have it checked, and change nothing.")
@click.option("--operator", default=user, help="Who answers for it; by default the user.")
@click.option("--id", "id", help="The id of an earlier try that got no answer.")
@click.pass_obj
def set_settings(
    log: Any,
    config: Path,
    rest: tuple[str, ...],
    name: str | None,
    delete: bool,
    alone: bool,
    in_parts: bool,
    dry: bool,
    operator: str,
    id: str | None,
) -> None:
    """Change what is agreed on: to what FILE says, a front end's configuration, or one function's fields.

    All of it is in force at a member at once, or nothing. What members take up at a start only, as the
    figures of a class, is refused once it is agreed on.
    """
    if name is None and (len(rest) != 1 or delete):
        raise click.UsageError("one FILE is wanted, or --function NAME with FIELD=VALUE or --delete")
    if name is not None and (bool(rest) == delete or in_parts or alone):
        raise click.UsageError("--function NAME wants FIELD=VALUE or --delete, and nothing of a FILE")
    wanted = wanted_by(Path(rest[0])) if name is None else {}
    known = id or secrets.token_hex(8)
    click.echo(f"id {known}", err=True)

    def work(client: KeeperClient) -> None:
        if name is not None:
            revision, held = agreed(client, FUNCTION + name)
            ops: tuple[Mutation, ...] = (_one(held, name, rest, delete),)
            ops = tuple(op for op in ops if op.value is None or held.get(op.key) != op.value)
        else:
            revision, held = agreed(client)
            ops = differences(held, wanted)
            if alone:
                ops = tuple(op for op in ops if op.key.startswith(FUNCTION))
        if not ops:
            click.echo(f"nothing to change: revision {revision} has it so")
            return
        if not in_parts:
            _fits(ops, rest[0] if name is None else name)
        for line in changes_of(held, ops[:SHOWN_MOST]):
            click.echo(in_words(*line))
        if len(ops) > SHOWN_MOST:
            click.echo(f"and {len(ops) - SHOWN_MOST} more, as `config diff` shows them")
        _agree(client, known, revision, ops, dry, in_parts, operator)

    with_keepers(config, log, work)


def _fits(ops: tuple[Mutation, ...], source: str) -> None:
    wrong = validate_mutations(ops)
    parts = len(parts_of(ops)) if wrong else 1
    more = f"; --in-parts makes {parts} change sets of it, each in force by itself" if parts > 1 else ""
    if wrong:
        raise Stop(*(f"{source}: {line}{more}" for line in wrong), code=2)


def _agree(
    client: KeeperClient,
    id: str,
    seen: int,
    ops: tuple[Mutation, ...],
    dry: bool,
    in_parts: bool,
    operator: str,
) -> None:
    """`seen`: the revision that the changes were worked out on: what others have set since is not undone."""
    parts = parts_of(ops) if in_parts else [ops]
    if len(parts) > 1:
        click.echo(f"not one change set but {len(parts)}: each is in force by itself", err=True)
    for number, part in enumerate(parts, 1):
        which = f"part {number} of {len(parts)}: " if len(parts) > 1 else ""
        if dry and number > 1:  # it rests on the ones before, which have not entered
            click.echo(f"parts 2 to {len(parts)}: not checked, since they rest on the first", err=True)
            return
        answer, errors = client.set_entries(_own_id(id, part), part, dry, operator, seen)
        if not answer.ok:
            stand = f"; parts before it stand, up to part {number - 1}" if number > 1 else ""
            raise Stop(*(errors or [answer.error]), f"{which}not done, nothing of it has changed{stand}")
        click.echo(
            f"{which}right on revision {answer.index}; not agreed on, since --dry"
            if dry
            else f"{which}agreed on as revision {answer.index}"
        )


def _own_id(id: str, part: tuple[Mutation, ...]) -> str:
    """Other changes under an id that is given again, as what is left of a file in parts, are no repeat: they
    must not get the answer of the first."""
    return f"{id}-{sha256(encode(ChangeSet(0, part, 0))).hexdigest()[:12]}"


def _one(held: Mapping[str, bytes], name: str, fields: Sequence[str], delete: bool) -> Mutation:
    """The new line of one function, checked for itself."""
    key = FUNCTION + name
    if delete:
        if key not in held:
            raise Stop(f"{key}: (top): found nothing to delete; wanted a key that is agreed on")
        return Mutation(key, None)
    line: dict[str, Any] = json.loads(held[key]) if key in held else {}
    for told in fields:
        field, sign, text = told.partition("=")
        if not sign:
            raise Stop(f"{key}: found {told!r}; wanted FIELD=VALUE, as lanes=3", code=2)
        line.pop(field, None)
        if text:
            line[field] = _value(field, text)
    try:
        return Mutation(key, value_of(FunctionLine.model_validate(line)))
    except ValidationError as error:
        raise Stop(*(error_line(key, dict(e)) for e in error.errors()), code=2) from None


FIELDS = FunctionLine.model_json_schema()["properties"]
TEXTS = {field for field, told in FIELDS.items() if told.get("type") == "string"}


def _value(field: str, text: str) -> object:
    """As in a file, but that text needs no quotes."""
    if field in TEXTS:
        return text
    try:
        return json5.loads(text)
    except (ValueError, RecursionError):
        return text


@config_group.command()
@CONFIG
@click.argument("member")
@click.option("--id", "id", help="The id of an earlier try that got no answer.")
@click.pass_obj
def forget(log: Any, config: Path, member: str, id: str | None) -> None:
    """MEMBER is gone for good: nothing waits for it to act on a revision, nor any budget or plan for it."""
    known = id or secrets.token_hex(8)
    click.echo(f"id {known}", err=True)
    answer = with_keepers(config, log, lambda client: client.command(known, ForgetMember(member)))
    if not answer.ok:
        end(f"not done: {answer.error}", code=1)
    click.echo(f"agreed at {answer.index}")
