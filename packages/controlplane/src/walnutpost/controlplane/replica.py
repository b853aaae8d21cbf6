"""One replica of the control plane: consensus on its disk and its network, and the requests of clients."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import (
    Effect,
    Members,
    PersistentState,
    Raft,
    Role,
    Tick,
    TransferLeadership,
    WriteCompleted,
)
from walnutpost.controlplane import wire
from walnutpost.controlplane.applied_state import AppliedState
from walnutpost.controlplane.changes import ChangeCoordinator, Check
from walnutpost.controlplane.consensus_driver import ConsensusDriver
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.disk_recovery import DiskRecovery
from walnutpost.controlplane.durable_writer import DurableWriter
from walnutpost.controlplane.effects import EffectExecutor
from walnutpost.controlplane.errors import ReplicaFailedError
from walnutpost.controlplane.peers import PeerConnection
from walnutpost.controlplane.pending import PendingReplies
from walnutpost.controlplane.requests import DISK_FAILED, RequestHandler
from walnutpost.controlplane.responses import protocol_error_response
from walnutpost.controlplane.settings import Address, ReplicaSettings
from walnutpost.controlplane.submission import ConsensusSubmitter
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import Fleet
from walnutpost.http import Limits
from walnutpost.http.server import serve_on
from walnutpost.store import StoreError
from walnutpost.store.replica import ReplicaStore, StoredReplica
from walnutpost.watch.serving import WatchServer

UNCONFIRMED_AGE_US = 10**15
"""The age of a state that no leader has confirmed."""
REPLY_TIMEOUT_ELECTIONS = 3
"""Election timeouts that a client waits for at the most."""
DISK_ID_MASK = 0xFFFF_FFFF


class ControlPlaneReplica:
    """A running replica. After `stop` and the end of the loop it is to be closed."""

    def __init__(
        self,
        loop: Loop,
        settings: ReplicaSettings,
        log: Logger,
        seed: int,
        on_failed: Callable[[ReplicaFailedError], None] | None = None,
        check: Check | None = None,
        open_store: Callable[[Loop, Path, int], ReplicaStore] = ReplicaStore,
    ) -> None:
        """Open the file, listen and start. Raises StoreError, and OSError where it can't listen.

        `on_failed`: called once if the replica can't go on. `check`: validates change sets by the meaning of
        the settings. `open_store`: opens the file at a path for so many entries of history.
        """
        self.name = settings.name
        self.has_ended = False
        self._loop = loop
        self._settings = settings
        self._log = log
        self._seed = seed
        self._on_failed = on_failed
        self._open_store = open_store
        settings.folder.mkdir(parents=True, exist_ok=True)
        store = self._open_file()
        stored = self._load_or_create(store)
        self._peers = self._create_peers()
        self._context = self._create_context(store, stored, check)
        self._effects = EffectExecutor(self._context, self._peers, self._fail, log)
        self._server = serve_on(
            loop,
            settings.listen,
            RequestHandler(self._context).serve,
            protocol_error_response,
            Limits(max_body_bytes=wire.MAX_BODY_BYTES),
            role="control_plane",
            log=log,
        )
        self._context.driver.feed(Tick())
        log.info("control_plane_listening", replica=stored.identity, address="{}:{}".format(*self.address))

    def _open_file(self) -> ReplicaStore:
        path = self._settings.folder / f"{self.name}.db"
        return self._open_store(self._loop, path, self._settings.max_history_entries)

    def _load_or_create(self, store: ReplicaStore) -> StoredReplica:
        store.prove_durable()  # the former process may have ended at a failed sync
        stored = store.load()
        is_bootstrap = self._settings.is_bootstrap
        if stored is not None:
            if is_bootstrap:
                self._log.warning("bootstrap_ignored", replica=stored.identity)
            return stored
        if is_bootstrap:
            return store.create(self.name, Members(tuple(self._settings.addresses)))
        disk_id = f"{self._seed & DISK_ID_MASK:08x}"
        return store.create(f"{self.name}{wire.REPLICA_ID_SEPARATOR}{disk_id}", Members())

    def _create_peers(self) -> dict[str, PeerConnection]:
        reply_timeout_us = self._settings.timing.election_timeout_us
        return {
            name: PeerConnection(self._loop, address, reply_timeout_us)
            for name, address in self._settings.addresses.items()
            if name != self.name
        }

    def _create_context(
        self, store: ReplicaStore, stored: StoredReplica, check: Check | None
    ) -> ReplicaContext:
        loop, settings, log = self._loop, self._settings, self._log
        reply_timeout_us = REPLY_TIMEOUT_ELECTIONS * settings.timing.election_timeout_us
        raft = Raft(stored.identity, stored.state, settings.timing, self._seed)
        driver = ConsensusDriver(loop, raft, self._execute, self._is_in_service)
        applied = AppliedState(loop, settings.max_log_entries)
        disk = DiskRecovery(loop, self._open_file, self._resume, self._fail, log)
        replies = PendingReplies(loop)
        submitter = ConsensusSubmitter(loop, driver, disk, replies, reply_timeout_us)
        return ReplicaContext(
            loop=loop,
            settings=settings,
            driver=driver,
            applied=applied,
            disk=disk,
            writer=DurableWriter(loop, store, self._write_completed, self._write_failed),
            replies=replies,
            submitter=submitter,
            watches=WatchServer(loop, self._served_store, self._age_us, batch_interval_us=0),
            changes=ChangeCoordinator(
                loop,
                lambda: applied.fleet,
                submitter.submit_command,
                submitter.confirm,
                check,
                reply_timeout_us,
                log,
            ),
        )

    @property
    def address(self) -> Address:
        """Where this replica listens."""
        return self._server.address

    @property
    def raft(self) -> Raft:
        """The consensus core; another one after a recovery of the disk."""
        return self._context.driver.raft

    @property
    def fleet(self) -> Fleet:
        """The applied state; another one after a snapshot or a recovery of the disk."""
        return self._context.applied.fleet

    @property
    def watches(self) -> WatchServer:
        """The server of the configuration's watches."""
        return self._context.watches

    def stop(self) -> None:
        """Transfer leadership if there is one to transfer, and end. Writes that aren't durable are lost."""
        others = [voter for voter in self.raft.members.voters if voter != self.raft.replica_id]
        if self.raft.role is Role.LEADER and others:
            self._context.driver.feed(TransferLeadership(others[0]))
            self._loop.sleep(self._settings.timing.heartbeat_interval_us)
        self._end()
        if self._context.leadership is not None:
            self._context.leadership.stop()
        self._context.disk.stop()
        self._server.stop_accepting()
        self._server.tasks.cancel()
        self._context.driver.cancel_timer()
        for peer in self._peers.values():
            peer.close()

    def close(self) -> None:
        """Close the file, after the loop has ended."""
        self._context.writer.store.close()

    def _is_in_service(self) -> bool:
        return not self.has_ended and not self._context.disk.is_failing

    def _execute(self, effect: Effect) -> None:
        if not self.has_ended:
            self._effects.execute(effect)

    def _end(self) -> None:
        self.has_ended = True
        self._context.writer.stop()

    # The disk

    def _write_completed(self, number: int) -> None:
        self._context.driver.feed(WriteCompleted(number))

    def _write_failed(self, error: StoreError) -> None:
        context = self._context
        context.disk.begin(context.writer.store, self.raft.replica_id, error)
        self._suspend()

    def _suspend(self) -> None:
        """Go out of service: nothing leaves that depends on the failed write, and nobody waits any longer."""
        context = self._context
        context.driver.discard_queued()
        context.writer.discard_queued()
        context.end_leadership()
        for peer in self._peers.values():
            peer.discard_queued()
        context.replies.complete_all(wire.CommandReply(outcome_known=False, reason=DISK_FAILED))
        context.watches.store_changed()

    def _resume(self, store: ReplicaStore, state: PersistentState) -> None:
        """Go on as after a restart: a new consensus core on what was read back, an empty state machine."""
        context = self._context
        context.writer.store = store
        self._seed += 1
        context.driver.raft = Raft(self.raft.replica_id, state, self._settings.timing, self._seed)
        context.applied.reset()
        context.watches.store_changed()
        context.driver.feed(Tick())

    def _fail(self, reason: str) -> None:
        self._log.error("disk_lost", reason=reason)
        self._end()
        self._suspend()
        if self._on_failed is not None:
            self._on_failed(ReplicaFailedError(reason))

    # Watches

    def _served_store(self) -> ConfigStore | None:
        """Return what watchers are served from; None while the disk fails: they go on at another replica."""
        return None if self._context.disk.is_failing else self.fleet.config_store

    def _age_us(self) -> int:
        """Return the time since a leader last confirmed that the applied state is the newest."""
        fresh_as_of_us = self.raft.fresh_as_of(self._context.applied.index)
        return UNCONFIRMED_AGE_US if fresh_as_of_us is None else self._loop.now() - fresh_as_of_us
