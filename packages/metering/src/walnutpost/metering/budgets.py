"""Budgets of memory-time by tenant: their states, and what each state allows. No I/O, no clock.

Times are microseconds, amounts MB-microseconds.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, IntEnum

from walnutpost.metering.units import DAY_US


class BudgetAction(Enum):
    """What happens past a budget. The values are those of the settings. Open calls are never affected."""

    LOG = "note"
    NO_FURTHER_COPIES = "no ahead loads"  # no more copies are ordered while one is loaded
    REJECT_NEW_LOADS = "refuse new loads"  # also, calls of functions without a loaded copy are rejected


class BudgetState(IntEnum):
    """How much of a budget is used. The names are logged."""

    WITHIN = 0
    NEAR = 1
    PAST = 2


@dataclass(frozen=True, slots=True)
class Budget:
    """A tenant's limit of memory-time in each period.

    The state NEAR begins at `near_ratio` of the limit. A state ends only when usage falls more than
    `hysteresis_ratio` of the limit below the threshold at which it began, or when a new period begins.
    """

    tenant: str
    limit_mb_us: int
    period_us: int = DAY_US
    near_ratio: float = 0.8
    hysteresis_ratio: float = 0.05
    action: BudgetAction = BudgetAction.LOG


@dataclass(frozen=True, slots=True)
class BudgetStateChange:
    """A change of a budget's state."""

    budget: Budget
    previous: BudgetState
    current: BudgetState
    used_mb_us: int


class Budgets:
    """The budgets of a site, at most one for each tenant."""

    def __init__(self, budgets: Sequence[Budget]) -> None:
        self._budgets = {budget.tenant: budget for budget in budgets}
        self._states = dict.fromkeys(self._budgets, BudgetState.WITHIN)
        self._period_starts_us: dict[str, int] = {}

    def __bool__(self) -> bool:
        """Whether there are any budgets."""
        return bool(self._budgets)

    @property
    def can_restrict(self) -> bool:
        """Whether any budget may reject calls or load orders."""
        return any(budget.action is not BudgetAction.LOG for budget in self._budgets.values())

    @property
    def periods_us(self) -> set[int]:
        """Return the lengths of the budgets' periods."""
        return {budget.period_us for budget in self._budgets.values()}

    def state(self, tenant: str) -> BudgetState:
        """Return the state of a tenant's budget; WITHIN if it has none."""
        return self._states.get(tenant, BudgetState.WITHIN)

    def update(self, now_us: int, used: Mapping[int, Mapping[str, int]]) -> list[BudgetStateChange]:
        """Update the states from the current usage; return the changes.

        `used` is by period length and tenant, since the start of the period. A clock that steps back starts
        no new period.
        """
        changes = []
        for tenant, budget in self._budgets.items():
            used_mb_us = used.get(budget.period_us, {}).get(tenant, 0)
            previous = self._states[tenant]
            previous_in_period = BudgetState.WITHIN if self._advance_period(budget, now_us) else previous
            current = _next_state(budget, used_mb_us, previous_in_period)
            if current is not previous:
                self._states[tenant] = current
                changes.append(BudgetStateChange(budget, previous, current, used_mb_us))
        return changes

    def admits_call(self, tenant: str, has_loaded_copy: bool) -> bool:
        """Whether a new call is admitted. `has_loaded_copy` says whether a copy of its function is loaded."""
        return has_loaded_copy or not self._is_past_budget(tenant, BudgetAction.REJECT_NEW_LOADS)

    def admits_load_order(self, tenants: Collection[str], has_loaded_copy: bool) -> bool:
        """Whether copies may be ordered for the calls of these tenants.

        They may if no copy is loaded, since open calls need one, or if at least one tenant is unrestricted.
        """
        if not has_loaded_copy or not tenants:
            return True
        return not all(self._restricts_copies(tenant) for tenant in tenants)

    def time_to_period_end_us(self, tenant: str, now_us: int) -> int:
        """Return the time until the tenant's period ends, or 0 if the tenant has no budget."""
        budget = self._budgets.get(tenant)
        return budget.period_us - now_us % budget.period_us if budget is not None else 0

    def _advance_period(self, budget: Budget, now_us: int) -> bool:
        start_us = now_us // budget.period_us * budget.period_us
        previous_us = self._period_starts_us.get(budget.tenant, 0)
        self._period_starts_us[budget.tenant] = max(start_us, previous_us)
        return start_us > previous_us

    def _restricts_copies(self, tenant: str) -> bool:
        return self._is_past_budget(tenant, BudgetAction.NO_FURTHER_COPIES) or self._is_past_budget(
            tenant, BudgetAction.REJECT_NEW_LOADS
        )

    def _is_past_budget(self, tenant: str, action: BudgetAction) -> bool:
        budget = self._budgets.get(tenant)
        if budget is None or budget.action is not action:
            return False
        return self._states[tenant] is BudgetState.PAST


def _next_state(budget: Budget, used_mb_us: int, previous: BudgetState) -> BudgetState:
    """Return the new state: it rises at a threshold, and falls only below that less the hysteresis."""
    thresholds = {
        BudgetState.NEAR: budget.near_ratio * budget.limit_mb_us,
        BudgetState.PAST: float(budget.limit_mb_us),
    }
    current = BudgetState.WITHIN
    for state, threshold in thresholds.items():
        hysteresis = budget.hysteresis_ratio * budget.limit_mb_us if previous >= state else 0.0
        if used_mb_us >= threshold - hysteresis:
            current = state
    return current
