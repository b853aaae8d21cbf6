"""Atomic and durable replacement of a file: whatever breaks off, its path has its former or new content.

The write goes to a file of its own beside it, which is synced, renamed over the path, and made durable by
syncing the folder: without the last step a power cut may bring back the former content after the caller was
answered that it had been replaced.
"""

from __future__ import annotations

import os
import re
import secrets
from contextlib import suppress
from pathlib import Path

TEMPORARY_SUFFIX = ".new"  # the end of the name of a file that is still being written
NAME_BYTES = 4  # random bytes in such a name, in hexadecimal
FILE_MODE = 0o666  # before the process's umask


class FileCalls:
    """The system calls that can fail; tests replace them by ones that fail by script."""

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write some bytes; return how many the system took, which may be fewer."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Make a file's content, or a folder's entries, durable."""
        os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Move a file over another one, atomically."""
        os.replace(source, target)


_calls = FileCalls()


def use_file_calls(calls: FileCalls) -> FileCalls:
    """Replace the system calls; return the former ones."""
    global _calls
    former, _calls = _calls, calls
    return former


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, also where the system takes it in parts.

    Raises OSError, with any part of it written.
    """
    rest = memoryview(data)
    while rest:
        rest = rest[_calls.write(descriptor, rest) :]


def replace_file(path: Path, data: bytes) -> None:
    """Return once `path` durably has this content.

    Raises OSError: the content is then the former or the new one, and the call can be repeated.
    """
    temporary = path.with_name(f"{path.name}.{secrets.token_hex(NAME_BYTES)}{TEMPORARY_SUFFIX}")
    try:
        descriptor = os.open(temporary, os.O_CREAT | os.O_EXCL | os.O_WRONLY, FILE_MODE)
        try:
            write_all(descriptor, data)
            _calls.fsync(descriptor)
        finally:
            os.close(descriptor)
        _calls.rename(temporary, path)
    except BaseException:
        with suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise
    _sync_folder(path.parent)


def remove_leftovers(path: Path) -> None:
    """Remove what a killed process left of writes to `path`, which nobody reads.

    For the start of the one process that replaces `path`.
    """
    random_part = rf"(\.[0-9a-f]{{{2 * NAME_BYTES}}})?"
    leftover = re.compile(re.escape(path.name) + random_part + re.escape(TEMPORARY_SUFFIX))
    with suppress(OSError):
        for name in os.listdir(path.parent):
            if leftover.fullmatch(name):
                (path.parent / name).unlink(missing_ok=True)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        _calls.fsync(descriptor)
    finally:
        os.close(descriptor)
