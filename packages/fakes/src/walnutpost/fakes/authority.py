"""A private certificate authority for scenarios: root, intermediate, and leaves that may be wrong on purpose.

Certificates follow RFC 5280.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

PrivateKey = ec.EllipticCurvePrivateKey | rsa.RSAPrivateKey
DAY = timedelta(days=1)
AUTHORITY_LIFETIME = 365 * DAY
LEAF_LIFETIME = 30 * DAY
INTERMEDIATE_NAME = "test intermediate"
OWNER_ONLY = 0o600
PEM = serialization.Encoding.PEM


@dataclass(frozen=True, repr=False)
class IssuedCertificate:
    """A leaf with its key. `chain` is the leaf and what leads to the root, without the root; both are PEM."""

    chain: bytes
    key: bytes

    def write(self, folder: Path, name: str) -> None:
        """Write `name`.pem and `name`.key, the key for its owner alone; raises OSError."""
        (folder / f"{name}.pem").write_bytes(self.chain)
        flags = os.O_CREAT | os.O_WRONLY | os.O_TRUNC
        descriptor = os.open(folder / f"{name}.key", flags, OWNER_ONLY)
        with os.fdopen(descriptor, "wb") as file:
            file.write(self.key)


@dataclass(frozen=True, repr=False)
class _Subject:
    """Whom a certificate is for. `max_authorities` may follow it in a chain; None is a leaf."""

    name: str
    key: PrivateKey
    max_authorities: int | None = None

    @property
    def is_authority(self) -> bool:
        return self.max_authorities is not None


@dataclass(frozen=True)
class _Validity:
    begins: datetime
    ends: datetime


class Authority:
    """A root and an intermediate, valid from a day before `now`."""

    def __init__(self, now: datetime | None = None, name: str = "test root") -> None:
        self._now = now or datetime.now(UTC)
        root_key = _new_key()
        self._intermediate_key = _new_key()
        root = _Subject(name, root_key, max_authorities=1)
        intermediate = _Subject(INTERMEDIATE_NAME, self._intermediate_key, max_authorities=0)
        validity = _Validity(self._now - DAY, self._now + AUTHORITY_LIFETIME)
        self._root = _sign(root, name, root_key, validity)
        self._intermediate = _sign(intermediate, name, root_key, validity)

    @property
    def root(self) -> bytes:
        """The root's certificate as PEM, for those who trust it."""
        return self._root.public_bytes(PEM)

    def issue(
        self,
        name: str,
        valid_from: timedelta = -DAY,
        valid_until: timedelta = LEAF_LIFETIME,
        key: PrivateKey | None = None,
    ) -> IssuedCertificate:
        """Return a worker's or client's certificate, valid between two times that are relative to now."""
        leaf_key = key or _new_key()
        validity = _Validity(self._now + valid_from, self._now + valid_until)
        leaf = _sign(_Subject(name, leaf_key), INTERMEDIATE_NAME, self._intermediate_key, validity)
        chain = leaf.public_bytes(PEM) + self._intermediate.public_bytes(PEM)
        plain = serialization.NoEncryption()
        return IssuedCertificate(chain, leaf_key.private_bytes(PEM, serialization.PrivateFormat.PKCS8, plain))


def _sign(
    subject: _Subject, issuer: str, issuer_key: ec.EllipticCurvePrivateKey, validity: _Validity
) -> x509.Certificate:
    public_key = subject.key.public_key()
    issuer_id = x509.AuthorityKeyIdentifier.from_issuer_public_key(issuer_key.public_key())
    constraints = x509.BasicConstraints(subject.is_authority, subject.max_authorities)
    builder = (
        x509.CertificateBuilder()
        .subject_name(_x509_name(subject.name))
        .issuer_name(_x509_name(issuer))
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(validity.begins)
        .not_valid_after(validity.ends)
        .add_extension(constraints, critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False)
        .add_extension(issuer_id, critical=False)
        .add_extension(_key_usage(subject.is_authority), critical=True)
    )
    if not subject.is_authority:
        usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
        dns_name = x509.SubjectAlternativeName([x509.DNSName(subject.name)])
        builder = builder.add_extension(dns_name, critical=False)
        builder = builder.add_extension(x509.ExtendedKeyUsage(usages), critical=False)
    return builder.sign(issuer_key, hashes.SHA256())


def _x509_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _new_key() -> ec.EllipticCurvePrivateKey:
    return ec.generate_private_key(ec.SECP256R1())


def _key_usage(is_authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not is_authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=is_authority,
        crl_sign=is_authority,
        encipher_only=False,
        decipher_only=False,
    )
