"""Whether a certificate, its chain and its private key can be used, before they are. No I/O, no clock.

Certificates are X.509 (RFC 5280) in PEM. All times are microseconds since the epoch.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from itertools import pairwise

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

from walnutpost.certificates.errors import InvalidCertificateError

MIN_RSA_BITS = 2048
ALLOWED_CURVES = ("secp256r1", "secp384r1", "secp521r1")
ROOTS_PLACE = "trusted roots"
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class CertificateSet:
    """A verified certificate with its chain and private key, both PEM.

    `names` are the DNS names of the certificate; all of the chain is valid between the two times.
    """

    chain: bytes
    key: bytes = field(repr=False)
    names: tuple[str, ...]
    valid_from_us: int
    valid_until_us: int
    serial: int


def verify_certificate_set(
    chain: bytes, key: bytes, roots: bytes, now_us: int, place: str = "certificate"
) -> CertificateSet:
    """Return the set if it can be used at `now_us`. Raise InvalidCertificateError.

    The key must be the first certificate's; each certificate must be signed by the next, and the last by one
    of the roots; all must be valid and strong enough.
    """
    certificates = _parse_certificates(chain, place)
    leaf = certificates[0]
    _verify_key(key, leaf, place)
    trusted = _parse_certificates(roots, ROOTS_PLACE)
    for number, certificate in enumerate(certificates, start=1):
        where = f"{place}: number {number} of the chain"
        _verify_validity(certificate, now_us, where)
        _verify_strength(certificate, where)
    _verify_signatures(certificates, place)
    _verify_root(certificates[-1], trusted, now_us, place)
    return CertificateSet(
        chain=chain,
        key=key,
        names=_dns_names(leaf),
        valid_from_us=max(_valid_from_us(each) for each in certificates),
        valid_until_us=min(_valid_until_us(each) for each in certificates),
        serial=leaf.serial_number,
    )


def count_valid_roots(roots: bytes, now_us: int) -> int:
    """Return how many of the roots can be used now.

    Raises InvalidCertificateError where none can, or one can't be parsed.
    """
    valid = 0
    last_error: InvalidCertificateError | None = None
    for certificate in _parse_certificates(roots, ROOTS_PLACE):
        try:
            _verify_validity(certificate, now_us, ROOTS_PLACE)
            _verify_strength(certificate, ROOTS_PLACE)
            valid += 1
        except InvalidCertificateError as error:
            last_error = error
    if not valid and last_error is not None:
        raise last_error
    return valid


def _parse_certificates(pem: bytes, place: str) -> Sequence[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise InvalidCertificateError(place, "no whole certificate in PEM", "one at least") from None


def _verify_key(key: bytes, leaf: x509.Certificate, place: str) -> None:
    try:
        private_key = serialization.load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        found = "no whole private key in PEM without a password"
        raise InvalidCertificateError(place, found, "one") from None
    if private_key.public_key() != leaf.public_key():
        raise InvalidCertificateError(place, "a key of another certificate", "the first one's")


def _verify_validity(certificate: x509.Certificate, now_us: int, place: str) -> None:
    valid_from_us = _valid_from_us(certificate)
    valid_until_us = _valid_until_us(certificate)
    if now_us < valid_from_us:
        found = f"one not valid before {_format_time(valid_from_us)}"
    elif now_us >= valid_until_us:
        found = f"one that expired at {_format_time(valid_until_us)}"
    else:
        return
    raise InvalidCertificateError(place, found, f"one for {_format_time(now_us)}")


def _verify_strength(certificate: x509.Certificate, place: str) -> None:
    try:
        key = certificate.public_key()
    except (ValueError, UnsupportedAlgorithm):
        raise _unknown_key_kind(place) from None
    if isinstance(key, rsa.RSAPublicKey) and key.key_size < MIN_RSA_BITS:
        found = f"an RSA key of {key.key_size} bits"
        raise InvalidCertificateError(place, found, f"{MIN_RSA_BITS} at least")
    if isinstance(key, ec.EllipticCurvePublicKey) and key.curve.name not in ALLOWED_CURVES:
        wanted = f"one of {', '.join(ALLOWED_CURVES)}"
        raise InvalidCertificateError(place, f"a key on {key.curve.name}", wanted)
    if not isinstance(key, rsa.RSAPublicKey | ec.EllipticCurvePublicKey | ed25519.Ed25519PublicKey):
        raise _unknown_key_kind(place)


def _unknown_key_kind(place: str) -> InvalidCertificateError:
    return InvalidCertificateError(place, "a key of an unknown kind", "RSA, ECDSA or Ed25519")


def _verify_signatures(chain: Sequence[x509.Certificate], place: str) -> None:
    for number, (certificate, issuer) in enumerate(pairwise(chain), start=1):
        if not _is_issued_by(certificate, issuer):
            found = f"number {number} of the chain not signed by the next"
            raise InvalidCertificateError(place, found, "it to be")


def _verify_root(
    last: x509.Certificate, trusted: Sequence[x509.Certificate], now_us: int, place: str
) -> None:
    """Verify that the last certificate of a chain is a valid root, or is issued by one."""
    issuers = [root for root in trusted if root == last or _is_issued_by(last, root)]
    if not issuers:
        found = f"a chain that ends at {_issuer_name(last)}"
        raise InvalidCertificateError(place, found, "one to a trusted root")
    _verify_validity(issuers[0], now_us, ROOTS_PLACE)


def _is_issued_by(certificate: x509.Certificate, issuer: x509.Certificate) -> bool:
    try:
        certificate.verify_directly_issued_by(issuer)
        return True
    except Exception:  # the library names several, some by the signature's algorithm: each means no
        return False


def _dns_names(leaf: x509.Certificate) -> tuple[str, ...]:
    try:
        extension = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        return tuple(extension.value.get_values_for_type(x509.DNSName))
    except (x509.ExtensionNotFound, ValueError):
        return ()


def _issuer_name(certificate: x509.Certificate) -> str:
    return certificate.issuer.rfc4514_string() or "a nameless issuer"


def _valid_from_us(certificate: x509.Certificate) -> int:
    return _epoch_us(certificate.not_valid_before_utc)


def _valid_until_us(certificate: x509.Certificate) -> int:
    return _epoch_us(certificate.not_valid_after_utc)


def _epoch_us(moment: datetime) -> int:
    return round(moment.timestamp() * US_PER_S)


def _format_time(moment_us: int) -> str:
    return datetime.fromtimestamp(moment_us / US_PER_S, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
