"""Addresses that a command is to listen on, looked at before anything is opened."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from walnutpost.cli.configs import end
from walnutpost.config import Config
from walnutpost.config.base import address_of

WHY = {
    errno.EADDRINUSE: ("which is taken", "a free address"),
    errno.EADDRNOTAVAIL: ("which is none of this machine", "an address of this machine"),
    errno.EACCES: ("which this user may not use", "a port that it may, as one above 1023"),
}
Place = tuple[str, str]  # a setting, by its path within the file, and the address that it names


def front_places(config: Config) -> list[Place]:
    """Where a front end listens."""
    journal = [("journal.listen", config.journal.listen)] if config.journal is not None else []
    return [("front.listen", config.front.listen), *journal]


def stand_in_places(config: Config, names: Sequence[str] | None = None) -> list[Place]:
    """Where stand-in workers listen, all of them or those named."""
    workers = config.fleet.workers if config.fleet is not None else []
    return [
        (f"fleet.workers.{i}.listen", line.listen)
        for i, line in enumerate(workers)
        if names is None or line.name in names
    ]


@contextmanager
def listening(source: Path | str, places: Sequence[Place]) -> Iterator[None]:
    """Ends the program with one line for each of `places` that can't be listened on: before the body runs, so
    that a process started twice does not take up the store and the deferred calls of the one that serves;
    and where an address is lost between that look and the body's own."""
    _look(source, places)
    try:
        yield
    except OSError as error:
        if error.errno not in WHY:
            raise
        _look(source, places)
        end(f"{source}: {_named(places)}: cannot be listened on: {error.strerror}")


def _look(source: Path | str, places: Sequence[Place]) -> None:
    wrong, known = [], dict[str, str]()
    for place, address in places:
        if address in known and not address.endswith(":0"):
            wrong.append(
                f"{source}: {place}: found {address}, as {known[address]} has; wanted one of its own"
            )
        known.setdefault(address, place)
        if (error := _error(address)) is not None:
            why, wanted = WHY.get(error.errno or 0, ("which cannot be listened on", "one that can be"))
            wrong.append(f"{source}: {place}: found {address}, {why} ({error.strerror}); wanted {wanted}")
    if wrong:
        end(*wrong)


def _error(address: str) -> OSError | None:
    """A bound socket that does not listen takes no caller away from anyone."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address_of(address))
        except OSError as error:
            return error
    return None


def _named(places: Sequence[Place]) -> str:
    return ", ".join(f"{place} {address}" for place, address in places)
