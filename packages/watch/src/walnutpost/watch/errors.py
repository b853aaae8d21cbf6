"""Errors of watches. All derive from WatchError."""

from __future__ import annotations


class WatchError(Exception):
    """Base class of all errors of this package."""


class UnusableServerError(WatchError):
    """A server answered, and another one should be asked instead."""
