"""Addresses that a command is to listen on, checked before anything is opened."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from walnutpost.cli.config_files import exit_with
from walnutpost.config import Config
from walnutpost.config.base import parse_address


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """A setting, by its path within the file, and the address that it names."""

    setting: str
    address: str


@dataclass(frozen=True, slots=True)
class _Explanation:
    found: str
    wanted: str


EXPLANATIONS = {
    errno.EADDRINUSE: _Explanation("which is taken", "a free address"),
    errno.EADDRNOTAVAIL: _Explanation("which is none of this machine", "an address of this machine"),
    errno.EACCES: _Explanation("which this user may not use", "a port that it may, as one above 1023"),
}
OTHER_EXPLANATION = _Explanation("which cannot be listened on", "one that can be")


def front_end_addresses(config: Config) -> list[ListenAddress]:
    """Return where a front end listens."""
    addresses = [ListenAddress("front.listen", config.front.listen)]
    if config.journal is not None:
        addresses.append(ListenAddress("journal.listen", config.journal.listen))
    return addresses


def fake_worker_addresses(config: Config, names: Sequence[str] | None = None) -> list[ListenAddress]:
    """Return where fake workers listen, all of them or those named."""
    workers = config.fleet.workers if config.fleet is not None else []
    return [
        ListenAddress(f"fleet.workers.{index}.listen", worker.listen)
        for index, worker in enumerate(workers)
        if names is None or worker.name in names
    ]


@contextmanager
def checked_addresses(source: Path | str, addresses: Sequence[ListenAddress]) -> Iterator[None]:
    """End the program with one line for each of `addresses` that can't be listened on.

    Before the body runs, so that a process started twice does not open the store and the deferred calls of
    the one that serves; and again if the body fails since an address was taken meanwhile.
    """
    _exit_if_unusable(source, addresses)
    try:
        yield
    except OSError as error:
        if error.errno not in EXPLANATIONS:
            raise
        _exit_if_unusable(source, addresses)
        listed = ", ".join(f"{each.setting} {each.address}" for each in addresses)
        exit_with(f"{source}: {listed}: cannot be listened on: {error.strerror}")


def _exit_if_unusable(source: Path | str, addresses: Sequence[ListenAddress]) -> None:
    errors: list[str] = []
    setting_by_address: dict[str, str] = {}
    for each in addresses:
        place = f"{source}: {each.setting}: found {each.address}"
        other_setting = setting_by_address.setdefault(each.address, each.setting)
        if other_setting != each.setting and not each.address.endswith(":0"):
            errors.append(f"{place}, as {other_setting} has; wanted one of its own")
        error = _bind_error(each.address)
        if error is not None:
            explanation = EXPLANATIONS.get(error.errno or 0, OTHER_EXPLANATION)
            errors.append(f"{place}, {explanation.found} ({error.strerror}); wanted {explanation.wanted}")
    if errors:
        exit_with(*errors)


def _bind_error(address: str) -> OSError | None:
    """Return why an address can't be bound. A bound socket that does not listen accepts nobody's clients."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(parse_address(address))
        except OSError as error:
            return error
    return None
