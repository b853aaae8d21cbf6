"""The interface of a structured logger, as every package with I/O uses it."""

from __future__ import annotations

from typing import Protocol


class Logger(Protocol):
    """Structured logger: each entry is an event name in snake case and fields by name.

    A logger of structlog fits, and so does `walnutpost.node.log.Log`. A field `exc_info` with
    an exception adds its traceback. No method raises.
    """

    def info(self, event: str, **fields: object) -> object:
        """Log an expected event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that the process copes with."""

    def error(self, event: str, **fields: object) -> object:
        """Log an event that needs an operator."""
