"""Measurements; they use the rigs of the members' tests."""

import sys
from pathlib import Path

sys.path += [str(folder) for folder in sorted(Path(__file__).parent.parent.glob("packages/*/tests"))]
