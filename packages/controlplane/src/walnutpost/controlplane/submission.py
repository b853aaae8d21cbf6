"""Inputs of clients for consensus: commands, membership changes and reads, each with its reply."""

from __future__ import annotations

import time

from walnutpost.consensus import NOT_LEADER, Input, Propose, ReadIndex
from walnutpost.controlplane import wire
from walnutpost.controlplane.consensus_driver import ConsensusDriver
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.controlplane.pending import PendingReplies
from walnutpost.eventloop import Loop
from walnutpost.fleet import Command, encode


class ConsensusSubmitter:
    """Submits inputs to consensus through `driver` and waits for their replies.

    The effects of consensus complete `replies`. A reply is waited for at most `reply_timeout_us`.
    """

    def __init__(
        self,
        loop: Loop,
        driver: ConsensusDriver,
        disk: DiskRecovery,
        replies: PendingReplies,
        reply_timeout_us: int,
    ) -> None:
        self._loop = loop
        self._driver = driver
        self._disk = disk
        self._replies = replies
        self._reply_timeout_us = reply_timeout_us
        self._submitted = 0  # reads and commands of this replica itself, for their ids

    @property
    def leader(self) -> str:
        """The name of the replica that may know more; none is known while the disk fails."""
        return "" if self._disk.is_failing else wire.replica_name(self._driver.raft.leader)

    def submit(self, request_id: str, event: Input) -> wire.CommandReply:
        """Wait for the reply to `request_id`. An input without one in time may still be committed."""
        if not self._driver.is_in_service():
            return wire.CommandReply(reason=NOT_LEADER)
        on_timeout = wire.CommandReply(
            outcome_known=False, reason="no quorum has answered in time", leader=self.leader
        )
        return self._replies.wait(
            request_id, self._reply_timeout_us, on_timeout, lambda: self._driver.feed(event)
        )

    def submit_command(self, request_id: str, command: bytes) -> wire.CommandReply:
        """Wait for the result of an encoded command."""
        return self.submit(request_id, Propose(request_id, command))

    def confirm(self) -> wire.CommandReply:
        """Wait until a quorum confirms that the applied state is the newest; a reason if it doesn't."""
        request_id = f"read {self._driver.raft.replica_id} {self._next_number()}"
        return self.submit(request_id, ReadIndex(request_id))

    def propose(self, command: Command) -> None:
        """Propose a command of this replica itself, at the end of the loop's round; no task waits for it."""
        raft = self._driver.raft
        request_id = f"{raft.replica_id}.{raft.term}.{self._next_number()}"
        self._loop.call_soon(lambda: self._driver.feed(Propose(request_id, encode(command, time.time()))))

    def _next_number(self) -> int:
        self._submitted += 1
        return self._submitted
