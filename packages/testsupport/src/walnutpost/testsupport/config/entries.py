"""A site and its entries, for tests of entries."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from walnutpost.config import Site
from walnutpost.config.entries import encode_site, encode_value
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import Mutation

CLASSES: dict[str, Any] = {
    "valuation": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
    "reservation": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 2500, "worth": 2},
}
FUNCTIONS: dict[str, Any] = {
    "price": {"class": "valuation", "memory_mb": 400, "lanes": 2, "load_ms": 300},
    "reserve": {"class": "reservation", "memory_mb": 300, "cost_ms": 5.5, "version": "7"},
}
SITE = Site.model_validate(
    {"classes": CLASSES, "functions": FUNCTIONS, "tenants": {"tills": {"share": 0.7}, "trade": {}}}
)
ENTRIES = encode_site(SITE)
PRICE = ENTRIES["function/price"]


def apply_mutations(current: Mapping[str, bytes], mutations: Sequence[Mutation]) -> dict[str, bytes]:
    """Return what the entries are after the mutations."""
    after = dict(current)
    for mutation in mutations:
        if mutation.value is None:
            del after[mutation.key]
        else:
            after[mutation.key] = mutation.value
    return after


def function_value(**more: object) -> bytes:
    """Return the value of a function's entry."""
    return encode_value(FunctionConfig.model_validate({"class": "valuation", "memory_mb": 1} | more))
