"""What a front end is started with."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from walnutpost.config import Config, WorkerConfig
from walnutpost.eventloop import Logger, Loop, TrafficObserver


def read_wall_clock() -> int:
    """Return the time of day in microseconds since the epoch."""
    return time.time_ns() // 1000


class FrontEndObserver(TrafficObserver, Protocol):
    """A traffic observer that also records the endpoint lists that the front end was given."""

    def on_endpoints_listed(self, version: int, lines: list[WorkerConfig]) -> None:
        """Record a list."""


@dataclass(frozen=True, slots=True)
class Environment:
    """What a front end is started with."""

    loop: Loop
    config: Config
    log: Logger
    traffic_observer: FrontEndObserver | None
    base: Path
    wall_clock: Callable[[], int]

    def store_file(self, suffix: str) -> Path:
        """Return a file that stands beside the store, and whose name begins with the store's."""
        return self.base / f"{self.config.front.store}{suffix}"
