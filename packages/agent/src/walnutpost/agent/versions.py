"""Versions that a process may run, on disk: `versions/DIGEST` in the folder of a machine's agents."""

from __future__ import annotations

import hashlib
from contextlib import suppress
from pathlib import Path

from walnutpost.eventloop import replace_file

VERSION_CHARACTERS = 16  # of the hexadecimal digest


def version_of(content: bytes) -> str:
    """Return a version's name, the digest of its content: equal content has the same name everywhere."""
    return hashlib.sha256(content).hexdigest()[:VERSION_CHARACTERS]


class VersionStore:
    """Contents of versions by name. All agents of a machine share the folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder / "versions"
        self._intact: set[str] = set()

    def create_folder(self) -> None:
        """Create the folder if it is missing; raise OSError."""
        self._folder.mkdir(parents=True, exist_ok=True)

    def path(self, version: str) -> Path:
        """Return the file of a version's content."""
        return self._folder / version

    def store(self, content: bytes) -> str:
        """Store a version unless it is stored intact already, and return its name; raise OSError.

        Agents may store the same version at the same time.
        """
        version = version_of(content)
        if not self.is_intact(version):
            replace_file(self.path(version), content)
        return version

    def is_intact(self, version: str) -> bool:
        """Whether the stored content is complete."""
        if version not in self._intact:
            with suppress(OSError):
                if version_of(self.path(version).read_bytes()) == version:
                    self._intact.add(version)
        return version in self._intact
