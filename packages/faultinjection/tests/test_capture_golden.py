"""Capture files and the facts beside them: those of before are read, and today's have the same bytes."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec

from walnutpost.config import Config, WorkerConfig, load
from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.faultinjection.capture import LENGTH_BYTES, Capture, read_records
from walnutpost.faultinjection.facts import FACTS_FILE, Facts, facts_of, write_facts
from walnutpost.testsupport.golden.files import assert_as_golden

GOLDEN = Path(__file__).parent / "golden"
EXAMPLE = Path(__file__).parents[3] / "examples" / "kilbride.json5"
FILE = GOLDEN / "every-record.capture.golden"
START = 1_800_000_000_000_000  # microseconds since the epoch; each record is one later
WORKERS = [
    WorkerConfig(name="worker-1", address="127.0.0.1:2", state="draining", started_at=3.5),
    WorkerConfig(name="w-4", address="127.0.0.1:5"),
]

# The one place that says which records the golden file has, and what makes each.
WRITES: list[tuple[list[Any], Callable[[Capture], None]]] = [
    (
        ["open", 2, "front", ["127.0.0.1", 3], ["127.0.0.1", 4]],
        lambda c: c.on_opened(2, "front", ("127.0.0.1", 3), ("127.0.0.1", 4)),
    ),
    (["in", 2, b"received\x00\xff"], lambda c: c.on_bytes(2, False, b"received\x00\xff")),
    (["out", 2, b"sent"], lambda c: c.on_bytes(2, True, b"sent")),
    (["close", 2], lambda c: c.on_closed(2)),
    (
        [
            "told",
            6,
            [["worker-1", "127.0.0.1:2", "draining", 3.5], ["w-4", "127.0.0.1:5", "ready", 0.0]],
        ],
        lambda c: c.on_endpoints_listed(6, WORKERS),
    ),
    (["ran", "call-1", 2], lambda c: c.on_execution_started("call-1", 2)),
    (["started", True], lambda c: c.on_worker_started(True)),
    (
        ["lived", 1, "ran", 3, "function-4", 5, "tenant-6"],
        lambda c: c.on_copy_changed(CopyEvent(1, CopyEventKind.CALL_STARTED, 3, "function-4", 5, "tenant-6")),
    ),
]
RECORDS: list[list[Any]] = [["begin", "worker", "worker-1"], *(record for record, _ in WRITES)]


def golden_files() -> dict[Path, bytes]:
    clock = itertools.count(START)
    with TemporaryDirectory() as folder:
        path = Path(folder) / "capture"
        capture = Capture(path, "worker", "worker-1", lambda: next(clock))
        for _, write in WRITES:
            write(capture)
        capture.close()
        write_facts(Path(folder), facts_of(load(EXAMPLE, Config)))
        return {FILE: path.read_bytes(), GOLDEN / FACTS_FILE: (Path(folder) / FACTS_FILE).read_bytes()}


def test_records_are_written_as_before() -> None:
    assert_as_golden(golden_files())


def test_capture_of_before_is_read(tmp_path: Path) -> None:
    assert list(read_records(FILE)) == [[START + at, *record] for at, record in enumerate(RECORDS)]
    cut = tmp_path / "cut"
    cut.write_bytes(FILE.read_bytes()[:-1])
    assert len(list(read_records(cut))) == len(RECORDS) - 1


def test_facts_of_before_are_read() -> None:
    found = msgspec.json.decode((GOLDEN / FACTS_FILE).read_bytes(), type=Facts)
    assert found == facts_of(load(EXAMPLE, Config))


def test_record_is_behind_its_length() -> None:
    data = FILE.read_bytes()
    size = int.from_bytes(data[:LENGTH_BYTES], "little")
    assert msgspec.msgpack.decode(data[LENGTH_BYTES : LENGTH_BYTES + size]) == [START, *RECORDS[0]]


def test_each_kind_of_record_is_in_the_golden_file() -> None:
    """Each public method of a capture writes one kind; `bytes` two."""
    writers = {name for name in vars(Capture) if not name.startswith("_")} - {"close"}
    assert len({str(record[0]) for record in RECORDS}) == len(writers) + 2  # and `begin`
