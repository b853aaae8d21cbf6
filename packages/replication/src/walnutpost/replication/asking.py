"""Asks the other front ends what they hold: of a call, of the own journal."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from urllib.parse import quote

from walnutpost.eventloop import Group, Loop, Timeout
from walnutpost.http import BadMessage, Connection, Limits
from walnutpost.journal import Batch, Line
from walnutpost.replication import wire

Addresses = Mapping[str, Callable[[], tuple[str, int]]]


def asked(loop: Loop, addresses: Addresses, call: str, answer_time: int) -> tuple[list[Line], list[str]]:
    """The lines that any of them has, and the names of those that did not answer within `answer_time`."""
    found: list[Line] = []

    def ask(address: tuple[str, int]) -> None:
        found.extend(_get(loop, address, wire.CALLS + call, wire.Said, answer_time).lines)

    return found, _each(loop, addresses, ask)


def recalled(
    loop: Loop, addresses: Addresses, origin: str, after: int, answer_time: int
) -> tuple[list[Batch], list[str]]:
    """What holders have of a journal after number `after`, and the names of those that did not answer; each
    message may take `answer_time`."""
    found: list[Batch] = []

    def ask(address: tuple[str, int]) -> None:
        upto = after
        while True:
            target = f"{wire.LINES}{quote(origin, safe='')}/{upto}"
            batch = _get(loop, address, target, Batch, answer_time)
            if batch.upto <= upto:
                return
            found.append(batch)
            upto = batch.upto

    return found, _each(loop, addresses, ask)


def _each(loop: Loop, addresses: Addresses, ask: Callable[[tuple[str, int]], None]) -> list[str]:
    """Asks all at once; the names of those that did not answer."""
    silent: list[str] = []

    def one(name: str, address: tuple[str, int]) -> None:
        try:
            ask(address)
        except (OSError, BadMessage, Timeout, wire.BadWire):
            silent.append(name)

    with Group(loop) as group:
        for name, address in addresses.items():
            group.spawn(one, name, address(), name="ask a holder")
    return silent


def _get(loop: Loop, address: tuple[str, int], target: str, kind: type[wire.T], answer_time: int) -> wire.T:
    with loop.timeout(answer_time):
        connection = Connection.open(loop, address, limits=Limits(body=wire.BODY_MOST))
        try:
            response = connection.ask("GET", target)
        finally:
            connection.close()
    if response.status != 200:
        raise wire.BadWire(f"{response.status}: {response.body[:200]!r}")
    return wire.decode(response.body, kind)
