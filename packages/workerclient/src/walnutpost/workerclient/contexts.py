"""The standard library's contexts from examined material. Reads the files it is told, at that moment."""

from __future__ import annotations

import ssl
from pathlib import Path

from walnutpost.certificates.material import BadKeys, KeySet, examine, trusted

ALPN = ["http/1.1"]
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


def read(path: Path) -> bytes:
    """Raises BadKeys."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise BadKeys(f"{path}: found nothing that can be read ({error.strerror}), wanted a file") from None


def client(
    roots: Path, chain: Path | None, key: Path | None, oldest: str, now: int
) -> tuple[ssl.SSLContext, KeySet | None]:
    """For connections to workers: chains and names are verified; and what it shows of its own. Raises
    BadKeys."""
    known = read(roots)
    trusted(known, now)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = VERSIONS[oldest]
    context.set_alpn_protocols(ALPN)
    context.load_verify_locations(cadata=known.decode("ascii", "replace"))
    if chain is not None and key is not None:
        return context, _own(context, chain, key, known, now)
    return context, None


def server(chain: Path, key: Path, roots: Path, clients: bool, now: int) -> ssl.SSLContext:
    """For a worker; where `clients`, callers must show a certificate of the roots. Raises BadKeys."""
    known = read(roots)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.set_alpn_protocols(ALPN)
    _own(context, chain, key, known, now)
    if clients:
        context.load_verify_locations(cadata=known.decode("ascii", "replace"))
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _own(context: ssl.SSLContext, chain: Path, key: Path, roots: bytes, now: int) -> KeySet:
    own = examine(read(chain), read(key), roots, now, str(chain))
    try:
        context.load_cert_chain(chain, key)
    except (OSError, ssl.SSLError) as error:
        raise BadKeys(f"{chain}: found a pair that can't be used ({error}), wanted a whole one") from None
    return own
