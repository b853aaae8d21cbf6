"""Addresses of servers for tests of watchers, and members that prefer one of two servers."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.configstore import AGE_HEADER
from walnutpost.configstore.relay_selection import preference_order
from walnutpost.testsupport.watch.harness import Addressed
from walnutpost.watch import WAITED_HEADER

HEADERS = {AGE_HEADER: "0", WAITED_HEADER: "0"}


def address_getter(server: Addressed) -> Callable[[], tuple[str, int]]:
    """Return a function that returns the server's present address."""
    return lambda: server.address


def two_servers(a: Addressed, b: Addressed) -> dict[str, Callable[[], tuple[str, int]]]:
    """Return the servers `a` and `b` as a watcher's addresses."""
    return {"a": address_getter(a), "b": address_getter(b)}


def names_preferring(server: str, count: int) -> list[str]:
    """Return names of members that prefer this one of `a` and `b`."""
    names = (f"fe{n}" for n in range(1000))
    return [name for name in names if preference_order(name, {"a": "r", "b": "r"}, "r")[0] == server][:count]
