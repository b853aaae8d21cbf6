"""The front end's membership in the fleet: it reports to the control plane, and applies the agreed endpoints.

No call waits for any of it.
"""

from __future__ import annotations

import os
import secrets
from pathlib import Path

import msgspec

from walnutpost.agent import INCARNATION_VARIABLE
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.membership import MembershipConfig
from walnutpost.controlplane import ControlPlaneClient, ControlPlaneUnavailableError, MalformedMessageError
from walnutpost.controlplane.wire import CommandReply, Report
from walnutpost.daemon.call_counter import CallCounter
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.eventloop import Logger, Loop, remove_leftovers, replace_file
from walnutpost.fleet import (
    FRONT_END,
    CommandResult,
    EndpointFollower,
    EndpointSnapshot,
    RegisterMember,
)


class FleetMembership:
    """Reports periodically; `fleet.EndpointFollower` decides on the lists that replies bring."""

    def __init__(
        self,
        loop: Loop,
        line: MembershipConfig,
        zone: str,
        call_counter: CallCounter,
        lists: EndpointLists,
        log: Logger,
        cache_file: Path,
    ) -> None:
        """Use `cache_file` for the last list, for a start without the control plane."""
        self._loop = loop
        self.call_counter = call_counter
        self._endpoint_lists = lists
        self._log = log
        self._zone = zone
        self._report_interval_us = ms_to_us(line.report_interval_ms)
        own = os.environ.get(INCARNATION_VARIABLE)
        self.follower = EndpointFollower(line.member, own or secrets.token_hex(6), own is not None)
        addresses = {name: parse_address(address) for name, address in line.keepers.items()}
        patience = max(self._report_interval_us, 1_000_000)
        self._client = ControlPlaneClient(loop, addresses, patience, patience // 2)
        self._is_reachable = True
        self._cache_file = cache_file
        self._unwritten_snapshot: bytes | None = None  # set while the file is older
        remove_leftovers(cache_file)

    def catch_up(self) -> None:
        """Apply the agreed list, or the cached one if the control plane is unreachable."""
        if self._report() or self.follower.snapshot is not None:
            return
        try:
            snapshot = msgspec.msgpack.decode(self._cache_file.read_bytes(), type=EndpointSnapshot)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("endpoint_cache_ignored", file=self._cache_file.name, error=str(error))
            return
        self._apply(CommandReply(CommandResult(False, 0), endpoints=snapshot))

    def run(self) -> None:
        """Report periodically; until cancelled."""
        while True:
            if not self._report():
                self._loop.sleep(self._report_interval_us)
            self._write_cache()

    def _report(self) -> bool:
        """Report once; return whether to report again at once, to acknowledge what the reply brought."""
        follower = self.follower
        report = Report(
            follower.member,
            follower.incarnation,
            applied_index=follower.applied_index,
            call_counts=self.call_counter.counts.as_tuple,
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
            return False
        if not self._is_reachable:
            self._is_reachable = True
            self._log.info("control_plane_reachable")
        entered = not follower.must_register
        return self._apply(reply) or (entered and follower.must_register)

    def _apply(self, reply: CommandReply) -> bool:
        follower = self.follower
        known = reply.result is not None and reply.result.ok
        if not follower.receive(self._loop.now(), reply.endpoints, known) or follower.snapshot is None:
            return False
        self._endpoint_lists.set_dynamic(follower)
        follower.mark_applied()
        leaving = [w.name for w in follower.snapshot.workers if w.is_draining]
        self._log.info("endpoints_applied", revision=follower.applied_index, draining=leaving)
        self._unwritten_snapshot = msgspec.msgpack.encode(follower.snapshot)
        self._write_cache()
        return True

    def _write_cache(self) -> None:
        """Write the list for a start without the control plane; after a failure again with each report."""
        while (data := self._unwritten_snapshot) is not None:
            try:
                self._loop.run_blocking(replace_file, self._cache_file, data)
            except OSError as error:
                self._log.warning("endpoint_cache_write_failed", error=str(error))
                return
            if self._unwritten_snapshot is data:  # else a newer one arrived meanwhile
                self._unwritten_snapshot = None
