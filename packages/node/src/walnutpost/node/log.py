"""The node's logger, which writes lines to standard error."""

from __future__ import annotations

import sys


class Log:
    """Writes each event as one line: the event name, then its fields as `key=value`."""

    def info(self, event: str, **fields: object) -> None:
        """Log an expected event."""
        self.write(event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a problem that the node handles by itself."""
        self.write(event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a problem that an operator must fix."""
        self.write(event, fields)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line, in the same format for all levels."""
        text = " ".join(f"{key}={value!r}" for key, value in fields.items())
        print(f"{event} {text}", file=sys.stderr, flush=True)
