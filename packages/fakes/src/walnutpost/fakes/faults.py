"""What a fake worker does wrong on command."""

from __future__ import annotations

from dataclasses import dataclass

ALL_CALLS = -1


@dataclass(slots=True)
class Faults:
    """The faults of one worker. Their names are the keys of its commands, which scripts hold.

    Integers count the calls (or loads) that are still to fail so; ALL_CALLS is all of them.
    """

    silent: bool = False  # connections are accepted, and nothing is answered
    reset_before: int = 0  # reset as the call arrives
    reset_while: int = 0  # reset as the call begins to run
    reset_after: int = 0  # reset instead of the answer
    half_answer: int = 0
    garbage: int = 0
    errors: int = 0
    full: int = 0
    fail_loads: int = 0
    slow: float = 1.0  # the factor by which work and loads take longer
    heavy_share: float = 0.0  # of the calls, that cost heavy_factor times the usual work
    heavy_factor: float = 1.0
    reports: dict[str, float] | None = None  # reported instead of the truth
    reports_by: int = 0  # microseconds by which load reports are late
    report_form: str = "text"

    def consume(self, name: str) -> bool:
        """Whether this call or load is to fail so; counts it."""
        remaining: int = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining != 0
