"""The process under an agent's care: start, readiness, exit, stop.

Its environment has the agent's name, by which processes that a killed agent left behind are found, and its
incarnation, under which it reports to the control plane.
"""

from __future__ import annotations

import os
import re
import secrets
import subprocess
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

from walnutpost.eventloop import Loop
from walnutpost.fleet.agent_inputs import ProcessReady

KILL_TIMEOUT_US = 10_000_000  # from the request to end
POLL_INTERVAL_US = 50_000
AGENT_VARIABLE = "WALNUTPOST_AGENT"  # the environment variable with the agent's name
INCARNATION_VARIABLE = "WALNUTPOST_INCARNATION"  # the one with the process's incarnation
ADDRESS_PATTERN = re.compile(rb"address\W+(\d+\.\d+\.\d+\.\d+:\d+)")  # in the process's output


def processes_of(agent: str) -> list[int]:
    """Return the process ids on this machine that this agent has started, before its own restart too."""
    mark = f"{AGENT_VARIABLE}={agent}".encode()
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        with suppress(OSError):  # it has ended, or is somebody else's
            if mark in path.read_bytes().split(b"\0"):
                found.append(int(path.parent.name))
    return found


class ChildProcess:
    """At most one process at a time. It is ready once `ready_text` is in its output."""

    def __init__(self, loop: Loop, command: Sequence[str], ready_text: str, output: Path) -> None:
        """Start nothing yet; `{config}` in `command` stands for the version's file."""
        self._loop = loop
        self._command = list(command)
        self._ready_text = ready_text.encode()
        self._output = output
        self._process: subprocess.Popen[bytes] | None = None
        self.incarnation = ""
        self.is_ready = False

    @property
    def is_alive(self) -> bool:
        """Whether there is a process that has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self, agent: str, config: Path) -> None:
        """Start a process as another incarnation; raise OSError, after which there is none."""
        command = [part.replace("{config}", str(config)) for part in self._command]
        self._process = None
        self.incarnation = secrets.token_hex(6)
        self.is_ready = False
        identity = {AGENT_VARIABLE: agent, INCARNATION_VARIABLE: self.incarnation}
        with self._output.open("wb") as out:
            self._process = subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL, env={**os.environ, **identity}
            )

    def take_exit(self) -> int | None:
        """Return the exit code once after the process has exited, else None."""
        code = self._process.poll() if self._process is not None else None
        if code is not None:
            self._process = None
            self.is_ready = False
        return code

    def take_ready(self) -> ProcessReady | None:
        """Return once that the process has become ready, else None."""
        if self._process is None or self.is_ready:
            return None
        try:
            output = self._output.read_bytes()
        except OSError:
            return None
        if self._ready_text not in output:
            return None
        self.is_ready = True
        address = ADDRESS_PATTERN.search(output)
        return ProcessReady(self.incarnation, address[1].decode() if address is not None else "")

    def stop(self) -> None:
        """Ask the process to end, and kill it after KILL_TIMEOUT_US; return at once."""
        process = self._process
        if process is None:
            return
        process.terminate()

        def kill() -> None:
            if self._process is process and process.poll() is None:
                process.kill()

        self._loop.call_later(KILL_TIMEOUT_US, kill)

    def wait(self) -> None:
        """Wait until the process has exited."""
        process = self._process
        while process is not None and process.poll() is None:
            self._loop.sleep(POLL_INTERVAL_US)
