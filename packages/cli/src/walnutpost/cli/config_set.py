"""`walnutpost config set` and `config forget`: changes of the settings that a fleet agrees on."""

from __future__ import annotations

import getpass
import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

import click
import json5
from pydantic import ValidationError

from walnutpost.cli.config_changes import changes_of
from walnutpost.cli.config_files import CONFIG_ARGUMENT, EXIT_INVALID
from walnutpost.cli.config_group import agreed_entries, config_group, wanted_entries
from walnutpost.cli.control_plane import ID_OPTION, announce_id, ask, give_command
from walnutpost.cli.errors import CommandFailedError
from walnutpost.config.entries import FUNCTION_PREFIX, diff_entries, encode_value, split_into_change_sets
from walnutpost.config.files import describe_errors
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import ChangeSet, Mutation, encode, validate_mutations
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.eventloop import Logger
from walnutpost.fleet import ForgetMember

MAX_SHOWN_CHANGES = 50  # of one file
DIGEST_DIGITS = 12  # of a change set's digest in its id
FUNCTION_FIELDS = FunctionConfig.model_json_schema()["properties"]
TEXT_FIELDS = {field for field, schema in FUNCTION_FIELDS.items() if schema.get("type") == "string"}


def current_user() -> str:
    """Return the name of the user who runs this process, "" if there is none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


@dataclass(frozen=True, slots=True)
class SetRequest:
    """What `config set` is to change: a file's settings, or one function by `fields` or its deletion."""

    command_id: str
    operator: str
    file: Path | None
    function: str | None
    fields: tuple[str, ...]
    deletes: bool
    functions_only: bool
    may_split: bool
    is_dry_run: bool

    @property
    def source(self) -> str:
        """Return what errors name: the file, or the function."""
        return str(self.file) if self.file is not None else str(self.function)


@config_group.command("set")
@CONFIG_ARGUMENT
@click.argument("rest", nargs=-1, metavar="[FILE | FIELD=VALUE...]")
@click.option("--function", help="This function alone, by FIELD=VALUE; FIELD= for its default.")
@click.option("--delete", is_flag=True, help="With --function: it is not to be called any more.")
@click.option("--functions", "functions_only", is_flag=True, help="Of FILE, the functions alone.")
@click.option(
    "--in-parts", "may_split", is_flag=True, help="Let a FILE that is too much for one change set be several."
)
@click.option("--dry", "is_dry_run", is_flag=True, help="Have it checked, and change nothing.")
@click.option("--operator", default=current_user, help="Who answers for it; by default the user.")
@ID_OPTION
@click.pass_obj
def set_settings(
    log: Logger,
    config: Path,
    rest: tuple[str, ...],
    function: str | None,
    delete: bool,
    functions_only: bool,
    may_split: bool,
    is_dry_run: bool,
    operator: str,
    command_id: str | None,
) -> None:
    """Change what is agreed on: to what FILE says, a front end's configuration, or one function's fields.

    All of it is in force at a member at once, or nothing. What members take up at a start only, as the
    figures of a class, is rejected once it is agreed on.
    """
    if function is None and (len(rest) != 1 or delete):
        raise click.UsageError("one FILE is wanted, or --function NAME with FIELD=VALUE or --delete")
    if function is not None and (bool(rest) == delete or may_split or functions_only):
        raise click.UsageError("--function NAME wants FIELD=VALUE or --delete, and nothing of a FILE")
    file = Path(rest[0]) if function is None else None
    wanted = wanted_entries(file) if file is not None else {}
    request = SetRequest(
        announce_id(command_id),
        operator,
        file,
        function,
        fields=() if function is None else rest,
        deletes=delete,
        functions_only=functions_only,
        may_split=may_split,
        is_dry_run=is_dry_run,
    )
    ask(config, log, lambda client: _set(client, request, wanted))


def _set(client: ControlPlaneClient, request: SetRequest, wanted: Mapping[str, bytes]) -> None:
    """Work out the change and apply it. Raises CommandFailedError."""
    if request.function is not None:
        revision, current = agreed_entries(client, FUNCTION_PREFIX + request.function)
        mutation = _function_mutation(current, request.function, request)
        is_change = mutation.value is None or current.get(mutation.key) != mutation.value
        mutations: tuple[Mutation, ...] = (mutation,) if is_change else ()
    else:
        revision, current = agreed_entries(client)
        mutations = diff_entries(current, wanted)
        if request.functions_only:
            mutations = tuple(each for each in mutations if each.key.startswith(FUNCTION_PREFIX))
    if not mutations:
        click.echo(f"nothing to change: revision {revision} has it so")
        return
    if not request.may_split:
        _check_size(mutations, request.source)
    _show_changes(current, mutations)
    _apply(client, request, revision, mutations)


def _show_changes(current: Mapping[str, bytes], mutations: Sequence[Mutation]) -> None:
    for change in changes_of(current, mutations[:MAX_SHOWN_CHANGES]):
        click.echo(str(change))
    if len(mutations) > MAX_SHOWN_CHANGES:
        click.echo(f"and {len(mutations) - MAX_SHOWN_CHANGES} more, as `config diff` shows them")


def _check_size(mutations: tuple[Mutation, ...], source: str) -> None:
    errors = validate_mutations(mutations)
    if not errors:
        return
    parts = len(split_into_change_sets(mutations))
    hint = f"; --in-parts makes {parts} change sets of it, each in force by itself" if parts > 1 else ""
    raise CommandFailedError(*(f"{source}: {error}{hint}" for error in errors), exit_code=EXIT_INVALID)


def _apply(
    client: ControlPlaneClient, request: SetRequest, base_revision: int, mutations: tuple[Mutation, ...]
) -> None:
    """Apply change sets in order; `base_revision` is that of the diff: later changes are not undone."""
    parts = split_into_change_sets(mutations) if request.may_split else [mutations]
    if len(parts) > 1:
        click.echo(f"not one change set but {len(parts)}: each is in force by itself", err=True)
    for number, part in enumerate(parts, 1):
        if request.is_dry_run and number > 1:  # it depends on the ones before, which were not applied
            click.echo(f"parts 2 to {len(parts)}: not checked, since they rest on the first", err=True)
            return
        prefix = f"part {number} of {len(parts)}: " if len(parts) > 1 else ""
        _apply_part(client, request, base_revision, part, number, prefix)


def _apply_part(
    client: ControlPlaneClient,
    request: SetRequest,
    base_revision: int,
    part: tuple[Mutation, ...],
    number: int,
    prefix: str,
) -> None:
    answer, errors = client.submit_change_set(
        _part_id(request.command_id, part), part, request.is_dry_run, request.operator, base_revision
    )
    if not answer.ok:
        applied = f"; parts before it stand, up to part {number - 1}" if number > 1 else ""
        raise CommandFailedError(
            *(errors or [answer.error]), f"{prefix}not done, nothing of it has changed{applied}"
        )
    if request.is_dry_run:
        click.echo(f"{prefix}right on revision {answer.index}; not agreed on, since --dry")
    else:
        click.echo(f"{prefix}agreed on as revision {answer.index}")


def _part_id(command_id: str, part: tuple[Mutation, ...]) -> str:
    """Return an id that differs with the change.

    Other changes under an id that is given again, as the rest of a file in parts, are no repeat: they must
    not get the result of the first.
    """
    return f"{command_id}-{sha256(encode(ChangeSet(0, part, 0))).hexdigest()[:DIGEST_DIGITS]}"


# One function


def _function_mutation(current: Mapping[str, bytes], name: str, request: SetRequest) -> Mutation:
    """Return the change of one function, checked by itself. Raises CommandFailedError."""
    key = FUNCTION_PREFIX + name
    if request.deletes:
        if key not in current:
            raise CommandFailedError(f"{key}: (top): found nothing to delete; wanted a key that is agreed on")
        return Mutation(key, None)
    function: dict[str, Any] = json.loads(current[key]) if key in current else {}
    for assignment in request.fields:
        _assign(key, function, assignment)
    try:
        return Mutation(key, encode_value(FunctionConfig.model_validate(function)))
    except ValidationError as error:
        raise CommandFailedError(*describe_errors(key, error), exit_code=EXIT_INVALID) from None


def _assign(key: str, function: dict[str, Any], assignment: str) -> None:
    """Set a field by FIELD=VALUE; no value leaves its default."""
    field, sign, text = assignment.partition("=")
    if not sign:
        raise CommandFailedError(
            f"{key}: found {assignment!r}; wanted FIELD=VALUE, as lanes=3", exit_code=EXIT_INVALID
        )
    function.pop(field, None)
    if text:
        function[field] = _decode_field(field, text)


def _decode_field(field: str, text: str) -> object:
    """Decode a value as in a file, but that text needs no quotes."""
    if field in TEXT_FIELDS:
        return text
    try:
        return json5.loads(text)
    except (ValueError, RecursionError):
        return text


@config_group.command()
@CONFIG_ARGUMENT
@click.argument("member")
@ID_OPTION
@click.pass_obj
def forget(log: Logger, config: Path, member: str, command_id: str | None) -> None:
    """Remove MEMBER, which is gone for good: no revision, budget or plan waits for it."""
    give_command(log, config, command_id, ForgetMember(member))
