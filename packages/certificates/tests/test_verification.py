"""Which certificate sets can be used, and that the reason is named where one can't."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.certificates import (
    CertificateError,
    InvalidCertificateError,
    count_valid_roots,
    verify_certificate_set,
)
from walnutpost.fakes.authority import Authority, IssuedCertificate

NAME = "worker-7.example.org"
DAY = timedelta(days=1)
NOW = datetime.now(UTC)
AUTHORITY = Authority(NOW)
ISSUED = AUTHORITY.issue(NAME)
END_OF_CERTIFICATE = b"-----END CERTIFICATE-----\n"
LEAF = ISSUED.chain.split(END_OF_CERTIFICATE)[0] + END_OF_CERTIFICATE


def epoch_us(moment: datetime) -> int:
    return round(moment.timestamp() * 1_000_000)


def rejection(
    issued: IssuedCertificate,
    chain: bytes | None = None,
    key: bytes | None = None,
    roots: bytes = AUTHORITY.root,
) -> str:
    """The text of the error by which a set is rejected."""
    with pytest.raises(InvalidCertificateError) as error:
        verify_certificate_set(
            chain if chain is not None else issued.chain, key or issued.key, roots, epoch_us(NOW)
        )
    assert "PRIVATE" not in str(error.value)
    return str(error.value)


def test_a_complete_set_is_accepted_and_does_not_show_its_key() -> None:
    accepted = verify_certificate_set(ISSUED.chain, ISSUED.key, AUTHORITY.root, epoch_us(NOW))
    assert accepted.names == (NAME,)
    assert accepted.valid_from_us < epoch_us(NOW) < accepted.valid_until_us
    assert count_valid_roots(AUTHORITY.root, epoch_us(NOW)) == 1
    assert b"PRIVATE" not in repr(accepted).encode()
    assert "PRIVATE" not in repr(ISSUED)


def test_sets_that_do_not_fit_are_rejected_with_the_reason() -> None:
    weak = AUTHORITY.issue(NAME, key=rsa.generate_private_key(65537, 1024))
    odd = AUTHORITY.issue(NAME, key=ec.generate_private_key(ec.SECP224R1()))
    cases = {
        rejection(ISSUED, key=AUTHORITY.issue(NAME).key): "found a key of another certificate",
        rejection(ISSUED, key=ISSUED.key[:120]): "found no whole private key",
        rejection(ISSUED, chain=ISSUED.chain[:200]): "found no whole certificate",
        rejection(ISSUED, chain=LEAF): "wanted one to a trusted root",
        rejection(ISSUED, chain=LEAF + Authority(NOW).issue(NAME).chain): "not signed by the next",
        rejection(ISSUED, roots=Authority(NOW).root): "wanted one to a trusted root",
        rejection(ISSUED, roots=b""): "trusted roots: found no whole certificate",
        rejection(AUTHORITY.issue(NAME, -3 * DAY, -DAY)): "found one that expired at",
        rejection(AUTHORITY.issue(NAME, DAY, 3 * DAY)): "found one not valid before",
        rejection(weak): "found an RSA key of 1024 bits, wanted 2048",
        rejection(odd): "found a key on secp224r1",
    }
    assert [text for text, wanted in cases.items() if wanted not in text] == []
    assert len(cases) == 11


def test_expired_roots_are_rejected() -> None:
    with pytest.raises(InvalidCertificateError, match="expired"):
        count_valid_roots(AUTHORITY.root, epoch_us(NOW + 400 * DAY))


@given(st.binary(max_size=300), st.integers(0, len(ISSUED.chain)), st.integers(0, len(ISSUED.chain)))
def test_any_bytes_are_accepted_or_rejected_with_what_was_found(noise: bytes, start: int, end: int) -> None:
    broken = ISSUED.chain[:start] + noise + ISSUED.chain[end:]
    for chain, key, roots in (
        (broken, ISSUED.key, AUTHORITY.root),
        (ISSUED.chain, broken, AUTHORITY.root),
        (ISSUED.chain, ISSUED.key, broken),
    ):
        try:
            verify_certificate_set(chain, key, roots, epoch_us(NOW))
        except InvalidCertificateError as error:
            assert "found" in str(error)
            assert "wanted" in str(error)


def test_an_error_has_its_place_and_what_was_found_and_wanted() -> None:
    error = InvalidCertificateError("front.pem", "a key of another certificate", "the first one's")
    assert str(error) == "front.pem: found a key of another certificate, wanted the first one's"
    assert (error.place, error.found, error.wanted) == (
        "front.pem",
        "a key of another certificate",
        "the first one's",
    )
    assert isinstance(error, CertificateError)
