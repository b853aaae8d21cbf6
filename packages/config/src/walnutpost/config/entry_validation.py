"""Validates changes to the settings that a fleet agrees on.

Members apply a function's entry as it changes, and all others as they were at their start. So nothing but
functions may change once it is agreed on: what counts as applied must be.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence

from walnutpost.config.entries import (
    CLASS_PREFIX,
    FUNCTION_PREFIX,
    MODEL_BY_PREFIX,
    TENANT_PREFIX,
    decode_value,
    encode_value,
    prefix_of,
    unknown_class_error,
)
from walnutpost.config.errors import InvalidEntryError
from walnutpost.config.files import shorten
from walnutpost.config.site import MAX_CLASSES, RESERVED_TENANT, FunctionConfig
from walnutpost.configstore import Mutation

APPLIED_AT_START = "taken up at a start only"


def validate_changes(current: Mapping[str, bytes], mutations: Sequence[Mutation]) -> list[str]:
    """Return what is wrong with mutations of `current`, a line for each fault: key, field, found, wanted.

    Reads the entries that change and the classes that these name; all functions only if a class is deleted,
    all keys only if one is added.
    """
    return _ChangeValidation(current, mutations).errors()


class _ChangeValidation:
    """Validates one change set."""

    def __init__(self, current: Mapping[str, bytes], mutations: Sequence[Mutation]) -> None:
        self._current = current
        self._changes = {mutation.key: mutation.value for mutation in mutations}

    def errors(self) -> list[str]:
        """Return a line for each fault."""
        errors: list[str] = []
        for key, value in self._changes.items():
            errors += self._change_errors(key, value)
        return errors + self._class_count_errors()

    def _change_errors(self, key: str, value: bytes | None) -> list[str]:
        prefix = prefix_of(key)
        if prefix not in MODEL_BY_PREFIX:
            keys = ", ".join(f"{each}NAME" for each in MODEL_BY_PREFIX)
            return [f"{key}: (key): found {prefix or key!r}; wanted one of {keys}"]
        if value is None:
            return self._deletion_errors(key, prefix)
        return self._value_errors(key, value)

    def _deletion_errors(self, key: str, prefix: str) -> list[str]:
        if key not in self._current:
            return [f"{key}: (top): found nothing to delete; wanted a key that is agreed on"]
        if prefix == TENANT_PREFIX:
            return [f"{key}: (top): found a deletion; wanted it as agreed: {APPLIED_AT_START}"]
        if prefix == CLASS_PREFIX:
            return self._class_deletion_errors(key)
        return []

    def _class_deletion_errors(self, key: str) -> list[str]:
        """Return the error of a deletion while functions name the class, which members would still apply."""
        # Values are canonical, so the name of the class is in them as it is here.
        reference = f'"class":{json.dumps(key[len(CLASS_PREFIX) :])}'.encode()
        users = [
            other
            for other, value in self._current.items()
            if other not in self._changes and other.startswith(FUNCTION_PREFIX) and reference in value
        ]
        users += [
            other
            for other, value in self._changes.items()
            if value is not None and other.startswith(FUNCTION_PREFIX) and reference in value
        ]
        if not users:
            return []
        more = f" and {len(users) - 1} more" if len(users) > 1 else ""
        return [f"{key}: (top): found a deletion; wanted no function to name it, as {min(users)} does{more}"]

    def _value_errors(self, key: str, value: bytes) -> list[str]:
        try:
            item = decode_value(key, value)
        except InvalidEntryError as error:
            return error.lines
        canonical = encode_value(item)
        if canonical != value:  # else two stores with the same settings would differ by digest
            found, wanted = _shown(value), _shown(canonical)
            return [f"{key}: (top): found {found}; wanted its canonical form {wanted}"]
        if key == TENANT_PREFIX + RESERVED_TENANT:
            return [f"{key}: (key): found '-'; wanted another name: it stands for nobody"]
        agreed = self._current.get(key)
        if agreed is not None and agreed != value and not key.startswith(FUNCTION_PREFIX):
            return [_changed_error(key, agreed, value)]
        if isinstance(item, FunctionConfig) and not self._has_class(item.class_):
            return [unknown_class_error(key, item, self._current_classes())]
        return []

    def _has_class(self, name: str) -> bool:
        """Whether there is a class of this name after the change."""
        key = CLASS_PREFIX + name
        value = self._changes[key] if key in self._changes else self._current.get(key)
        return value is not None

    def _current_classes(self) -> list[str]:
        return [key[len(CLASS_PREFIX) :] for key in self._current if key.startswith(CLASS_PREFIX)]

    def _class_count_errors(self) -> list[str]:
        written = [
            key for key, value in self._changes.items() if key.startswith(CLASS_PREFIX) and value is not None
        ]
        added = [key for key in written if key not in self._current]
        if not added:
            return []
        unchanged = sum(key.startswith(CLASS_PREFIX) and key not in self._changes for key in self._current)
        count = unchanged + len(written)
        if count <= MAX_CLASSES:
            return []
        return [f"{added[0]}: (top): found {count} classes with it; wanted {MAX_CLASSES} at most"]


def _changed_error(key: str, agreed: bytes, value: bytes) -> str:
    old = json.loads(agreed)
    new = json.loads(value)
    fields = [field for field in sorted({*old, *new}) if old.get(field) != new.get(field)]
    found = ", ".join(_field_value(new, field) for field in fields)
    wanted = ", ".join(_field_value(old, field) for field in fields)
    hint = "; a class of another name may be added" if key.startswith(CLASS_PREFIX) else ""
    return f"{key}: {', '.join(fields)}: found {found}; wanted {wanted}, as agreed: {APPLIED_AT_START}{hint}"


def _field_value(item: Mapping[str, object], field: str) -> str:
    return json.dumps(item[field]) if field in item else "its default"


def _shown(value: bytes) -> str:
    return shorten(value.decode("utf-8", "replace"))
