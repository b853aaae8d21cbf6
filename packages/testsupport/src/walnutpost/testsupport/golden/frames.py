"""Golden files of wire forms: rows of `[name, what, hex]`, where `what` is the neutral form of a value.

`sent` rows are written by the code: the same call has to give the same bytes. `received` rows are read by it:
the same bytes have to give the same values. The files are JSON, a row a line, to be read in a diff.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from walnutpost.testsupport.golden.neutral_values import from_neutral, to_neutral

Sender = Callable[..., bytes]
Receiver = Callable[[bytes], Any]


def write_rows(path: Path, rows: Iterable[list[Any]]) -> None:
    """Write rows as JSON lines."""
    path.parent.mkdir(exist_ok=True)
    path.write_text("".join(json.dumps(row) + "\n" for row in rows))


def read_rows(path: Path) -> list[Any]:
    """Return the rows of JSON lines."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def sent_row(name: str, senders: Mapping[str, Sender], *arguments: Any) -> list[Any]:
    """Return the row of a message that the named sender makes of the arguments."""
    return [name, to_neutral(arguments), senders[name](*arguments).hex()]


def received_row(name: str, receivers: Mapping[str, Receiver], data: bytes) -> list[Any]:
    """Return the row of bytes that the named receiver reads."""
    return [name, to_neutral(receivers[name](data)), data.hex()]


def differences_sent(path: Path, senders: Mapping[str, Sender]) -> list[str]:
    """Return the rows that the code writes otherwise."""
    found = []
    for name, arguments, wanted in read_rows(path):
        data = senders[name](*from_neutral(arguments)).hex()
        if data != wanted:
            found.append(f"{name}{arguments}: wrote {data}, recorded {wanted}")
    return found


def differences_received(path: Path, receivers: Mapping[str, Receiver]) -> list[str]:
    """Return the rows that the code reads otherwise."""
    found = []
    for name, wanted, data in read_rows(path):
        value = to_neutral(receivers[name](bytes.fromhex(data)))
        if value != wanted:
            found.append(f"{name} {data}: read {value}, recorded {wanted}")
    return found
