"""Atomic and durable replacement of a file: whatever breaks off, its path shows its former or new content.

The write goes to a file of its own beside it, which is synced, renamed over the path, and made durable by
syncing the folder: without the last a power cut may bring the former content back after it was said to be
replaced.
"""

from __future__ import annotations

import os
import re
import secrets
from contextlib import suppress
from pathlib import Path

TEMPORARY = ".new"  # the end of the name of a file that is still being written


class FileCalls:
    """The calls to the system that can fail; tests replace them by ones that fail by script."""

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Takes as many bytes as the system does, which may be fewer."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        os.replace(source, target)


_calls = FileCalls()


def use_calls(calls: FileCalls) -> FileCalls:
    """Replaces the calls to the system; returns the former ones."""
    global _calls
    former, _calls = _calls, calls
    return former


def write_all(descriptor: int, data: bytes) -> None:
    """Also where the system takes it in parts; raises OSError, with any part of it written."""
    left = memoryview(data)
    while left:
        left = left[_calls.write(descriptor, left) :]


def replace_file(path: Path, data: bytes) -> None:
    """Returns once `path` durably has this content. Raises OSError: what it has is then the former or the
    new content, and the call can be repeated."""
    temporary = path.with_name(f"{path.name}.{secrets.token_hex(4)}{TEMPORARY}")
    try:
        descriptor = os.open(temporary, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o666)
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
    """At start, by the one process that replaces `path`: what a kill left of a write, which nobody reads."""
    leftover = re.compile(re.escape(path.name) + r"(\.[0-9a-f]{8})?" + re.escape(TEMPORARY))
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
