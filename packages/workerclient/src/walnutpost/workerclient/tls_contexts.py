"""Creation of `ssl.SSLContext` objects from certificate files, which are verified first."""

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
TLS_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
"""Minimum TLS versions by their names in the configuration."""


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """Paths of the PEM files of a certificate chain and its private key."""

    chain: Path
    key: Path


@dataclass(frozen=True, slots=True)
class ClientTlsContext:
    """A client's TLS context, and the client certificate that it presents, if any."""

    context: ssl.SSLContext
    client_certificate: CertificateSet | None


def read_certificate_file(path: Path) -> bytes:
    """Return the content of a certificate file. Raise InvalidCertificateError if it can't be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        found = f"an unreadable file ({error.strerror})"
        raise InvalidCertificateError(str(path), found, "a readable file") from None


def make_client_context(
    roots_path: Path, certificate_files: CertificateFiles | None, min_version: str, now_us: int
) -> ClientTlsContext:
    """Return a context for connections to workers that verifies their certificate chains and names.

    `min_version` is a key of TLS_VERSIONS. Raises InvalidCertificateError.
    """
    roots_pem = read_certificate_file(roots_path)
    count_valid_roots(roots_pem, now_us)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = TLS_VERSIONS[min_version]
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    _load_roots(context, roots_pem)
    if certificate_files is None:
        return ClientTlsContext(context, None)
    return ClientTlsContext(context, _load_certificate(context, certificate_files, roots_pem, now_us))


def make_server_context(
    roots_path: Path, certificate_files: CertificateFiles, requires_client_certificate: bool, now_us: int
) -> ssl.SSLContext:
    """Return a context for a worker's server. Raise InvalidCertificateError."""
    roots_pem = read_certificate_file(roots_path)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(ALPN_PROTOCOLS)
    _load_certificate(context, certificate_files, roots_pem, now_us)
    if requires_client_certificate:
        _load_roots(context, roots_pem)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _load_roots(context: ssl.SSLContext, roots_pem: bytes) -> None:
    context.load_verify_locations(cadata=roots_pem.decode("ascii", "replace"))


def _load_certificate(
    context: ssl.SSLContext, certificate_files: CertificateFiles, roots_pem: bytes, now_us: int
) -> CertificateSet:
    chain_pem = read_certificate_file(certificate_files.chain)
    key_pem = read_certificate_file(certificate_files.key)
    certificate_set = verify_certificate_set(
        chain_pem, key_pem, roots_pem, now_us, str(certificate_files.chain)
    )
    try:
        context.load_cert_chain(certificate_files.chain, certificate_files.key)
    except (OSError, ssl.SSLError) as error:
        found = f"an unusable certificate or key ({error})"
        raise InvalidCertificateError(
            str(certificate_files.chain), found, "a certificate chain with its key"
        ) from None
    return certificate_set
