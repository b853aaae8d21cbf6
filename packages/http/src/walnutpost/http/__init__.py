"""An HTTP/1.1 client and server for the event loop, based on the httptools parser (RFC 9110, RFC 9112)."""

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
