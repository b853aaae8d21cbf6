"""Disruption budgets: which members are unavailable, and how far each budget is used up.

This is the only place that decides who counts as unavailable.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from walnutpost.fleet.commands import DisruptionBudget
from walnutpost.fleet.state import Member, Permit


@dataclass(frozen=True, slots=True)
class BudgetUsage:
    """The use of one budget in one zone, or in all zones if `zone` is empty.

    `unavailable`: names of the members that count against it. `unplanned`: those of them without a permit; a
    member that is being replaced under a permit may be unresponsive for longer than a lease.
    """

    budget: DisruptionBudget
    zone: str
    limit: int
    unavailable: tuple[str, ...]
    unplanned: tuple[str, ...]

    @property
    def description(self) -> str:
        """The use as text. It is stored in results and plans: all replicas must give the same text."""
        where = f" in {self.zone}" if self.zone else ""
        names = f": {', '.join(self.unavailable)}" if self.unavailable else ""
        used = f"{len(self.unavailable)} of {self.limit}"
        return f"{used} {self.budget.kind}s{where} are out{names}"


def unavailable_members(members: Mapping[str, Member], permits: Iterable[Permit]) -> set[str]:
    """Return the members for which there is a permit, and the unresponsive ones."""
    permitted = {permit.member for permit in permits}
    return permitted | {name for name, member in members.items() if member.unresponsive}


def budget_usages(
    budgets: Iterable[DisruptionBudget],
    members: Mapping[str, Member],
    permits: Iterable[Permit],
    kind: str,
    zone: str,
) -> list[BudgetUsage]:
    """Return the use of each budget that covers members of this kind and zone."""
    permits = list(permits)
    permitted = {permit.member for permit in permits}
    unavailable = unavailable_members(members, permits)
    usages = []
    for budget in budgets:
        if budget.kind != kind or budget.zone not in ("", "*", zone):
            continue
        counted_zone = zone if budget.zone else ""
        counted = sorted(n for n, m in members.items() if m.kind == kind and counted_zone in ("", m.zone))
        usage = BudgetUsage(
            budget,
            counted_zone,
            budget.limit(len(counted)),
            unavailable=tuple(name for name in counted if name in unavailable),
            unplanned=tuple(n for n in counted if members[n].unresponsive and n not in permitted),
        )
        usages.append(usage)
    return usages
