"""Usage sampling: the true usage is within the bounds, and reports replace estimates."""

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
    state_of,
    sum_hours,
    write_batch_of,
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
        self.now = START_US
        self.samplers = [UsageSampler(number, SIZES, KEEP_ALIVE_US) for number in (1, 2)]
        self.events: list[CopyEvent] = []
        self.copies: dict[int, LoadedCopy] = {}
        self.open_calls: list[OpenCall] = []
        self.count = 0

    def note(self, kind: str, copy: int, tenant: str = "", at_us: int = 0) -> None:
        """Add an event."""
        self.events.append(CopyEvent(at_us or self.now, CopyEventKind(kind), copy, "f", 100, tenant))

    def advance(self, max_step_us: int) -> None:
        """Let some time pass; copies that were idle for the keep-alive time are unloaded."""
        steps_us = (1, SECOND_US // 3, 2 * SECOND_US, 2 * SECOND_US, 15 * SECOND_US, max_step_us)
        self.now += self.rng.choice(steps_us)
        for number, copy in list(self.copies.items()):
            unload_us = copy.idle_since_us + KEEP_ALIVE_US
            if not copy.calls and unload_us <= self.now:
                del self.copies[number]
                self.note("gone", number, at_us=unload_us)

    def step(self) -> None:
        """Start or end a call."""
        if self.open_calls and self.rng.random() < 0.5:
            self.end_call()
        elif len(self.open_calls) < MAX_CALLS:
            self.start_call()

    def start_call(self) -> None:
        """Let a random tenant call by a random front end; load a copy if no slot is free."""
        tenant = self.rng.choice(TENANTS)
        sampler = self.rng.choice(self.samplers)
        free = [number for number, copy in self.copies.items() if len(copy.calls) < CONCURRENCY]
        number = free[0] if free else self.load_copy()
        self.copies[number].calls.append(tenant)
        self.note("ran", number, tenant)
        self.open_calls.append(OpenCall(number, sampler, tenant))
        sampler.start_call(self.now, "w", "f", tenant)

    def load_copy(self) -> int:
        """Load a copy, which is ready now."""
        self.count += 1
        self.copies[self.count] = LoadedCopy([], self.now)
        self.note("begun", self.count, at_us=self.now - LOAD_TIME_US)
        self.note("ready", self.count)
        return self.count

    def end_call(self) -> None:
        """End a random call."""
        call = self.open_calls.pop(self.rng.randrange(len(self.open_calls)))
        copy = self.copies[call.copy]
        copy.calls.remove(call.tenant)
        copy.idle_since_us = self.now
        self.note("rested", call.copy, call.tenant)
        call.sampler.end_call(self.now, "w", "f", call.tenant)

    def collect(self, ledgers: list[Ledger]) -> None:
        """Add the samples of each front end to its ledger."""
        for sampler, ledger in zip(self.samplers, ledgers, strict=True):
            ledger.add_samples(sampler.collect(self.now))


@given(st.integers(0, 10_000))
@settings(max_examples=60)
def test_the_true_usage_is_within_the_bounds_of_the_estimate(seed: int) -> None:
    """Two front ends send half of the calls each to workers that report no usage."""
    worker = SampledWorker(Random(seed))
    ledgers = [make_ledger(), make_ledger()]
    for turn in range(150):
        worker.advance(4 * MINUTE_US if turn % 9 else 0)
        worker.step()
        if worker.rng.random() < 0.2:
            worker.collect(ledgers)
    worker.collect(ledgers)
    now = worker.now
    true = true_usage(sorted(worker.events, key=lambda event: event.at_us), now)
    amount = sum_amounts(each for ledger in ledgers for each in sum_hours(ledger, now).values())
    assert amount.lower_bound <= sum(true.values()) <= amount.upper_bound
    assert {account.cause for ledger in ledgers for account in sum_hours(ledger, now)} == {"estimated"}
    extracts = [LedgerExtract(state_of(ledger)) for ledger in ledgers]
    figures = collect_figures(extracts, POLICY, now, START_US - HOUR_US, now)
    assert group_figures(figures, ["cause"], {}) == {("estimated",): amount}


def test_reports_of_a_worker_replace_its_estimates() -> None:
    ledger = make_ledger()
    samples = [UsageSample(1, FIRST_HOUR_US, name, "f", "a", Amount(5, 1, 9)) for name in ("w", "v")]
    ledger.add_samples(samples)
    write_batch_of(ledger, START_US + 2 * HOUR_US)
    ledger.add_report(make_report(make_slice()), "w", START_US + MINUTE_US)
    lines = {
        (x.account.tenant, x.account.cause): x.amount for x in write_batch_of(ledger, START_US + 2 * HOUR_US)
    }
    assert lines["a", "estimated"] == Amount(-5, -1, -9)
    assert sum_hours(ledger, START_US + MINUTE_US)[Account("a", "f", "estimated")] == Amount(5, 1, 9)
