"""One process of a cluster under test: started by the command line, known by its log."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.faultinjection.errors import ProcessStartError

SECOND_US = 1_000_000
START_TIMEOUT_US = 30 * SECOND_US
START_POLL_INTERVAL_US = 20_000
STOP_TIMEOUT_S = 15
CLEAN_EXITS = (0, -signal.SIGKILL)


@dataclass(slots=True)
class ClusterProcess:
    """A process and its restarts; `address` is where it listened last."""

    name: str
    log: Path
    address: str = ""
    process: subprocess.Popen[bytes] | None = None
    _log_offset: int = 0  # how much of its log is from earlier incarnations

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self, arguments: list[str]) -> None:
        """Start it with arguments of `walnutpost`; raises OSError."""
        self._log_offset = self.log.stat().st_size if self.log.exists() else 0
        command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", *arguments]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
            )

    def wait_until_listening(self, loop: Loop) -> None:
        """Wait until its log has its address; raises ProcessStartError."""
        deadline_us = loop.now() + START_TIMEOUT_US
        while loop.now() < deadline_us:
            for line in self.log.read_bytes()[self._log_offset :].splitlines():
                if b'"event": "listening"' in line:
                    self.address = json.loads(line)["address"]
                    return
            if self.process is not None and not self.is_running:
                raise ProcessStartError(self.name, "ended while starting", self.log)
            loop.sleep(START_POLL_INTERVAL_US)
        timeout_s = START_TIMEOUT_US // SECOND_US
        raise ProcessStartError(self.name, f"did not start in {timeout_s} s", self.log)

    def pause(self) -> None:
        """Stop it as it is: its kernel accepts connections, and nothing is answered on them."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal.SIGSTOP)

    def kill(self) -> bool:
        """Kill it and wait for its end; False if it was never started."""
        if self.process is None:
            return False
        self.process.kill()
        self.process.wait()
        return True

    def terminate(self) -> None:
        """Ask it to end, also if it is paused."""
        if self.process is not None and self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()

    def wait_for_end(self) -> list[str]:
        """Wait for its end, and kill it if that takes too long; return what went wrong."""
        if self.process is None:
            return []
        failures = []
        try:
            code = self.process.wait(timeout=STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
            failures.append(f"{self.name} did not end when asked")
        if code not in CLEAN_EXITS:
            failures.append(f"{self.name} ended with {code}; see {self.log}")
        return failures
