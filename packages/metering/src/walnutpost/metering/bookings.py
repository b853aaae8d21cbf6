"""Bookings of closed hours: the sum of the booked lines, by hour and account."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from walnutpost.metering.amounts import ZERO, Statement
from walnutpost.metering.ledger_records import LedgerLine, LineKind


class Bookings:
    """Booked statements of the hours whose records are retained."""

    def __init__(self, booked: Mapping[int, Statement]) -> None:
        self._booked = {hour_us: dict(statement) for hour_us, statement in booked.items()}

    def statement(self, hour_us: int) -> Statement:
        """Return the booked statement of an hour."""
        return self._booked.get(hour_us, {})

    def difference_lines(
        self, statement: Statement, hour_us: int, kind: LineKind, now_us: int
    ) -> list[LedgerLine]:
        """Return the lines, sorted by account, that change the bookings of an hour to a statement."""
        booked = self.statement(hour_us)
        lines = []
        for account in sorted({*statement, *booked}):
            difference = statement.get(account, ZERO) - booked.get(account, ZERO)
            if difference:
                lines.append(LedgerLine(hour_us, account, kind, difference, now_us))
        return lines

    def add(self, lines: Iterable[LedgerLine]) -> None:
        """Add persisted lines."""
        for line in lines:
            booked = self._booked.setdefault(line.hour_us, {})
            amount = booked.get(line.account, ZERO) + line.amount
            if amount:
                booked[line.account] = amount
            else:
                booked.pop(line.account, None)

    def drop_before(self, hour_us: int) -> None:
        """Remove the bookings of earlier hours."""
        for hour in [hour for hour in self._booked if hour < hour_us]:
            del self._booked[hour]
