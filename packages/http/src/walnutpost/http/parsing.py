"""Parsers that turn bytes into complete messages and enforce the limits. They do no I/O.

httptools calls the methods named `on_...`.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import Any

import httptools

from walnutpost.http.errors import HttpMessageError
from walnutpost.http.messages import HEADER_ENCODING, Limits, Request, Response

HEADER_OVERHEAD_BYTES = 4  # bytes of a header line besides name and value: ": " and CRLF
CONTINUE_EXPECTATION = "100-continue"


class _MessageParser:
    """The common part of both parsers, which collects the parts of a message."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.has_partial = False  # a message has begun but is not complete
        self.has_head = False  # the head of that message is complete
        self._first_error: HttpMessageError | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._target = b""

    def on_message_begin(self) -> None:
        """Start a message."""
        self.has_partial = True
        self.has_head = False
        self._reset()

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._target += target
        self._count_head_bytes(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._count_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        key = name.decode(HEADER_ENCODING).lower()
        text = value.decode(HEADER_ENCODING)
        previous_value = self._headers.get(key)
        if previous_value is not None and key == "content-length" and previous_value != text:
            self._raise_error(HttpMessageError(HTTPStatus.BAD_REQUEST, "two content lengths that differ"))
        self._headers[key] = text if previous_value is None else f"{previous_value}, {text}"

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body_bytes += len(data)
        max_bytes = self._limits.max_body_bytes
        if self._body_bytes > max_bytes:
            reason = f"body of more than {max_bytes} bytes"
            self._raise_error(HttpMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))
        self._body_parts.append(data)

    def _count_head_bytes(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._limits.max_head_bytes:
            self._raise_error(self._head_too_large_error())

    def _head_too_large_error(self) -> HttpMessageError:
        reason = f"head of more than {self._limits.max_head_bytes} bytes"
        return HttpMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)

    def _check_content_length(self) -> None:
        length = self._headers.get("content-length", "0")
        max_bytes = self._limits.max_body_bytes
        if length.isdigit() and int(length) > max_bytes:
            reason = f"body of {length} bytes; {max_bytes} at most"
            self._raise_error(HttpMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))

    def _raise_error(self, error: HttpMessageError) -> None:
        """Remember and raise `error`; httptools replaces it by an error of its own."""
        self._first_error = self._first_error or error
        raise error

    def _to_message_error(self, error: httptools.HttpParserError) -> HttpMessageError:
        """Return the error that a callback raised, or else a new one for the error of httptools."""
        return self._first_error or HttpMessageError(HTTPStatus.BAD_REQUEST, f"not HTTP/1.1: {error}")


class RequestParser(_MessageParser):
    """Parses requests; `ready` holds the complete ones, in order."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.ready: deque[Request] = deque()
        self.wants_continue = False  # the client waits for a 100 response before it sends the body
        self._parser: Any = httptools.HttpRequestParser(self)
        self._unparsed_head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes. Raises HttpMessageError; `ready` then has the requests before the error."""
        ready_before = len(self.ready)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(HTTPStatus.BAD_REQUEST, "upgrades are not served") from None
        except httptools.HttpParserError as error:
            raise self._to_message_error(error) from None
        # httptools reports a line only when it is complete, so count the bytes of an unfinished one here.
        if self.has_partial and not self.has_head and len(self.ready) == ready_before:
            self._unparsed_head_bytes += len(data)
            if self._unparsed_head_bytes > self._limits.max_head_bytes:
                raise self._head_too_large_error()
        else:
            self._unparsed_head_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the headers."""
        self.has_head = True
        self._check_content_length()
        self.wants_continue = self._headers.get("expect", "").lower() == CONTINUE_EXPECTATION

    def on_message_complete(self) -> None:
        """Append the request to `ready`."""
        self.has_partial = False
        self.wants_continue = False
        self.ready.append(
            Request(
                self._parser.get_method().decode(HEADER_ENCODING),
                self._target,
                self._headers,
                b"".join(self._body_parts),
                self._parser.should_keep_alive(),
            )
        )


class ResponseParser(_MessageParser):
    """Parses consecutive responses; `response` is the last complete one, until the caller clears it."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.response: Response | None = None
        self.has_input = False  # any bytes have arrived since the last complete response
        self._parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes. Raises HttpMessageError."""
        self.has_input = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._to_message_error(error) from None

    def on_headers_complete(self) -> None:
        """Check the headers."""
        self.has_head = True
        self._check_content_length()

    def on_message_complete(self) -> None:
        """Set `response`, unless the message is an interim response (RFC 9110, 15.2)."""
        status = self._parser.get_status_code()
        if HTTPStatus.CONTINUE <= status < HTTPStatus.OK:
            return
        self.has_partial = False
        self.has_input = False
        body = b"".join(self._body_parts)
        self.response = Response(status, self._headers, body, self._parser.should_keep_alive())
