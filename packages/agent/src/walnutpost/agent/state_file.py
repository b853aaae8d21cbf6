"""The state of an agent on disk: `MEMBER.json` and a copy of it, and when it is written."""

from __future__ import annotations

import json
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from walnutpost.agent.errors import AgentFolderError
from walnutpost.agent.versions import VersionStore
from walnutpost.eventloop import Logger, Loop, remove_temporary_files, replace_file
from walnutpost.fleet.agent_instance import DurableState

REQUIRED_KEYS = frozenset({"agent", "current", "previous"})
RETRY_INTERVAL_US = 500_000  # after a failed write


@dataclass(frozen=True, slots=True)
class AgentState:
    """What outlives an agent's restarts.

    `agent`: its name, by which it recognizes its permits and its processes. `drain_permit`: of the drain that
    keeps its process out; None until it has run for the first time. `unknown`: keys of other versions.
    """

    agent: str
    current: str
    previous: str
    drain_permit: str | None = None
    unknown: Mapping[str, str] = field(default_factory=dict)

    def to_json(self) -> bytes:
        """Return the content of the state's file; the keys are read by other versions."""
        keys = {"agent": self.agent, "current": self.current, "previous": self.previous}
        if self.drain_permit is not None:
            keys["held"] = self.drain_permit
        return json.dumps({**keys, **self.unknown}).encode()

    @classmethod
    def from_json(cls, data: bytes) -> AgentState:
        """Return the state of a file's content; raise ValueError or msgspec.MsgspecError."""
        keys = msgspec.json.decode(data, type=dict[str, str])
        if missing := REQUIRED_KEYS - keys.keys():
            raise ValueError(f"without {', '.join(sorted(missing))}")
        return cls(keys.pop("agent"), keys.pop("current"), keys.pop("previous"), keys.pop("held", None), keys)


class StateFile:
    """The two files of one agent's state in the folder of a machine's agents."""

    def __init__(self, folder: Path, member: str, versions: VersionStore, log: Logger) -> None:
        self._folder = folder
        self._member = member
        self._versions = versions
        self._log = log
        self._paths = (folder / f"{member}.json", folder / f"{member}.json.copy")

    def open(self, first: bytes) -> AgentState:
        """Return the stored state; on the first start create one with a new name and `first` as its version.

        Raises AgentFolderError.
        """
        try:
            return self._open(first)
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise AgentFolderError(self._folder, error) from error

    def _open(self, first: bytes) -> AgentState:
        self._versions.create_folder()
        for path in self._paths:
            remove_temporary_files(path)
        state = self._read()
        if state is not None:
            return replace(state, current=self._usable_version(state, first))
        name = f"{self._member}@{secrets.token_hex(4)}"
        state = AgentState(name, self._versions.store(first), "")
        self.save(state)
        return state

    def save(self, state: AgentState) -> None:
        """Write the state and its copy durably; raise OSError, after which it may be called again."""
        for path in self._paths:
            replace_file(path, state.to_json())

    def _read(self) -> AgentState | None:
        """Return the state of the first file that can be read, None if there is none yet.

        Raises if no file can be read: the process of an agent whose name is lost may still run, and a second
        one must not be started.
        """
        failure: Exception | None = None
        for path in self._paths:
            try:
                return AgentState.from_json(path.read_bytes())
            except FileNotFoundError:
                continue
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                self._log.error("state_file_unreadable", file=path.name, error=str(error))
                failure = failure or error
        if failure is not None:
            raise failure
        return None

    def _usable_version(self, state: AgentState, first: bytes) -> str:
        """Return the current version, or if its content is lost the previous one, or the first."""
        for version in (state.current, state.previous):
            if version and self._versions.is_intact(version):
                return version
            self._log.error("version_unusable", version=version)
        return self._versions.store(first)


class StateSaver:
    """Writes the durable state of an agent's state machine if it differs from what is on disk."""

    def __init__(
        self, loop: Loop, file: StateFile, saved: AgentState, durable: DurableState, log: Logger
    ) -> None:
        self._loop = loop
        self._file = file
        self._saved = saved
        self._durable = durable
        self._log = log
        self._retry_at_us: int | None = None

    @property
    def is_retrying(self) -> bool:
        """Whether the last write failed, so that the file is older than the state."""
        return self._retry_at_us is not None

    def save(self) -> None:
        """Write the state if it has changed. A failure is logged; `retry_if_due` tries again."""
        state = replace(
            self._saved,
            current=self._durable.current,
            previous=self._durable.previous,
            drain_permit=self._durable.drain_permit,
        )
        self._retry_at_us = None
        if state == self._saved:
            return
        try:
            self._file.save(state)
        except OSError as error:
            self._log.error("state_write_failed", error=str(error))
            self._retry_at_us = self._loop.now() + RETRY_INTERVAL_US
            return
        self._saved = state

    def retry_if_due(self) -> None:
        """Repeat a failed write after RETRY_INTERVAL_US; to be called periodically."""
        if self._retry_at_us is not None and self._loop.now() >= self._retry_at_us:
            self.save()
