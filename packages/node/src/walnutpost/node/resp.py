"""Commands to workers and their responses: RESP arrays of bulk strings (PROTOCOL, "Front ends to executors").

No I/O. hiredis is not used because its parser doesn't limit the number of elements in an array: one malformed
line can make it allocate gigabytes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from walnutpost.gateway.messages import Message
from walnutpost.interface import Outcome, Warmth
from walnutpost.node.errors import NodeError

MAX_LENGTH_LINE_BYTES = 24
MAX_LENGTH_DIGITS = 9
RESPONSE_ELEMENTS = 4
MAX_SHORT_STRING_BYTES, MAX_FIELDS_BYTES, MAX_BODY_BYTES = 64, 2048, 128 << 10
MAX_BYTES_BY_POSITION = (MAX_SHORT_STRING_BYTES, MAX_SHORT_STRING_BYTES, MAX_FIELDS_BYTES, MAX_BODY_BYTES)
LINE_END = b"\r\n"
NO_FIELDS = b"-"
OUTCOME_BY_STATUS = {
    b"OK": Outcome.OK,
    b"MISS": Outcome.MISS,
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"VOID": Outcome.EXPIRED,
}
PROBE_OUTCOME_BY_STATUS = {b"UP": Outcome.OK, b"DOWN": Outcome.ERROR}
WARMTH_BY_DETAIL = {
    "resident": Warmth.WARM,
    "booted": Warmth.STARTED_LOAD,
    "rode": Warmth.JOINED_LOAD,
    "boot_error": Warmth.LOAD_FAILED,
}
# Names of load report values in the settings, by the short names that workers may send.
REPORT_FIELD_ALIASES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}


class MalformedResponseError(NodeError):
    """Bytes that are not a valid response; the rest of the connection's input can't be parsed."""


class Response(Message, frozen=True):
    """A worker's response to the command with this id.

    `copies` is None if the response doesn't contain a number of copies; the values of `report` are in the
    order of the settings.
    """

    id: bytes
    outcome: Outcome
    is_probe: bool
    body: bytes
    warmth: Warmth = Warmth.UNREPORTED
    crowd: int = 0
    copies: int | None = None
    report: tuple[float, ...] = ()


def encode_command(*elements: bytes) -> bytes:
    """Encode an array of bulk strings."""
    parts = [b"*%d\r\n" % len(elements)]
    for element in elements:
        parts.append(b"$%d\r\n%b\r\n" % (len(element), element))
    return b"".join(parts)


def encode_call(
    id: bytes, request_class: str, function: str, budget_us: int, body: bytes, idempotency_key: str = ""
) -> bytes:
    """Encode a call; workers recognize a retry of a keyed request by its `idempotency_key`."""
    fields = f"queue={request_class},path={function},budget={max(1, budget_us // 1000)}".encode()
    if idempotency_key:
        fields += b",uniq=" + idempotency_key.encode()
    return b"*4\r\n$2\r\nFN\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        len(id),
        id,
        len(fields),
        fields,
        len(body),
        body,
    )


def encode_kill(id: bytes) -> bytes:
    """Encode the cancellation of a call."""
    return encode_command(b"KILL", id)


def encode_spawn(id: bytes, function: str, copies: int) -> bytes:
    """Encode a load order; an order for 0 copies asks how many are loaded."""
    return encode_command(b"SPAWN", id, f"path={function},slots_up={copies}".encode())


def encode_reap(function: str) -> bytes:
    """Encode an order to unload idle copies of a function."""
    return encode_command(b"REAP", function.encode())


def encode_probe(id: bytes) -> bytes:
    """Encode a health check."""
    return encode_command(b"TOP", id)


class ResponseParser:
    """Parses the bytes of one connection into responses; buffers at most one incomplete response."""

    def __init__(self, report_fields: Iterable[str]) -> None:
        self._incomplete = b""
        self._report_fields = tuple(report_fields)

    @property
    def has_partial(self) -> bool:
        """Whether the last response is incomplete."""
        return bool(self._incomplete)

    def feed(self, data: bytes) -> tuple[list[Response], MalformedResponseError | None]:
        """Return the complete responses, and the error in the bytes that follow them, if any."""
        data = self._incomplete + data if self._incomplete else data
        responses: list[Response] = []
        position = 0
        try:
            while position < len(data):
                parsed = self._parse_array(data, position)
                if parsed is None:
                    break
                elements, position = parsed
                responses.append(self._parse_response(elements))
        except MalformedResponseError as error:
            self._incomplete = b""
            return responses, error
        self._incomplete = data[position:]
        return responses, None

    def _parse_array(self, data: bytes, position: int) -> tuple[list[bytes], int] | None:
        """Return the elements of the array at `position` and its end position; None while incomplete."""
        line, position = _parse_line(data, position)
        if line is None:
            return None
        if _parse_length(line, b"*", RESPONSE_ELEMENTS) != RESPONSE_ELEMENTS:
            raise MalformedResponseError(f"found array header {line!r}, expected four elements")
        elements: list[bytes] = []
        for max_bytes in MAX_BYTES_BY_POSITION:
            line, position = _parse_line(data, position)
            if line is None:
                return None
            end = position + _parse_length(line, b"$", max_bytes)
            if len(data) < end + 2:
                return None
            if data[end : end + 2] != LINE_END:
                raise MalformedResponseError("a bulk string is longer than its stated length")
            elements.append(data[position:end])
            position = end + 2
        return elements, position

    def _parse_response(self, elements: list[bytes]) -> Response:
        id, status, fields, body = elements
        outcome = OUTCOME_BY_STATUS.get(status) or PROBE_OUTCOME_BY_STATUS.get(status)
        if outcome is None:
            raise MalformedResponseError(f"unknown status {status!r}")
        warmth, crowd, copies = Warmth.UNREPORTED, 0, None
        report: tuple[float, ...] = ()
        if fields != NO_FIELDS:
            try:
                for pair in fields.decode("ascii").split(","):
                    name, _, value = pair.partition("=")
                    if name == "detail":
                        warmth = WARMTH_BY_DETAIL.get(value, Warmth.UNREPORTED)
                    elif name == "company":
                        crowd = int(value)
                    elif name == "slots_up":
                        copies = int(value)
                    elif name == "use":
                        report = self._parse_report(value)
            except ValueError as error:
                raise MalformedResponseError(f"fields {fields[:80]!r}: {error}") from error
        return Response(id, outcome, status in PROBE_OUTCOME_BY_STATUS, body, warmth, crowd, copies, report)

    def _parse_report(self, text: str) -> tuple[float, ...]:
        """Return the values in the order of the settings, or no values if one is missing."""
        values: dict[str, float] = {}
        for part in text.split(";"):
            name, _, value = part.partition(":")
            values[REPORT_FIELD_ALIASES.get(name, name)] = float(value)
        return _ordered_values(values, self._report_fields)


def _ordered_values(values: Mapping[str, float], names: tuple[str, ...]) -> tuple[float, ...]:
    if any(name not in values for name in names):
        return ()
    return tuple(values[name] for name in names)


def _parse_line(data: bytes, position: int) -> tuple[bytes | None, int]:
    """Return the line at `position`, or None while incomplete, and the position of the next line."""
    end = data.find(LINE_END, position, position + MAX_LENGTH_LINE_BYTES)
    if end < 0:
        if len(data) - position >= MAX_LENGTH_LINE_BYTES:
            raise MalformedResponseError("a length line has no line end")
        return None, position
    return data[position:end], end + 2


def _parse_length(line: bytes, type_byte: bytes, max_length: int) -> int:
    digits = line[1:]
    is_number = digits.isdigit() and len(digits) <= MAX_LENGTH_DIGITS
    if line[:1] != type_byte or not is_number or int(digits) > max_length:
        found = line[:MAX_LENGTH_LINE_BYTES]
        raise MalformedResponseError(f"found {found!r}, expected a length of at most {max_length}")
    return int(digits)
