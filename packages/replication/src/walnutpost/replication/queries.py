"""Queries to the other front ends: which entries they have of a call, or of this front end's journal."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import quote

from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.http import Connection, HttpMessageError, Limits
from walnutpost.journal import JournalBatch, JournalEntry
from walnutpost.replication import wire

Addresses = Mapping[str, Callable[[], tuple[str, int]]]


def query_call(
    loop: Loop, addresses: Addresses, call_id: str, timeout_us: int
) -> tuple[list[JournalEntry], list[str]]:
    """Return all entries about a call, and the names of front ends that did not answer within the timeout."""
    entries: list[JournalEntry] = []

    def query(address: tuple[str, int]) -> None:
        entries.extend(_get(loop, address, wire.CALLS_PATH + call_id, wire.CallEntries, timeout_us).entries)

    unreachable = _query_all(loop, addresses, query)
    return entries, unreachable


def recover_batches(
    loop: Loop, addresses: Addresses, origin: str, after: int, timeout_us: int
) -> tuple[list[JournalBatch], list[str]]:
    """Return what replicas have of a journal after number `after`, and the names of those without an answer.

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
    return batches, unreachable


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
