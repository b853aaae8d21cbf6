"""Waiting for a control plane that tests start."""

from __future__ import annotations

import subprocess
from collections.abc import Callable, Mapping

from click.testing import Result


def wait_for_leader(
    ask: Callable[..., Result], processes: Mapping[str, subprocess.Popen[bytes]], logs: Callable[[], str]
) -> None:
    """Wait until a leader answers: on a busy machine a start takes longer than a command waits."""
    while ask("status").exit_code == 3:
        assert all(process.poll() is None for process in processes.values()), logs()
