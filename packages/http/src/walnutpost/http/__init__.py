"""HTTP/1.1 on the event loop, for both sides, around the httptools parser (RFC 9110 and 9112)."""

from walnutpost.http.client import Connection
from walnutpost.http.errors import HttpError, HttpMessageError
from walnutpost.http.messages import Limits, Request, Response, encode_request, encode_response
from walnutpost.http.server import Exchange, Server

__all__ = [
    "Connection",
    "Exchange",
    "HttpError",
    "HttpMessageError",
    "Limits",
    "Request",
    "Response",
    "Server",
    "encode_request",
    "encode_response",
]
