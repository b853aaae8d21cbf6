"""HTTP responses of a replica."""

from __future__ import annotations

from http import HTTPStatus

from walnutpost.controlplane import wire
from walnutpost.http import HttpMessageError, Response

ANOTHER_REPLICA = HTTPStatus.MISDIRECTED_REQUEST
"""Another replica is to be asked; nothing was done."""
OUTCOME_UNKNOWN = HTTPStatus.GATEWAY_TIMEOUT
"""The command may have been committed or not."""


def message_response(body: bytes) -> Response:
    """Return a response with an encoded message."""
    return Response(HTTPStatus.OK, {"Content-Type": wire.CONTENT_TYPE}, body)


def reply_response(reply: wire.CommandReply) -> Response:
    """Return the response to a command, a report or a change set, or why there is no other response."""
    without_result = ANOTHER_REPLICA if reply.outcome_known else OUTCOME_UNKNOWN
    status = HTTPStatus.OK if reply.result is not None else without_result
    return Response(status, {"Content-Type": wire.CONTENT_TYPE}, wire.encode(reply))


def protocol_error_response(error: HttpMessageError) -> Response:
    """Return the response to bytes that are no HTTP request."""
    return Response(error.status, body=str(error).encode())
