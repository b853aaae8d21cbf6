"""Logger of one agent: several agents of a machine may write to the same log."""

from __future__ import annotations

from walnutpost.eventloop import Logger


class MemberLogger:
    """Logger that puts the field `member` first in each event."""

    def __init__(self, log: Logger, member: str) -> None:
        self._log = log
        self._member = member

    def info(self, event: str, **fields: object) -> object:
        """Log an expected event."""
        return self._log.info(event, member=self._member, **fields)

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that the agent copes with."""
        return self._log.warning(event, member=self._member, **fields)

    def error(self, event: str, **fields: object) -> object:
        """Log an event that needs an operator."""
        return self._log.error(event, member=self._member, **fields)
