"""Amounts of memory-time with their bounds, and the accounts that they are booked to."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum

from msgspec import Struct


class Cause(StrEnum):
    """Why an amount is not what workers counted, or not certain. The values are stored."""

    COUNTED = ""  # it is what workers counted
    CONTRADICTION = "contradiction"  # reports of one copy did not fit together
    REJECTED = "refused"  # a report was not believed
    SILENT = "silent"  # a worker was not heard of
    EVICTED = "forgotten"  # a worker evicted records before they were read
    OVER_CAPACITY = "more than memory"  # copies of a worker had more memory than it
    ESTIMATED = "estimated"  # the worker reports no usage
    TOO_LATE = "too late"  # records of the hour were dropped already
    FRONT_END_DOWN = "front end down"  # samples were lost with a front end's process


class Amount(Struct, frozen=True):
    """MB-microseconds: the figure that is booked, and the bounds of the truth."""

    best: int = 0
    lower_bound: int = 0
    upper_bound: int = 0

    def __add__(self, other: Amount) -> Amount:
        """Add figures and bounds."""
        return Amount(
            self.best + other.best,
            self.lower_bound + other.lower_bound,
            self.upper_bound + other.upper_bound,
        )

    def __sub__(self, other: Amount) -> Amount:
        """Subtract figures and bounds, as corrections need it."""
        return Amount(
            self.best - other.best,
            self.lower_bound - other.lower_bound,
            self.upper_bound - other.upper_bound,
        )

    def __bool__(self) -> bool:
        """Whether anything is not 0."""
        return bool(self.best or self.lower_bound or self.upper_bound)


ZERO = Amount()


def exact_amount(mb_us: int) -> Amount:
    """Return an amount that is certain."""
    return Amount(mb_us, mb_us, mb_us)


class Account(Struct, frozen=True, order=True):
    """What amounts are booked to."""

    tenant: str
    function: str
    cause: str = Cause.COUNTED


Statement = dict[Account, Amount]  # all that is known of an hour


def add_to(statement: Statement, account: Account, amount: Amount) -> None:
    """Add an amount to an account."""
    statement[account] = statement.get(account, ZERO) + amount


def sum_statements(statements: Iterable[Mapping[Account, Amount]]) -> Statement:
    """Return the sum of each account."""
    total: Statement = {}
    for statement in statements:
        for account, amount in statement.items():
            add_to(total, account, amount)
    return total


def sum_amounts(amounts: Iterable[Amount]) -> Amount:
    """Return the sum."""
    return sum(amounts, start=ZERO)
