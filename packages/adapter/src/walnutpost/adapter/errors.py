"""Exceptions of the adapter. All derive from AdapterError."""

from __future__ import annotations


class AdapterError(Exception):
    """Base class of all exceptions of this package."""


class ProtocolError(AdapterError):
    """The peer sent data that violates the protocol.

    `place` names the batch and the record in it, as far as they are known; `problem` describes the violation.
    """

    def __init__(self, problem: str, place: str = "") -> None:
        super().__init__(f"{place}: {problem}" if place else problem)
        self.problem = problem
        self.place = place


class SettingsError(AdapterError):
    """A setting is missing or invalid; `key` is its full name, or empty if no single key is at fault."""

    def __init__(self, text: str, key: str = "") -> None:
        super().__init__(text)
        self.key = key
