"""What the agent's state machine is given: the instance, its settings, and what outlives the agent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """Limits and delays.

    `begin_timeout_us`: from the request for a permit until the transition must have begun.
    `ready_timeout_us`: from its start until a process must be ready. `max_start_attempts`: for a new version.
    Restart delays double from `min_restart_delay_us` to `max_restart_delay_us`; a process that has run for
    the latter resets them. `retry_delay_us`: after a permit is denied, up to twice that at random, so that
    agents don't retry at the same time.
    """

    begin_timeout_us: int
    ready_timeout_us: int
    max_start_attempts: int = 2
    min_restart_delay_us: int = 500_000
    max_restart_delay_us: int = 30_000_000
    retry_delay_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class ManagedInstance:
    """The instance that an agent looks after.

    `agent`: the agent's name. It outlives the process and restarts of the agent, so that the agent recognizes
    its permits. `follows_endpoints`: the process itself registers and reports to the control plane.
    """

    agent: str
    member: str
    kind: str
    zone: str
    follows_endpoints: bool = False


@dataclass(slots=True)
class DurableState:
    """What outlives a restart of the agent. The state machine changes it; its caller stores it.

    `current`, `previous`: versions on the agent's disk; `previous` is empty until the first change of
    version. `drain_permit`: the permit of the drain that keeps the process out, empty if none does.
    """

    current: str
    previous: str = ""
    drain_permit: str = ""
