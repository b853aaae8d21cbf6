"""Tables of text."""

from __future__ import annotations

from collections.abc import Sequence


def columns(rows: Sequence[Sequence[str]]) -> str:
    """Return texts of any length side by side, the last as long as it is."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines: list[str] = []
    for row in rows:
        cells = [text.ljust(width) for text, width in zip(row, widths, strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
