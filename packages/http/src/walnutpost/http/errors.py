"""Errors of this package. Failures of a connection are raised as the system's OSErrors."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of all errors of this package."""


class HttpMessageError(HttpError):
    """A message is not valid HTTP, or exceeds a limit."""

    def __init__(self, status: int, text: str) -> None:
        """`status` is the status with which a server responds, `text` the reason."""
        super().__init__(text)
        self.status = int(status)
