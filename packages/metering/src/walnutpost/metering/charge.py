"""Whom a copy's memory-time is charged to. No I/O.

Running time goes to the tenants that ran, by lanes in use. Three rules for the rest are weighed in
docs/metering.md; the ledger uses LATELY.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from walnutpost.metering.records import UNATTRIBUTED, Slice


class Rule(Enum):
    """Who pays for loading and for idle time."""

    LATELY = (
        "lately"  # idle time: who used the copy last; loading, and waiting for a first call: who came first
    )
    FIRST = "first"  # all of it: who used the copy first
    SHARE = "share"  # all of it: who ran in that hour, by time run; where nobody did, who came first


def split(total: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Shares of `total`, in proportion and in whole numbers, that add up to it: by the largest remainder,
    equal ones by name. The weights are not negative, and not all 0."""
    if len(weights) == 1:
        return dict.fromkeys(weights, total)
    whole = sum(weights.values())
    out = {name: total * weight // whole for name, weight in weights.items()}
    rest = total - sum(out.values())
    order = sorted(weights, key=lambda name: (-(total * weights[name] % whole), name))
    for name in order[:rest]:
        out[name] += 1
    return out


def charge(s: Slice, rule: Rule = Rule.LATELY) -> dict[str, int]:
    """MB-microseconds by tenant; they add up to `s.whole`."""
    first = s.first if s.first is not None else UNATTRIBUTED
    out: dict[str, int] = {}

    def add(tenant: str, time: int) -> None:
        if time:
            out[tenant] = out.get(tenant, 0) + s.memory_mb * time

    for tenant, time in s.runs.items():
        add(tenant, time)
    idle = sum(s.after.values())
    if rule is Rule.SHARE and any(s.runs.values()):
        for tenant, time in split(s.loading + s.unused + idle, s.runs).items():
            add(tenant, time)
        return out
    add(first, s.loading + s.unused)
    if rule is Rule.LATELY:
        for tenant, time in s.after.items():
            add(tenant, time)
    else:
        add(first, idle)
    return out
