"""The front end's fleet membership: reports to the control plane, and applies committed endpoint lists.

No call waits for it.
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
    """Receives the fleet's endpoint lists for routing; implemented by `EndpointLists`."""

    def set_dynamic(self, follower: EndpointFollower) -> None:
        """Publish the follower's list. Once this returns, no new work is routed by an older list."""


class Reporter(Protocol):
    """Sends reports to the control plane; implemented by `FleetReporter`."""

    def report(self) -> CommandReply | None:
        """Report once; return the reply, or None if the control plane is unreachable."""


class FleetReporter:
    """Registers the front end in its zone, and reports the outcomes of its calls."""

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
        """Register if required, then report; return the reply, None if the control plane is unreachable."""
        follower = self._follower
        report = Report(
            follower.member,
            follower.incarnation,
            applied_index=follower.applied_index,
            call_counts=self._call_counter.counts.as_tuple,
        )
        try:
            if follower.must_register:
                registration = RegisterMember(
                    follower.member, FRONT_END, self._zone, follower.incarnation, "", True
                )
                self._client.command(f"enter-{follower.incarnation}-{secrets.token_hex(4)}", registration)
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
    """Applies new endpoint lists from replies, and caches them; `follower` decides whether a list is new."""

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
        """Apply the endpoint list of a reply; return whether there was a new one."""
        follower = self.follower
        is_registered = reply.result is not None and reply.result.ok
        if (
            not follower.receive(self._loop.now(), reply.endpoints, is_registered)
            or follower.snapshot is None
        ):
            return False
        self._endpoint_lists.set_dynamic(follower)
        follower.mark_applied()
        draining_workers = [worker.name for worker in follower.snapshot.workers if worker.is_draining]
        self._log.info("endpoints_applied", revision=follower.applied_index, draining=draining_workers)
        self.cache.replace(follower.snapshot)
        return True

    def apply_cached(self) -> None:
        """Apply the cached list, if there is one."""
        snapshot = self.cache.load()
        if snapshot is not None:
            self.apply(CommandReply(CommandResult(False, 0), endpoints=snapshot))


class FleetMembership:
    """Reports to the control plane periodically, and applies the endpoint lists in the replies."""

    def __init__(
        self, loop: Loop, reporter: Reporter, applier: EndpointApplier, report_interval_us: int
    ) -> None:
        self._loop = loop
        self._reporter = reporter
        self._applier = applier
        self._report_interval_us = report_interval_us
        self.follower = applier.follower

    def catch_up(self) -> None:
        """Apply the committed list, or the cached list if there is no answer with a list."""
        if not self._report() and self.follower.snapshot is None:
            self._applier.apply_cached()

    def run(self) -> None:
        """Report periodically, until cancelled."""
        while True:
            if not self._report():
                self._loop.sleep(self._report_interval_us)
            self._applier.cache.write()

    def _report(self) -> bool:
        """Report once; return whether to report again immediately, to acknowledge a list or to register."""
        reply = self._reporter.report()
        if reply is None:
            return False
        was_registered = not self.follower.must_register
        return self._applier.apply(reply) or (was_registered and self.follower.must_register)
