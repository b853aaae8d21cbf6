"""The five rules, checked from captures alone.

What is read: both ends of the sockets, the lists of workers as front ends were given them, and workers' own
records of executions. A call is known by the `trial` member of its payload, which travels unchanged from
client to worker. No gateway code is used.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from walnutpost.faultinjection.audit.answers import check_answers, check_deferred_outcomes
from walnutpost.faultinjection.audit.cold_starts import check_cold_starts
from walnutpost.faultinjection.audit.drains import check_drains
from walnutpost.faultinjection.audit.effects import check_effects
from walnutpost.faultinjection.audit.evidence import FrontEndEvidence
from walnutpost.faultinjection.audit.load_orders import check_load_orders
from walnutpost.faultinjection.audit.verdict import MAX_VIOLATIONS_SHOWN, RuleResult, Verdict
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX, read_records
from walnutpost.faultinjection.errors import CaptureError
from walnutpost.faultinjection.exchanges import CapturedProcess, read_processes
from walnutpost.faultinjection.facts import Facts, read_facts

__all__ = ["MAX_VIOLATIONS_SHOWN", "RuleResult", "Verdict", "audit", "audit_folder"]


def audit(processes: Iterable[CapturedProcess], facts: Facts) -> Verdict:
    """Check all that the captures show."""
    captured = list(processes)
    front_ends = [FrontEndEvidence(process, facts) for process in captured if process.kind == "front"]
    workers = [process for process in captured if process.kind == "worker"]
    clients = [process for process in captured if process.kind == "client"]
    return Verdict(
        [
            check_answers(front_ends, facts),
            check_deferred_outcomes(clients),
            check_effects(front_ends, workers, facts),
            check_drains(front_ends, facts),
            check_cold_starts(front_ends, workers, facts),
            check_load_orders(front_ends, facts),
        ]
    )


def audit_folder(folder: Path) -> Verdict:
    """Audit all captures of a folder by the facts beside them; raises ValueError or OSError."""
    facts = read_facts(folder)
    files = sorted(folder.glob(f"*{CAPTURE_SUFFIX}"))
    if not files:
        raise CaptureError(f"{folder}: no file ending in {CAPTURE_SUFFIX}")
    return audit([process for file in files for process in read_processes(read_records(file))], facts)
