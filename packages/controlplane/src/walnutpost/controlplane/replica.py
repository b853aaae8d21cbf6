"""One replica of the control plane: consensus on its disk and its network, and the requests of clients."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.consensus import Effect, Raft, Role, Tick, TransferLeadership
from walnutpost.controlplane import wire
from walnutpost.controlplane.composition import ReplicaCallbacks, build_context, connect_peers
from walnutpost.controlplane.disk_outage import ServiceSuspension
from walnutpost.controlplane.effects import EffectExecutor
from walnutpost.controlplane.errors import ReplicaFailedError
from walnutpost.controlplane.replica_file import OpenStore, ReplicaFile
from walnutpost.controlplane.requests import RequestHandler
from walnutpost.controlplane.responses import protocol_error_response
from walnutpost.controlplane.settings import Address, ReplicaSettings
from walnutpost.eventloop import Logger, Loop
from walnutpost.fleet import Fleet
from walnutpost.http import Limits, Server
from walnutpost.http.server import start_server
from walnutpost.store.replica import ConsensusStore
from walnutpost.watch.serving import WatchServer


class ControlPlaneReplica:
    """A running replica; it starts when it is created. Call `stop`, and `close` after the end of the loop.

    Raises StoreError, and OSError if it can't listen. `on_failed` is called once if the replica fails for
    good. `open_store` opens its file.
    """

    def __init__(
        self,
        loop: Loop,
        settings: ReplicaSettings,
        log: Logger,
        seed: int,
        on_failed: Callable[[ReplicaFailedError], None] | None = None,
        open_store: OpenStore = ConsensusStore,
    ) -> None:
        self.name = settings.name
        self.has_ended = False
        self._loop = loop
        self._settings = settings
        self._log = log
        self._on_failed = on_failed
        file = ReplicaFile(loop, settings, open_store)
        store = file.open()
        stored = file.load_or_create(store, seed, log)
        self._peers = connect_peers(loop, settings)
        callbacks = ReplicaCallbacks(
            execute=self._execute,
            is_in_service=self._is_in_service,
            write_failed=lambda error: self._outage.begin(error),
            reopen=file.open,
            resume=lambda reopened, state: self._outage.resume(reopened, state),
            fail=self._fail,
        )
        raft = Raft(stored.identity, stored.state, settings.timing, seed)
        self._context = build_context(loop, settings, store, raft, callbacks, log)
        self._outage = ServiceSuspension(self._context, self._peers, seed)
        self._effects = EffectExecutor(self._context, self._peers, self._fail, log)
        self._server = self._listen()
        self._context.driver.feed(Tick())
        log.info("control_plane_listening", replica=stored.identity, address="{}:{}".format(*self.address))

    def _listen(self) -> Server:
        return start_server(
            self._loop,
            self._settings.listen,
            RequestHandler(self._context).serve,
            protocol_error_response,
            Limits(max_body_bytes=wire.MAX_BODY_BYTES),
            role="control_plane",
            log=self._log,
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

    def _fail(self, reason: str) -> None:
        self._log.error("disk_lost", reason=reason)
        self._end()
        self._outage.suspend()
        if self._on_failed is not None:
            self._on_failed(ReplicaFailedError(reason))
