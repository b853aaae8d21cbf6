"""Invoices by tenant, in exact decimals. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from decimal import Decimal
from fractions import Fraction

from walnutpost.metering.allocation import split_proportionally
from walnutpost.metering.amounts import Amount, sum_amounts
from walnutpost.metering.units import HOUR_US

MB_PER_GB = 1024
MB_US_PER_GB_HOUR = MB_PER_GB * HOUR_US
GB_HOUR_DECIMAL_PLACES = 6


@dataclass(frozen=True, slots=True)
class InvoiceLine:
    """The price of a tenant's usage of one function."""

    function: str
    price: Decimal


@dataclass(frozen=True, slots=True)
class Invoice:
    """An invoice of one tenant. The prices of `lines` add up to `total` exactly."""

    tenant: str
    gb_hours: Decimal
    total: Decimal
    lines: list[InvoiceLine]
    lower_bound: Decimal
    upper_bound: Decimal


def build_invoice(
    tenant: str, amounts_by_function: Mapping[str, Amount], price_per_gb_hour: Decimal, digits: int = 2
) -> Invoice:
    """Return a tenant's invoice. The total is rounded once, half to even, and then split by function."""
    smallest_unit = Decimal(1).scaleb(-digits)

    def price_units(mb_us: int) -> int:
        return round(Fraction(mb_us * 10**digits, MB_US_PER_GB_HOUR) * Fraction(price_per_gb_hour))

    amount = sum_amounts(amounts_by_function.values())
    total_units = price_units(amount.best)
    weights = {name: each.best for name, each in amounts_by_function.items() if each.best > 0}
    shares = split_proportionally(total_units, weights) if weights else {}
    gb_hours = Fraction(amount.best, MB_US_PER_GB_HOUR)
    return Invoice(
        tenant=tenant,
        gb_hours=Decimal(round(gb_hours * 10**GB_HOUR_DECIMAL_PLACES)).scaleb(-GB_HOUR_DECIMAL_PLACES),
        total=total_units * smallest_unit,
        lines=[InvoiceLine(name, shares[name] * smallest_unit) for name in sorted(shares)],
        lower_bound=price_units(amount.lower_bound) * smallest_unit,
        upper_bound=price_units(amount.upper_bound) * smallest_unit,
    )
