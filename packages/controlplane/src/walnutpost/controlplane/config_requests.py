"""Requests about the configuration: change sets, watches, relays' reports, entries and propagation status."""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import parse_qs

from walnutpost.configstore import messages as config_messages
from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import NOT_LEADER
from walnutpost.controlplane import wire
from walnutpost.controlplane.context import ReplicaContext
from walnutpost.controlplane.responses import message_response, reply_response
from walnutpost.http import Exchange, Response


class ConfigRequestHandler:
    """Answers the requests of relays and of `walnutpost config` to the replica behind `context`."""

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context

    def submit_change_set(self, exchange: Exchange, _query: str) -> Response:
        """Validate a change set and have it committed."""
        return reply_response(self._context.changes.submit(exchange.request.body))

    def watch(self, exchange: Exchange, _query: str) -> Response:
        """Answer one long poll."""
        return self._context.watches.handle(exchange.request.body, exchange.stream)

    def receive_progress(self, exchange: Exchange, _query: str) -> Response:
        """Record a relay's report, as leader."""
        context = self._context
        summary = config_messages.decode(exchange.request.body, config_messages.ProgressSummary)
        if context.leadership is None:
            return self._not_leader()
        response = context.leadership.progress.handle_summary(context.loop.now(), summary)
        return message_response(config_messages.encode(response))

    def propagation_status(self, _exchange: Exchange, _query: str) -> Response:
        """Return which member has applied which revision, as a confirmed leader knows."""
        context = self._context
        confirmation = context.submitter.confirm()
        if confirmation.reason:
            return reply_response(confirmation)
        if context.leadership is None:
            return self._not_leader()
        fleet = context.applied.fleet
        status = context.leadership.progress.status(
            context.loop.now(), fleet.config_store, fleet.state.followers
        )
        return message_response(config_messages.encode(status))

    def entries(self, _exchange: Exchange, query: str) -> Response:
        """Return the entries of one `kind`, the one under `key`, or all."""
        confirmation = self._context.submitter.confirm()
        if confirmation.reason:
            return reply_response(confirmation)
        fields = parse_qs(query)
        kind = fields.get("kind", [""])[0]
        wanted_key = fields.get("key", [""])[0]
        store = self._context.applied.fleet.config_store
        keys = _matching_keys(store, kind, wanted_key)
        body = wire.encode(wire.ConfigEntries(store.revision, tuple(store.entries[key] for key in keys)))
        if len(body) > wire.MAX_BODY_BYTES:
            error = (
                f"entries: found {len(body)} bytes, wanted {wire.MAX_BODY_BYTES} at most: ask for one kind"
            )
            return Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, body=error.encode())
        return message_response(body)

    def _not_leader(self) -> Response:
        return reply_response(wire.CommandReply(reason=NOT_LEADER, leader=self._context.submitter.leader))


def _matching_keys(store: ConfigStore, kind: str, wanted_key: str) -> list[str]:
    """Return the key that is asked for if there is one, or the keys of a kind, all for an empty one."""
    if wanted_key:
        return [wanted_key] if wanted_key in store.entries else []
    return sorted(key for key in store.entries if not kind or key.startswith(f"{kind}/"))
