"""Allocation of a copy's memory-time to tenants. No I/O.

Running time is charged to the tenants of the running calls, by slots in use. docs/metering.md compares three
rules for the rest of the time; the ledger uses LAST_USER.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from walnutpost.metering.records import UNATTRIBUTED, UsageSlice


class AllocationRule(Enum):
    """Which tenant is charged for the time in which no call runs."""

    # Idle time: the tenant whose call ended last. Time before the first call: the tenant of that call.
    LAST_USER = "lately"
    # All of it: the tenant of the first call.
    FIRST_USER = "first"
    # All of it: the tenants whose calls ran in the hour, by running time.
    # If none ran: the tenant of the first call.
    RUN_TIME = "share"


def split_proportionally(total: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Split `total` into integer shares that are proportional to the weights and add up to it.

    The remainder goes to the shares with the greatest fractions; ties are broken by name. Weights must not be
    negative, and not all 0.
    """
    if len(weights) == 1:
        return dict.fromkeys(weights, total)
    weight_sum = sum(weights.values())
    shares = {name: total * weight // weight_sum for name, weight in weights.items()}
    remainder = total - sum(shares.values())
    by_fraction = sorted(weights, key=lambda name: (-(total * weights[name] % weight_sum), name))
    for name in by_fraction[:remainder]:
        shares[name] += 1
    return shares


def allocate_slice(usage: UsageSlice, rule: AllocationRule = AllocationRule.LAST_USER) -> dict[str, int]:
    """Return the MB-microseconds charged to each tenant. They add up to the slice's memory-time."""
    times_us: dict[str, int] = {}
    _add_times(times_us, usage.running_us)
    _add_times(times_us, _allocate_rest(usage, rule))
    return {tenant: usage.memory_mb * time_us for tenant, time_us in times_us.items() if time_us}


def _allocate_rest(usage: UsageSlice, rule: AllocationRule) -> dict[str, int]:
    """Return the time in which no call ran, by the tenant that is charged for it."""
    first_tenant = usage.first_tenant if usage.first_tenant is not None else UNATTRIBUTED
    before_first_call_us = usage.loading_us + usage.unused_us
    rest_us = before_first_call_us + sum(usage.idle_us.values())
    match rule:
        case AllocationRule.RUN_TIME if any(usage.running_us.values()):
            return split_proportionally(rest_us, usage.running_us)
        case AllocationRule.LAST_USER:
            shares = {first_tenant: before_first_call_us}
            _add_times(shares, usage.idle_us)
            return shares
        case _:
            return {first_tenant: rest_us}


def _add_times(sums: dict[str, int], times_us: Mapping[str, int]) -> None:
    for tenant, time_us in times_us.items():
        sums[tenant] = sums.get(tenant, 0) + time_us
