"""Atomic and durable replacement of a file: after any failure, it has either its old or its new content.

The new content is written to a temporary file in the same directory, which is synced and then renamed over
the path. The directory is synced last: without this step, a power failure could restore the old content after
the caller was told that the file had been replaced.
"""

from __future__ import annotations

import os
import re
import secrets
from contextlib import suppress
from pathlib import Path

TEMPORARY_SUFFIX = ".new"  # suffix of a temporary file
RANDOM_NAME_BYTES = 4  # random bytes in the name of a temporary file, written in hexadecimal
FILE_MODE = 0o666  # the umask of the process applies


class FileCalls:
    """The system calls that replace a file; tests substitute calls that fail on demand."""

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write some bytes; return the number of bytes written, which may be smaller than `data`."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Make the content of a file or the entries of a directory durable."""
        os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Atomically rename a file, replacing the target."""
        os.replace(source, target)


_calls = FileCalls()


def set_file_calls(calls: FileCalls) -> FileCalls:
    """Replace the system calls that this module makes; return the previous ones."""
    global _calls
    previous, _calls = _calls, calls
    return previous


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, with as many system calls as needed.

    Raises OSError; part of the data may then have been written.
    """
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[_calls.write(descriptor, remaining) :]


def replace_file(path: Path, data: bytes) -> None:
    """Replace the content of `path` by `data`, and return once it is durable.

    Raises OSError. The file then has either its old or its new content, and the call can be retried.
    """
    temporary = path.with_name(f"{path.name}.{secrets.token_hex(RANDOM_NAME_BYTES)}{TEMPORARY_SUFFIX}")
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
    _sync_directory(path.parent)


def remove_temporary_files(path: Path) -> None:
    """Remove temporary files that a killed process left behind while it replaced `path`.

    No process reads such files. Call this at startup, only in the single process that replaces `path`.
    """
    random_part = rf"(\.[0-9a-f]{{{2 * RANDOM_NAME_BYTES}}})?"
    leftover_name = re.compile(re.escape(path.name) + random_part + re.escape(TEMPORARY_SUFFIX))
    with suppress(OSError):
        for name in os.listdir(path.parent):
            if leftover_name.fullmatch(name):
                (path.parent / name).unlink(missing_ok=True)


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        _calls.fsync(descriptor)
    finally:
        os.close(descriptor)
