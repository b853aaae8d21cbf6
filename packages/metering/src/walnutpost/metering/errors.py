"""Errors of metering. All derive from MeteringError."""

from __future__ import annotations


class MeteringError(Exception):
    """Base class of all errors of this package."""


class InvalidUsageError(MeteringError):
    """Usage that a worker cannot have: what was `found`, and what was `wanted` instead."""

    def __init__(self, found: str, wanted: str) -> None:
        super().__init__(f"found {found}, wanted {wanted}")
        self.found = found
        self.wanted = wanted


class InvalidReportError(InvalidUsageError):
    """A report that is not believed at all."""


class InvalidSliceError(InvalidUsageError):
    """A slice of a valid report that is not believed."""
