"""The environment of a front end: its configuration, event loop, log, clock and base directory."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from walnutpost.config import Config, WorkerConfig
from walnutpost.eventloop import Logger, Loop, TrafficObserver


def read_wall_clock() -> int:
    """Return the wall clock time in microseconds since the Unix epoch."""
    return time.time_ns() // 1000


class FrontEndObserver(TrafficObserver, Protocol):
    """A traffic observer that also records the endpoint lists that the front end uses."""

    def on_endpoints_listed(self, version: int, lines: list[WorkerConfig]) -> None:
        """Record an endpoint list."""


@dataclass(frozen=True, slots=True)
class Environment:
    """What the parts of a front end are built from; paths in the configuration are relative to `base`."""

    loop: Loop
    config: Config
    log: Logger
    traffic_observer: FrontEndObserver | None
    base: Path
    wall_clock: Callable[[], int]

    def store_file(self, suffix: str) -> Path:
        """Return the path of a file beside the store: the store's path with a suffix."""
        return self.base / f"{self.config.front.store}{suffix}"
