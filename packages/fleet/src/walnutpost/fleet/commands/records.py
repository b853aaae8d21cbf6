"""Base of commands and of the values within them, and the result of a command."""

from __future__ import annotations

import msgspec


class ArrayRecord(msgspec.Struct, frozen=True, array_like=True):
    """An immutable value that is written as an array of its fields in order."""


class CommandResult(ArrayRecord, frozen=True):
    """Result of the command in log entry `index`.

    `ok`: it was accepted. `error`: why it was not. `permit`: the permit that it granted.
    """

    ok: bool
    index: int
    error: str = ""
    permit: str = ""
