"""Certificates for connections to workers, which are reloaded when their files change."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from walnutpost.certificates import DAY_US, FileState, InvalidCertificateError, ReloadTracker
from walnutpost.config.front_end import TlsConfig
from walnutpost.eventloop import Logger, Loop
from walnutpost.workerclient import WorkerClient, tls_contexts
from walnutpost.workerclient.tls_contexts import CertificateFiles

POLL_INTERVAL_US = 1_000_000


@dataclass(frozen=True, slots=True)
class _Certificates:
    """A TLS context, and the validity of the front end's own certificate (zeros without one)."""

    context: ssl.SSLContext
    valid_from_us: int
    valid_until_us: int


class CertificateReloader:
    """Reads the files of a `tls` section; if new files are invalid, the previous certificates stay in use.

    The constructor raises InvalidCertificateError for invalid files, so that the front end doesn't start.
    `context` is the TLS context that was read at the start.
    """

    def __init__(
        self, loop: Loop, section: TlsConfig, base: Path, wall_clock: Callable[[], int], log: Logger
    ) -> None:
        self._loop = loop
        self._section = section
        self._base = base
        self._wall_clock = wall_clock
        self._log = log
        self._names = (section.roots, section.chain, section.key)
        files = self._read_file_states()
        certificates = self._read()
        self.context = certificates.context
        self._tracker = ReloadTracker(files, certificates.valid_from_us, certificates.valid_until_us)

    def follow(self, worker_client: WorkerClient) -> None:
        """Poll the files and reload them when they change, until cancelled.

        New connections use the new certificates; calls in flight finish with the old ones.
        """
        while True:
            self._warn_before_expiry()
            self._loop.sleep(POLL_INTERVAL_US)
            if self._tracker.should_reload(self._read_file_states()):
                self._reload(worker_client)

    def _warn_before_expiry(self) -> None:
        warning = self._tracker.expiry_warning(self._wall_clock())
        if warning is not None:
            expires_in_days = round(warning.time_left_us / DAY_US, 2)
            self._log.warning("certificate_expiring", expires_in_days=expires_in_days)

    def _reload(self, worker_client: WorkerClient) -> None:
        try:
            certificates = self._read()
        except InvalidCertificateError as error:
            self._log.error("certificate_rejected", error=str(error))
            return
        self._tracker.record_reload(certificates.valid_from_us, certificates.valid_until_us)
        worker_client.replace_tls_context(certificates.context)
        self._log.info("certificate_reloaded", roots=self._section.roots, chain=self._section.chain)

    def _read(self) -> _Certificates:
        section = self._section
        files = None
        if section.chain is not None and section.key is not None:
            files = CertificateFiles(self._base / section.chain, self._base / section.key)
        roots = self._base / section.roots
        tls = tls_contexts.make_client_context(roots, files, section.minimum_version, self._wall_clock())
        if tls.client_certificate is None:
            return _Certificates(tls.context, 0, 0)
        return _Certificates(
            tls.context, tls.client_certificate.valid_from_us, tls.client_certificate.valid_until_us
        )

    def _read_file_states(self) -> list[FileState]:
        """Return the state of each file, which changes when the file is replaced."""
        states = []
        for name in self._names:
            if name is None:
                continue
            try:
                stat = (self._base / name).stat()
                states.append(FileState(stat.st_mtime_ns, stat.st_ino, stat.st_size))
            except OSError:
                states.append(FileState(0, 0, 0))
        return states
