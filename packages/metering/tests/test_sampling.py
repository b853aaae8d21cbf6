"""Tests of usage sampling: true usage is within the bounds, and reports replace estimates."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.fakes import CopyEvent, CopyEventKind
from walnutpost.faultinjection.usage import true_usage
from walnutpost.metering import (
    HOUR_US,
    Account,
    Amount,
    FunctionSize,
    Ledger,
    LedgerExtract,
    UsageSample,
    UsageSampler,
    collect_figures,
    group_figures,
    sum_amounts,
)
from walnutpost.metering.units import SECOND_US
from walnutpost.testsupport.metering.fixtures import (
    FIRST_HOUR_US,
    MINUTE_US,
    POLICY,
    START_US,
    TENANTS,
    make_ledger,
    make_report,
    make_slice,
    persisted_state,
    total_statement,
    write_next_batch,
)

KEEP_ALIVE_US = 10 * SECOND_US
LOAD_TIME_US = SECOND_US
CONCURRENCY = 2
MAX_CALLS = 5
SIZES = {"f": FunctionSize(100, CONCURRENCY, LOAD_TIME_US)}


@dataclass
class LoadedCopy:
    """A copy with the tenants of its running calls."""

    calls: list[str]
    idle_since_us: int


@dataclass
class OpenCall:
    """A call that one of the front ends has sent."""

    copy: int
    sampler: UsageSampler
    tenant: str


class SampledWorker:
    """A worker that reports no usage, driven at random by two front ends with a sampler each."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.now_us = START_US
        self.samplers = [UsageSampler(number, SIZES, KEEP_ALIVE_US) for number in (1, 2)]
        self.events: list[CopyEvent] = []
        self.copies: dict[int, LoadedCopy] = {}
        self.open_calls: list[OpenCall] = []
        self.copy_count = 0

    def add_event(self, kind: str, copy: int, tenant: str = "", at_us: int = 0) -> None:
        """Add an event of a copy, by default at the current time."""
        self.events.append(CopyEvent(at_us or self.now_us, CopyEventKind(kind), copy, "f", 100, tenant))

    def advance(self, max_step_us: int) -> None:
        """Let some time pass, and unload the copies that were idle for the keep-alive time."""
        steps_us = (1, SECOND_US // 3, 2 * SECOND_US, 2 * SECOND_US, 15 * SECOND_US, max_step_us)
        self.now_us += self.rng.choice(steps_us)
        for number, copy in list(self.copies.items()):
            unload_us = copy.idle_since_us + KEEP_ALIVE_US
            if not copy.calls and unload_us <= self.now_us:
                del self.copies[number]
                self.add_event("gone", number, at_us=unload_us)

    def step(self) -> None:
        """Start or end a call."""
        if self.open_calls and self.rng.random() < 0.5:
            self.end_call()
        elif len(self.open_calls) < MAX_CALLS:
            self.start_call()

    def start_call(self) -> None:
        """Start a call of a random tenant at a random front end; load a copy if no slot is free."""
        tenant = self.rng.choice(TENANTS)
        sampler = self.rng.choice(self.samplers)
        free_copies = [number for number, copy in self.copies.items() if len(copy.calls) < CONCURRENCY]
        number = free_copies[0] if free_copies else self.load_copy()
        self.copies[number].calls.append(tenant)
        self.add_event("ran", number, tenant)
        self.open_calls.append(OpenCall(number, sampler, tenant))
        sampler.start_call(self.now_us, "w", "f", tenant)

    def load_copy(self) -> int:
        """Load a copy that is ready now; return its number."""
        self.copy_count += 1
        self.copies[self.copy_count] = LoadedCopy([], self.now_us)
        self.add_event("begun", self.copy_count, at_us=self.now_us - LOAD_TIME_US)
        self.add_event("ready", self.copy_count)
        return self.copy_count

    def end_call(self) -> None:
        """End a random call."""
        call = self.open_calls.pop(self.rng.randrange(len(self.open_calls)))
        copy = self.copies[call.copy]
        copy.calls.remove(call.tenant)
        copy.idle_since_us = self.now_us
        self.add_event("rested", call.copy, call.tenant)
        call.sampler.end_call(self.now_us, "w", "f", call.tenant)

    def collect(self, ledgers: list[Ledger]) -> None:
        """Add the samples of each front end to its ledger."""
        for sampler, ledger in zip(self.samplers, ledgers, strict=True):
            ledger.add_samples(sampler.collect(self.now_us))


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_the_true_usage_is_within_the_bounds_of_the_estimate(seed: int) -> None:
    """Two front ends each send about half of the calls to a worker that reports no usage."""
    worker = SampledWorker(Random(seed))
    ledgers = [make_ledger(), make_ledger()]
    for turn in range(150):
        worker.advance(4 * MINUTE_US if turn % 9 else 0)
        worker.step()
        if worker.rng.random() < 0.2:
            worker.collect(ledgers)
    worker.collect(ledgers)
    now_us = worker.now_us
    true_mb_us = true_usage(sorted(worker.events, key=lambda event: event.at_us), now_us)
    amount = sum_amounts(each for ledger in ledgers for each in total_statement(ledger, now_us).values())
    assert amount.lower_bound <= sum(true_mb_us.values()) <= amount.upper_bound
    assert {account.cause for ledger in ledgers for account in total_statement(ledger, now_us)} == {
        "estimated"
    }
    extracts = [LedgerExtract(persisted_state(ledger)) for ledger in ledgers]
    figures = collect_figures(extracts, POLICY, now_us, START_US - HOUR_US, now_us)
    assert group_figures(figures, ["cause"], {}) == {("estimated",): amount}


def test_reports_of_a_worker_replace_its_estimates() -> None:
    ledger = make_ledger()
    samples = [UsageSample(1, FIRST_HOUR_US, name, "f", "a", Amount(5, 1, 9)) for name in ("w", "v")]
    ledger.add_samples(samples)
    write_next_batch(ledger, START_US + 2 * HOUR_US)
    ledger.add_report(make_report(make_slice()), "w", START_US + MINUTE_US)
    lines = {
        (line.account.tenant, line.account.cause): line.amount
        for line in write_next_batch(ledger, START_US + 2 * HOUR_US)
    }
    assert lines["a", "estimated"] == Amount(-5, -1, -9)
    assert total_statement(ledger, START_US + MINUTE_US)[Account("a", "f", "estimated")] == Amount(5, 1, 9)
