"""Errors of the fronts. All derive from FrontError."""

from __future__ import annotations

from collections.abc import Iterable


class FrontError(Exception):
    """Base class of all errors of this package."""


class SitesUnreachableError(FrontError):
    """Whether an execution exists cannot be known now: `sites`, which may know it, did not answer."""

    def __init__(self, sites: Iterable[str]) -> None:
        self.sites = sorted(sites)
        super().__init__(f"no site that can be reached knows it; not asked: {', '.join(self.sites)}")
