"""A private certificate authority for trials: root, intermediate, and leaves that may be wrong on purpose."""

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


@dataclass(frozen=True, repr=False)
class Issued:
    """`chain` is the leaf and what leads to the root, without it; PEM."""

    chain: bytes
    key: bytes

    def write(self, folder: Path, name: str) -> None:
        """`name`.pem and `name`.key; the key for its owner alone."""
        (folder / f"{name}.pem").write_bytes(self.chain)
        descriptor = os.open(folder / f"{name}.key", os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o600)
        with os.fdopen(descriptor, "wb") as file:
            file.write(self.key)


class Authority:
    """Valid from a day before `now`."""

    def __init__(self, now: datetime | None = None, name: str = "test root") -> None:
        self._now = now or datetime.now(UTC)
        self._root_key, self._key = _p256(), _p256()
        self._root = self._sign(name, None, self._root_key, self._root_key, name, 1)
        self._middle = self._sign("test intermediate", None, self._key, self._root_key, name, 0)

    @property
    def root(self) -> bytes:
        """PEM, for those who trust it."""
        return self._root.public_bytes(serialization.Encoding.PEM)

    def issue(
        self,
        name: str,
        begins: timedelta = -DAY,
        ends: timedelta = 30 * DAY,
        key: PrivateKey | None = None,
    ) -> Issued:
        """A worker's or client's certificate, valid from and to so long after now."""
        key = key or _p256()
        leaf = self._sign(name, name, key, self._key, "test intermediate", None, begins, ends)
        pem = serialization.Encoding.PEM
        chain = leaf.public_bytes(pem) + self._middle.public_bytes(pem)
        plain = serialization.NoEncryption()
        return Issued(chain, key.private_bytes(pem, serialization.PrivateFormat.PKCS8, plain))

    def _sign(
        self,
        subject: str,
        dns: str | None,
        key: PrivateKey,
        by: ec.EllipticCurvePrivateKey,
        issuer: str,
        path: int | None,
        begins: timedelta = -DAY,
        ends: timedelta = 365 * DAY,
    ) -> x509.Certificate:
        """A certificate; `path` is how many authorities may follow, None for a leaf."""
        public = by.public_key()
        builder = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, subject)]))
            .issuer_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer)]))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(self._now + begins)
            .not_valid_after(self._now + ends)
            .add_extension(x509.BasicConstraints(path is not None, path), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(public), critical=False)
            .add_extension(_usage(path is not None), critical=True)
        )
        if dns is not None:
            usages = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
            names = x509.SubjectAlternativeName([x509.DNSName(dns)])
            builder = builder.add_extension(names, critical=False)
            builder = builder.add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        return builder.sign(by, hashes.SHA256())


def _p256() -> ec.EllipticCurvePrivateKey:
    return ec.generate_private_key(ec.SECP256R1())


def _usage(authority: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not authority,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=authority,
        crl_sign=authority,
        encipher_only=False,
        decipher_only=False,
    )
