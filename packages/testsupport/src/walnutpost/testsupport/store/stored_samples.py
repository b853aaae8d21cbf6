"""The content of the golden stores `golden/calls.sql` and `golden/usage.sql`, and functions that write it.

Other packages' tests open the same files.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from walnutpost.eventloop import Loop
from walnutpost.gateway import Execution, ExecutionStatus
from walnutpost.journal import (
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallWithdrawn,
    JournalEntry,
    ResultsPurged,
    encode_entry,
    make_batch,
    plan_batch_write,
)
from walnutpost.journal.records import AnyRecord as AnyRecord
from walnutpost.metering import (
    DAY_US,
    HOUR_US,
    Account,
    Amount,
    LedgerBatch,
    LedgerExtract,
    LedgerLine,
    LedgerState,
    UsageGap,
    UsageSample,
    UsageSlice,
    WorkerIncarnation,
)
from walnutpost.store import ExecutionStore, FiringStore, JournalStore, UsageStore
from walnutpost.store.usage import LedgerRun
from walnutpost.testsupport.folders import golden_folder

GOLDEN = golden_folder("store")
CALLS_DUMP, USAGE_DUMP = GOLDEN / "calls.sql", GOLDEN / "usage.sql"
CALLS_FILE, USAGE_FILE = "calls.db", "usage.db"

NOW = 1_800_000_000_000_000  # microseconds since the epoch; a full hour
DISK = "0a1b2c3d4e5f"
OWN, OTHER = f"front-0#{DISK}", "front-1#f5e4d3c2b1a0"

OPEN = Execution(
    id="id-open",
    name="name-open",
    function="price",
    version="4",
    tenant="tills",
    payload=b'{"open":\x00\xff}',
    digest="digest-open",
    accepted_at=NOW + 1,
    expires_at=NOW + 60_000_000,
)
INTENDED = replace(OPEN, id="id-intended", name="name-intended", tenant=None, expires_at=NOW + 50_000_000)
ENDED = {
    status: replace(
        OPEN,
        id=f"id-{status.value}",
        name=f"name-{status.value}",
        accepted_at=NOW + 10 + at,
        intended=True,
        status=status,
        ended_at=NOW + 100 + at,
        result=b"result\x00" if status is ExecutionStatus.SUCCEEDED else None,
        error_type="" if status is ExecutionStatus.SUCCEEDED else f"Type.{status.value}",
        error_message="" if status is ExecutionStatus.SUCCEEDED else f"message of {status.value}",
    )
    for at, status in enumerate(s for s in ExecutionStatus if s is not ExecutionStatus.RUNNING)
}
FIRED = replace(OPEN, id="id-fired", name=f"cron-nightly-{NOW // 1_000_000}", accepted_at=NOW + 20)
FIRED_AND_ENDED = replace(OPEN, id="id-fired-2", name=f"cron-hourly-{NOW // 1_000_000}", accepted_at=NOW + 21)
GONE = replace(OPEN, id="id-gone", name="name-gone")
CALLS = [OPEN, replace(INTENDED, intended=True), *ENDED.values(), FIRED]

OWN_RECORDS: list[AnyRecord] = [
    CallAccepted("id-open", "name-open", "price", "4", "tills", b"open", "digest", 1, NOW + 60, "unsafe", 2),
    AttemptIntended("id-open", 1, "worker-1"),
    CallAccepted("id-gone", "name-gone", "price", "4", None, b"", "digest", 2, NOW + 61, "safe", 0),
    CallWithdrawn("id-gone"),
    CallAccepted("id-old", "name-old", "price", "4", None, b"", "digest", 2, NOW - 2000, "safe", 0),
    ResultsPurged(NOW - 3000),
    CallEnded("id-open", "SUCCEEDED", NOW + 5, b"result", "", ""),
    ResultsPurged(NOW - 1000),
]
OWN_ENTRIES = [
    encode_entry(seq, record) for seq, record in enumerate(OWN_RECORDS, start=1) if seq not in (5, 6)
]
OTHER_RECORDS: dict[int, AnyRecord] = {
    3: CallAccepted(
        "id-far", "name-far", "price", "4", "trade", b"far", "digest-far", 3, NOW + 62, "keyed", 1
    ),
    5: AttemptIntended("id-far", 2, "worker-2"),
    6: CallEnded("id-far", "FAILED", NOW + 7, b"error", "Unhandled", "message"),
}
DAMAGED = JournalEntry(8, encode_entry(8, CallWithdrawn("id-damaged")).data, 123)  # with a wrong checksum
OTHER_ENTRIES = [*(encode_entry(seq, record) for seq, record in OTHER_RECORDS.items()), DAMAGED]
OTHER_UPTO = 9
MARKS = {"nightly": NOW, "hourly": NOW, "new": NOW + 2, "lost": NOW, "often": NOW + 9, "full": NOW + 4}


@contextmanager
def calls_store(path: Path) -> Iterator[tuple[Loop, ExecutionStore, JournalStore, FiringStore]]:
    """Open the three stores of a front end's file, as at its start; a new journal's disk id is DISK."""
    loop = Loop()
    executions = ExecutionStore(loop, path)
    try:
        with patch("secrets.token_hex", lambda _: DISK):
            journal = JournalStore(loop, executions, "front-0")
        yield loop, executions, journal, FiringStore(executions)
    finally:
        executions.close()


def write_calls(path: Path) -> None:
    """Write the content of CALLS_DUMP through the stores."""
    with calls_store(path) as (loop, executions, journal, firings):

        def write() -> None:
            for execution in (OPEN, INTENDED, GONE):
                executions.add(execution)
            executions.record_intent(INTENDED.id)
            executions.remove(GONE.id)
            for ended in ENDED.values():
                executions.add(replace(OPEN, id=ended.id, name=ended.name, accepted_at=ended.accepted_at))
                executions.update(ended)
            executions.upsert_recovered(
                [replace(OPEN, id="id-old", name="n", status=ExecutionStatus.FAILED, ended_at=NOW)], []
            )
            executions.purge(NOW + 1)
            executions.add(FIRED, firings.record_fired("nightly", NOW, NOW + 30, FIRED.name))
            executions.add(
                FIRED_AND_ENDED, firings.record_fired("hourly", NOW, NOW + 31, FIRED_AND_ENDED.name)
            )
            failed = replace(
                FIRED_AND_ENDED, status=ExecutionStatus.FAILED, error_type="T", error_message="why"
            )
            executions.remove(failed.id, firings.record_ended(failed))
            firings.commit(
                firings.register_schedules(["new"], NOW + 2),
                firings.record_fired("lost", NOW, NOW + 32, "cron-lost-1800000000"),
                firings.record_skipped("often", NOW + 3, NOW + 9, 4, NOW + 33, "missed"),
                firings.record_rejected("full", NOW + 4, NOW + 34, "no room"),
            )
            for record in OWN_RECORDS:
                journal.append_durably(record)
            batch_write = plan_batch_write(journal.offsets, make_batch(OTHER, 0, OTHER_UPTO, OTHER_ENTRIES))
            assert batch_write is not None
            journal.write_batch(batch_write)

        loop.run(write)


# The ledger of memory-time: hours folded into a day, an hour closed and corrected, and an open hour.

MB_S = 1_000_000
SLICE = UsageSlice(
    worker="worker-1",
    started_us=NOW - HOUR_US + 2,
    copy=3,
    hour_us=NOW,
    function="price",
    memory_mb=600,
    counted_until_us=NOW + 900 * MB_S,
    is_final=True,
    loading_us=8 * MB_S,
    unused_us=9 * MB_S,
    running_us={"tills": 10 * MB_S, "": 11 * MB_S},
    idle_us={"trade": 12 * MB_S},
    first_tenant="trade",
    contradictions=frozenset({"a counter went down"}),
)
BARE_SLICE = UsageSlice("worker-2", NOW + 1, 4, NOW, "reserve", 300, NOW + 60 * MB_S)
CLOSED_SLICE = UsageSlice(
    "worker-1",
    NOW - HOUR_US + 2,
    3,
    NOW - HOUR_US,
    "price",
    600,
    NOW,
    True,
    0,
    0,
    {"tills": 5 * MB_S},
    {},
    "trade",
)
INCARNATIONS = [
    WorkerIncarnation("worker-1", NOW - HOUR_US + 2, NOW + 901 * MB_S, 8192, 7, 13, True),
    WorkerIncarnation("worker-2", NOW + 1, NOW + 61 * MB_S, 4096),
]
GAPS = [
    UsageGap(NOW, "worker-3 started 5", "silent", 77 * MB_S),
    UsageGap(NOW, "front end 6", "front end down", 88),
]
SAMPLES = [
    UsageSample(NOW - 5, NOW - HOUR_US, "worker-4", "reserve", "trade", Amount(9, 8, 10)),
    UsageSample(NOW - 5, NOW, "worker-4", "reserve", "tills", Amount(30 * MB_S, 20 * MB_S, 40 * MB_S)),
]
TILLS, TRADE = Account("tills", "price"), Account("trade", "reserve", "estimated")
CLOSED_AMOUNT = Amount(*[600 * 5 * MB_S] * 3)
LINES = [
    LedgerLine(NOW - HOUR_US, TILLS, "closed", CLOSED_AMOUNT + Amount(-3, -2, 5), NOW + 300),
    LedgerLine(NOW - HOUR_US, TILLS, "correction", Amount(3, 2, -5), NOW + 400),
    LedgerLine(NOW - HOUR_US, TRADE, "closed", Amount(9, 8, 10), NOW + 301),
]
OLD_LINES = [
    LedgerLine(NOW - 40 * DAY_US + at * HOUR_US, TILLS, kind, Amount(100 + at, 50 + at, 200 + at), NOW)
    for kind in ("closed", "correction")
    for at in (0, 1)
]
OLD_DAY = (NOW - 40 * DAY_US) // DAY_US * DAY_US
DAYS = [
    LedgerLine(OLD_DAY, TILLS, "closed", Amount(201, 101, 401), 0),
    LedgerLine(OLD_DAY, TILLS, "correction", Amount(201, 101, 401), 0),
]
RUN = LedgerRun(started_us=NOW - 5, written_us=NOW + 950 * MB_S, at_risk_mb=1234)
SLICES = [CLOSED_SLICE, SLICE, BARE_SLICE]
DROP_BEFORE = NOW - 2 * HOUR_US
SAVED = LedgerState(
    slices=SLICES,
    incarnations=INCARNATIONS,
    gaps=GAPS[::-1],  # by source
    samples=SAMPLES,
    booked={},
    closed_to_us=NOW,
    drop_before_us=DROP_BEFORE,
    serial=2,
)
LEDGER = LedgerExtract(SAVED, LINES, DAYS)
BOOKED = {NOW - HOUR_US: {TILLS: CLOSED_AMOUNT, TRADE: Amount(9, 8, 10)}}


def write_usage(path: Path) -> None:
    """Write the content of USAGE_DUMP in two batches; the second one drops, folds and ends old lines."""
    loop = Loop()
    store = UsageStore(loop, path)
    dropped = UsageSlice("worker-1", NOW - HOUR_US + 2, 1, NOW - 3 * HOUR_US, "price", 600, NOW - 2 * HOUR_US)
    ended = [LedgerLine(NOW - 500 * DAY_US, TILLS, "closed", Amount(1, 1, 1), NOW)]
    ends = DROP_BEFORE, NOW - 35 * DAY_US, NOW - 400 * DAY_US
    batches = [
        LedgerBatch(
            [CLOSED_SLICE, dropped],
            INCARNATIONS[:1],
            GAPS[:1],
            [],
            [*OLD_LINES, *ended],
            NOW - HOUR_US,
            0,
            0,
            0,
            1,
        ),
        LedgerBatch([SLICE, BARE_SLICE], INCARNATIONS[1:], GAPS[1:], SAMPLES, LINES, NOW, *ends, 2),
    ]

    def write() -> None:
        for each in batches:
            store.write(each, RUN)

    try:
        loop.run(write)
    finally:
        store.close()


def shifted(execution: Execution, offset_us: int) -> Execution:
    """Return an execution as it is read when its stored times and the clock differ by an offset."""
    ended_at = execution.ended_at + offset_us if execution.ended_at else 0
    accepted_at, expires_at = execution.accepted_at + offset_us, execution.expires_at + offset_us
    return replace(execution, accepted_at=accepted_at, expires_at=expires_at, ended_at=ended_at)
