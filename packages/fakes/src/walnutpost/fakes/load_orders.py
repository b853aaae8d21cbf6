"""Orders to load copies that wait until as many copies are ready."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order for `copies` ready copies of a function."""

    request_id: int
    function: str
    copies: int


class OpenLoadOrders:
    """The orders that are not answered, oldest first."""

    def __init__(self) -> None:
        self._orders: list[LoadOrder] = []

    def __iter__(self) -> Iterator[LoadOrder]:
        """Go over a copy, so that orders can be closed meanwhile."""
        return iter(list(self._orders))

    def add(self, order: LoadOrder) -> None:
        """Add an order."""
        self._orders.append(order)

    def close(self, order: LoadOrder) -> None:
        """Forget an order that is being answered."""
        self._orders.remove(order)

    def cancel(self, request_id: int) -> None:
        """Forget the order of a caller who has gone."""
        self._orders = [order for order in self._orders if order.request_id != request_id]
