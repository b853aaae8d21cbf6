"""Amounts of memory-time with their bounds, and the accounts to which they are booked."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from msgspec import Struct


class Cause(StrEnum):
    """Why an amount was not counted by workers, or is uncertain. The values are stored."""

    COUNTED = ""  # the workers counted it
    CONTRADICTION = "contradiction"  # reports of one copy contradict each other
    REJECTED = "refused"  # a report was invalid
    SILENT = "silent"  # a worker did not report
    EVICTED = "forgotten"  # a worker evicted records before they were read
    OVER_CAPACITY = "more than memory"  # the copies of a worker used more memory than it has
    ESTIMATED = "estimated"  # the worker reports no usage
    TOO_LATE = "too late"  # the records of the hour were already dropped
    FRONT_END_DOWN = "front end down"  # samples were lost when a front end's process ended


class Amount(Struct, frozen=True):
    """The booked figure in MB-microseconds, with bounds of the true value."""

    best: int = 0
    lower_bound: int = 0
    upper_bound: int = 0

    def __add__(self, other: Amount) -> Amount:
        """Add the figures and the bounds."""
        return Amount(
            self.best + other.best,
            self.lower_bound + other.lower_bound,
            self.upper_bound + other.upper_bound,
        )

    def __sub__(self, other: Amount) -> Amount:
        """Subtract the figures and the bounds, for corrections."""
        return Amount(
            self.best - other.best,
            self.lower_bound - other.lower_bound,
            self.upper_bound - other.upper_bound,
        )

    def __bool__(self) -> bool:
        """Whether the figure or a bound is not 0."""
        return bool(self.best or self.lower_bound or self.upper_bound)


ZERO = Amount()


def exact_amount(mb_us: int) -> Amount:
    """Return an amount whose bounds equal its figure."""
    return Amount(mb_us, mb_us, mb_us)


class Account(Struct, frozen=True, order=True):
    """What an amount is booked to: a tenant, a function and a cause."""

    tenant: str
    function: str
    cause: str = Cause.COUNTED


Statement = dict[Account, Amount]  # the amounts of an hour, by account


def add_to(statement: Statement, account: Account, amount: Amount) -> None:
    """Add an amount to an account."""
    statement[account] = statement.get(account, ZERO) + amount


def sum_statements(statements: Iterable[Mapping[Account, Amount]]) -> Statement:
    """Return the total of each account."""
    total: Statement = {}
    for statement in statements:
        for account, amount in statement.items():
            add_to(total, account, amount)
    return total


def sum_amounts(amounts: Iterable[Amount]) -> Amount:
    """Return the total."""
    return sum(amounts, start=ZERO)
