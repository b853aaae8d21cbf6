"""Limits a process to a part of a core by stopping it for a part of each period, until the process ends.

Arguments: process id, share of a core. Runs as a process of its own, so that no load delays the signals.
"""

from __future__ import annotations

import os
import signal
import sys
import time

PERIOD_S = 0.02


def limit_core(pid: int, share: float) -> None:
    """Stop and continue the process until it has ended."""
    try:
        while True:
            time.sleep(PERIOD_S * share)
            os.kill(pid, signal.SIGSTOP)
            time.sleep(PERIOD_S * (1 - share))
            os.kill(pid, signal.SIGCONT)
    except ProcessLookupError:
        pass


if __name__ == "__main__":
    limit_core(int(sys.argv[1]), float(sys.argv[2]))
