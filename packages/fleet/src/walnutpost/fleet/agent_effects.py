"""Effects that the agent's state machine returns, and the queue in which its parts collect them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from walnutpost.fleet.commands import Command, RequestPermit


@dataclass(frozen=True, slots=True)
class StartProcess:
    """Start the process with this version."""

    version: str


@dataclass(frozen=True, slots=True)
class StopProcess:
    """Ask the process to end, and kill it if it does not."""


@dataclass(frozen=True, slots=True)
class SendPermitRequest:
    """Send this request; its result comes back as `PermitAnswered`."""

    command: RequestPermit


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Send this command until it has been answered, in order with the commands before it."""

    command: Command


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log event with these fields."""

    event: str
    fields: Mapping[str, str] = field(default_factory=dict)


Effect = StartProcess | StopProcess | SendPermitRequest | SendCommand | LogEvent


class EffectQueue:
    """Effects of the input that is being handled, in order."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Append an effect."""
        self._effects.append(effect)

    def log(self, event: str, **fields: str) -> None:
        """Append a log event."""
        self.emit(LogEvent(event, fields))

    def take(self) -> list[Effect]:
        """Return the effects and remove them."""
        effects, self._effects = self._effects, []
        return effects
