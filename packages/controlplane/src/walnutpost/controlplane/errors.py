"""Errors of the control plane."""

from __future__ import annotations


class ControlPlaneError(Exception):
    """Base of this package's errors."""


class MalformedMessageError(ControlPlaneError):
    """Bytes that are no message of this protocol, or a message that no client sends."""

    def __init__(self, message_name: str, reason: str) -> None:
        super().__init__(f"{message_name}: {reason}")
        self.message_name = message_name
        self.reason = reason


class ControlPlaneUnavailableError(ControlPlaneError):
    """No replica gave a definite answer in time.

    A command may still have been committed: send it again under the same id.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ReplicaFailedError(ControlPlaneError):
    """A replica has failed for good: its disk or a snapshot can't be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
