"""What an agent stores on disk: its state, the versions that its process may run, and operators' orders.

All agents of a machine share the folder: `MEMBER.json` and its copy hold an agent's state, `versions/DIGEST`
the content of a version, `MEMBER.out` the output of its process, `MEMBER.by-hand` an operator's order.
"""

from __future__ import annotations

import hashlib
import json
import secrets
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path

import msgspec

from walnutpost.agent.errors import AgentFolderError, ManualOrderError
from walnutpost.eventloop import Logger, remove_leftovers, replace_file
from walnutpost.fleet.agent_inputs import OperatorOrder

VERSION_CHARACTERS = 16  # of the hexadecimal digest
REQUIRED_KEYS = frozenset({"agent", "current", "previous"})


def version_of(content: bytes) -> str:
    """Return a version's name, the digest of its content: equal content has the same name everywhere."""
    return hashlib.sha256(content).hexdigest()[:VERSION_CHARACTERS]


def manual_order_path(folder: Path, member: str) -> Path:
    """Return where an operator leaves an order for the agent to carry out without a quorum."""
    return folder / f"{member}.by-hand"


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


class AgentFolder:
    """One agent's part of the folder."""

    def __init__(self, folder: Path, member: str, log: Logger) -> None:
        """Touch nothing on disk yet; `open` does."""
        self._folder = folder
        self._member = member
        self._log = log
        self._intact_versions: set[str] = set()
        self._state_files = (folder / f"{member}.json", folder / f"{member}.json.copy")

    @property
    def output_path(self) -> Path:
        """The file that the process writes its output to."""
        return self._folder / f"{self._member}.out"

    # State

    def open(self, first: bytes) -> AgentState:
        """Return the stored state; on a very first start make a name, with `first` as the version.

        Raises AgentFolderError.
        """
        try:
            (self._folder / "versions").mkdir(parents=True, exist_ok=True)
            for path in self._state_files:
                remove_leftovers(path)
            state = self._read_state()
            if state is not None:
                return replace(state, current=self._usable_version(state, first))
            name = f"{self._member}@{secrets.token_hex(4)}"
            state = AgentState(name, self.store_version(first), "")
            self.save(state)
            return state
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise AgentFolderError(self._folder, error) from error

    def save(self, state: AgentState) -> None:
        """Write the state and its copy durably; raise OSError, after which it may be called again."""
        for path in self._state_files:
            replace_file(path, state.to_json())

    def _read_state(self) -> AgentState | None:
        """Return the state of the first file that can be read, None where there is none yet.

        Raises where no file can be read: the process of an agent whose name is lost may still run, and a
        second one must not be started.
        """
        failure: Exception | None = None
        for path in self._state_files:
            try:
                return AgentState.from_json(path.read_bytes())
            except FileNotFoundError:
                continue
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                self._log.error(
                    "state_file_unreadable", member=self._member, file=path.name, error=str(error)
                )
                failure = failure or error
        if failure is not None:
            raise failure
        return None

    def _usable_version(self, state: AgentState, first: bytes) -> str:
        """Return the current version, or where its content is lost the previous one, or the first."""
        for version in (state.current, state.previous):
            if version and self._is_intact(version):
                return version
            self._log.error("version_unusable", member=self._member, version=version)
        return self.store_version(first)

    # Versions

    def version_path(self, version: str) -> Path:
        """Return the file of a version's content."""
        return self._folder / "versions" / version

    def store_version(self, content: bytes) -> str:
        """Store a version unless it is there intact, and return its name; raise OSError.

        Agents may store the same version at the same time.
        """
        version = version_of(content)
        if not self._is_intact(version):
            replace_file(self.version_path(version), content)
        return version

    def _is_intact(self, version: str) -> bool:
        if version not in self._intact_versions:
            with suppress(OSError):
                if version_of(self.version_path(version).read_bytes()) == version:
                    self._intact_versions.add(version)
        return version in self._intact_versions

    # Orders

    def take_order(self) -> OperatorOrder | None:
        """Return an operator's order and remove its file, so that it is carried out once.

        Raises ManualOrderError.
        """
        path = manual_order_path(self._folder, self._member)
        try:
            order = json.loads(path.read_text())
            path.unlink()
            version = str(order["version"])
            if version and not self.version_path(version).exists():
                raise ValueError(f"version {version} is not on this disk")
            return OperatorOrder(str(order["operator"]), str(order["why"]), time.time(), version)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise ManualOrderError(path, str(error)) from error
