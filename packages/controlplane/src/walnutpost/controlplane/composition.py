"""Builds the parts of a replica, each with the parts that it depends on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from walnutpost.consensus import Effect, PersistentState, Raft, WriteCompleted
from walnutpost.controlplane.applied_state import AppliedState
from walnutpost.controlplane.changes import ChangeCoordinator
from walnutpost.controlplane.consensus_driver import ConsensusDriver
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.controlplane.durable_writer import DurableWriter
from walnutpost.controlplane.peers import PeerConnection
from walnutpost.controlplane.pending import PendingReplies
from walnutpost.controlplane.settings import ReplicaSettings
from walnutpost.controlplane.submission import ConsensusSubmitter
from walnutpost.controlplane.watch_source import WatchSource
from walnutpost.eventloop import Logger, Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import ConsensusStore
from walnutpost.watch.serving import WatchServer

REPLY_TIMEOUT_ELECTIONS = 3
"""Election timeouts that a client waits for a reply at most."""


@dataclass(frozen=True, slots=True)
class ReplicaCallbacks:
    """What the parts call of their replica, after it was built.

    `execute`: an effect of consensus. `is_in_service`: whether inputs are handled. `write_failed`, `reopen`,
    `resume`: the failure of the disk, and its recovery. `fail`: the replica has failed for good, with the
    reason.
    """

    execute: Callable[[Effect], None]
    is_in_service: Callable[[], bool]
    write_failed: Callable[[StoreError], None]
    reopen: Callable[[], ConsensusStore]
    resume: Callable[[ConsensusStore, PersistentState], None]
    fail: Callable[[str], None]


def connect_peers(loop: Loop, settings: ReplicaSettings) -> dict[str, PeerConnection]:
    """Return the connections to the other replicas, by name."""
    reply_timeout_us = settings.timing.election_timeout_us
    return {
        name: PeerConnection(loop, address, reply_timeout_us)
        for name, address in settings.addresses.items()
        if name != settings.name
    }


def build_context(
    loop: Loop,
    settings: ReplicaSettings,
    store: ConsensusStore,
    raft: Raft,
    callbacks: ReplicaCallbacks,
    log: Logger,
) -> ReplicaContext:
    """Return the parts of a replica with an open store and a consensus core on its state."""
    reply_timeout_us = REPLY_TIMEOUT_ELECTIONS * settings.timing.election_timeout_us
    driver = ConsensusDriver(loop, raft, callbacks.execute, callbacks.is_in_service)
    applied = AppliedState(loop, settings.max_log_entries)
    disk = DiskRecovery(loop, callbacks.reopen, callbacks.resume, callbacks.fail, log)
    replies = PendingReplies(loop)
    submitter = ConsensusSubmitter(loop, driver, disk, replies, reply_timeout_us)
    source = WatchSource(loop, driver, applied, disk)

    def write_completed(number: int) -> None:
        driver.feed(WriteCompleted(number))

    return ReplicaContext(
        loop=loop,
        settings=settings,
        driver=driver,
        applied=applied,
        disk=disk,
        writer=DurableWriter(loop, store, write_completed, callbacks.write_failed),
        replies=replies,
        submitter=submitter,
        watches=WatchServer(loop, source.store, source.age_us, batch_interval_us=0),
        changes=ChangeCoordinator(
            loop, lambda: applied.fleet, submitter, settings.check, reply_timeout_us, log
        ),
    )
