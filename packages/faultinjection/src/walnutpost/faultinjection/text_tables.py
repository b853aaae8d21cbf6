"""Tables of text: what scenarios and audits print."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

from walnutpost.faultinjection.audit import MAX_VIOLATIONS_SHOWN, Verdict
from walnutpost.faultinjection.call_results import CallResult, CallResultKind, by_function
from walnutpost.faultinjection.usage import UsageComparison
from walnutpost.fleet import FleetState

SECOND_US = 1_000_000
US_PER_MS = 1000
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 99, 99.9, 100)
KINDS = (
    CallResultKind.SERVED,
    CallResultKind.REJECTED,
    CallResultKind.FAILED,
    CallResultKind.NO_ANSWER,
    CallResultKind.UNREACHABLE,
)


def calls_table(results: list[CallResult]) -> str:
    """Return counts by kind, and percentiles of the latency of what was served, from the intended start."""
    head = ["calls", "asked", *KINDS, "other", "p50 ms", "p99 ms", "p99.9 ms", "max ms"]
    groups = [*by_function(results).items(), ("all", results)]
    return align_columns([head, *(_calls_row(name, group) for name, group in groups)])


def _calls_row(name: str, results: list[CallResult]) -> list[str]:
    counts = Counter(result.kind for result in results)
    known = [counts[kind] for kind in KINDS]
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for result in results:
        if result.kind is CallResultKind.SERVED:
            histogram.record_value(max(MIN_LATENCY_US, result.latency_us))
    times_ms = [histogram.get_value_at_percentile(each) / US_PER_MS for each in PERCENTILES]
    numbers = [len(results), *known, len(results) - sum(known)]
    return [name, *map(str, numbers), *(f"{time_ms:.1f}" for time_ms in times_ms)]


def rules_table(verdict: Verdict) -> str:
    """Return the result of each rule, and below them the first violations of each."""
    rows = [["rule", "looked at", "broken", "least margin"]]
    for rule in verdict.rules:
        margin = "-" if rule.min_margin is None else f"{rule.min_margin:.2f}"
        rows.append([rule.name, str(rule.checked), str(len(rule.violations)), margin])
    lines = [align_columns(rows)]
    for rule in verdict.rules:
        for violation in rule.violations[:MAX_VIOLATIONS_SHOWN]:
            lines.append(f"broken: rule {rule.name}: {violation}")
        if len(rule.violations) > MAX_VIOLATIONS_SHOWN:
            lines.append(f"broken: rule {rule.name}: and {len(rule.violations) - MAX_VIOLATIONS_SHOWN} more")
    return "\n".join(lines)


def plans_table(state: FleetState) -> str:
    """Return how far each plan came, and how it ended."""
    rows = [["plan", "to", "done", "how it ended"]]
    for plan in state.plans.values():
        halted = f"halted: {plan.halt_reason}" if plan.halt_reason else "under way"
        completed = f"{len(plan.completed)} of {len(plan.members)}"
        rows.append([plan.id, plan.version or "out and back", completed, plan.end_reason or halted])
    return align_columns(rows)


def usage_table(comparisons: list[UsageComparison]) -> str:
    """Return memory-seconds of workers' own records against the ledgers; gaps are one sum, beside each."""
    head = ["tenant", "recorded MB s", "metered MB s", "off %", "of it estimated", "gaps at most", "covered"]
    rows = [head]
    for row in comparisons:
        recorded, metered, estimated, gaps = (
            f"{amount / SECOND_US:.1f}" for amount in (row.recorded, row.metered, row.estimated, row.gaps)
        )
        off = f"{100 * row.error_ratio:+.3f}"
        covered = "yes" if row.is_covered else "NO"
        rows.append([row.tenant, recorded, metered, off, estimated, gaps, covered])
    return align_columns(rows)


def align_columns(rows: list[list[str]]) -> str:
    """Return rows of cells as lines: the first column to the left, the others to the right."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return "\n".join(_line(row, widths) for row in rows)


def _line(row: list[str], widths: list[int]) -> str:
    first = row[0].ljust(widths[0])
    others = [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
    return "  ".join([first, *others])
