"""How a replica leaves service when its disk fails, and resumes with the state that was read back."""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.consensus import PersistentState, Raft, Tick
from walnutpost.controlplane import wire
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.peers import PeerConnection
from walnutpost.controlplane.requests import DISK_FAILED
from walnutpost.store import StoreError
from walnutpost.store.replica import ConsensusStore


class ServiceSuspension:
    """Suspends the parts of a replica, and resumes them with a new consensus core.

    `seed` is that of the present consensus core.
    """

    def __init__(self, context: ReplicaContext, peers: Mapping[str, PeerConnection], seed: int) -> None:
        self._context = context
        self._peers = peers
        self._seed = seed

    def begin(self, error: StoreError) -> None:
        """Start the recovery of the disk after a failed write, and leave service."""
        context = self._context
        context.disk.begin(context.writer.store, context.driver.raft.replica_id, error)
        self.suspend()

    def suspend(self) -> None:
        """Leave service: nothing is sent that depends on the failed write, and no client waits any longer."""
        context = self._context
        context.driver.discard_queued()
        context.writer.discard_queued()
        context.end_leadership()
        for peer in self._peers.values():
            peer.discard_queued()
        context.replies.complete_all(wire.CommandReply(outcome_known=False, reason=DISK_FAILED))
        context.watches.store_changed()

    def resume(self, store: ConsensusStore, state: PersistentState) -> None:
        """Resume as after a restart: a new consensus core on `state`, an empty state machine."""
        context = self._context
        context.writer.store = store
        self._seed += 1
        replica_id, timing = context.driver.raft.replica_id, context.settings.timing
        context.driver.raft = Raft(replica_id, state, timing, self._seed)
        context.applied.reset()
        context.watches.store_changed()
        context.driver.feed(Tick())
