"""Metering errors. All derive from MeteringError."""

from __future__ import annotations


class MeteringError(Exception):
    """Base class of all errors of this package."""


class InvalidUsageError(MeteringError):
    """Usage that a worker cannot have: the value that was `found`, and the one that was `wanted`."""

    def __init__(self, found: str, wanted: str) -> None:
        super().__init__(f"found {found}, wanted {wanted}")
        self.found = found
        self.wanted = wanted


class InvalidReportError(InvalidUsageError):
    """A report that is invalid as a whole."""


class InvalidSliceError(InvalidUsageError):
    """An invalid slice of a valid report."""
