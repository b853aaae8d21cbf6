"""Errors of configurations. All derive from ConfigError."""

from __future__ import annotations


class ConfigError(Exception):
    """Base class of this package's errors, and the error of a file. `lines`: each fault with its place."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


class InvalidEntryError(ConfigError, ValueError):
    """An entry of the configuration store that is no valid setting; `key` is that of the entry."""

    def __init__(self, key: str, lines: list[str]) -> None:
        super().__init__(lines)
        self.key = key
