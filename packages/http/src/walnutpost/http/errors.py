"""Errors of this package. Connections that break raise the system's OSErrors."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of all errors of this package."""


class HttpMessageError(HttpError):
    """A message that is no HTTP, or exceeds a limit."""

    def __init__(self, status: int, text: str) -> None:
        """`status` is what a server answers to it, `text` the reason."""
        super().__init__(text)
        self.status = int(status)
