"""The reports of a relay's members to the leader of the control plane."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from walnutpost.configstore import WatchRequest
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError
from walnutpost.eventloop import Event, Logger, Loop, WaitTimeoutError

SECOND_US = 1_000_000
MIN_REPORT_INTERVAL_US = SECOND_US // 4
"""Between two reports if there are changes."""
MAX_REPORT_INTERVAL_US = 2 * SECOND_US
"""Between two reports if there are none."""


class ProgressReports:
    """Records members' requests in `registry`, and reports them. `run` is the body of a task.

    `revision`: returns the revision of the relay's store.
    """

    def __init__(
        self,
        loop: Loop,
        registry: MemberRegistry,
        client: ControlPlaneClient,
        revision: Callable[[], int],
        log: Logger,
    ) -> None:
        self._loop = loop
        self._registry = registry
        self._client = client
        self._revision = revision
        self._log = log
        self._report_due = Event(loop)
        self._is_leader_reachable = True  # the last report reached a leader

    def member_requested(self, request: WatchRequest) -> None:
        """Record a member's request, as it arrives."""
        self._registry.observe(self._loop.now(), request)
        self._wake_if_changed()

    def member_disconnected(self, last_request: WatchRequest) -> None:
        """Record the end of a member's connection."""
        self._registry.connection_closed(last_request)
        self._wake_if_changed()

    def run(self) -> None:
        """Report to the leader until cancelled; the next report includes the changes of a lost one."""
        while True:
            began_us = self._loop.now()
            self._send(began_us)
            self._report_due = Event(self._loop)
            self._wake_if_changed()
            pause_us = max(1, began_us + MAX_REPORT_INTERVAL_US - self._loop.now())
            with suppress(WaitTimeoutError), self._loop.timeout(pause_us):
                self._report_due.wait()
            self._loop.sleep(max(0, began_us + MIN_REPORT_INTERVAL_US - self._loop.now()))

    def _wake_if_changed(self) -> None:
        if self._registry.has_changes:
            self._report_due.set()

    def _send(self, now: int) -> None:
        summary = self._registry.next_summary(now, self._revision())
        try:
            self._registry.handle_response(self._client.report_progress(summary))
        except ControlPlaneUnavailableError as error:
            if self._is_leader_reachable:
                self._log.warning("progress_report_failed", number=summary.number, error=str(error))
            self._is_leader_reachable = False
            return
        if not self._is_leader_reachable:
            self._log.info("progress_report_recovered", number=summary.number, members=summary.member_count)
        self._is_leader_reachable = True
