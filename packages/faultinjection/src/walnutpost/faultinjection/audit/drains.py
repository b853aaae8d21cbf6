"""Rule 3: a worker that drains gets no new work once the grace is over."""

from __future__ import annotations

from walnutpost.faultinjection.audit.evidence import FrontEndEvidence
from walnutpost.faultinjection.audit.verdict import RuleResult
from walnutpost.faultinjection.facts import Facts

US_PER_MS = 1000


def check_drains(front_ends: list[FrontEndEvidence], facts: Facts) -> RuleResult:
    """Check sends and load orders against the times in which workers drained."""
    rule = RuleResult("3 drains kept (ms)")
    for front_end in front_ends:
        spans = front_end.not_ready_spans()
        for exchange in [*(send.exchange for send in front_end.sends), *front_end.load_orders]:
            rule.checked += 1
            began_us = exchange.request.began_us
            for span in spans:
                if exchange.remote != span.address or not span.begin_us < began_us < span.end_us:
                    continue
                late_ms = (began_us - span.begin_us - facts.drain_grace_us) / US_PER_MS
                rule.record_margin(-late_ms)
                if late_ms > 0:
                    rule.violations.append(
                        f"{front_end.name}: new work to {span.worker}, {late_ms:.0f} ms past the grace"
                    )
    return rule
