"""Keys for the way to workers: read at start, and again when their files change."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.certificates import DAY, BadKeys, Keeper, Mark
from walnutpost.config.model import TlsLine
from walnutpost.eventloop import Loop
from walnutpost.workerclient import Links, contexts

LOOK_EVERY = 1_000_000


class Keys:
    def __init__(self, loop: Loop, line: TlsLine, base: Path, wall: Callable[[], int], log: Any) -> None:
        """Raises BadKeys: a front end doesn't start with keys that don't fit."""
        self._loop, self._line, self._base, self._wall, self._log = loop, line, base, wall, log
        self._names = (line.roots, line.chain, line.key)
        mark = self._marks()
        self.context, begins, ends = self._read()
        self._keeper = Keeper(mark, begins, ends)

    def follow(self, links: Links) -> None:
        """Runs until cancelled. New keys are used for new connections; calls that are out end under the old
        ones."""
        while True:
            notice = self._keeper.notice(self._wall())
            if notice is not None:
                self._log.warning("keys", ends_in_days=round(notice.left / DAY, 2), why="renew them")
            self._loop.sleep(LOOK_EVERY)
            if not self._keeper.looks(self._marks()):
                continue
            try:
                context, begins, ends = self._read()
            except BadKeys as error:
                self._log.error("keys", refused=str(error), why="those in use stay")
                continue
            self._keeper.accepted(begins, ends)
            links.renew(context)
            self._log.info("keys", taken=self._line.roots, chain=self._line.chain)

    def _read(self) -> tuple[ssl.SSLContext, int, int]:
        roots, chain, key = (self._base / name if name is not None else None for name in self._names)
        assert roots is not None
        context, own = contexts.client(roots, chain, key, self._line.oldest, self._wall())
        return context, own.begins if own else 0, own.ends if own else 0

    def _marks(self) -> Mark:
        out = []
        for name in self._names:
            if name is None:
                continue
            try:
                stat = (self._base / name).stat()
                out.append((stat.st_mtime_ns, stat.st_ino, stat.st_size))
            except OSError:
                out.append((0, 0, 0))
        return tuple(out)
