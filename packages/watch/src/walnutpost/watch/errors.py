"""Errors of watches. All derive from WatchError."""

from __future__ import annotations


class WatchError(Exception):
    """Base class of all errors of this package."""


class UnusableServerError(WatchError):
    """A server answered in a way that makes the watcher fail over to another one."""
