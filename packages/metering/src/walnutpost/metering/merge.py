"""Merging of two reports of one slice, by the greater value of each counter.

The merge is the join of a semilattice (commutative, associative, idempotent), so a slice counts once however
often or late it arrives, and whichever reader sends it.
"""

from __future__ import annotations

from collections.abc import Mapping

from walnutpost.metering.records import UsageSlice

# These texts are stored and logged.
DIFFERENT_COPIES = "two functions or sizes for one copy"
DIFFERENT_FIRST_TENANTS = "two first tenants for one copy"
COUNTER_DECREASED = "a counter went down"


def merge_slices(a: UsageSlice, b: UsageSlice) -> UsageSlice:
    """Merge two reports of one slice. Contradictions between them are added to `contradictions`."""
    older, newer = (a, b) if a.counted_until_us <= b.counted_until_us else (b, a)
    first_tenants = [tenant for tenant in (a.first_tenant, b.first_tenant) if tenant is not None]
    return UsageSlice(
        *a.key,
        function=max(a.function, b.function),
        memory_mb=max(a.memory_mb, b.memory_mb),
        counted_until_us=newer.counted_until_us,
        is_final=a.is_final or b.is_final,
        loading_us=max(a.loading_us, b.loading_us),
        unused_us=max(a.unused_us, b.unused_us),
        running_us=_max_counters(a.running_us, b.running_us),
        idle_us=_max_counters(a.idle_us, b.idle_us),
        first_tenant=min(first_tenants, default=None),
        contradictions=a.contradictions | b.contradictions | _find_contradictions(older, newer),
    )


def _find_contradictions(older: UsageSlice, newer: UsageSlice) -> set[str]:
    found: set[str] = set()
    if older.function != newer.function or older.memory_mb != newer.memory_mb:
        found.add(DIFFERENT_COPIES)
    first_tenants = {older.first_tenant, newer.first_tenant} - {None}
    if len(first_tenants) > 1:
        found.add(DIFFERENT_FIRST_TENANTS)
    are_simultaneous = older.counted_until_us == newer.counted_until_us
    if not _is_at_most(older, newer) and not (are_simultaneous and _is_at_most(newer, older)):
        found.add(COUNTER_DECREASED)
    return found


def _is_at_most(a: UsageSlice, b: UsageSlice) -> bool:
    """Whether no counter of `a` is greater than that of `b`, and `a` is final only if `b` is."""
    return (
        a.loading_us <= b.loading_us
        and a.unused_us <= b.unused_us
        and (b.is_final or not a.is_final)
        and all(count <= b.running_us.get(tenant, 0) for tenant, count in a.running_us.items())
        and all(count <= b.idle_us.get(tenant, 0) for tenant, count in a.idle_us.items())
    )


def _max_counters(a: Mapping[str, int], b: Mapping[str, int]) -> dict[str, int]:
    counters = dict(a)
    for tenant, count in b.items():
        counters[tenant] = max(count, counters.get(tenant, 0))
    return counters
