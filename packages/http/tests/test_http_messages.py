"""Parsing and encoding of HTTP messages."""

from __future__ import annotations

from walnutpost.http import encode_request
from walnutpost.http.parsing import RequestParser
from walnutpost.testsupport.http.fixtures import LIMITS


def test_requests_parse_identically_however_their_bytes_are_split() -> None:
    data = encode_request("POST", "/a?b=c", "h", {"x": "1", "y": "2"}, b"body") * 2
    for cut in range(len(data)):
        parser = RequestParser(LIMITS)
        parser.feed(data[:cut])
        parser.feed(data[cut:])
        assert [(r.target, r.body, r.headers["y"]) for r in parser.ready] == [(b"/a?b=c", b"body", "2")] * 2


def test_line_break_in_a_header_value_does_not_start_another_header() -> None:
    data = encode_request("GET", "/", "h", {"x": "1\r\ny: 2"})
    assert b"\r\ny:" not in data
