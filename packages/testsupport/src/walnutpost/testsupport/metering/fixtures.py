"""Test fixtures of metering: a worker driven at random, ledgers, slices and reports."""

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
    """A worker that is driven at random, with a usage recorder and an independent list of its events.

    Copies load, serve up to MAX_CONCURRENCY calls at a time, and are removed.
    """

    def __init__(self, rng: Random, max_final_slices: int = 20_000) -> None:
        self.rng = rng
        self.now_us = START_US
        self.recorder = UsageRecorder("w", START_US, 4096, max_final_slices)
        self.events: list[CopyEvent] = []
        self.copies: dict[int, list[str]] = {}  # tenants of the running calls, by copy
        self.ready_copies: set[int] = set()
        self.copy_count = 0

    def add_event(self, kind: str, copy: int, tenant: str = "") -> None:
        """Add an event of a copy."""
        function, memory_mb = self.function_of(copy)
        self.events.append(CopyEvent(self.now_us, CopyEventKind(kind), copy, function, memory_mb, tenant))

    @staticmethod
    def function_of(copy: int) -> tuple[str, int]:
        """Return the name and the memory in MB of a copy's function."""
        return f"f{copy % 3}", 100 + copy % 3

    def step(self) -> None:
        """Let some time pass; then start a copy, or change the state of one."""
        durations_us = (0, 1, 7 * SECOND_US, 3 * MINUTE_US, 20 * MINUTE_US)
        self.now_us += self.rng.choice(durations_us) + self.rng.randrange(100)
        copy = self.rng.choice([*self.copies, 0])
        if not copy:
            if len(self.copies) < MAX_COPIES:
                self.start_copy()
        elif copy not in self.ready_copies:
            self.ready_copies.add(copy)
            self.recorder.mark_ready(self.now_us, copy)
            self.add_event("ready", copy)
        elif len(self.copies[copy]) < MAX_CONCURRENCY and self.rng.random() < 0.6:
            self.start_call(copy)
        elif self.copies[copy]:
            self.end_call(copy)
        else:
            del self.copies[copy]
            self.recorder.remove_copy(self.now_us, copy)
            self.add_event("gone", copy)

    def start_copy(self) -> None:
        """Start to load a copy."""
        self.copy_count += 1
        self.copies[self.copy_count] = []
        self.recorder.start_copy(self.now_us, self.copy_count, *self.function_of(self.copy_count))
        self.add_event("begun", self.copy_count)

    def start_call(self, copy: int) -> None:
        """Start a call of a random tenant."""
        tenant = self.rng.choice(TENANTS)
        self.copies[copy].append(tenant)
        self.recorder.start_call(self.now_us, copy, tenant)
        self.add_event("ran", copy, tenant)

    def end_call(self, copy: int) -> None:
        """End a random call."""
        call_tenants = self.copies[copy]
        tenant = call_tenants.pop(self.rng.randrange(len(call_tenants)))
        self.recorder.end_call(self.now_us, copy, tenant)
        self.add_event("rested", copy, tenant)

    def random_reports(self, steps: int, probability: float = 0.2) -> list[UsageReport]:
        """Take random steps; return reports built after some of them, and one at the end."""
        reports = []
        for _ in range(steps):
            self.step()
            if self.rng.random() < probability:
                reports.append(self.recorder.build_report(self.now_us))
        return [*reports, self.recorder.build_report(self.now_us)]


def make_ledger(state: LedgerState | None = None, policy: MeteringPolicy = POLICY) -> Ledger:
    """Return a ledger with a state; a new ledger by default."""
    return Ledger(policy, state or LedgerState(), START_US)


def total_statement(ledger: Ledger, until_us: int) -> Statement:
    """Return the sum of the statements of all hours up to a time."""
    hours = range(FIRST_HOUR_US, until_us + HOUR_US, HOUR_US)
    return sum_statements(ledger.statement(hour_us, until_us) for hour_us in hours)


def write_next_batch(ledger: Ledger, now_us: int) -> list[LedgerLine]:
    """Build the next batch and mark it as written; return its lines."""
    batch = ledger.build_batch(now_us)
    if batch is None:
        return []
    ledger.mark_written(batch)
    return batch.lines


def persisted_state(ledger: Ledger) -> LedgerState:
    """Return the state that a ledger has on disk once all its facts are written."""
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
    """Return a slice of a copy that loaded for 5 us, with `changes` to its fields."""
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
    """Return a report one minute after the worker's start, with `changes` to its fields."""
    values: dict[str, Any] = {
        "worker": "w",
        "started_us": START_US,
        "reported_us": START_US + MINUTE_US,
        "change": 1,
        "memory_mb": 1000,
    }
    return UsageReport(**{**values, "slices": list(slices), **changes})
