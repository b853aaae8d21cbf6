"""A node in a process of its own, for tests with real signals, limits and time."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

from walnutpost.eventloop import Loop
from walnutpost.testsupport.node.harness import MILLISECOND_US, SECOND_US, encode_config

START_TIMEOUT_US = 30 * SECOND_US
KIB_PER_MB = 1000 / 1.024  # MB of 10^6 bytes; the kernel counts in KiB
LISTENING = re.compile(r"listening role='node' address=\('127\.0\.0\.1', (\d+)\)")


class NodeProcess:
    """A node in a separate process. It keeps its address when it is started again."""

    def __init__(self, loop: Loop, folder: Path, **config: Any) -> None:
        """Write the configuration; `config` replaces top-level keys of the default one."""
        self._loop = loop
        self._folder = folder
        self._config = config
        self._starts = 0
        self._process: subprocess.Popen[bytes] | None = None
        self.address = ("127.0.0.1", 0)

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The process that was started last."""
        assert self._process is not None, "the node was not started"
        return self._process

    @property
    def log_path(self) -> Path:
        """The log of the process that was started last."""
        return self._folder / f"node-{self._starts}.log"

    def start(self) -> None:
        """Start the process, and wait until it listens."""
        self._starts += 1
        config_path = self._folder / "node.json"
        listen = "{}:{}".format(*self.address)
        config_path.write_bytes(encode_config(**{**self._config, "listen": listen}))
        with self.log_path.open("wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "walnutpost.node"],
                env={**os.environ, "NODE_CONFIG": str(config_path)},
                stdout=output,
                stderr=output,
            )
        self.address = ("127.0.0.1", int(self.wait_for_log_line(LISTENING)[1]))

    def wait_for_log_line(self, wanted: re.Pattern[str]) -> re.Match[str]:
        """Wait until the log has a line that matches. Raises AssertionError if the process ends before."""
        with self._loop.timeout(START_TIMEOUT_US):
            while (found := wanted.search(self.log_path.read_text())) is None:
                assert self.process.poll() is None, self.log_path.read_text()
                self._loop.sleep(2 * MILLISECOND_US)
        return found

    def wait_for_exit(self) -> int:
        """Wait until the process has ended, and return its exit code."""
        while (code := self.process.poll()) is None:
            self._loop.sleep(2 * MILLISECOND_US)
        return code

    def kill(self) -> None:
        """Kill the process, if it is running."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def peak_memory_mb(self) -> float:
        """Return the largest resident size of the process so far, in MB."""
        return self._status_mb("VmHWM")

    def memory_mb(self) -> float:
        """Return the resident size of the process, in MB."""
        return self._status_mb("VmRSS")

    def _status_mb(self, name: str) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(rf"^{name}:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) / KIB_PER_MB if found else 0.0


def known_workers(targets: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the value of the configuration's key `known` for a list of workers."""
    topology = {"all": True, "rev": 0, "targets": targets}
    return json.loads(json.dumps({"offset": 1, "batch": [{"offset": 1, "topology": topology}]}))  # type: ignore[no-any-return]
