"""Certificates of the connections to workers: read at the start, and again when their files change."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.certificates import DAY, BadKeys, Keeper, Mark
from walnutpost.config.front_end import TlsConfig
from walnutpost.eventloop import Loop
from walnutpost.workerclient import Links, contexts

POLL_INTERVAL_US = 1_000_000


class CertificateReloader:
    """Reads the files of one `tls` section. Invalid files leave the certificates in use."""

    def __init__(self, loop: Loop, section: TlsConfig, base: Path, wall: Callable[[], int], log: Any) -> None:
        """Raise BadKeys for files that can't be used: a front end doesn't start with these."""
        self._loop = loop
        self._section = section
        self._base = base
        self._wall = wall
        self._log = log
        self._names = (section.roots, section.chain, section.key)
        mark = self._read_mark()
        self.context, valid_from, valid_until = self._read()
        self._keeper = Keeper(mark, valid_from, valid_until)

    def follow(self, links: Links) -> None:
        """Reload changed files; until cancelled.

        New certificates are used for new connections; calls in flight end under the old ones.
        """
        while True:
            self._warn_before_expiry()
            self._loop.sleep(POLL_INTERVAL_US)
            if self._keeper.looks(self._read_mark()):
                self._reload(links)

    def _warn_before_expiry(self) -> None:
        notice = self._keeper.notice(self._wall())
        if notice is not None:
            self._log.warning("certificate_expiring", expires_in_days=round(notice.left / DAY, 2))

    def _reload(self, links: Links) -> None:
        try:
            context, valid_from, valid_until = self._read()
        except BadKeys as error:
            self._log.error("certificate_rejected", error=str(error))
            return
        self._keeper.accepted(valid_from, valid_until)
        links.renew(context)
        self._log.info("certificate_reloaded", roots=self._section.roots, chain=self._section.chain)

    def _read(self) -> tuple[ssl.SSLContext, int, int]:
        """Return a context with the certificates, and from when until when the own one is valid, or zeros."""
        roots, chain, key = (self._base / name if name is not None else None for name in self._names)
        assert roots is not None
        context, own = contexts.client(roots, chain, key, self._section.minimum_version, self._wall())
        return context, own.begins if own else 0, own.ends if own else 0

    def _read_mark(self) -> Mark:
        """Return what tells one state of the files from another."""
        marks = []
        for name in self._names:
            if name is None:
                continue
            try:
                stat = (self._base / name).stat()
                marks.append((stat.st_mtime_ns, stat.st_ino, stat.st_size))
            except OSError:
                marks.append((0, 0, 0))
        return tuple(marks)
