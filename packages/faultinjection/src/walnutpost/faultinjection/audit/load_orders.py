"""Rule 5: load orders are limited by the requests that came."""

from __future__ import annotations

from bisect import bisect_right

from walnutpost.faultinjection.audit.evidence import DRY_RUN, FrontEndEvidence
from walnutpost.faultinjection.audit.verdict import RuleResult
from walnutpost.faultinjection.facts import Facts


def check_load_orders(front_ends: list[FrontEndEvidence], facts: Facts) -> RuleResult:
    """Check each front end's load orders within any window against its requests there."""
    rule = RuleResult("5 load orders rationed (orders left)")
    if facts.load_order_window_us <= 0:
        return rule
    for front_end in front_ends:
        _check_front_end(rule, front_end, facts)
    return rule


def _check_front_end(rule: RuleResult, front_end: FrontEndEvidence, facts: Facts) -> None:
    requests = [request for request in front_end.requests if request.invocation_type != DRY_RUN]
    requested_us = sorted(request.exchange.request.began_us for request in requests)
    ordered_us = sorted(exchange.request.began_us for exchange in front_end.load_orders)
    for place, at_us in enumerate(ordered_us):
        rule.checked += 1
        since_us = at_us - facts.load_order_window_us
        orders = place + 1 - bisect_right(ordered_us, since_us)
        calls = bisect_right(requested_us, at_us) - bisect_right(requested_us, since_us)
        orders_left = facts.free_load_orders + facts.load_orders_per_request * calls - orders
        rule.record_margin(orders_left)
        if orders_left < 0:
            rule.violations.append(f"{front_end.name}: {orders} load orders for {calls} calls in the window")
