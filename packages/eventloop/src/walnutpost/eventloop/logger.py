"""The interface of a structured logger, shared by all packages that do I/O."""

from __future__ import annotations

from typing import Protocol


class Logger(Protocol):
    """A structured logger: an entry has an event name in snake case and named fields.

    A structlog logger and `walnutpost.node.log.Log` both implement it. The field `exc_info` takes an
    exception and adds its traceback. No method raises.
    """

    def info(self, event: str, **fields: object) -> object:
        """Log an expected event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log a problem that the process handles itself."""

    def error(self, event: str, **fields: object) -> object:
        """Log a problem that needs an operator's attention."""
