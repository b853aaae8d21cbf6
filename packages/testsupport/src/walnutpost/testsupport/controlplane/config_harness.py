"""Replicas as processes with a configuration store, and a watcher of one replica."""

from __future__ import annotations

from contextlib import suppress

from walnutpost.configstore.messages import (
    AGE_HEADER,
    WATCH_PATH,
    Mutation,
    WatchResponse,
    decode,
    encode,
)
from walnutpost.configstore.watch_state import WatchState
from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Limits, Response
from walnutpost.testsupport.controlplane.replica_processes import SECOND, ReplicaProcesses

REPLY_TIMEOUT_US = 60 * SECOND  # a limit for tests; normal replies arrive long before


class CheckedProcesses(ReplicaProcesses):
    """Replicas with a check of change sets (`checked_replica`), which take a snapshot every few entries."""

    program = ("-m", "walnutpost.testsupport.controlplane.checked_replica")
    times = ReplicaProcesses.times | {"log_most": 10}


def op(key: str, value: str | None) -> Mutation:
    """Return a mutation that sets a key or, without a value, deletes it."""
    return Mutation(key, None if value is None else value.encode())


def entries(cluster: ReplicaProcesses) -> dict[str, bytes]:
    """Return the configuration's entries as a quorum confirms them."""
    return {entry.key: entry.value for entry in cluster.client().entries()[1]}


class ReplicaWatcher:
    """Watches one replica, request by request, as a relay does.

    `age_us`: the age bound of the last response.
    """

    def __init__(self, cluster: ReplicaProcesses, name: str) -> None:
        self.loop: Loop = cluster.loop
        self._cluster = cluster
        self.name = name
        self.state = WatchState("", "", self.loop.now())
        self.age_us = 10**15
        self.revisions: list[int] = []

    def ask(self, wait_timeout_us: int = 0) -> WatchResponse | None:
        """Send one watch request and handle its response.

        Return None if the replica has nothing newer. Raises ControlPlaneUnavailableError.
        """
        try:
            with self.loop.timeout(REPLY_TIMEOUT_US):
                response = self._exchange(encode(self.state.next_request(wait_timeout_us)))
        except (OSError, HttpMessageError, WaitTimeoutError) as error:
            raise ControlPlaneUnavailableError(f"{self.name}: {error}") from error
        assert response.status in (200, 204), response
        self.age_us = int(response.headers[AGE_HEADER.lower()])
        page = decode(response.body, WatchResponse) if response.status == 200 else None
        self.state.handle_response(self.loop.now(), page, self.age_us)
        self.revisions.append(self.state.store.revision)
        assert self.revisions == sorted(self.revisions), "an older revision after a newer one"
        return page

    def _exchange(self, body: bytes) -> Response:
        address = self._cluster.address_of(self.name)
        if address is None:
            raise OSError("it is not up")
        connection = Connection.open(self.loop, address, limits=Limits(max_body_bytes=1 << 20))
        try:
            return connection.request("POST", WATCH_PATH, {"Content-Type": "application/msgpack"}, body)
        finally:
            connection.close()

    def reach(self, revision: int) -> None:
        """Send requests until the replica has this revision."""

        def has_reached() -> bool:
            with suppress(ControlPlaneUnavailableError):
                self.ask()
            return self.state.store.revision >= revision

        self._cluster.wait_until(has_reached)

    def become_fresh(self) -> None:
        """Send requests until a leader has just confirmed the replica's state."""

        def is_fresh() -> bool:
            with suppress(ControlPlaneUnavailableError):
                self.ask()
            return self.age_us < SECOND

        self._cluster.wait_until(is_fresh)
