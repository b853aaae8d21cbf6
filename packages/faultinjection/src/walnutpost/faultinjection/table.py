"""What a trial or an audit prints."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

from walnutpost.faultinjection.audit import BREAKS_SHOWN, Verdict
from walnutpost.faultinjection.clients import Result, summary
from walnutpost.faultinjection.usage import Compared
from walnutpost.fleet import FleetState

SECOND = 1_000_000
LEAST, MOST, DIGITS = 1, 600_000_000, 3
KINDS = ("served", "refused", "failed", "no answer", "unreachable")


def calls_table(results: list[Result]) -> str:
    """Counts by kind, and percentiles of the latency of what was served, from the intended start."""
    head = ["calls", "asked", *KINDS, "other", "p50 ms", "p99 ms", "p99.9 ms", "max ms"]
    rows = []
    for name, part in [*summary(results).items(), ("all", results)]:
        kinds = Counter(r.kind for r in part)
        histogram = HdrHistogram(LEAST, MOST, DIGITS)
        for r in part:
            if r.kind == "served":
                histogram.record_value(max(LEAST, r.latency))
        other = len(part) - sum(kinds[k] for k in KINDS)
        times = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9, 100)]
        rows.append(
            [name, str(len(part)), *(str(kinds[k]) for k in KINDS), str(other), *(f"{t:.1f}" for t in times)]
        )
    return aligned([head, *rows])


def rules_table(verdict: Verdict) -> str:
    rows = [["rule", "looked at", "broken", "least margin"]]
    for rule in verdict.rules:
        margin = "-" if rule.margin is None else f"{rule.margin:.2f}"
        rows.append([rule.name, str(rule.looked_at), str(len(rule.breaks)), margin])
    lines = [aligned(rows)]
    for rule in verdict.rules:
        for broken in rule.breaks[:BREAKS_SHOWN]:
            lines.append(f"broken: rule {rule.name}: {broken}")
        if len(rule.breaks) > BREAKS_SHOWN:
            lines.append(f"broken: rule {rule.name}: and {len(rule.breaks) - BREAKS_SHOWN} more")
    return "\n".join(lines)


def plans_table(state: FleetState) -> str:
    rows = [["plan", "to", "done", "how it ended"]]
    for p in state.plans.values():
        ended = p.end_reason or (f"halted: {p.halt_reason}" if p.halt_reason else "under way")
        rows.append([p.id, p.version or "out and back", f"{len(p.completed)} of {len(p.members)}", ended])
    return aligned(rows)


def usage_table(compared: list[Compared]) -> str:
    """Memory-seconds: the workers' own records against the ledgers; the gaps are one sum, beside each."""
    head = ["tenant", "recorded MB s", "metered MB s", "off %", "of it estimated", "gaps at most", "covered"]
    rows = [head]
    for c in compared:
        amounts = [f"{amount / SECOND:.1f}" for amount in (c.true, c.best)]
        more = [f"{amount / SECOND:.1f}" for amount in (c.estimated, c.gaps)]
        rows.append([c.tenant, *amounts, f"{100 * c.off:+.3f}", *more, "yes" if c.covered else "NO"])
    return aligned(rows)


def aligned(rows: list[list[str]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if i == 0 else cell.rjust(w)
            for i, (cell, w) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )
