"""Journal records and entries as bytes: disks and messages of other versions stay readable."""

from __future__ import annotations

import re
from pathlib import Path
from typing import get_args

import msgspec
import pytest

from walnutpost.journal import (
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallWithdrawn,
    JournalEntry,
    ReplicaHost,
    ResultsPurged,
    choose_replicas,
    encode_entry,
)
from walnutpost.journal.batches import batch_checksum
from walnutpost.journal.records import AnyRecord, Record
from walnutpost.testsupport.golden.files import (
    assert_as_golden,
    assert_every_field_tells,
    json_lines,
    write_golden_files,
)

GOLDEN = Path(__file__).parent / "golden"

# The one place that says which object a golden record is. The first of each type: every field set.
RECORDS: dict[str, AnyRecord] = {
    "accepted": CallAccepted(
        call_id="call-1",
        name="name-2",
        function="function-3",
        version="4",
        tenant="tenant-5",
        payload=b'{"six":\x00\xff}',
        digest="digest-7",
        accepted_at_us=1_800_000_000_000_008,
        expires_at_us=1_800_000_000_000_009,
        effect="keyed",
        promised_replicas=2,
    ),
    "accepted-without-tenant": CallAccepted("call-1", "name-2", "f", "1", None, b"", "d", 1, 2, "safe", 0),
    "intended": AttemptIntended(call_id="call-1", attempt=2, worker="worker-3"),
    "ended": CallEnded(
        call_id="call-1",
        status="FAILED",
        ended_at_us=1_800_000_000_000_003,
        result=b"\x00four",
        error_type="Unhandled",
        error_message="message six",
    ),
    "ended-without-result": CallEnded("call-1", "STOPPED", 3, None, "", ""),
    "withdrawn": CallWithdrawn(call_id="call-1"),
    "purged": ResultsPurged(ended_before_us=1_800_000_000_000_001),
}
HOSTS = [ReplicaHost(f"front-{n}", f"region-{n % 3}", f"zone-{n % 4}") for n in range(8)]


def entries() -> list[JournalEntry]:
    return [encode_entry(seq, record) for seq, record in enumerate(RECORDS.values(), start=41)]


def golden_files() -> dict[Path, bytes]:
    files = {
        GOLDEN / f"{name}.record.msgpack": found.data for name, found in zip(RECORDS, entries(), strict=True)
    }
    files[GOLDEN / "lines.msgpack"] = msgspec.msgpack.encode(entries())
    files[GOLDEN / "sum-of-lines.json"] = json_lines(batch_checksum(entries()))
    # The replicas of each origin, preferred first: another choice would move all replicas at an upgrade.
    files[GOLDEN / "holders.json"] = json_lines({p.name: list(choose_replicas(p, HOSTS)) for p in HOSTS})
    return files


def test_records_entries_checksums_and_placement_when_written_equal_the_golden_files() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", RECORDS)
def test_record_when_read_from_a_golden_file_equals_its_object(name: str) -> None:
    data = (GOLDEN / f"{name}.record.msgpack").read_bytes()
    assert msgspec.msgpack.decode(data, type=AnyRecord) == RECORDS[name]


def test_entries_when_read_from_a_golden_file_have_valid_checksums() -> None:
    found = msgspec.msgpack.decode((GOLDEN / "lines.msgpack").read_bytes(), type=list[JournalEntry])
    assert found == entries()
    assert [each.decode() for each in found] == list(RECORDS.values())


def test_golden_records_cover_each_type_with_every_field_set() -> None:
    types = {type(record) for record in RECORDS.values()}
    assert types == set(get_args(AnyRecord)) == set(Record.__subclasses__())
    for kind in types:
        assert_every_field_tells(next(r for r in RECORDS.values() if type(r) is kind))
    assert_every_field_tells(entries()[0])


def test_golden_files_when_they_exist_are_replaced_only_on_request(tmp_path: Path) -> None:
    one, other = tmp_path / "one", tmp_path / "other"
    assert write_golden_files({one: b"1"}) == [one]
    with pytest.raises(FileExistsError, match=re.escape(str(one))):
        write_golden_files({other: b"2", one: b"changed"})
    assert one.read_bytes() == b"1"
    assert not other.exists()
    assert write_golden_files({other: b"2", one: b"1"}) == [other]
    assert write_golden_files({one: b"changed"}, replace=True) == [one]
    assert one.read_bytes() == b"changed"
