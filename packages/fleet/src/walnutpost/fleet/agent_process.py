"""Lifecycle of the process that an agent looks after: phases, their deadline, restart backoff."""

from __future__ import annotations

from enum import Enum

from walnutpost.fleet.agent_effects import EffectQueue, StartProcess, StopProcess
from walnutpost.fleet.agent_inputs import ProcessReady
from walnutpost.fleet.agent_instance import ControllerSettings


class Phase(Enum):
    """Lifecycle state of the process. The values appear in log events."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"  # a worker that is to stop, until no front end calls it any more
    STOPPING = "stopping"
    BACKING_OFF = "backing_off"  # until it is started again
    DRAINED = "drained"  # stopped, until an operator ends the drain


class ProcessLifecycle:
    """Phase of the process, and the deadline at which `InstanceController` must act on it.

    `deadline_us` is the next start in `BACKING_OFF`, the latest time to be ready in `STARTING`, else None.
    `ready`: the incarnation and address of the process that was ready last.
    """

    def __init__(self, settings: ControllerSettings, effects: EffectQueue) -> None:
        self.phase = Phase.BACKING_OFF
        self.deadline_us: int | None = None
        self.ready = ProcessReady("")
        self._settings = settings
        self._effects = effects
        self._restart_delay_us = settings.min_restart_delay_us
        self._running_since_us = 0

    def schedule_start(self, start_at_us: int) -> None:
        """Set the time of the first start."""
        self.deadline_us = start_at_us

    def take_deadline(self, now_us: int) -> bool:
        """Return whether the deadline has been reached, and remove it if so."""
        if self.deadline_us is None or now_us < self.deadline_us:
            return False
        self.deadline_us = None
        return True

    def start(self, now_us: int, version: str) -> None:
        """Start the process; it must be ready within `ready_timeout_us`."""
        self.phase = Phase.STARTING
        self.deadline_us = now_us + self._settings.ready_timeout_us
        self._effects.emit(StartProcess(version))

    def abort_start(self) -> None:
        """Stop a process that was not ready in time: its exit counts as a failed start."""
        self._effects.emit(StopProcess())

    def drain(self) -> None:
        """Keep the process running until `stop` or `end_drain`."""
        self.phase = Phase.DRAINING

    def end_drain(self) -> None:
        """Let a process that was draining continue."""
        self.phase = Phase.RUNNING

    def stop(self) -> None:
        """Stop the process."""
        self.phase = Phase.STOPPING
        self._effects.emit(StopProcess())

    def mark_ready(self, now_us: int, ready: ProcessReady) -> None:
        """Record that the process is running."""
        self.phase = Phase.RUNNING
        self.deadline_us = None
        self.ready = ready
        self._running_since_us = now_us

    def mark_drained(self) -> None:
        """Leave the process stopped, until `start`."""
        self.phase = Phase.DRAINED
        self.deadline_us = None

    def back_off(self, now_us: int) -> None:
        """Schedule the restart of a process that has exited unexpectedly; the next delay is twice as long."""
        longest_us = self._settings.max_restart_delay_us
        if self.phase is Phase.RUNNING and now_us - self._running_since_us >= longest_us:
            self.reset_backoff()
        self.phase = Phase.BACKING_OFF
        self.deadline_us = now_us + self._restart_delay_us
        self._restart_delay_us = min(2 * self._restart_delay_us, longest_us)

    def reset_backoff(self) -> None:
        """Let the next restart delay be the shortest."""
        self._restart_delay_us = self._settings.min_restart_delay_us
