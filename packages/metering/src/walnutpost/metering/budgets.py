"""Budgets of memory-time by tenant: where each stands, and what that allows. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from walnutpost.metering.records import DAY


class Action(Enum):
    """What happens past a budget. Calls that are in already are never touched."""

    NOTE = "note"
    NO_AHEAD = "no ahead loads"  # no copies are ordered on top of those that stand
    REFUSE = "refuse new loads"  # nor is a call let in for which nothing stands


class Standing(IntEnum):
    WITHIN = 0
    NEAR = 1
    PAST = 2


@dataclass(frozen=True, slots=True)
class Budget:
    """`limit` in MB-microseconds for each period. `near` is a share of it; a state is left again only when
    the use has fallen `back` of the limit below where it was entered, or a new period has begun."""

    tenant: str
    limit: int
    period: int = DAY
    near: float = 0.8
    back: float = 0.05
    action: Action = Action.NOTE


@dataclass(frozen=True, slots=True)
class Change:
    budget: Budget
    before: Standing
    now: Standing
    used: int


class Budgets:
    def __init__(self, budgets: Sequence[Budget]) -> None:
        self._budgets = {b.tenant: b for b in budgets}
        self._standing = dict.fromkeys(self._budgets, Standing.WITHIN)
        self._began: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._budgets)

    @property
    def act(self) -> bool:
        """Whether any of them may turn calls or orders away."""
        return any(b.action is not Action.NOTE for b in self._budgets.values())

    @property
    def periods(self) -> set[int]:
        return {b.period for b in self._budgets.values()}

    def standing(self, tenant: str) -> Standing:
        return self._standing.get(tenant, Standing.WITHIN)

    def look(self, now: int, used: Mapping[int, Mapping[str, int]]) -> list[Change]:
        """`used` by length of period, each since its start. Returns what has changed. A clock that steps
        back begins no new period."""
        changes = []
        for tenant, budget in self._budgets.items():
            began = now // budget.period * budget.period
            fresh = began > self._began.get(tenant, 0)
            self._began[tenant] = max(began, self._began.get(tenant, 0))
            amount, before = used.get(budget.period, {}).get(tenant, 0), self._standing[tenant]
            after = _standing(budget, amount, Standing.WITHIN if fresh else before)
            if after is not before:
                self._standing[tenant] = after
                changes.append(Change(budget, before, after, amount))
        return changes

    def lets_in(self, tenant: str, stands: bool) -> bool:
        """Whether a new call is let in; `stands`: a copy of its function does."""
        return stands or not self._past(tenant, Action.REFUSE)

    def lets_order(self, askers: Collection[str], stands: bool) -> bool:
        """Whether copies are ordered for these tenants' calls. With nothing standing, or anybody among
        them within the budget, always: a call that is in would suffer."""
        if not stands or not askers:
            return True
        return not all(self._past(t, Action.NO_AHEAD) or self._past(t, Action.REFUSE) for t in askers)

    def ends(self, tenant: str, now: int) -> int:
        """How long until the tenant's period is over."""
        budget = self._budgets.get(tenant)
        return budget.period - now % budget.period if budget is not None else 0

    def _past(self, tenant: str, action: Action) -> bool:
        budget = self._budgets.get(tenant)
        return budget is not None and budget.action is action and self._standing[tenant] is Standing.PAST


def _standing(budget: Budget, used: int, before: Standing) -> Standing:
    """Up as soon as a threshold is reached, down only with the distance `back`."""
    thresholds = {Standing.NEAR: budget.near * budget.limit, Standing.PAST: float(budget.limit)}
    out = Standing.WITHIN
    for state, threshold in thresholds.items():
        held = budget.back * budget.limit if before >= state else 0.0
        if used >= threshold - held:
            out = state
    return out
