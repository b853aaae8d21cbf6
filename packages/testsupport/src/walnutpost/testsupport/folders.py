"""Where the repository keeps what tests compare with."""

from __future__ import annotations

from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[5]
PACKAGES = REPOSITORY / "packages"


def golden_folder(package: str) -> Path:
    """Return the folder of the golden files that the tests of a member of the workspace compare."""
    return PACKAGES / package / "tests" / "golden"
