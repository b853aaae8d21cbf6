"""Certificates and private keys: what may be used, and when. No I/O, no clock: times are given.

`verification` decides whether a set can be used, `reload` when files are read again and when an expiry is
warned of, `handshake_limit` how many TLS handshakes run at once.
"""

from walnutpost.certificates.errors import CertificateError, InvalidCertificateError
from walnutpost.certificates.handshake_limit import HandshakeLimiter, HandshakeLimits
from walnutpost.certificates.reload import DAY_US, ExpiryWarning, FileState, ReloadTracker
from walnutpost.certificates.verification import (
    CertificateSet,
    count_valid_roots,
    verify_certificate_set,
)

__all__ = [
    "DAY_US",
    "CertificateError",
    "CertificateSet",
    "ExpiryWarning",
    "FileState",
    "HandshakeLimiter",
    "HandshakeLimits",
    "InvalidCertificateError",
    "ReloadTracker",
    "count_valid_roots",
    "verify_certificate_set",
]
