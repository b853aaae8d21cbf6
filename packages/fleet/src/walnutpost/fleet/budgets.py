"""Who is out, and whether one more may be. The one place where that is decided."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from walnutpost.fleet.commands import Budget
from walnutpost.fleet.state import Member, Permit


@dataclass(frozen=True, slots=True)
class Use:
    """One budget in one place: `out` of `allowed`, by name. `silent`: those that no permit accounts for,
    since one that is being replaced may be silent longer than a lease, as agreed."""

    budget: Budget
    zone: str
    allowed: int
    out: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def told(self) -> str:
        where = f" in {self.zone}" if self.zone else ""
        names = f": {', '.join(self.out)}" if self.out else ""
        return f"{len(self.out)} of {self.allowed} {self.budget.kind}s{where} are out{names}"


def out(members: Mapping[str, Member], permits: Iterable[Permit]) -> set[str]:
    """Whoever holds a permit and is not yet back, and whoever is silent."""
    return {p.member for p in permits} | {name for name, m in members.items() if m.silent}


def uses(
    budgets: Iterable[Budget], members: Mapping[str, Member], permits: Iterable[Permit], kind: str, zone: str
) -> list[Use]:
    """The budgets that a member of this kind and zone counts in."""
    permits = list(permits)
    gone, agreed, found = out(members, permits), {p.member for p in permits}, []
    for budget in budgets:
        if budget.kind != kind or budget.zone not in ("", "*", zone):
            continue
        place = zone if budget.zone else ""
        here = sorted(n for n, m in members.items() if m.kind == kind and place in ("", m.zone))
        found.append(
            Use(
                budget,
                place,
                budget.allowed(len(here)),
                tuple(n for n in here if n in gone),
                tuple(n for n in here if members[n].silent and n not in agreed),
            )
        )
    return found
