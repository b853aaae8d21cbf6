"""Deferred calls of a fleet's front end, and its end as by a kill."""

from __future__ import annotations

import json
from typing import Any

from walnutpost.http import Response
from walnutpost.testsupport.daemon.fleet import Fleet, execution_path

EVENT = "Event"


def describe_execution(f: Fleet, deferred: Response) -> dict[str, Any]:
    description: dict[str, Any] = json.loads(f.ask("GET", execution_path(deferred)).body)
    return description


def kill_front_end(f: Fleet) -> None:
    """End the front end without waiting for open calls, as a killed process does."""
    f.front.shutdown_timeout_us = 0
    f.front.stop()
    f.front.close()
