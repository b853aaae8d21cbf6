"""The client of the control plane: asks any replica, then the leader, until one knows or the timeout ends."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import quote

from walnutpost.configstore import InvalidMessageError
from walnutpost.configstore import messages as config_messages
from walnutpost.configstore.messages import (
    Entry,
    Mutation,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationStatus,
)
from walnutpost.consensus import LEADER_NOT_READY, LEADERSHIP_LOST, NOT_LEADER, Members
from walnutpost.controlplane import wire
from walnutpost.controlplane.errors import ControlPlaneUnavailableError, MalformedMessageError
from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.fleet import Command, CommandResult, Fleet, encode
from walnutpost.http import Connection, HttpMessageError, Limits, Response

T = TypeVar("T", bound=config_messages.Record)
RETRY_DELAY_US = 100_000
RETRYABLE_REASONS = (NOT_LEADER, LEADER_NOT_READY, LEADERSHIP_LOST)
MAX_SHOWN_BODY_BYTES = 200


class ChangeSetOutcome(NamedTuple):
    """The outcome of a change set.

    `result`: its `index` is the new revision; for a dry run or a rejected one, the revision that it was
    validated against. `errors`: why it is invalid.
    """

    result: CommandResult
    errors: tuple[str, ...]


class ConfigContent(NamedTuple):
    """Entries of the configuration, by key, as a quorum confirmed at `revision`."""

    revision: int
    entries: list[Entry]


class ConfirmedState(NamedTuple):
    """The newest state of the fleet, and the replica that answered."""

    status: wire.ReplicaStatus
    fleet: Fleet


class ControlPlaneClient:
    """Asks the replicas one after another.

    `addresses` are by the names of replicas; `timeout_us` is for one request over all replicas,
    `attempt_timeout_us` at one. Methods that ask raise ControlPlaneUnavailableError, or MalformedMessageError
    for an invalid response.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: Mapping[str, tuple[str, int]],
        timeout_us: int,
        attempt_timeout_us: int,
    ) -> None:
        self._loop = loop
        self._addresses = dict(addresses)
        self._timeout_us = timeout_us
        self._attempt_timeout_us = attempt_timeout_us
        self._leader = ""

    @property
    def replicas(self) -> tuple[str, ...]:
        """The names of the replicas."""
        return tuple(self._addresses)

    def command(self, request_id: str, command: Command) -> CommandResult:
        """Have a command committed and return its result; a repeated id gets the first one's result."""
        request = wire.CommandRequest(request_id, encode(command, time.time()))
        return self._result(wire.COMMANDS_PATH, wire.encode(request))

    def change_members(self, request_id: str, members: Members) -> CommandResult:
        """Change the set of replicas by one step."""
        return self._result(wire.MEMBERS_PATH, wire.encode(wire.MembershipRequest(request_id, members)))

    def report(self, report: wire.Report) -> wire.CommandReply:
        """Report to the leader; its reply has the endpoint list if it has a newer one."""
        return wire.decode(self._ask("POST", wire.REPORTS_PATH, wire.encode(report)).body, wire.CommandReply)

    def history(self, replica: str, after: int, max_entries: int) -> wire.History:
        """Return the entries that this replica has after index `after`."""
        target = f"{wire.HISTORY_PATH}?after={after}&most={max_entries}"
        return self._ask_replica(replica, target, wire.History)

    def submit_change_set(
        self,
        request_id: str,
        mutations: Sequence[Mutation],
        is_dry_run: bool = False,
        operator: str = "",
        read_revision: int = 0,
    ) -> ChangeSetOutcome:
        """Have a change set of the configuration committed, atomically.

        A repeated `request_id` gets the first one's result. `read_revision`: reject if one of the
        keys has changed since that revision; 0 accepts any.
        """
        request = wire.ChangeSetRequest(
            request_id, tuple(mutations), is_dry_run, operator, read_revision=read_revision
        )
        body = self._ask("POST", wire.CHANGE_PATH, wire.encode(request)).body
        reply = wire.decode(body, wire.CommandReply)
        assert reply.result is not None
        return ChangeSetOutcome(reply.result, reply.errors)

    def entries(self, kind: str = "", key: str = "") -> ConfigContent:
        """Return the configuration's entries: all, of a kind, or of a key."""
        body = self._ask("GET", f"{wire.ENTRIES_PATH}?kind={quote(kind)}&key={quote(key)}", b"").body
        response = wire.decode(body, wire.ConfigEntries)
        return ConfigContent(response.revision, list(response.entries))

    def report_progress(self, summary: ProgressSummary) -> ProgressSummaryResponse:
        """Report a relay's members to the leader."""
        body = config_messages.encode(summary)
        return self._ask_config("POST", config_messages.PROGRESS_PATH, body, ProgressSummaryResponse)

    def status(self) -> PropagationStatus:
        """Return which member has applied which revision of the configuration, as the leader knows."""
        return self._ask_config("GET", config_messages.STATUS_PATH, b"", PropagationStatus)

    def _ask_config(self, method: str, target: str, body: bytes, kind: type[T]) -> T:
        try:
            return config_messages.decode(self._ask(method, target, body).body, kind)
        except InvalidMessageError as error:
            raise ControlPlaneUnavailableError(str(error)) from error

    def state(self) -> ConfirmedState:
        """Return what a quorum confirms to be the newest state, without the configuration (see `entries`)."""
        status = wire.decode(self._ask("GET", wire.STATE_PATH, b"").body, wire.ReplicaStatus)
        return ConfirmedState(status, Fleet.restore(status.state))

    def local_status(self, replica: str) -> wire.ReplicaStatus:
        """Return what this replica has, however old."""
        return self._ask_replica(replica, f"{wire.STATE_PATH}?{wire.LOCAL_QUERY}", wire.ReplicaStatus)

    def failing_disks(self) -> dict[str, str]:
        """Return the reason for each replica that reports that its disk fails; all are asked at once."""
        found: dict[str, str] = {}

        def ask(replica: str) -> None:
            with suppress(ControlPlaneUnavailableError):
                reason = self.local_status(replica).disk_failure
                if isinstance(reason, str):
                    found[replica] = reason

        with TaskGroup(self._loop) as group:
            for replica in self._addresses:
                group.spawn(ask, replica, name="disk state")
        return dict(sorted(found.items()))

    def _ask_replica(self, replica: str, target: str, kind: type[wire.T]) -> wire.T:
        try:
            with self._loop.timeout(self._attempt_timeout_us):
                return wire.decode(self._exchange(replica, "GET", target, b"").body, kind)
        except (OSError, HttpMessageError, WaitTimeoutError, MalformedMessageError) as error:
            raise ControlPlaneUnavailableError(f"{replica}: {error}") from error

    def _result(self, target: str, body: bytes) -> CommandResult:
        result = wire.decode(self._ask("POST", target, body).body, wire.CommandReply).result
        assert result is not None
        return result

    def _ask(self, method: str, target: str, body: bytes) -> Response:
        """Return the first definite response, with status 200."""
        deadline_us = self._loop.now() + self._timeout_us
        reason = "nobody was asked"
        queue = list(self._addresses)
        while queue and self._loop.now() < deadline_us:
            replica = self._leader or queue[0]
            queue.append(queue.pop(0))
            self._leader = ""
            remaining_us = max(1, deadline_us - self._loop.now())
            try:
                with self._loop.timeout(min(self._attempt_timeout_us, remaining_us)):
                    response = self._exchange(replica, method, target, body)
            except (OSError, HttpMessageError, WaitTimeoutError) as error:
                reason = f"{replica}: {type(error).__name__} {error}"
                self._loop.sleep(RETRY_DELAY_US)
                continue
            if response.status == HTTPStatus.OK:
                self._leader = replica
                return response
            reply = _decode_rejection(replica, response)
            reason = f"{replica}: {reply.reason}"
            if reply.outcome_known and reply.reason not in RETRYABLE_REASONS:
                result = CommandResult(False, 0, reply.reason)
                return Response(HTTPStatus.OK, body=wire.encode(wire.CommandReply(result)))
            if reply.leader in self._addresses and reply.leader != replica:
                self._leader = reply.leader
            else:
                self._loop.sleep(RETRY_DELAY_US)
        raise ControlPlaneUnavailableError(reason)

    def _exchange(self, replica: str, method: str, target: str, body: bytes) -> Response:
        limits = Limits(max_body_bytes=wire.MAX_BODY_BYTES)
        connection = Connection.open(self._loop, self._addresses[replica], limits=limits)
        try:
            return connection.request(method, target, {"Content-Type": wire.CONTENT_TYPE}, body)
        finally:
            connection.close()


def _decode_rejection(replica: str, response: Response) -> wire.CommandReply:
    """Decode the body of a response that has no status 200."""
    try:
        return wire.decode(response.body, wire.CommandReply)
    except MalformedMessageError:
        shown = response.body[:MAX_SHOWN_BODY_BYTES]
        raise ControlPlaneUnavailableError(f"{replica}: {response.status} {shown!r}") from None
