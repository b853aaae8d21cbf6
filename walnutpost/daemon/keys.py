"""Keys for the way to workers: read at start, and again when their files change."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.config.model import TlsLine
from walnutpost.links import Links, contexts
from walnutpost.loop import Loop
from walnutpost.trust import BadKeys, examine
from walnutpost.trust.keeper import Keeper, Mark

LOOK_EVERY = 1_000_000
SECOND, DAY = 1_000_000, 86_400_000_000


class Keys:
    def __init__(self, loop: Loop, line: TlsLine, base: Path, wall: Callable[[], int], log: Any) -> None:
        """Raises BadKeys: a front end doesn't start with keys that don't fit."""
        self._loop, self._line, self._base, self._wall, self._log = loop, line, base, wall, log
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
        line, now = self._line, self._wall()
        roots = self._base / line.roots
        if line.chain is None or line.key is None:
            return contexts.client(roots, None, None, line.oldest, now), 0, 0
        chain, key = self._base / line.chain, self._base / line.key
        own = examine(contexts.read(chain), contexts.read(key), contexts.read(roots), now, str(chain))
        return contexts.client(roots, chain, key, line.oldest, now), own.begins, own.ends

    def _marks(self) -> Mark:
        out = []
        for name in (self._line.roots, self._line.chain, self._line.key):
            if name is None:
                continue
            try:
                stat = (self._base / name).stat()
                out.append((stat.st_mtime_ns, stat.st_ino, stat.st_size))
            except OSError:
                out.append((0, 0, 0))
        return tuple(out)
