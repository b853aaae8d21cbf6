"""A file with the last endpoint list, for a start while the control plane is unreachable."""

from __future__ import annotations

from pathlib import Path

import msgspec

from walnutpost.eventloop import Logger, Loop, remove_temporary_files, replace_file
from walnutpost.fleet import EndpointSnapshot


class EndpointCache:
    """Writes endpoint lists to a file; a failed write is logged, and the next `write` retries it."""

    def __init__(self, loop: Loop, path: Path, log: Logger) -> None:
        self._loop = loop
        self._path = path
        self._log = log
        self._unwritten: bytes | None = None  # a list that is newer than the file, if any
        remove_temporary_files(path)

    def load(self) -> EndpointSnapshot | None:
        """Return the list in the file, or None if the file is missing or invalid; log an invalid file."""
        try:
            return msgspec.msgpack.decode(self._path.read_bytes(), type=EndpointSnapshot)
        except FileNotFoundError:
            return None
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("endpoint_cache_ignored", file=self._path.name, error=str(error))
            return None

    def replace(self, snapshot: EndpointSnapshot) -> None:
        """Replace the list in the file with a newer one."""
        self._unwritten = msgspec.msgpack.encode(snapshot)
        self.write()

    def write(self) -> None:
        """Write the newest list if the file doesn't have it yet."""
        while (data := self._unwritten) is not None:
            try:
                self._loop.run_blocking(replace_file, self._path, data)
            except OSError as error:
                self._log.warning("endpoint_cache_write_failed", error=str(error))
                return
            if self._unwritten is data:  # otherwise a newer list arrived meanwhile
                self._unwritten = None
