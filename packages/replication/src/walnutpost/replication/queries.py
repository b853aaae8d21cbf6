"""Queries to the other front ends: which entries they have of a call, or of this front end's journal."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import quote

from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Limits
from walnutpost.journal import JournalBatch, JournalEntry
from walnutpost.replication import wire

Addresses = Mapping[str, Callable[[], tuple[str, int]]]
"""By the name of a front end: returns where it listens at present."""


class CallQueryResult(NamedTuple):
    """All entries about a call that were found, and the names of front ends that did not answer."""

    entries: list[JournalEntry]
    unreachable: list[str]


class RecoveryResult(NamedTuple):
    """The batches of a journal that replicas have, and the names of replicas that did not answer."""

    batches: list[JournalBatch]
    unreachable: list[str]


def query_call(loop: Loop, addresses: Addresses, call_id: str, timeout_us: int) -> CallQueryResult:
    """Ask all front ends at once for the entries about a call; each has `timeout_us` to answer."""
    entries: list[JournalEntry] = []

    def query(address: tuple[str, int]) -> None:
        entries.extend(_get(loop, address, wire.CALLS_PATH + call_id, wire.CallEntries, timeout_us).entries)

    unreachable = _query_all(loop, addresses, query)
    return CallQueryResult(entries, unreachable)


def recover_batches(
    loop: Loop, addresses: Addresses, origin: str, after: int, timeout_us: int
) -> RecoveryResult:
    """Ask all replicas at once for a journal's entries after number `after`.

    `timeout_us` is for each message.
    """
    batches: list[JournalBatch] = []

    def query(address: tuple[str, int]) -> None:
        upto = after
        while True:
            target = f"{wire.ENTRIES_PATH}{quote(origin, safe='')}/{upto}"
            batch = _get(loop, address, target, JournalBatch, timeout_us)
            if batch.upto <= upto:
                return
            batches.append(batch)
            upto = batch.upto

    unreachable = _query_all(loop, addresses, query)
    return RecoveryResult(batches, unreachable)


def _query_all(loop: Loop, addresses: Addresses, query: Callable[[tuple[str, int]], None]) -> list[str]:
    """Query all at once; return the names of those that did not answer."""
    unreachable: list[str] = []

    def query_one(name: str, address: tuple[str, int]) -> None:
        try:
            query(address)
        except (OSError, HttpMessageError, WaitTimeoutError, wire.InvalidMessageError):
            unreachable.append(name)

    with TaskGroup(loop) as group:
        for name, address in addresses.items():
            group.spawn(query_one, name, address(), name="query replica")
    return unreachable


def _get(
    loop: Loop,
    address: tuple[str, int],
    target: str,
    message_type: type[wire.MessageT],
    timeout_us: int,
) -> wire.MessageT:
    with loop.timeout(timeout_us):
        connection = Connection.open(loop, address, limits=Limits(max_body_bytes=wire.MAX_BODY_BYTES))
        try:
            response = connection.request("GET", target)
        finally:
            connection.close()
    if response.status != HTTPStatus.OK:
        raise wire.InvalidMessageError(f"{response.status}: {response.body[:200]!r}")
    return wire.decode(response.body, message_type)
