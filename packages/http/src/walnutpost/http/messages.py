"""Requests, responses and their limits, and how both are encoded (RFC 9112). No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

REASONS = {status.value: status.phrase for status in HTTPStatus}
UNKNOWN_REASON = "Unknown"
HEADER_ENCODING = "latin-1"


@dataclass(frozen=True, slots=True)
class Limits:
    """How large the head and the body of a message may be, and how long each may take to arrive."""

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 6 * 1024 * 1024
    head_timeout_us: int = 10_000_000
    body_timeout_us: int = 30_000_000
    idle_timeout_us: int = 75_000_000  # between two requests on one connection


@dataclass(slots=True)
class Request:
    """A complete request.

    Names of headers are in lower case; the values of a repeated one are joined by ", ".
    """

    method: str
    target: bytes
    headers: dict[str, str]
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response:
    """A complete response; headers as in Request."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


def encode_response(response: Response) -> bytes:
    """Encode a response; its length is added, and that the connection closes where it does."""
    reason = REASONS.get(response.status, UNKNOWN_REASON)
    close = "" if response.keep_alive else "connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {reason}\r\n{_header_lines(response.headers)}{close}"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode(HEADER_ENCODING, "replace") + response.body


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request; its host and length are added."""
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{_header_lines(headers)}"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode(HEADER_ENCODING, "replace") + body


def _header_lines(headers: dict[str, str]) -> str:
    for name, value in headers.items():
        if "\r" in value or "\n" in value:  # a value from outside must not start a header of its own
            headers = {**headers, name: value.replace("\r", " ").replace("\n", " ")}
    return "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
