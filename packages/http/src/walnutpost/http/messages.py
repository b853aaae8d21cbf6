"""Requests, responses, their limits and their encoding (RFC 9112). Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
UNKNOWN_REASON_PHRASE = "Unknown"
HEADER_ENCODING = "latin-1"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of the head and body of a message, and on the time that each may take to arrive."""

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 6 * 1024 * 1024
    head_timeout_us: int = 10_000_000
    body_timeout_us: int = 30_000_000
    idle_timeout_us: int = 75_000_000  # between two requests on a connection


@dataclass(slots=True)
class Request:
    """A complete request.

    Header names are in lower case. The values of a repeated header are joined with ", ".
    """

    method: str
    target: bytes
    headers: dict[str, str]
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response:
    """A complete response, with headers as in Request."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


def encode_response(response: Response) -> bytes:
    """Encode a response; add its content-length, and `connection: close` unless `keep_alive` is set."""
    reason_phrase = REASON_PHRASES.get(response.status, UNKNOWN_REASON_PHRASE)
    connection_header = "" if response.keep_alive else "connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {reason_phrase}\r\n{_header_lines(response.headers)}{connection_header}"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode(HEADER_ENCODING, "replace") + response.body


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request; add the host and content-length headers."""
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{_header_lines(headers)}"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode(HEADER_ENCODING, "replace") + body


def _header_lines(headers: dict[str, str]) -> str:
    for name, value in headers.items():
        if "\r" in value or "\n" in value:  # prevents header injection by untrusted values
            headers = {**headers, name: value.replace("\r", " ").replace("\n", " ")}
    return "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
