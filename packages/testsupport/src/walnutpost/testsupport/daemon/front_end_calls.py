"""Helpers that describe deferred calls of a fleet's front end and that kill the front end."""

from __future__ import annotations

import json
from typing import Any

from walnutpost.http import Response
from walnutpost.testsupport.daemon.fleet import Fleet, execution_path

EVENT = "Event"


def describe_execution(fleet: Fleet, deferred: Response) -> dict[str, Any]:
    """Return the description of the execution that a deferred call started."""
    description: dict[str, Any] = json.loads(fleet.ask("GET", execution_path(deferred)).body)
    return description


def kill_front_end(fleet: Fleet) -> None:
    """Stop the front end without waiting for open calls, as if its process had been killed."""
    fleet.front.shutdown_timeout_us = 0
    fleet.front.stop()
    fleet.front.close()
