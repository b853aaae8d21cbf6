"""Errors of the adapter. All derive from AdapterError."""

from __future__ import annotations


class AdapterError(Exception):
    """Base class of all errors of this package."""


class ProtocolError(AdapterError):
    """The other side sent something that the protocol does not allow.

    `place` is the batch, and the record in it, where known; `problem` is what was found.
    """

    def __init__(self, problem: str, place: str = "") -> None:
        super().__init__(f"{place}: {problem}" if place else problem)
        self.problem = problem
        self.place = place


class SettingsError(AdapterError):
    """An instance's settings lack or misstate something that is needed; `key` is its full name, if any."""

    def __init__(self, text: str, key: str = "") -> None:
        super().__init__(text)
        self.key = key
