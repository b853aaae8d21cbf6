"""What an observer saw, against disruption budgets and halts."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from walnutpost.config.control_plane import DisruptionBudgetConfig
from walnutpost.faultinjection.fleet_observer import Outage

EACH_ZONE = "*"
ALL_ZONES = ""


@dataclass(slots=True)
class HaltSpan:
    """A time in which a halt was in effect, in microseconds."""

    begin_us: int
    end_us: int


@dataclass(frozen=True, slots=True)
class BudgetCheck:
    """The members by kind, their zones, and the budgets that they have."""

    members: Mapping[str, Sequence[str]]
    zones: Mapping[str, str]
    all_zones: tuple[str, ...]
    budgets: tuple[DisruptionBudgetConfig, ...]

    def violations(self, kind: str, down: list[str]) -> Iterator[str]:
        """Return what is against a budget while these members of a kind are down."""
        for budget in self.budgets:
            if budget.kind != kind:
                continue
            for zone in self.all_zones if budget.zone == EACH_ZONE else (budget.zone,):
                here = [name for name in self.members[kind] if zone in (ALL_ZONES, self.zones[name])]
                share = max(1, int((budget.max_unavailable_ratio or 0.0) * len(here)))
                allowed = budget.max_unavailable if budget.max_unavailable is not None else share
                over = [name for name in down if name in here]
                if len(over) > allowed:
                    yield f"{', '.join(over)} were out at once in {zone or 'all'}, {allowed} may be"


@dataclass(slots=True)
class OutageCheck:
    """What was found: violations, and by kind the most members that were down at once."""

    violations: list[str]
    max_unavailable: dict[str, int]


def check_outages(outages: Sequence[Outage], halts: Sequence[HaltSpan], budgets: BudgetCheck) -> OutageCheck:
    """Check which members were down beyond the budgets, or went down after a halt had taken effect.

    Two are down at once where the times overlap in which each was seen down, first and last. Injected outages
    do not count.
    """
    violations: set[str] = set()
    max_unavailable = dict.fromkeys(budgets.members, 0)
    planned = [outage for outage in outages if not outage.is_injected]
    for at_us in sorted({outage.first_us for outage in planned}):
        down = {outage.member for outage in planned if outage.first_us <= at_us <= outage.last_us}
        for kind, names in budgets.members.items():
            down_of_kind = sorted(down.intersection(names))
            max_unavailable[kind] = max(max_unavailable[kind], len(down_of_kind))
            violations.update(budgets.violations(kind, down_of_kind))
    for halt in halts:
        violations.update(
            f"{outage.member} went out after a halt"
            for outage in planned
            if halt.begin_us < outage.first_us < halt.end_us
        )
    return OutageCheck(sorted(violations), max_unavailable)
