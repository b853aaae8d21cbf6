"""Errors of certificates. All derive from CertificateError."""

from __future__ import annotations


class CertificateError(Exception):
    """Base class of all errors of this package."""


class InvalidCertificateError(CertificateError):
    """A certificate, key or root can't be used. The text never contains a key."""

    def __init__(self, place: str, found: str, wanted: str) -> None:
        super().__init__(f"{place}: found {found}, wanted {wanted}")
        self.place = place
        self.found = found
        self.wanted = wanted
