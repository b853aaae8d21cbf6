"""Asks the other front ends what their journals say of a call."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from walnutpost.http import BadMessage, Connection, Limits
from walnutpost.journal import Line
from walnutpost.loop import Group, Loop, Timeout
from walnutpost.replica import wire


def asked(
    loop: Loop, addresses: Mapping[str, Callable[[], tuple[str, int]]], call: str, answer_time: int
) -> tuple[list[Line], list[str]]:
    """The lines that any of them has, and the names of those that did not answer within `answer_time`."""
    found: list[Line] = []
    silent: list[str] = []

    def ask(name: str, address: tuple[str, int]) -> None:
        try:
            with loop.timeout(answer_time):
                connection = Connection.open(loop, address, limits=Limits(body=wire.BODY_MOST))
                try:
                    response = connection.ask("GET", wire.CALLS + call)
                finally:
                    connection.close()
            if response.status != 200:
                raise wire.BadWire(f"{response.status}: {response.body[:200]!r}")
            found.extend(wire.decode(response.body, wire.Said).lines)
        except (OSError, BadMessage, Timeout, wire.BadWire):
            silent.append(name)

    with Group(loop) as group:
        for name, address in addresses.items():
            group.spawn(ask, name, address(), name="ask of a call")
    return found, silent
