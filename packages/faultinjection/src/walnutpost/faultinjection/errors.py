"""The errors of this package."""

from __future__ import annotations

from pathlib import Path


class FaultInjectionError(Exception):
    """A scenario or an audit can't go on."""


class CaptureError(FaultInjectionError, ValueError):
    """Captures that can't be audited."""


class ClusterError(FaultInjectionError):
    """A cluster under test does not do what the scenario needs."""


class ProcessStartError(ClusterError):
    """A process did not start: `found` is what it did instead; `log` is its log."""

    def __init__(self, process: str, found: str, log: Path) -> None:
        super().__init__(f"{process} {found}; see {log}")
        self.process = process
        self.found = found
        self.log = log


class WaitError(ClusterError):
    """A wait that ended in vain: `wanted` is what it was for, `found` the reason; `logs` is their folder."""

    def __init__(self, wanted: str, found: str, logs: Path) -> None:
        super().__init__(f"waited in vain for {wanted}{': ' if found else ''}{found}; see {logs}")
        self.wanted = wanted
        self.found = found
        self.logs = logs


class ChangeRejectedError(ClusterError):
    """A change set that the control plane rejected: `found` is its answer."""

    def __init__(self, change_id: str, found: str) -> None:
        super().__init__(f"{change_id}: {found}")
        self.change_id = change_id
        self.found = found
