"""Parsers: bytes in, complete messages out, within limits. No I/O.

They are the callbacks of httptools' parsers, which name them `on_...`.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import Any

import httptools

from walnutpost.http.errors import HttpMessageError
from walnutpost.http.messages import HEADER_ENCODING, Limits, Request, Response

HEADER_OVERHEAD_BYTES = 4  # what a header line adds to its name and value
CONTINUE_EXPECTATION = "100-continue"


class _MessageParser:
    """What both parsers share: collecting the parts of one message."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.has_partial = False  # a message has begun and is not complete
        self.has_head = False  # the head of that message is complete
        self._failure: HttpMessageError | None = None
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
        """Add a part of the request's target."""
        self._target += target
        self._count_head(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        key = name.decode(HEADER_ENCODING).lower()
        text = value.decode(HEADER_ENCODING)
        known = self._headers.get(key)
        if known is not None and key == "content-length" and known != text:
            self._fail(HttpMessageError(HTTPStatus.BAD_REQUEST, "two content lengths that differ"))
        self._headers[key] = text if known is None else f"{known}, {text}"

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._body_bytes += len(data)
        max_bytes = self._limits.max_body_bytes
        if self._body_bytes > max_bytes:
            reason = f"body of more than {max_bytes} bytes"
            self._fail(HttpMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))
        self._body_parts.append(data)

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._limits.max_head_bytes:
            self._fail(self._head_too_large())

    def _head_too_large(self) -> HttpMessageError:
        reason = f"head of more than {self._limits.max_head_bytes} bytes"
        return HttpMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)

    def _check_length(self) -> None:
        length = self._headers.get("content-length", "0")
        max_bytes = self._limits.max_body_bytes
        if length.isdigit() and int(length) > max_bytes:
            reason = f"body of {length} bytes; {max_bytes} at most"
            self._fail(HttpMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason))

    def _fail(self, error: HttpMessageError) -> None:
        """Raise through httptools, which puts an error of its own in the place of this one."""
        self._failure = self._failure or error
        raise error

    def _explain(self, error: httptools.HttpParserError) -> HttpMessageError:
        """Return the error that was raised here, else one for the parser's."""
        return self._failure or HttpMessageError(HTTPStatus.BAD_REQUEST, f"not HTTP/1.1: {error}")


class RequestParser(_MessageParser):
    """Takes bytes; `ready` has the complete requests, in order."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.ready: deque[Request] = deque()
        self.wants_continue = False  # the client waits for 100 before it sends the body
        self._parser: Any = httptools.HttpRequestParser(self)
        self._unparsed_head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse bytes. Raises HttpMessageError; requests that were complete before it are in `ready`."""
        ready_before = len(self.ready)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpMessageError(HTTPStatus.BAD_REQUEST, "upgrades are not served") from None
        except httptools.HttpParserError as error:
            raise self._explain(error) from None
        # A header line that never ends reaches no callback before it does: bytes without progress count too.
        if self.has_partial and not self.has_head and len(self.ready) == ready_before:
            self._unparsed_head_bytes += len(data)
            if self._unparsed_head_bytes > self._limits.max_head_bytes:
                raise self._head_too_large()
        else:
            self._unparsed_head_bytes = 0

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.has_head = True
        self._check_length()
        self.wants_continue = self._headers.get("expect", "").lower() == CONTINUE_EXPECTATION

    def on_message_complete(self) -> None:
        """Add the request to `ready`."""
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
    """Takes bytes of one response after another; `response` is the last complete one until taken."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.response: Response | None = None
        self.has_input = False  # any byte at all since the last complete response
        self._parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes. Raises HttpMessageError."""
        self.has_input = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._explain(error) from None

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.has_head = True
        self._check_length()

    def on_message_complete(self) -> None:
        """Set `response`, unless the message is an interim one (RFC 9110, 15.2)."""
        status = self._parser.get_status_code()
        if HTTPStatus.CONTINUE <= status < HTTPStatus.OK:
            return
        self.has_partial = False
        self.has_input = False
        body = b"".join(self._body_parts)
        self.response = Response(status, self._headers, body, self._parser.should_keep_alive())
