"""Validation of functions in the configuration store: finds entries that the front end can't apply."""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import Entry
from walnutpost.daemon.dynamic_functions import DynamicFunctions
from walnutpost.eventloop import Loop

VALIDATION_BATCH = 50  # entries validated, in about 1 ms, before other tasks run
MAX_REASON_CHARS = 300  # length of the reason that each watch request carries while a revision is blocked


class ConfigValidator:
    """Validates either all function entries or those that have changed since the last validation."""

    def __init__(self, loop: Loop, functions: DynamicFunctions) -> None:
        self._loop = loop
        self._functions = functions
        self.entries = functions.entries  # the last validated entries; the other attributes describe these
        self.function_count = 0
        self._errors_by_key: dict[str, str] = {}
        self._changed_keys: set[str] = set()  # since `entries`
        self._must_validate_all = False

    @property
    def must_validate_all(self) -> bool:
        """Whether the store was replaced, so that `validate_all` must run before `validate_changed`."""
        return self._must_validate_all

    @property
    def blocked_reason(self) -> str:
        """Why the validated entries can't be applied; empty if they can."""
        if not self._errors_by_key:
            return ""
        reason = next(iter(self._errors_by_key.values()))[:MAX_REASON_CHARS]
        if len(self._errors_by_key) > 1:
            reason += f"; and {len(self._errors_by_key) - 1} more"
        return reason

    def mark_replaced(self) -> None:
        """Record that the store was replaced. A running `validate_all` starts again."""
        self._must_validate_all = True

    def mark_changed(self, keys: Iterable[str]) -> None:
        """Record keys whose entries have changed."""
        self._changed_keys.update(keys)

    def validate_all(self, entries: Map[str, Entry]) -> None:
        """Validate all functions, and let other tasks run after each batch.

        Stop early if the store is replaced meanwhile; the caller must then call it again.
        """
        self._must_validate_all = False
        count = 0
        errors: dict[str, str] = {}
        applied_entries = self._functions.entries
        for key, entry in entries.items():
            if not key.startswith(FUNCTION_PREFIX):
                continue
            count += 1
            if count % VALIDATION_BATCH == 0:
                self._loop.yield_now()
                if self._must_validate_all:
                    break
            applied_entry = applied_entries.get(key)
            if applied_entry is not None and applied_entry.value == entry.value:
                continue
            error = self.validation_error(entry)
            if error:
                errors[key] = error
        self.function_count = count
        self._errors_by_key = errors
        self.entries = entries

    def validate_changed(self, entries: Map[str, Entry]) -> None:
        """Validate the functions that have changed, without letting other tasks run."""
        for key in self._changed_keys:
            if key.startswith(FUNCTION_PREFIX):
                self._validate_key(key, entries.get(key))
        self._changed_keys.clear()
        self.entries = entries

    def _validate_key(self, key: str, entry: Entry | None) -> None:
        self.function_count += (entry is not None) - (key in self.entries)
        error = self.validation_error(entry) if entry is not None else ""
        if error:
            self._errors_by_key[key] = error
        else:
            self._errors_by_key.pop(key, None)

    def validation_error(self, entry: Entry) -> str:
        """Return why the front end can't apply a function's entry; empty if it can."""
        try:
            self._functions.decode(entry.key[len(FUNCTION_PREFIX) :], entry)
        except ValueError as error:
            return str(error)
        return ""
