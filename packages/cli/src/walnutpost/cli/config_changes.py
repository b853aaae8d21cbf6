"""Changes of settings as values and as lines of text."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from walnutpost.configstore import Mutation


@dataclass(frozen=True, slots=True)
class Change:
    """A key with its fields before and after; None where there is no entry."""

    key: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    def __str__(self) -> str:
        """Return a line: what is new, deleted, or has other fields."""
        if self.before is None:
            return f"+ {self.key}: {_compact(self.after)}"
        if self.after is None:
            return f"- {self.key}: {_compact(self.before)}"
        before, after = self.before, self.after
        fields = [field for field in sorted({*before, *after}) if before.get(field) != after.get(field)]
        return f"~ {self.key}: " + ", ".join(
            f"{field} {_field_text(before, field)} -> {_field_text(after, field)}" for field in fields
        )


def changes_of(current: Mapping[str, bytes], mutations: Sequence[Mutation]) -> list[Change]:
    """Return what mutations change."""
    return [
        Change(mutation.key, _decode(current.get(mutation.key)), _decode(mutation.value))
        for mutation in mutations
    ]


def _decode(value: bytes | None) -> dict[str, Any] | None:
    if value is None:
        return None
    fields: dict[str, Any] = json.loads(value)
    return fields


def _compact(value: Any) -> str:
    return json.dumps(value, separators=(", ", ": "))


def _field_text(fields: Mapping[str, Any], field: str) -> str:
    return _compact(fields[field]) if field in fields else "default"
