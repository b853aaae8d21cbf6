"""The front end's membership in the fleet: it reports to the control plane, and applies committed endpoints.

No call waits for any of it.
"""

from __future__ import annotations

import secrets
from typing import Protocol

from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError, MalformedMessageError
from walnutpost.controlplane.wire import CommandReply, Report
from walnutpost.daemon.call_counter import CallCounter
from walnutpost.daemon.endpoint_cache import EndpointCache
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import FRONT_END, CommandResult, EndpointFollower, RegisterMember


class EndpointTarget(Protocol):
    """What routes calls by the fleet's endpoints: `EndpointLists`."""

    def set_dynamic(self, follower: EndpointFollower) -> None:
        """Publish the follower's list. On return no new work is routed by an older one."""


class Reporter(Protocol):
    """Sends reports to the control plane: `FleetReporter`."""

    def report(self) -> CommandReply | None:
        """Report once; return the reply, None if the control plane is unreachable."""


class FleetReporter:
    """Registers the front end in its zone, and reports how its calls end."""

    def __init__(
        self,
        client: ControlPlaneClient,
        follower: EndpointFollower,
        zone: str,
        call_counter: CallCounter,
        log: Logger,
    ) -> None:
        self._client = client
        self._follower = follower
        self._zone = zone
        self._call_counter = call_counter
        self._log = log
        self._is_reachable = True

    def report(self) -> CommandReply | None:
        """Register if that is required, and report; return None if the control plane is unreachable."""
        follower = self._follower
        report = Report(
            follower.member,
            follower.incarnation,
            applied_index=follower.applied_index,
            call_counts=self._call_counter.counts.as_tuple,
        )
        try:
            if follower.must_register:
                enter = RegisterMember(follower.member, FRONT_END, self._zone, follower.incarnation, "", True)
                self._client.command(f"enter-{follower.incarnation}-{secrets.token_hex(4)}", enter)
            reply = self._client.report(report)
        except (ControlPlaneUnavailableError, MalformedMessageError) as error:
            if self._is_reachable:
                self._is_reachable = False
                self._log.warning("control_plane_unreachable", error=str(error))
            return None
        if not self._is_reachable:
            self._is_reachable = True
            self._log.info("control_plane_reachable")
        return reply


class EndpointApplier:
    """Applies the lists that replies bring, as `follower` decides, and writes them to the cache."""

    def __init__(
        self,
        loop: Loop,
        follower: EndpointFollower,
        endpoint_lists: EndpointTarget,
        cache: EndpointCache,
        log: Logger,
    ) -> None:
        self._loop = loop
        self.follower = follower
        self._endpoint_lists = endpoint_lists
        self.cache = cache
        self._log = log

    def apply(self, reply: CommandReply) -> bool:
        """Apply a reply's list; return whether it had one to apply."""
        follower = self.follower
        known = reply.result is not None and reply.result.ok
        if not follower.receive(self._loop.now(), reply.endpoints, known) or follower.snapshot is None:
            return False
        self._endpoint_lists.set_dynamic(follower)
        follower.mark_applied()
        leaving = [worker.name for worker in follower.snapshot.workers if worker.is_draining]
        self._log.info("endpoints_applied", revision=follower.applied_index, draining=leaving)
        self.cache.replace(follower.snapshot)
        return True

    def apply_cached(self) -> None:
        """Apply the cached list, if there is one."""
        snapshot = self.cache.load()
        if snapshot is not None:
            self.apply(CommandReply(CommandResult(False, 0), endpoints=snapshot))


class FleetMembership:
    """Reports periodically, and applies the lists that the replies bring."""

    def __init__(
        self, loop: Loop, reporter: Reporter, applier: EndpointApplier, report_interval_us: int
    ) -> None:
        self._loop = loop
        self._reporter = reporter
        self._applier = applier
        self._report_interval_us = report_interval_us
        self.follower = applier.follower

    def catch_up(self) -> None:
        """Apply the committed list, or the cached one if the control plane is unreachable."""
        if not self._report() and self.follower.snapshot is None:
            self._applier.apply_cached()

    def run(self) -> None:
        """Report periodically; until cancelled."""
        while True:
            if not self._report():
                self._loop.sleep(self._report_interval_us)
            self._applier.cache.write()

    def _report(self) -> bool:
        """Report once; return whether to report again at once, to acknowledge what the reply brought."""
        reply = self._reporter.report()
        if reply is None:
            return False
        was_registered = not self.follower.must_register
        return self._applier.apply(reply) or (was_registered and self.follower.must_register)
