"""The process that an agent looks after: start, readiness, exit, stop.

Its environment holds the agent's name, by which processes that a killed agent left behind are found, and its
incarnation, under which it reports to the control plane.
"""

from __future__ import annotations

import os
import re
import secrets
import signal
import subprocess
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from walnutpost.agent.versions import VersionStore
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet.agent_inputs import ProcessReady

KILL_TIMEOUT_US = 10_000_000  # from the request to end
POLL_INTERVAL_US = 50_000
ORPHAN_INTERVAL_US = 500_000  # between signals to processes that a killed agent left behind
AGENT_VARIABLE = "WALNUTPOST_AGENT"  # the environment variable with the agent's name
INCARNATION_VARIABLE = "WALNUTPOST_INCARNATION"  # the variable with the process's incarnation
ADDRESS_PATTERN = re.compile(rb"address\W+(\d+\.\d+\.\d+\.\d+:\d+)")  # in the process's output


def process_ids_of(agent: str) -> list[int]:
    """Return the ids of this machine's processes that the agent has started, also before its restart."""
    mark = f"{AGENT_VARIABLE}={agent}".encode()
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        with suppress(OSError):  # it has ended, or belongs to another user
            if mark in path.read_bytes().split(b"\0"):
                found.append(int(path.parent.name))
    return found


def end_orphans(loop: Loop, agent: str, log: Logger) -> None:
    """End the processes that a killed agent left behind; return once they have exited.

    They are found by their environment, because a process id might not have been written any more.
    """
    remaining_us = KILL_TIMEOUT_US
    while orphans := process_ids_of(agent):
        for pid in orphans:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGTERM if remaining_us > 0 else signal.SIGKILL)
        log.warning("orphan_processes_found", pids=orphans)
        remaining_us -= ORPHAN_INTERVAL_US
        loop.sleep(ORPHAN_INTERVAL_US)


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """How a process is started.

    `agent`: the agent's name. `command`: `{config}` in it stands for the file of the version. `ready_text`:
    the process is ready once its output, which is written to `output_path`, contains this.
    """

    agent: str
    command: Sequence[str]
    ready_text: str
    output_path: Path


class ChildProcess:
    """At most one process at a time. Each start gives it another incarnation."""

    def __init__(self, loop: Loop, settings: ProcessSettings, versions: VersionStore) -> None:
        self._loop = loop
        self._settings = settings
        self.versions = versions
        self._process: subprocess.Popen[bytes] | None = None
        self.incarnation = ""
        self.is_ready = False

    @property
    def is_alive(self) -> bool:
        """Whether there is a process that has not exited."""
        return self._process is not None and self._process.poll() is None

    def start(self, version: str) -> None:
        """Start a process with a stored version; raise OSError, after which there is none."""
        config = str(self.versions.path(version))
        command = [part.replace("{config}", config) for part in self._settings.command]
        self._process = None
        self.incarnation = secrets.token_hex(6)
        self.is_ready = False
        identity = {AGENT_VARIABLE: self._settings.agent, INCARNATION_VARIABLE: self.incarnation}
        with self._settings.output_path.open("wb") as out:
            self._process = subprocess.Popen(
                command, stdout=out, stderr=out, stdin=subprocess.DEVNULL, env={**os.environ, **identity}
            )

    def take_exit(self) -> int | None:
        """Return once, after the process has exited, its exit code, else None."""
        code = self._process.poll() if self._process is not None else None
        if code is not None:
            self._process = None
            self.is_ready = False
        return code

    def take_ready(self) -> ProcessReady | None:
        """Return once, after the process has become ready, its incarnation and address, else None."""
        if self._process is None or self.is_ready:
            return None
        try:
            output = self._settings.output_path.read_bytes()
        except OSError:
            return None
        if self._settings.ready_text.encode() not in output:
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
