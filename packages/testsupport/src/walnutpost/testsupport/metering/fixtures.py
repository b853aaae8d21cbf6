"""What metering's tests share: a worker driven at random, ledgers, slices and reports."""

from __future__ import annotations

from random import Random
from typing import Any

from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.metering import (
    HOUR_US,
    Ledger,
    LedgerLine,
    LedgerState,
    MeteringPolicy,
    Statement,
    UsageRecorder,
    UsageReport,
    UsageSlice,
    sum_statements,
)
from walnutpost.metering.units import SECOND_US, hour_start_us

MINUTE_US = 60 * SECOND_US
START_US = 1000 * HOUR_US + 17 * MINUTE_US
FIRST_HOUR_US = hour_start_us(START_US)
TENANTS = ("tills", "trade", "website")
POLICY = MeteringPolicy()
MAX_COPIES = 6
MAX_CONCURRENCY = 3


class RandomWorker:
    """A usage recorder and an independent list of events, driven at random.

    Copies load, serve up to three calls at a time, and are removed.
    """

    def __init__(self, rng: Random, max_final_slices: int = 20_000) -> None:
        self.rng = rng
        self.now = START_US
        self.recorder = UsageRecorder("w", START_US, 4096, max_final_slices)
        self.events: list[CopyEvent] = []
        self.copies: dict[int, list[str]] = {}  # tenants of the running calls
        self.ready: set[int] = set()
        self.count = 0

    def note(self, kind: str, copy: int, tenant: str = "") -> None:
        """Add an event."""
        function, memory_mb = self.function_of(copy)
        self.events.append(CopyEvent(self.now, CopyEventKind(kind), copy, function, memory_mb, tenant))

    @staticmethod
    def function_of(copy: int) -> tuple[str, int]:
        """Return name and memory of a copy's function."""
        return f"f{copy % 3}", 100 + copy % 3

    def step(self) -> None:
        """Let some time pass, and something happen to one copy."""
        durations_us = (0, 1, 7 * SECOND_US, 3 * MINUTE_US, 20 * MINUTE_US)
        self.now += self.rng.choice(durations_us) + self.rng.randrange(100)
        copy = self.rng.choice([*self.copies, 0])
        if not copy:
            if len(self.copies) < MAX_COPIES:
                self.start_copy()
        elif copy not in self.ready:
            self.ready.add(copy)
            self.recorder.mark_ready(self.now, copy)
            self.note("ready", copy)
        elif len(self.copies[copy]) < MAX_CONCURRENCY and self.rng.random() < 0.6:
            self.start_call(copy)
        elif self.copies[copy]:
            self.end_call(copy)
        else:
            del self.copies[copy]
            self.recorder.remove_copy(self.now, copy)
            self.note("gone", copy)

    def start_copy(self) -> None:
        """Load a copy."""
        self.count += 1
        self.copies[self.count] = []
        self.recorder.start_copy(self.now, self.count, *self.function_of(self.count))
        self.note("begun", self.count)

    def start_call(self, copy: int) -> None:
        """Let a random tenant call."""
        tenant = self.rng.choice(TENANTS)
        self.copies[copy].append(tenant)
        self.recorder.start_call(self.now, copy, tenant)
        self.note("ran", copy, tenant)

    def end_call(self, copy: int) -> None:
        """End a random call."""
        calls = self.copies[copy]
        tenant = calls.pop(self.rng.randrange(len(calls)))
        self.recorder.end_call(self.now, copy, tenant)
        self.note("rested", copy, tenant)

    def reports(self, steps: int, probability: float = 0.2) -> list[UsageReport]:
        """Return reports that were made at random steps, and one at the end."""
        reports = []
        for _ in range(steps):
            self.step()
            if self.rng.random() < probability:
                reports.append(self.recorder.build_report(self.now))
        return [*reports, self.recorder.build_report(self.now)]


def make_ledger(state: LedgerState | None = None, policy: MeteringPolicy = POLICY) -> Ledger:
    """Return a ledger, a new one without a state."""
    return Ledger(policy, state or LedgerState(), START_US)


def sum_hours(ledger: Ledger, until_us: int) -> Statement:
    """Return the sum of all hours' statements."""
    hours = range(FIRST_HOUR_US, until_us + HOUR_US, HOUR_US)
    return sum_statements(ledger.statement(hour_us, until_us) for hour_us in hours)


def write_batch_of(ledger: Ledger, now_us: int) -> list[LedgerLine]:
    """Let the ledger write a batch; return its lines."""
    batch = ledger.build_batch(now_us)
    if batch is None:
        return []
    ledger.mark_written(batch)
    return batch.lines


def state_of(ledger: Ledger) -> LedgerState:
    """Return the state that a ledger has on disk once all is written."""
    facts = ledger._facts
    return LedgerState(
        slices=ledger.slices,
        incarnations=list(facts.incarnations.values()),
        gaps=list(facts.gaps.values()),
        samples=list(facts.samples.values()),
        booked={hour_us: dict(booked) for hour_us, booked in ledger._bookings._booked.items()},
        closed_to_us=ledger.closed_to_us,
    )


def make_slice(**changes: Any) -> UsageSlice:
    """Return a slice of a copy that loaded for 5 us, but for the changes."""
    values: dict[str, Any] = {
        "worker": "w",
        "started_us": START_US,
        "copy": 1,
        "hour_us": FIRST_HOUR_US,
        "function": "f",
        "memory_mb": 100,
        "counted_until_us": START_US + MINUTE_US,
        "loading_us": 5,
    }
    return UsageSlice(**{**values, **changes})


def make_report(*slices: UsageSlice, **changes: Any) -> UsageReport:
    """Return a report a minute after the worker's start, but for the changes."""
    values: dict[str, Any] = {
        "worker": "w",
        "started_us": START_US,
        "reported_us": START_US + MINUTE_US,
        "change": 1,
        "memory_mb": 1000,
    }
    return UsageReport(**{**values, "slices": list(slices), **changes})
