"""Rule 2: an unsafe call has its effect at most once.

Executions are counted by workers' own records; resends and rejections are read at front ends' sockets.
"""

from __future__ import annotations

from collections import defaultdict

from walnutpost.faultinjection.audit.calls import CALL_ID_HEADER, call_sent, invoked_function
from walnutpost.faultinjection.audit.evidence import ClientRequest, FrontEndEvidence, WorkerSend
from walnutpost.faultinjection.audit.verdict import RuleResult
from walnutpost.faultinjection.exchanges import CapturedProcess
from walnutpost.faultinjection.facts import Facts

UNSAFE = "unsafe"
REJECTED = 429


def check_effects(
    front_ends: list[FrontEndEvidence], workers: list[CapturedProcess], facts: Facts
) -> RuleResult:
    """Check executions, resends and rejections of unsafe calls."""
    rule = RuleResult("2 no effect twice")
    _check_executions(rule, workers, facts)
    for front_end in front_ends:
        for call, sends in front_end.sends_by_call.items():
            if facts.effects.get(sends[0].function) == UNSAFE:
                _check_resends(rule, front_end, call, sends)
        for request in front_end.requests:
            if facts.effects.get(request.function) == UNSAFE:
                _check_rejection(rule, front_end, request)
    return rule


def _check_executions(rule: RuleResult, workers: list[CapturedProcess], facts: Facts) -> None:
    calls: dict[str, tuple[str, str]] = {}  # by number in the worker protocol: call, function
    for worker in workers:
        for exchange in worker.exchanges.get("worker", ()):
            function = invoked_function(exchange.request)
            if function is not None:
                call_id = exchange.request.headers.get(CALL_ID_HEADER, "")
                calls[call_id] = (call_sent(exchange), function)
    runs: dict[str, int] = defaultdict(int)
    for worker in workers:
        for execution in worker.executions:
            call, function = calls.get(execution.call_id, ("", ""))
            if facts.effects.get(function) == UNSAFE:
                runs[call] += 1
    for call, count in runs.items():
        rule.checked += 1
        if count > 1:
            rule.violations.append(f"unsafe call {call}: {count} executions")


def _check_resends(rule: RuleResult, front_end: FrontEndEvidence, call: str, sends: list[WorkerSend]) -> None:
    for place, send in enumerate(sends[:-1]):
        if send.may_have_run_at(sends[place + 1].at_us):
            rule.violations.append(f"{front_end.name}: unsafe call {call}: sent again though it may have run")


def _check_rejection(rule: RuleResult, front_end: FrontEndEvidence, request: ClientRequest) -> None:
    response = request.exchange.response
    if response is None or response.status != REJECTED:
        return
    rule.checked += 1
    for send in front_end.sends_of(request.call):
        if send.at_us < response.ended_us and send.may_have_run_at(response.ended_us):
            rule.violations.append(
                f"{front_end.name}: unsafe call {request.call}: refused though it may have run"
            )
