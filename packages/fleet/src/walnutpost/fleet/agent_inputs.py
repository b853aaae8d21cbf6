"""Inputs of the agent's state machine, `InstanceController.handle`."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class FleetStateObserved:
    """The state as one replica has it, which may be old: the result of a request for a permit is decisive."""

    state: FleetState


@dataclass(frozen=True, slots=True)
class PermitAnswered:
    """The result of the last request; `permit` is empty if it was denied. A lost answer is no input."""

    permit: str


@dataclass(frozen=True, slots=True)
class ProcessReady:
    """The process is ready as `incarnation`; `address` is empty if it is not known."""

    incarnation: str
    address: str = ""


@dataclass(frozen=True, slots=True)
class ProcessExited:
    """The process has exited or could not be started."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed: the deadline may have been reached."""


@dataclass(frozen=True, slots=True)
class OperatorOrder:
    """An operator of this machine orders a restart without a permit, because there is no quorum.

    `version`: the one to run from now on; empty for the current one. `ordered_at_s`: seconds by the wall
    clock.
    """

    operator: str
    reason: str
    ordered_at_s: float
    version: str = ""


Input = FleetStateObserved | PermitAnswered | ProcessReady | ProcessExited | Tick | OperatorOrder
