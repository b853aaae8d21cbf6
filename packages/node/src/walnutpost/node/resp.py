"""Commands to workers and their answers: RESP arrays of bulk strings (PROTOCOL, "Front ends to executors").

No I/O. hiredis was weighed for the reading and left: its reader sets no bound on the elements of an array,
so one malformed line has it reserve gigabytes.
"""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.gateway.messages import Message
from walnutpost.interface import Outcome, Warmth

HEAD_MOST = 24  # bytes of a line that tells a length
WORD_MOST, FIELDS_MOST, BODY_MOST = 64, 2048, 128 << 10
END = b"\r\n"
OUTCOMES = {
    b"OK": Outcome.OK,
    b"MISS": Outcome.MISS,
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"VOID": Outcome.MOOT,
}
PROBES = {b"UP": Outcome.OK, b"DOWN": Outcome.ERROR}
NOTES = {
    "resident": Warmth.WARM,
    "booted": Warmth.STARTED_LOAD,
    "rode": Warmth.JOINED_LOAD,
    "boot_error": Warmth.LOAD_FAILED,
}
# The simulator's names of report values, by the short ones that the sockets may carry.
SHORT = {"inflight": "outstanding", "queue": "backlog", "util": "utilization", "latency_ms": "recent_ms"}
SHORT |= {"qps": "throughput", "eps": "errors_per_s"}


class MalformedAnswer(Exception):
    """What came is no answer; nothing that follows on that connection can be trusted."""


class Answer(Message, frozen=True):
    """`copies` is absent where the answer doesn't tell any; `report` in the settings' order."""

    id: bytes
    outcome: Outcome
    probe: bool
    body: bytes
    warmth: Warmth = Warmth.UNREPORTED
    crowd: int = 0
    copies: int | None = None
    report: tuple[float, ...] = ()


def command(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.append(b"$%d\r\n%b\r\n" % (len(word), word))
    return b"".join(parts)


def call(id: bytes, queue: str, path: str, budget: int, body: bytes, repeat_key: str = "") -> bytes:
    """`budget` in microseconds. `repeat_key` is what a worker knows a repeat of a keyed request by."""
    fields = f"queue={queue},path={path},budget={max(1, budget // 1000)}".encode()
    if repeat_key:
        fields += b",uniq=" + repeat_key.encode()
    return b"*4\r\n$2\r\nFN\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
        len(id),
        id,
        len(fields),
        fields,
        len(body),
        body,
    )


def kill(id: bytes) -> bytes:
    return command(b"KILL", id)


def spawn(tag: bytes, path: str, copies: int) -> bytes:
    return command(b"SPAWN", tag, f"path={path},slots_up={copies}".encode())


def reap(path: str) -> bytes:
    return command(b"REAP", path.encode())


def probe(tag: bytes) -> bytes:
    return command(b"TOP", tag)


def _length(line: bytes, mark: bytes, most: int) -> int:
    digits = line[1:]
    if line[:1] != mark or not digits.isdigit() or len(digits) > 9 or int(digits) > most:
        raise MalformedAnswer(f"found {line[:HEAD_MOST]!r}, wanted a length of at most {most}")
    return int(digits)


class Reader:
    """Bytes of one connection to answers; holds no more than one answer may have."""

    def __init__(self, report_fields: Iterable[str]) -> None:
        self._incomplete = b""
        self._fields = tuple(report_fields)

    @property
    def partial(self) -> bool:
        """Whether an answer has come in part."""
        return bool(self._incomplete)

    def feed(self, data: bytes) -> tuple[list[Answer], MalformedAnswer | None]:
        """The whole answers, and what is wrong with what follows them, if anything is."""
        data = self._incomplete + data if self._incomplete else data
        answers: list[Answer] = []
        at = 0
        try:
            while at < len(data):
                whole = self._one(data, at)
                if whole is None:
                    break
                words, at = whole
                answers.append(self._answer(words))
        except MalformedAnswer as error:
            self._incomplete = b""
            return answers, error
        self._incomplete = data[at:]
        return answers, None

    def _one(self, data: bytes, at: int) -> tuple[list[bytes], int] | None:
        """The words of the array that begins at `at`, and where it ends; None while it isn't whole."""
        line, at = self._line(data, at)
        if line is None:
            return None
        if _length(line, b"*", 4) != 4:
            raise MalformedAnswer(f"found an array {line!r}, wanted four words")
        words: list[bytes] = []
        for most in (WORD_MOST, WORD_MOST, FIELDS_MOST, BODY_MOST):
            line, at = self._line(data, at)
            if line is None:
                return None
            end = at + _length(line, b"$", most)
            if len(data) < end + 2:
                return None
            if data[end : end + 2] != END:
                raise MalformedAnswer("a string is longer than its length tells")
            words.append(data[at:end])
            at = end + 2
        return words, at

    @staticmethod
    def _line(data: bytes, at: int) -> tuple[bytes | None, int]:
        end = data.find(END, at, at + HEAD_MOST)
        if end < 0:
            if len(data) - at >= HEAD_MOST:
                raise MalformedAnswer("a line that tells a length doesn't end")
            return None, at
        return data[at:end], end + 2

    def _answer(self, words: list[bytes]) -> Answer:
        id, word, fields, body = words
        outcome = OUTCOMES.get(word) or PROBES.get(word)
        if outcome is None:
            raise MalformedAnswer(f"found the word {word!r}")
        warmth, crowd, copies = Warmth.UNREPORTED, 0, None
        report: tuple[float, ...] = ()
        if fields != b"-":
            try:
                for pair in fields.decode("ascii").split(","):
                    name, _, value = pair.partition("=")
                    if name == "detail":
                        warmth = NOTES.get(value, Warmth.UNREPORTED)
                    elif name == "company":
                        crowd = int(value)
                    elif name == "slots_up":
                        copies = int(value)
                    elif name == "use":
                        report = self._report(value)
            except ValueError as error:
                raise MalformedAnswer(f"fields {fields[:80]!r}: {error}") from error
        return Answer(id, outcome, word in PROBES, body, warmth, crowd, copies, report)

    def _report(self, text: str) -> tuple[float, ...]:
        told: dict[str, float] = {}
        for part in text.split(";"):
            name, _, value = part.partition(":")
            told[SHORT.get(name, name)] = float(value)
        if any(name not in told for name in self._fields):
            return ()
        return tuple(told[name] for name in self._fields)
