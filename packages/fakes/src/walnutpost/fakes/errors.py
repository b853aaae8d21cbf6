"""The errors of this package."""

from __future__ import annotations


class FakesError(Exception):
    """A fake can't do what it was asked for."""


class UnknownCommandError(FakesError, ValueError):
    """A command of a name that no fake worker knows. `found` is that name, `wanted` those that are known."""

    def __init__(self, found: str, wanted: tuple[str, ...]) -> None:
        super().__init__(f"no command {found!r}")
        self.found = found
        self.wanted = wanted
