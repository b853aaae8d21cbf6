"""Executes the planner's decisions: sends firings as deferred calls and records the outcome of each due time.

Durations are microseconds, and due times are microseconds since the epoch.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from walnutpost.cron import Fire, Planner, Schedule, Skip, format_execution_name
from walnutpost.eventloop import Event, Logger, Loop
from walnutpost.fronts.calls import DeferOutcome, DeferredCalls
from walnutpost.fronts.cron.pacer import FiringLimits, Pacer
from walnutpost.fronts.cron.recorder import MAX_SKIPS_PER_COMMIT, FiringRecorder, RejectionReason
from walnutpost.gateway import CallRequest, Execution, ExecutionStatus, ReplicationPending
from walnutpost.store import FiringStore

# The wall clock may be set and the machine may be suspended, so longer waits are unreliable.
MAX_DECISION_INTERVAL_US = 1_000_000
# Finding the next due time takes about 60 us: ten thousand at once would block the loop for half a second.
MAX_SCHEDULES_PER_DECISION = 20
MIN_DECISION_INTERVAL_US = 5_000
# The shortest wait after a rejection. Some rejections give no time to wait.
MIN_REJECTION_RETRY_US = 250_000
# Logged as the status of a firing that has no execution; the store uses the same value.
REJECTED_STATUS = "REFUSED"


@dataclass(frozen=True, slots=True)
class Firing:
    """A firing, identified by its schedule and due time."""

    schedule_name: str
    due_us: int


class CronFront:
    """Fires the schedules of one front end.

    `on_progress` is called from another thread with the newest due time that has an outcome or an execution
    on disk, and the wall clock time. It may raise OSError: the front logs the error and calls it again later.
    """

    def __init__(
        self,
        loop: Loop,
        epoch_us: Callable[[], int],
        schedules: Iterable[Schedule],
        calls: DeferredCalls,
        store: FiringStore,
        uncertain_until_us: int,
        limits: FiringLimits,
        log: Logger,
        on_progress: Callable[[int, int], None],
    ) -> None:
        """Read the store, so create the front before the loop runs.

        `epoch_us` returns the wall clock time, which may jump forward or back. The store may lack firings
        with due times up to `uncertain_until_us`.
        """
        self._loop = loop
        self._epoch_us = epoch_us
        self._calls = calls
        self._log = log
        self._on_progress = on_progress
        self._recorder = FiringRecorder(loop, store, epoch_us, log)
        self._max_concurrent = limits.max_concurrent
        self._pacer = Pacer(loop, limits.firings_per_s)
        self._schedules = list(schedules)
        last_decided_us = store.load_marks()
        self._newest_due_us = max(last_decided_us.values(), default=0)
        self._planner = Planner(self._schedules, last_decided_us, epoch_us(), uncertain_until_us)
        running, self._rejected_by_restart = store.load_unfinished()
        self._firings: dict[str, Firing] = {}  # by execution name
        for row in running:
            self._planner.mark_running(row.schedule, row.due)
            self._firings[row.execution] = Firing(row.schedule, row.due)
        self._queue: deque[Fire] = deque()
        self._sender_count = 0
        self._wake_event: Event | None = None

    def replace_schedules(self, schedules: Iterable[Schedule]) -> None:
        """Apply a changed configuration."""
        self._schedules = list(schedules)
        self._planner.replace_schedules(self._schedules, self._epoch_us())
        self._loop.spawn(self._register_schedules, name="register schedules")
        if self._wake_event is not None:
            self._wake_event.set()

    def run(self) -> None:
        """Fire until cancelled."""
        self._register_schedules()
        while True:
            now_us = self._epoch_us()
            decisions = self._planner.decide(now_us, MAX_SCHEDULES_PER_DECISION)
            self._record_skips([decision for decision in decisions if isinstance(decision, Skip)])
            self._queue.extend(decision for decision in decisions if isinstance(decision, Fire))
            self._start_senders()
            self._write_progress(now_us)
            self._wait_for_due_time()

    def handle_execution_ended(self, execution: Execution) -> None:
        """Handle an execution whose final status is durable. Ignores executions that are not firings."""
        firing = self._firings.pop(execution.name, None)
        if firing is None:
            return
        self._planner.mark_ended(firing.schedule_name, firing.due_us)
        if execution.status is not ExecutionStatus.SUCCEEDED:
            self._log_failed(firing, execution.status.value, execution.error_message)

    def _register_schedules(self) -> None:
        rejected = self._rejected_by_restart
        self._rejected_by_restart = []
        self._recorder.register([schedule.name for schedule in self._schedules], rejected)

    def _wait_for_due_time(self) -> None:
        """Wait until a schedule is due, the schedules are replaced, or the clock must be read again."""
        wait_us = MAX_DECISION_INTERVAL_US
        next_us = self._planner.next_fire_time_us()
        if next_us is not None:
            wait_us = min(wait_us, next_us - self._epoch_us())
        self._wake_event = Event(self._loop)
        timer = self._loop.call_later(max(MIN_DECISION_INTERVAL_US, wait_us), self._wake_event.set)
        try:
            self._wake_event.wait()
        finally:
            timer.cancel()

    def _write_progress(self, now_us: int) -> None:
        """Report progress from the helper thread, because the report is synced to disk.

        A failure does not stop any firing.
        """
        try:
            self._loop.run_blocking(self._on_progress, self._newest_due_us, now_us)
        except OSError as error:
            self._recorder.log_store_error(f"the newest due time is not written: {error}")

    def _record_skips(self, skips: list[Skip]) -> None:
        for start in range(0, len(skips), MAX_SKIPS_PER_COMMIT):
            batch = skips[start : start + MAX_SKIPS_PER_COMMIT]
            self._recorder.record_skipped(batch)
            for skip in batch:
                self._newest_due_us = max(self._newest_due_us, skip.last_due_us)
                self._log.info(
                    "firing_skipped",
                    schedule=skip.schedule.name,
                    due_us=skip.due_us,
                    count=skip.count,
                    reason=skip.reason.value,
                )

    def _start_senders(self) -> None:
        while self._queue and self._sender_count < self._max_concurrent:
            self._sender_count += 1
            self._loop.spawn(self._send_queued, name="firings")

    def _send_queued(self) -> None:
        try:
            while self._queue:
                fire = self._queue.popleft()
                self._pacer.wait()
                self._fire(fire)
        finally:
            self._sender_count -= 1

    def _fire(self, fire: Fire) -> None:
        """Send a firing as a client would, and retry after rejections until the deadline of the firing."""
        schedule = fire.schedule
        firing = Firing(schedule.name, fire.due_us)
        for earlier_due_us in fire.stop_due_us:
            self._calls.stop_named(schedule.function, format_execution_name(schedule.name, earlier_due_us))
        deadline_us = self._loop.now() + schedule.deadline_us
        while (time_left_us := deadline_us - self._loop.now()) > 0:
            outcome = self._defer(schedule, firing, time_left_us)
            if isinstance(outcome, ReplicationPending):
                outcome = outcome.execution  # the execution is on disk with its firing, and will run
            if isinstance(outcome, Execution):
                self._handle_accepted(firing, outcome)
                return
            if outcome is None:
                self._record_rejection(firing, RejectionReason.NAME_TAKEN)
                return
            self._loop.sleep(max(MIN_REJECTION_RETRY_US, outcome.retry_after_us))
        self._record_rejection(firing, RejectionReason.TIMED_OUT)
        self._log_failed(firing, REJECTED_STATUS, RejectionReason.TIMED_OUT.value)

    def _defer(self, schedule: Schedule, firing: Firing, time_left_us: int) -> DeferOutcome:
        name = format_execution_name(schedule.name, firing.due_us)
        self._firings[name] = firing  # the execution may end before `defer` returns
        change = self._recorder.build_fired_change(schedule.name, firing.due_us, name)
        request = CallRequest(schedule.function, schedule.tenant, schedule.payload, time_left_us, name)
        outcome = self._calls.defer(request, name, change)
        if not isinstance(outcome, Execution | ReplicationPending):
            self._firings.pop(name, None)
        return outcome

    def _handle_accepted(self, firing: Firing, execution: Execution) -> None:
        self._newest_due_us = max(self._newest_due_us, firing.due_us)
        if execution.status is not ExecutionStatus.RUNNING:
            self.handle_execution_ended(execution)

    def _record_rejection(self, firing: Firing, reason: RejectionReason) -> None:
        self._recorder.record_rejected(firing.schedule_name, firing.due_us, reason)
        self._planner.mark_ended(firing.schedule_name, firing.due_us)

    def _log_failed(self, firing: Firing, status: str, reason: str) -> None:
        self._log.warning(
            "firing_failed",
            schedule=firing.schedule_name,
            due_us=firing.due_us,
            status=status,
            reason=reason,
        )
