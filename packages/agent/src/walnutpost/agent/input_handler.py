"""What the sources of inputs need of the agent: fleet observer and manual orders."""

from __future__ import annotations

from typing import Protocol

from walnutpost.fleet.agent_inputs import Input


class InputHandler(Protocol):
    """Handles inputs of the agent's state machine, as `InstanceRunner` does."""

    def handle(self, event: Input) -> None:
        """Handle an input and carry out its effects."""
