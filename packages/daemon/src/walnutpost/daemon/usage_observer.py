"""Observation of calls and load orders: samples usage of workers without reports, and enforces budgets."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil

from walnutpost.eventloop import Loop
from walnutpost.gateway import AttemptEnded, Function, LoadOrder, LoadOrderEnded, Rejected, Send
from walnutpost.interface import Outcome
from walnutpost.metering import Budgets, BudgetState, FunctionSize, UsageSampler

NO_TENANT = ""


class FunctionSizes(Mapping[str, FunctionSize]):
    """Sizes of functions, from their configuration at the time of each lookup; `functions` may change.

    Memory is rounded up to whole MB, as it is metered.
    """

    def __init__(self, functions: Mapping[str, Function]) -> None:
        self._functions = functions

    def __getitem__(self, name: str) -> FunctionSize:
        """Return a function's size. Raises KeyError."""
        function = self._functions[name]
        return FunctionSize(ceil(function.memory_mb), int(function.concurrency), function.load_time_us)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the functions' names."""
        return iter(self._functions)

    def __len__(self) -> int:
        """Return the number of functions."""
        return len(self._functions)


@dataclass(frozen=True, slots=True)
class _SampledAttempt:
    worker: str
    function: str
    tenant: str


class UsageObserver:
    """Samples attempts and copies, and enforces budgets; implements the dispatcher's `CallObserver`.

    A call without a tenant counts towards the budget of `default_tenant`, if there is one.
    """

    def __init__(
        self, loop: Loop, sampler: UsageSampler, budgets: Budgets, default_tenant: str | None
    ) -> None:
        self._loop = loop
        self._sampler = sampler
        self._budgets = budgets
        self._default_tenant = default_tenant
        self._enforces_budgets = budgets.can_restrict  # then workers with reports are sampled too
        self._attempts: dict[tuple[int, int], _SampledAttempt] = {}  # by call and attempt

    def rejection_for(self, function: str, tenant: str | None) -> Rejected | None:
        """Return a rejection if the tenant's budget is used up and the call needs a load, else None."""
        if not self._enforces_budgets:
            return None
        name = tenant if tenant is not None else self._default_tenant
        if name is None or self._budgets.state(name) is not BudgetState.PAST:
            return None
        now = self._loop.now()
        if self._budgets.admits_call(name, self._sampler.has_copies(now, function)):
            return None
        reason = "the tenant's budget of memory is used up, and the call would need a load"
        return Rejected(reason, self._budgets.time_to_period_end_us(name, now))

    def on_sent(self, now_us: int, send: Send) -> None:
        """Start to sample an attempt that is being sent."""
        if not self._enforces_budgets and not self._sampler.is_estimated(send.worker):
            return
        tenant = send.tenant if send.tenant is not None else NO_TENANT
        self._attempts[send.call, send.attempt] = _SampledAttempt(send.worker, send.function, tenant)
        self._sampler.start_call(now_us, send.worker, send.function, tenant)

    def on_attempt_ended(self, now_us: int, ended: AttemptEnded) -> None:
        """Stop sampling an attempt that has ended."""
        attempt = self._attempts.pop((ended.call, ended.attempt), None)
        if attempt is not None:
            self._sampler.end_call(now_us, attempt.worker, attempt.function, attempt.tenant)

    def on_load_order_ended(self, now_us: int, ended: LoadOrderEnded) -> None:
        """Sample the number of copies that a worker has after a load order."""
        if ended.outcome in (Outcome.OK, Outcome.FULL):
            self._sampler.set_copies(now_us, ended.worker, ended.function, ended.copies)

    def may_order_load(self, now_us: int, order: LoadOrder) -> bool:
        """Return whether the budgets of the tenants that call the function allow a load order."""
        if not self._enforces_budgets or order.copies <= 0:
            return True
        loaded = self._sampler.has_copies(now_us, order.function)
        return self._budgets.admits_load_order(self._sampler.calling_tenants(order.function), loaded)
