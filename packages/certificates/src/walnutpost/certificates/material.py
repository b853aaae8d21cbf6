"""Whether certificates and keys can be used, as a whole, before they are. No I/O; times are given."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from itertools import pairwise

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

RSA_LEAST = 2048  # bits; below it a key can be had by others
CURVES = ("secp256r1", "secp384r1", "secp521r1")


class BadKeys(Exception):
    """Says the place, what was found and what is wanted; never a key."""


@dataclass(frozen=True, slots=True)
class KeySet:
    """A certificate with its chain and key that fit together. Times are microseconds since the epoch."""

    chain: bytes
    key: bytes = field(repr=False)
    names: tuple[str, ...]
    begins: int
    ends: int
    serial: int


def examine(chain: bytes, key: bytes, roots: bytes, now: int, place: str = "certificate") -> KeySet:
    """The set, if the key is the first certificate's, each certificate is signed by the next and the last
    by one of the roots, and all are valid at `now`; raises BadKeys."""
    certificates = _certificates(chain, place)
    leaf = certificates[0]
    try:
        private = serialization.load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm):
        raise BadKeys(f"{place}: found no whole private key in PEM without a password, wanted one") from None
    if private.public_key() != leaf.public_key():
        raise BadKeys(f"{place}: found a key of another certificate, wanted the first one's")
    known = _certificates(roots, "trusted roots")
    for number, certificate in enumerate(certificates):
        where = f"{place}: number {number + 1} of the chain"
        _valid(certificate, now, where)
        _strong(certificate, where)
    for number, (lower, upper) in enumerate(pairwise(certificates)):
        if not _issued(lower, upper):
            raise BadKeys(
                f"{place}: found number {number + 1} of the chain not signed by the next, wanted it to be"
            )
    last = certificates[-1]
    issuers = [root for root in known if root == last or _issued(last, root)]
    if not issuers:
        raise BadKeys(f"{place}: found a chain that ends at {_issuer(last)}, wanted one to a trusted root")
    _valid(issuers[0], now, "trusted roots")
    ends = min(_us(c.not_valid_after_utc) for c in certificates)
    begins = max(_us(c.not_valid_before_utc) for c in certificates)
    return KeySet(chain, key, _names(leaf), begins, ends, leaf.serial_number)


def trusted(roots: bytes, now: int) -> int:
    """How many of the roots are valid now; raises BadKeys where none is, or one can't be read."""
    certificates = _certificates(roots, "trusted roots")
    valid = 0
    complaint: BadKeys | None = None
    for certificate in certificates:
        try:
            _valid(certificate, now, "trusted roots")
            _strong(certificate, "trusted roots")
            valid += 1
        except BadKeys as error:
            complaint = error
    if not valid and complaint is not None:
        raise complaint
    return valid


def _certificates(pem: bytes, place: str) -> Sequence[x509.Certificate]:
    try:
        return x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise BadKeys(f"{place}: found no whole certificate in PEM, wanted one at least") from None


def _valid(certificate: x509.Certificate, now: int, place: str) -> None:
    begins, ends = _us(certificate.not_valid_before_utc), _us(certificate.not_valid_after_utc)
    if now < begins:
        raise BadKeys(f"{place}: found one not valid before {_time(begins)}, wanted one for {_time(now)}")
    if now >= ends:
        raise BadKeys(f"{place}: found one that expired at {_time(ends)}, wanted one for {_time(now)}")


def _strong(certificate: x509.Certificate, place: str) -> None:
    try:
        key = certificate.public_key()
    except (ValueError, UnsupportedAlgorithm):
        raise BadKeys(f"{place}: found a key of an unknown kind, wanted RSA, ECDSA or Ed25519") from None
    if isinstance(key, rsa.RSAPublicKey) and key.key_size < RSA_LEAST:
        raise BadKeys(f"{place}: found an RSA key of {key.key_size} bits, wanted {RSA_LEAST} at least")
    if isinstance(key, ec.EllipticCurvePublicKey) and key.curve.name not in CURVES:
        raise BadKeys(f"{place}: found a key on {key.curve.name}, wanted one of {', '.join(CURVES)}")
    if not isinstance(key, rsa.RSAPublicKey | ec.EllipticCurvePublicKey | ed25519.Ed25519PublicKey):
        raise BadKeys(f"{place}: found a key of an unknown kind, wanted RSA, ECDSA or Ed25519")


def _issued(lower: x509.Certificate, upper: x509.Certificate) -> bool:
    try:
        lower.verify_directly_issued_by(upper)
        return True
    except Exception:  # the library names several, some by the signature's algorithm: none of them is a yes
        return False


def _names(leaf: x509.Certificate) -> tuple[str, ...]:
    try:
        extension = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        return tuple(extension.value.get_values_for_type(x509.DNSName))
    except (x509.ExtensionNotFound, ValueError):
        return ()


def _issuer(certificate: x509.Certificate) -> str:
    return certificate.issuer.rfc4514_string() or "a nameless issuer"


def _us(moment: datetime) -> int:
    return round(moment.timestamp() * 1_000_000)


def _time(moment: int) -> str:
    return datetime.fromtimestamp(moment / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
