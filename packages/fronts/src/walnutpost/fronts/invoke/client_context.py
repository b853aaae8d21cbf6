"""The header X-Amz-Client-Context: a base64-encoded JSON object. Only `custom.deadline-ms` is read.

It states how long the caller waits, in milliseconds from now.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
from typing import Any

from walnutpost.fronts.invoke.errors import invalid_parameter

MAX_CHARACTERS = 3583  # the published limit for ClientContext
MAX_DEADLINE_MS = 1e9  # exclusive
MAX_QUOTED_CHARACTERS = 40
MS_US = 1000


def parse_deadline_us(header: str | None) -> int | None:
    """Return the deadline set by the caller, or None if it sets none. Raises ApiError."""
    if not header:
        return None
    if len(header) > MAX_CHARACTERS:
        raise invalid_parameter(f"X-Amz-Client-Context: {len(header)} characters; {MAX_CHARACTERS} at most")
    deadline_ms = _decode_custom(header).get("deadline-ms")
    if deadline_ms is None:
        return None
    return _to_us(deadline_ms)


def _decode_custom(header: str) -> dict[str, Any]:
    try:
        context = json.loads(base64.b64decode(header, validate=True))
    except (binascii.Error, ValueError, RecursionError):
        raise invalid_parameter("X-Amz-Client-Context: base64 of a JSON object is wanted") from None
    custom = context.get("custom", {}) if isinstance(context, dict) else None
    if not isinstance(custom, dict):
        raise invalid_parameter(
            "X-Amz-Client-Context: an object is wanted, with an object in 'custom' if any"
        )
    return custom


def _to_us(deadline_ms: Any) -> int:
    try:
        milliseconds = float(deadline_ms)
    except (TypeError, ValueError):
        milliseconds = math.nan
    if not 0 < milliseconds < MAX_DEADLINE_MS:
        quoted = str(deadline_ms)[:MAX_QUOTED_CHARACTERS]
        raise invalid_parameter(
            f"X-Amz-Client-Context: custom.deadline-ms is {quoted!r}; milliseconds are wanted"
        )
    return int(milliseconds * MS_US)
