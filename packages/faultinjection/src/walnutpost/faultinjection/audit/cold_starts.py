"""Rule 4: a worker that warms up is not sent more work than it bears."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.faultinjection.audit.calls import AttemptId, attempt_id, invoked_function
from walnutpost.faultinjection.audit.evidence import FrontEndEvidence
from walnutpost.faultinjection.audit.verdict import RuleResult
from walnutpost.faultinjection.exchanges import CapturedProcess
from walnutpost.faultinjection.facts import Facts

# The rule counts where front ends that knew of the start sent two thirds of the work.
MIN_INFORMED_PARTS = 2
ALL_PARTS = 3


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_us: int
    work_us: int
    is_informed: bool


def check_cold_starts(
    front_ends: list[FrontEndEvidence], workers: list[CapturedProcess], facts: Facts
) -> RuleResult:
    """Check the work that reaches a worker within any window, while it warms up."""
    rule = RuleResult("4 cold workers not pushed over (share of the budget left)")
    if facts.warm_up_us <= 0 or facts.overload_window_us <= 0 or facts.overload_factor <= 0:
        return rule
    senders: dict[AttemptId, FrontEndEvidence] = {}
    for front_end in front_ends:
        for send in front_end.sends:
            senders[attempt_id(send.exchange.request)] = front_end
    for worker in workers:
        strength = facts.workers[worker.name].strength  # a worker that the facts do not name is an error
        for start in worker.starts:
            if start.is_cold:
                _check_start(rule, worker, strength, start.at_us, senders, facts)
    return rule


def _check_start(
    rule: RuleResult,
    worker: CapturedProcess,
    strength: float,
    started_us: int,
    senders: dict[AttemptId, FrontEndEvidence],
    facts: Facts,
) -> None:
    window: list[_Arrival] = []
    for exchange in worker.exchanges.get("worker", ()):
        function = invoked_function(exchange.request)
        at_us = exchange.request.ended_us
        if function is None or not started_us <= at_us < started_us + facts.warm_up_us:
            continue
        rule.checked += 1
        sender = senders.get(attempt_id(exchange.request))
        is_informed = sender is not None and sender.knows_start(worker.name, at_us, started_us)
        window.append(_Arrival(at_us, facts.work_us.get(function, 0), is_informed))
        window = [arrival for arrival in window if arrival.at_us > at_us - facts.overload_window_us]
        budget_us = _budget_us(strength, at_us - started_us, facts)
        _check_window(rule, worker.name, window, budget_us)


def _budget_us(strength: float, uptime_us: int, facts: Facts) -> float:
    """Return the work that a worker of this strength bears within a window, so long after its start."""
    growth = (1 - facts.start_capacity) * uptime_us / facts.warm_up_us
    capacity = facts.start_capacity + growth
    # One call more than the budget is chance: the rule speaks of what is sent for a time.
    longest_us = max(facts.work_us.values(), default=0)
    return facts.overload_factor * capacity * strength * facts.overload_window_us + longest_us


def _check_window(rule: RuleResult, worker: str, window: list[_Arrival], budget_us: float) -> None:
    total_us = sum(arrival.work_us for arrival in window)
    informed_us = sum(arrival.work_us for arrival in window if arrival.is_informed)
    if informed_us * ALL_PARTS < total_us * MIN_INFORMED_PARTS:
        return
    rule.record_margin(1 - total_us / budget_us)
    if total_us > budget_us:
        rule.violations.append(f"{worker}: {total_us / budget_us:.2f} times what it bears when cold")
