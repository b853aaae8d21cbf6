"""Errors of the agent."""

from __future__ import annotations

from pathlib import Path


class AgentError(Exception):
    """Base of this package's errors."""


class AgentFolderError(AgentError):
    """The agent's folder can't be used, for the reason in `cause`."""

    def __init__(self, folder: Path, cause: Exception) -> None:
        super().__init__(f"{folder}: {cause}")
        self.folder = folder
        self.cause = cause


class ManualOrderError(AgentError):
    """An operator's order can't be carried out."""

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason
