"""The node's log: lines on standard error."""

from __future__ import annotations

import sys


class Log:
    """Writes each event as its name and its fields."""

    def info(self, event: str, **fields: object) -> None:
        """Log what is expected."""
        self.write(event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log what the node copes with."""
        self.write(event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Log what an operator must mend."""
        self.write(event, fields)

    def write(self, event: str, fields: dict[str, object]) -> None:
        """Write one line; the one place that all levels share."""
        text = " ".join(f"{key}={value!r}" for key, value in fields.items())
        print(f"{event} {text}", file=sys.stderr, flush=True)
