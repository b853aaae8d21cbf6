"""Rule 1: each call has one final answer, in time; each deferred call has one outcome."""

from __future__ import annotations

import json
from bisect import bisect_right
from collections import defaultdict

from walnutpost.faultinjection.audit.calls import EXECUTION, call_of
from walnutpost.faultinjection.audit.evidence import EVENT, ClientRequest, FrontEndEvidence
from walnutpost.faultinjection.audit.verdict import RuleResult
from walnutpost.faultinjection.exchanges import CapturedProcess, Exchange
from walnutpost.faultinjection.facts import Facts

US_PER_MS = 1000
ACCEPTED = 202
OK = 200


def check_answers(front_ends: list[FrontEndEvidence], facts: Facts) -> RuleResult:
    """Check answers at front ends' own sockets."""
    rule = RuleResult("1 one final answer, in time (ms)")
    for front_end in front_ends:
        arrivals: dict[str, list[int]] = defaultdict(list)
        for request in front_end.requests:
            arrivals[request.call].append(request.exchange.request.began_us)
        for request in front_end.requests:
            rule.checked += 1
            ended_us = _check_in_time(rule, front_end, request, facts)
            if ended_us is not None and request.invocation_type != EVENT:
                until_us = _next_arrival_us(front_end, request, arrivals[request.call])
                _check_no_send_between(rule, front_end, request.call, ended_us, until_us)
    return rule


def _check_in_time(
    rule: RuleResult, front_end: FrontEndEvidence, request: ClientRequest, facts: Facts
) -> int | None:
    """Check one request's answer; return when it ended, None where there was none."""
    due_us = request.deadline_us + facts.answer_slack_us
    exchange = request.exchange
    if exchange.response is None or not exchange.response.ended_us:
        # Else the front end was killed, or the caller left, before it was due.
        if exchange.closed_us > due_us:
            rule.violations.append(f"{front_end.name}: call {request.call}: no answer by its deadline")
        return None
    late_us = exchange.response.ended_us - due_us
    late_ms = late_us / US_PER_MS
    rule.record_margin(-late_ms)
    if late_us > 0:
        rule.violations.append(f"{front_end.name}: call {request.call}: answered {late_ms:.1f} ms late")
    return exchange.response.ended_us


def _next_arrival_us(front_end: FrontEndEvidence, request: ClientRequest, arrivals_us: list[int]) -> int:
    """Return when the same call came again, else the end of the capture."""
    place = bisect_right(arrivals_us, request.exchange.request.began_us)
    return arrivals_us[place] if place < len(arrivals_us) else front_end.process.ended_us + 1


def _check_no_send_between(
    rule: RuleResult, front_end: FrontEndEvidence, call: str, from_us: int, until_us: int
) -> None:
    for send in front_end.sends_of(call):
        if from_us < send.at_us < until_us:
            rule.violations.append(f"{front_end.name}: call {call}: sent to a worker after its final answer")


def check_deferred_outcomes(clients: list[CapturedProcess]) -> RuleResult:
    """Check the outcomes of deferred calls, as their owners were answered."""
    rule = RuleResult("1 one fate for each deferred call")
    calls: dict[str, str] = {}  # by execution
    outcomes: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for client in clients:
        for exchange in client.exchanges.get("client", ()):
            _add_acceptance(exchange, calls)
            _add_outcome(exchange, outcomes)
    for arn, call in calls.items():
        rule.checked += 1
        count = len(outcomes[arn])
        if count != 1:
            found = f"{count} different fates" if count else "no fate"
            rule.violations.append(f"deferred call {call}: {found}")
    return rule


def _add_acceptance(exchange: Exchange, calls: dict[str, str]) -> None:
    response = exchange.response
    if response is None or not response.ended_us or response.status != ACCEPTED:
        return
    arn = response.headers.get("x-amz-durable-execution-arn")
    if arn:
        calls[arn] = call_of(exchange.request.body)


def _add_outcome(exchange: Exchange, outcomes: dict[str, set[tuple[str, str]]]) -> None:
    request, response = exchange.request, exchange.response
    if response is None or not response.ended_us or response.status != OK:
        return
    if request.method != "GET" or not EXECUTION.match(request.target):
        return
    execution = json.loads(response.body)
    if execution["Status"] != "RUNNING":
        outcome = (execution["Status"], str(execution.get("Result")))
        outcomes[execution["DurableExecutionArn"]].add(outcome)
