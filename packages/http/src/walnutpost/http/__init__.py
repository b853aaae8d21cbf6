"""HTTP/1.1 on the scheduler, for both sides, around the httptools parser (RFC 9110 and 9112)."""

from walnutpost.http.client import Connection
from walnutpost.http.messages import BadMessage, Limits, Request, Response, encode_request, encode_response
from walnutpost.http.server import Exchange, Server

__all__ = [
    "BadMessage",
    "Connection",
    "Exchange",
    "Limits",
    "Request",
    "Response",
    "Server",
    "encode_request",
    "encode_response",
]
