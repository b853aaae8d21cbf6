"""What a fake worker does, as a state machine: copies, slots, memory, loads, cores, cold starts, drains.

No I/O and no clock: times (microseconds) come in with each event, and reactions come out.
"""

from __future__ import annotations

from itertools import count
from math import ceil
from random import Random

from walnutpost.fakes.calls import Call, OpenCalls
from walnutpost.fakes.cold_start import NEVER_RESTARTED_US, ColdStart
from walnutpost.fakes.copies import Copy, CopyPool, CopyRecord
from walnutpost.fakes.faults import Faults
from walnutpost.fakes.load_orders import LoadOrder, OpenLoadOrders
from walnutpost.fakes.load_reports import LoadReports
from walnutpost.fakes.processor import Processor
from walnutpost.fakes.reactions import (
    CallEnded,
    CallOutcome,
    CallStarted,
    CopyEvent,
    CopyEventKind,
    LoadOrderEnded,
    LoadOrderOutcome,
    Reaction,
)
from walnutpost.fakes.specs import FunctionSpec, WorkerSpec
from walnutpost.interface import Warmth
from walnutpost.metering import UsageRecorder


class WorkerModel:
    """One worker, through its restarts. Each event returns the reactions to it, in order."""

    def __init__(self, spec: WorkerSpec, functions: dict[str, FunctionSpec], seed: int, now_us: int) -> None:
        """Begin warm and empty; `seed` draws how much work each call is."""
        self.spec = spec
        self.faults = Faults()
        self.has_collapsed = False
        self.is_draining = False
        self.copy_events: list[CopyEvent] = []
        self._functions = functions
        self._rng = Random(seed)
        self._run_numbers = count(1)
        self._copy_numbers = count(1)
        self._reset(now_us, NEVER_RESTARTED_US)

    def _reset(self, now_us: int, restarted_us: int) -> None:
        self._now_us = now_us
        self._reactions: list[Reaction] = []
        self.usage = UsageRecorder(self.spec.name, now_us, ceil(self.spec.memory_mb))
        self._record = CopyRecord(self.usage, self._functions, self.copy_events)
        self._copies = CopyPool(
            self.spec, self._functions, self.faults, self._record, self._copy_numbers, self._emit
        )
        self._calls = OpenCalls()
        self._orders = OpenLoadOrders()
        self._cold_start = ColdStart(self.spec, restarted_us)
        self._processor = Processor(self.spec, self.faults, self._cold_start)
        self._load_reports = LoadReports(self.faults)

    # Events

    def call(self, now_us: int, request_id: int, function: str, tenant: str = "") -> list[Reaction]:
        """Take a call: it runs, is queued, or is rejected."""
        self._advance(now_us)
        spec = self._functions.get(function)
        if self._cold_start.collapses_under(self._now_us, spec.work_us if spec else 0):
            self.has_collapsed = True
        if spec is None:
            return self._reject(Call(request_id, function, Warmth.UNREPORTED, 0), CallOutcome.MISS)
        copies = self._copies.copies_of(function)
        queue = self._calls.queue_of(function)
        crowd = len(queue) + sum(copy.running for copy in copies)
        warmth = Warmth.WARM if any(copy.is_ready for copy in copies) else Warmth.JOINED_LOAD
        call = Call(request_id, function, warmth, crowd, tenant)
        rejection = self._rejection(call, has_copies=bool(copies))
        if rejection is not None:
            return self._reject(call, rejection)
        self._calls.enqueue(call)
        self._dispatch(function)
        concurrency = spec.concurrency * len(copies)
        if queue and crowd + 1 > concurrency:
            self._copies.begin_load(now_us, function)  # all slots are in use: another copy, if one fits
        return self._take_reactions()

    def order_load(self, now_us: int, request_id: int, function: str, copies: int) -> list[Reaction]:
        """Take an order to have so many copies ready; one for none only asks how many there are."""
        self._advance(now_us)
        present = self._copies.copies_of(function)
        if copies <= 0:
            ready = self._copies.ready_count(function)
            return self._end_order(request_id, LoadOrderOutcome.OK, ready)
        if self.is_draining:
            return self._end_order(request_id, LoadOrderOutcome.FULL, 0)
        if function not in self._functions:
            return self._end_order(request_id, LoadOrderOutcome.ERROR, 0)
        for copy in present:
            copy.idle_since_us = now_us
        while len(present) < copies:
            if not self._copies.begin_load(now_us, function):
                ready = self._copies.ready_count(function)
                return self._end_order(request_id, LoadOrderOutcome.FULL, ready)
        self._orders.add(LoadOrder(request_id, function, copies))
        self._settle_orders()
        return self._take_reactions()

    def unload(self, now_us: int, function: str) -> list[Reaction]:
        """Remove the idle copies of a function."""
        self._advance(now_us)
        self._copies.remove_idle(now_us, function)
        return self._take_reactions()

    def on_fetched(self, now_us: int, copy: int, succeeded: bool) -> list[Reaction]:
        """Take the store's answer to a FetchPackage."""
        self._advance(now_us)
        failed = self._copies.on_fetched(now_us, copy, succeeded)
        if failed is not None:
            self._fail_load(failed)
        return self._take_reactions()

    def cancel(self, now_us: int, request_id: int) -> list[Reaction]:
        """Drop what a caller who has gone had queued; what runs goes on."""
        self._advance(now_us)
        self._calls.cancel(request_id)
        self._orders.cancel(request_id)
        return self._take_reactions()

    def invalidate(self, now_us: int, functions: set[str]) -> list[Reaction]:
        """Take a new release of functions: their idle copies go; busy ones first end their work."""
        self._advance(now_us)
        for name in functions & self._copies.functions:
            self._copies.remove_idle(now_us, name)
        return self._take_reactions()

    def restart(self, now_us: int) -> None:
        """Lose everything, faults too, and warm up anew."""
        self.has_collapsed = False
        self.is_draining = False
        self.faults = Faults()
        self.copy_events.append(CopyEvent(now_us, CopyEventKind.DIED))
        self._reset(now_us, now_us)

    def advance(self, now_us: int) -> list[Reaction]:
        """Do what is due by now."""
        self._advance(now_us)
        return self._take_reactions()

    # Queries

    def next_due_us(self) -> int | None:
        """Return when `advance` is wanted next, if nothing comes before."""
        times = self._processor.due_times_us(self._now_us) + self._copies.due_times_us()
        return max(self._now_us + 1, min(times)) if times else None

    def report(self) -> dict[str, float]:
        """Return the load report, named as in ORCA (Open Request Cost Aggregation)."""
        if self.faults.reports is not None:
            return dict(self.faults.reports)
        tied = min(1.0, self._copies.busy_memory_mb / self.spec.memory_mb)
        truth = {
            "cpu_utilization": round(self._processor.utilization, 4),
            "mem_utilization": round(tied, 4),
            "queue": float(self._calls.queued_count),
            "loads": float(self._copies.load_count),
        }
        return self._load_reports.report(self._now_us, truth)

    @property
    def function_names(self) -> set[str]:
        """The functions that it can load."""
        return set(self._functions)

    @property
    def running_count(self) -> int:
        """How many calls run."""
        return self._processor.call_count

    def ready_count(self, function: str) -> int:
        """Return how many copies of a function are ready."""
        return self._copies.ready_count(function)

    def capacity_ratio(self) -> float:
        """Return the part of its capacity that it has, below 1 while it warms up."""
        return self._cold_start.capacity_ratio(self._now_us)

    # Inside

    def _emit(self, reaction: Reaction) -> None:
        self._reactions.append(reaction)

    def _take_reactions(self) -> list[Reaction]:
        reactions = self._reactions
        self._reactions = []
        return reactions

    def _rejection(self, call: Call, has_copies: bool) -> CallOutcome | None:
        """Why a call can't be queued; begins a load for one that is the first of its function."""
        if self.is_draining or self.faults.consume("full"):
            return CallOutcome.FULL
        if self._calls.queued_count >= self.spec.max_queued:
            return CallOutcome.FULL
        if has_copies:
            return None
        if not self.spec.loads_when_absent:
            return CallOutcome.MISS
        if not self._copies.begin_load(self._now_us, call.function):
            return CallOutcome.FULL
        call.warmth = Warmth.STARTED_LOAD
        return None

    def _reject(self, call: Call, outcome: CallOutcome) -> list[Reaction]:
        self._calls.close(call)
        self._emit(CallEnded(call.request_id, outcome, call.run, call.warmth, call.crowd))
        return self._take_reactions()

    def _end_order(self, request_id: int, outcome: LoadOrderOutcome, copies: int) -> list[Reaction]:
        self._emit(LoadOrderEnded(request_id, outcome, copies))
        return self._take_reactions()

    def _advance(self, now_us: int) -> None:
        """Bring everything to now, each end at its own time."""
        while self._now_us < now_us:
            due_us = self.next_due_us()
            self._step(min(now_us, due_us) if due_us is not None else now_us)
        self._step(now_us)

    def _step(self, now_us: int) -> None:
        self._processor.advance(self._now_us, now_us)
        self._now_us = now_us
        for call in self._processor.pop_ended(now_us):
            self._finish(call)
        for copy in self._copies.ended_loads(now_us):
            self._copies.mark_ready(now_us, copy)
            self._dispatch(copy.function)
            self._copies.start_loads()
        self._copies.remove_expired(now_us)
        self._settle_orders()

    def _dispatch(self, function: str) -> None:
        """Start queued calls of a function, as long as slots are free."""
        queue = self._calls.queue_of(function)
        while queue:
            copy = self._copies.copy_with_free_slot(function)
            if copy is None:
                return
            call = queue.popleft()
            call.copy = copy
            copy.running += 1
            self._record.call_started(self._now_us, copy, call.tenant)
            call.run = next(self._run_numbers)
            self._set_work(call)
            self._processor.start(call)
            self._emit(CallStarted(call.request_id, call.run))

    def _set_work(self, call: Call) -> None:
        spec = self._functions[call.function]
        factor = 1 + spec.work_spread * (2 * self._rng.random() - 1)
        if self.faults.heavy_share and self._rng.random() < self.faults.heavy_share:
            factor *= self.faults.heavy_factor
        call.work_left_us = spec.work_us * factor
        call.wait_us = spec.wait_us

    def _finish(self, call: Call) -> None:
        assert call.copy is not None
        call.copy.running -= 1
        call.copy.idle_since_us = self._now_us
        self._record.call_ended(self._now_us, call.copy, call.tenant)
        self._calls.close(call)
        outcome = CallOutcome.ERROR if self.faults.consume("errors") else CallOutcome.OK
        self._emit(CallEnded(call.request_id, outcome, call.run, call.warmth, call.crowd))
        self._dispatch(call.function)

    def _fail_load(self, copy: Copy) -> None:
        """End what waited for a load that has failed."""
        queue = self._calls.queue_of(copy.function)
        while queue and not self._copies.copies_of(copy.function):
            call = queue.popleft()
            self._calls.close(call)
            failed = CallEnded(call.request_id, CallOutcome.LOAD_FAILED, 0, Warmth.LOAD_FAILED, call.crowd)
            self._emit(failed)
        ready = self._copies.ready_count(copy.function)
        for order in self._orders:
            if order.function == copy.function:
                self._orders.close(order)
                self._emit(LoadOrderEnded(order.request_id, LoadOrderOutcome.ERROR, ready))
        self._copies.start_loads()

    def _settle_orders(self) -> None:
        """Answer the orders whose copies are ready."""
        for order in self._orders:
            ready = self._copies.ready_count(order.function)
            if ready >= order.copies:
                self._orders.close(order)
                self._emit(LoadOrderEnded(order.request_id, LoadOrderOutcome.OK, ready))
