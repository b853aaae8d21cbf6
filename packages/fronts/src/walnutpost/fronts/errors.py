"""Errors of the fronts. All derive from FrontError."""

from __future__ import annotations

from collections.abc import Iterable


class FrontError(Exception):
    """Base class of all errors of this package."""


class SitesUnreachableError(FrontError):
    """It is unknown whether an execution exists, because `sites`, which may hold it, did not answer."""

    def __init__(self, sites: Iterable[str]) -> None:
        self.sites = sorted(sites)
        super().__init__(f"no site that can be reached knows it; not asked: {', '.join(self.sites)}")
