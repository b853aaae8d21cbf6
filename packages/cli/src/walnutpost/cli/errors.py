"""Errors of the command line. All derive from CliError."""

from __future__ import annotations


class CliError(Exception):
    """Base class of this package's errors."""


class CommandFailedError(CliError):
    """Ends a command from within its loop, which is closed first: what to print, and the exit code."""

    def __init__(self, *lines: str, exit_code: int = 1) -> None:
        super().__init__(*lines)
        self.lines = lines
        self.exit_code = exit_code
