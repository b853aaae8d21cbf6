"""Requests to a replica: messages of its peers, commands, reports, history and state."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

from msgspec import UNSET

from walnutpost.configstore import InvalidMessageError
from walnutpost.configstore import messages as config_messages
from walnutpost.consensus import NOT_LEADER, ChangeMembership, MessageReceived
from walnutpost.controlplane import wire
from walnutpost.controlplane.config_requests import ConfigRequestHandler
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.errors import MalformedMessageError
from walnutpost.controlplane.history import describe_entry
from walnutpost.controlplane.responses import message_response, reply_response
from walnutpost.fleet import CallCounts, CommandResult, MemberReport, endpoint_snapshot
from walnutpost.http import Exchange, Response

DISK_FAILED = "its disk failed before it had an answer"
MAX_HISTORY_RESPONSE_ENTRIES = 10_000
DEFAULT_HISTORY_RESPONSE_ENTRIES = "1000"
Handler = Callable[[Exchange, str], Response]


class RequestHandler:
    """Answers the HTTP requests to the replica behind `context`, each in the task of its connection."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        config = ConfigRequestHandler(context)
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", wire.MESSAGES_PATH): self._receive_messages,
            ("POST", wire.COMMANDS_PATH): self._submit_command,
            ("POST", wire.MEMBERS_PATH): self._change_members,
            ("POST", wire.REPORTS_PATH): self._receive_report,
            ("GET", wire.HISTORY_PATH): self._history,
            ("GET", wire.STATE_PATH): self._state,
            ("POST", wire.CHANGE_PATH): config.submit_change_set,
            ("POST", config_messages.WATCH_PATH): config.watch,
            ("POST", config_messages.PROGRESS_PATH): config.receive_progress,
            ("GET", config_messages.STATUS_PATH): config.propagation_status,
            ("GET", wire.ENTRIES_PATH): config.entries,
        }

    def serve(self, exchange: Exchange) -> Response:
        """Answer one request: 400 for a malformed message, 404 for an unknown target."""
        request = exchange.request
        path, _, query = request.target.decode("ascii", "replace").partition("?")
        handler = self._handlers.get((request.method, path))
        if handler is None:
            return Response(HTTPStatus.NOT_FOUND, body=b"no such thing here")
        try:
            return handler(exchange, query)
        except (MalformedMessageError, InvalidMessageError) as error:
            return Response(HTTPStatus.BAD_REQUEST, body=str(error).encode())

    def _receive_messages(self, exchange: Exchange, _query: str) -> Response:
        batch = wire.decode(exchange.request.body, wire.PeerMessages)
        for message in batch.messages:
            self._context.driver.feed(MessageReceived(batch.to, message))
        return Response(HTTPStatus.NO_CONTENT)

    def _submit_command(self, exchange: Exchange, _query: str) -> Response:
        request = wire.decode(exchange.request.body, wire.CommandRequest)
        return reply_response(self._context.submitter.submit_command(request.id, request.command))

    def _change_members(self, exchange: Exchange, _query: str) -> Response:
        request = wire.decode(exchange.request.body, wire.MembershipRequest)
        event = ChangeMembership(request.id, request.members)
        return reply_response(self._context.submitter.submit(request.id, event))

    def _receive_report(self, exchange: Exchange, _query: str) -> Response:
        report = wire.decode(exchange.request.body, wire.Report)
        return reply_response(self._record_report(report))

    def _record_report(self, report: wire.Report) -> wire.CommandReply:
        context = self._context
        if context.leadership is None:
            return wire.CommandReply(reason=NOT_LEADER, leader=context.submitter.leader)
        now, applied = context.loop.now(), context.applied
        state = applied.fleet.state
        counts = None if report.call_counts is None else CallCounts(*report.call_counts)
        member_report = MemberReport(report.member, report.incarnation, report.applied_index, counts)
        is_known = context.leadership.monitor.report(now, member_report, state)
        error = "" if is_known else f"{report.member} is not {report.incarnation} here"
        result = CommandResult(is_known, applied.index, error)
        if report.applied_index is None or state.endpoints_index <= report.applied_index:
            return wire.CommandReply(result)
        endpoints = endpoint_snapshot(state, now, applied.endpoint_ages)
        return wire.CommandReply(result, endpoints=endpoints)

    def _history(self, _exchange: Exchange, query: str) -> Response:
        """Return committed entries after the index `after`, at most `most`, oldest first."""
        context = self._context
        if context.disk.is_failing:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, body=DISK_FAILED.encode())
        fields = parse_qs(query)
        try:
            after = int(fields.get("after", ["0"])[0])
            max_entries = int(fields.get("most", [DEFAULT_HISTORY_RESPONSE_ENTRIES])[0])
        except ValueError:
            return Response(HTTPStatus.BAD_REQUEST, body=b"after and most: whole numbers are wanted")
        applied = context.applied
        max_entries = min(max_entries, MAX_HISTORY_RESPONSE_ENTRIES)
        page = context.writer.store.read_history(after, max_entries, applied.index)
        results = applied.fleet.state.results
        entries = tuple(describe_entry(entry, results) for entry in page.entries)
        return message_response(wire.encode(wire.History(page.first_index, entries)))

    def _state(self, _exchange: Exchange, query: str) -> Response:
        """Return what this replica has, however old, or with an empty query what a quorum confirms."""
        is_local = query == wire.LOCAL_QUERY
        if not is_local:
            confirmation = self._context.submitter.confirm()
            if confirmation.reason:
                return reply_response(confirmation)
        return message_response(wire.encode(self._status(is_confirmed=not is_local)))

    def _status(self, is_confirmed: bool) -> wire.ReplicaStatus:
        context = self._context
        raft, leadership = context.driver.raft, context.leadership
        return wire.ReplicaStatus(
            index=context.applied.index,
            replica=context.settings.name,
            leader=context.submitter.leader,
            term=raft.term,
            members=raft.members,
            state=context.applied.fleet.snapshot(config_store=False),
            is_confirmed=is_confirmed,
            pending_verdicts={} if leadership is None else dict(leadership.monitor.pending_verdicts),
            disk_failure=context.disk.reason or UNSET,
        )
