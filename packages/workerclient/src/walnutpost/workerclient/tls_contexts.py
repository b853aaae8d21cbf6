"""TLS contexts of the standard library, from certificate files that are verified first."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from pathlib import Path

from walnutpost.certificates import (
    CertificateSet,
    InvalidCertificateError,
    count_valid_roots,
    verify_certificate_set,
)

ALPN_PROTOCOLS = ["http/1.1"]
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
"""TLS versions by their names in the configuration."""


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """PEM files of a certificate with its chain, and of its private key."""

    chain: Path
    key: Path


@dataclass(frozen=True, slots=True)
class ClientTls:
    """A client's context, and the certificate that it shows, if any."""

    context: ssl.SSLContext
    own: CertificateSet | None


def read_file(path: Path) -> bytes:
    """Read a certificate file. Raise InvalidCertificateError."""
    try:
        return path.read_bytes()
    except OSError as error:
        found = f"nothing that can be read ({error.strerror})"
        raise InvalidCertificateError(str(path), found, "a file") from None


def make_client_context(
    roots: Path, own: CertificateFiles | None, min_version: str, now_us: int
) -> ClientTls:
    """Make a context for connections to workers, whose chains and names it verifies.

    `min_version` is a key of VERSIONS. Raises InvalidCertificateError.
    """
    trusted_pem = read_file(roots)
    count_valid_roots(trusted_pem, now_us)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = VERSIONS[min_version]
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    _trust(context, trusted_pem)
    if own is None:
        return ClientTls(context, None)
    return ClientTls(context, _load_own(context, own, trusted_pem, now_us))


def make_server_context(
    roots: Path, own: CertificateFiles, requires_client_certificate: bool, now_us: int
) -> ssl.SSLContext:
    """Make a context for a worker. Raise InvalidCertificateError."""
    trusted_pem = read_file(roots)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    _load_own(context, own, trusted_pem, now_us)
    if requires_client_certificate:
        _trust(context, trusted_pem)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _trust(context: ssl.SSLContext, trusted_pem: bytes) -> None:
    context.load_verify_locations(cadata=trusted_pem.decode("ascii", "replace"))


def _load_own(
    context: ssl.SSLContext, own: CertificateFiles, trusted_pem: bytes, now_us: int
) -> CertificateSet:
    chain_pem = read_file(own.chain)
    key_pem = read_file(own.key)
    verified = verify_certificate_set(chain_pem, key_pem, trusted_pem, now_us, str(own.chain))
    try:
        context.load_cert_chain(own.chain, own.key)
    except (OSError, ssl.SSLError) as error:
        found = f"a pair that can't be used ({error})"
        raise InvalidCertificateError(str(own.chain), found, "a whole one") from None
    return verified
