"""The file of the last endpoint list, for a start without the control plane."""

from __future__ import annotations

from pathlib import Path

import msgspec

from walnutpost.eventloop import Logger, Loop, remove_leftovers, replace_file
from walnutpost.fleet import EndpointSnapshot


class EndpointCache:
    """Writes endpoint lists to a file; a failed write is logged, and repeated by the next `write`."""

    def __init__(self, loop: Loop, path: Path, log: Logger) -> None:
        self._loop = loop
        self._path = path
        self._log = log
        self._unwritten: bytes | None = None  # set while the file is older
        remove_leftovers(path)

    def load(self) -> EndpointSnapshot | None:
        """Return the file's list, None if there is none; an invalid one is logged, and not used."""
        try:
            return msgspec.msgpack.decode(self._path.read_bytes(), type=EndpointSnapshot)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("endpoint_cache_ignored", file=self._path.name, error=str(error))
            return None

    def replace(self, snapshot: EndpointSnapshot) -> None:
        """Write a newer list."""
        self._unwritten = msgspec.msgpack.encode(snapshot)
        self.write()

    def write(self) -> None:
        """Write the newest list if the file is older."""
        while (data := self._unwritten) is not None:
            try:
                self._loop.run_blocking(replace_file, self._path, data)
            except OSError as error:
                self._log.warning("endpoint_cache_write_failed", error=str(error))
                return
            if self._unwritten is data:  # else a newer one arrived meanwhile
                self._unwritten = None
