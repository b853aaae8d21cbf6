"""Errors of the worker client. All derive from WorkerClientError."""

from __future__ import annotations

from walnutpost.interface import Outcome


class WorkerClientError(Exception):
    """Base class of all errors of this package."""


class WorkerUnavailableError(WorkerClientError, ConnectionError):
    """A query got no response; `outcome` tells why. Also a ConnectionError, like most of its causes."""

    def __init__(self, worker: str, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.worker = worker
        self.outcome = outcome


class InvalidUsageReportError(WorkerClientError, ValueError):
    """A worker's usage report is invalid. Also a ValueError."""

    def __init__(self, found: str, wanted: str, text: str) -> None:
        """Store what was found and what was wanted; `text` is the error message."""
        super().__init__(text)
        self.found = found
        self.wanted = wanted
