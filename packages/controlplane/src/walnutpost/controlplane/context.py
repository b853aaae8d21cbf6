"""The parts of a running replica that requests and effects work on."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.controlplane.applied_state import AppliedState
from walnutpost.controlplane.changes import ChangeCoordinator
from walnutpost.controlplane.consensus_driver import ConsensusDriver
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.controlplane.durable_writer import DurableWriter
from walnutpost.controlplane.leadership import LeaderDuties
from walnutpost.controlplane.pending import PendingReplies
from walnutpost.controlplane.settings import ReplicaSettings
from walnutpost.controlplane.submission import ConsensusSubmitter
from walnutpost.eventloop import Loop
from walnutpost.watch.serving import WatchServer


@dataclass(slots=True)
class ReplicaContext:
    """The parts of one replica. `leadership`: only while it leads."""

    loop: Loop
    settings: ReplicaSettings
    driver: ConsensusDriver
    applied: AppliedState
    disk: DiskRecovery
    writer: DurableWriter
    replies: PendingReplies
    submitter: ConsensusSubmitter
    watches: WatchServer
    changes: ChangeCoordinator
    leadership: LeaderDuties | None = None

    def end_leadership(self) -> None:
        """Forget what only the leader knows."""
        if self.leadership is not None:
            self.leadership.stop()
        self.leadership = None
