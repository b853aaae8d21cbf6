"""Errors of the fleet's state machine."""

from __future__ import annotations


class FleetError(Exception):
    """Base of this package's errors."""


class InvalidCommandError(FleetError):
    """Bytes that are no command of this format. No replica applies them; all give the same result."""


class InvalidStateError(FleetError):
    """Bytes that are no snapshot of the state, or that were damaged since they were written."""
