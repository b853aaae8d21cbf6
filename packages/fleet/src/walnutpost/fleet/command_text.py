"""Commands as text for the history. The words are sent on the wire and in JSON that programs read.

They come from the stored tags and from the table here, so that names in the code may change.
"""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.configstore.messages import Mutation
from walnutpost.fleet.commands import (
    ApplyChangeSet,
    Command,
    CompletePermit,
    ConfirmPermit,
    HaltPlan,
    RecordManualChange,
    RecordStepVerdict,
    RegisterMember,
    RequestPermit,
    StartPlan,
)

MAX_VALUE_CHARACTERS = 60  # of a tuple that is shown in full
MAX_SHOWN_KEYS = 5  # of a change set

# The published names of fields that differ from the attributes' names.
PUBLISHED_NAMES: Mapping[type, Mapping[str, str]] = {
    RegisterMember: {"follows_endpoints": "follows"},
    RequestPermit: {"reason": "why"},
    ConfirmPermit: {"acknowledgements": "acted"},
    CompletePermit: {"failure": "failed"},
    StartPlan: {
        "rollback_version": "back",
        "keeps_members_out": "stay",
        "requires_verdict": "judged",
    },
    RecordStepVerdict: {"passed": "good", "reason": "why", "baseline": "before"},
    HaltPlan: {"reason": "why"},
    RecordManualChange: {"reason": "why", "recorded_at_s": "at"},
    ApplyChangeSet: {"mutations": "ops", "base_revision": "base"},
}


def command_name(command: Command) -> str:
    """Return the published name of a command's type: its tag in lower case."""
    tag = command.__struct_config__.tag
    assert isinstance(tag, str)
    return tag.lower()


def describe_command(command: Command) -> str:
    """Return the fields that are set as `name=value`; large values by size, change sets by their keys."""
    published = PUBLISHED_NAMES.get(type(command), {})
    parts = []
    for name in command.__struct_fields__:
        value = _short(getattr(command, name))
        if value not in ("", (), 0.0, None):
            parts.append(f"{published.get(name, name)}={value}")
    return ", ".join(parts)


def _short(value: object) -> object:
    """Return a value that is short enough for a line."""
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    if not isinstance(value, tuple):
        return value
    if value and isinstance(value[0], Mutation):
        return _changed_keys(value)
    return f"{len(value)} of them" if len(str(value)) > MAX_VALUE_CHARACTERS else value


def _changed_keys(mutations: tuple[Mutation, ...]) -> str:
    """Return the first keys of a change set, and how many more there are."""
    shown = mutations[:MAX_SHOWN_KEYS]
    keys = [op.key if op.value is not None else f"{op.key} (deleted)" for op in shown]
    if len(mutations) > len(shown):
        keys.append(f"and {len(mutations) - len(shown)} more")
    return " ".join(keys)
