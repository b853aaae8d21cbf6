"""Tests of budgets: states with hysteresis, and what is admitted past a budget."""

from __future__ import annotations

from dataclasses import replace

from walnutpost.metering import HOUR_US, Budget, BudgetAction, Budgets, BudgetState
from walnutpost.testsupport.metering.fixtures import MINUTE_US

BUDGET = Budget("a", 1000, HOUR_US, 0.8, 0.1, BudgetAction.REJECT_NEW_LOADS)
# Minutes since the start, used MB-microseconds, expected state.
USAGE_READINGS: list[tuple[int, int, BudgetState]] = [
    (0, 700, BudgetState.WITHIN),
    (1, 800, BudgetState.NEAR),
    (2, 701, BudgetState.NEAR),  # a correction, to less than a tenth of the limit below the threshold
    (3, 699, BudgetState.WITHIN),
    (4, 1000, BudgetState.PAST),
    (5, 901, BudgetState.PAST),
    (6, 899, BudgetState.NEAR),
    (7, 2000, BudgetState.PAST),
    (60, 750, BudgetState.WITHIN),  # a new period
    (61, 1000, BudgetState.PAST),
    (59, 950, BudgetState.PAST),  # the clock steps back, which starts no new period
]


def test_budget_states_have_hysteresis_and_restrict_only_their_tenants() -> None:
    budgets = Budgets(
        [
            BUDGET,
            replace(BUDGET, tenant="b", action=BudgetAction.NO_FURTHER_COPIES),
            replace(BUDGET, tenant="c", action=BudgetAction.LOG),
        ]
    )
    start_us = 1000 * HOUR_US
    for minutes, used, state in USAGE_READINGS:
        budgets.update(start_us + minutes * MINUTE_US, {HOUR_US: dict.fromkeys("abc", used)})
        assert budgets.state("a") is state, minutes
    assert not budgets.update(start_us + 61 * MINUTE_US, {HOUR_US: dict.fromkeys("abc", 1000)})
    admitted = {
        (tenant, has_copy): budgets.admits_call(tenant, has_copy)
        for tenant in "abcd"
        for has_copy in (True, False)
    }
    assert [key for key, is_admitted in admitted.items() if not is_admitted] == [("a", False)]
    tenants_of_orders = [("a",), ("b",), ("a", "b"), ("c",), ("d",), ("a", "d"), ()]
    assert [tenants for tenants in tenants_of_orders if not budgets.admits_load_order(tenants, True)] == [
        ("a",),
        ("b",),
        ("a", "b"),
    ]
    assert all(budgets.admits_load_order(tenants, False) for tenants in tenants_of_orders)
    assert budgets.time_to_period_end_us("a", start_us + 59 * MINUTE_US) == MINUTE_US
    assert budgets.time_to_period_end_us("d", start_us) == 0
