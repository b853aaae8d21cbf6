"""Shared helpers for event loop tests: loops with a virtual clock, socket faults, waiting for a condition."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from walnutpost.eventloop import Listener, Loop, Stream, VirtualClock
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, scripted_sockets

MS = 1_000
SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)
# Errors of `accept` that concern a single connection: pending network errors and firewall rules (accept(2)).
PENDING_NETWORK_ERRORS = (
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
    errno.EINVAL,
)
RESOURCE_EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def virtual_loop(errors: list[tuple[str, BaseException]] | None = None) -> Loop:
    """Return a loop with a virtual clock; it appends the errors it reports to `errors`, with their names."""
    if errors is None:
        return Loop(VirtualClock())
    return Loop(VirtualClock(), lambda name, error: errors.append((name, error)))


def run_with_faults(script: Callable[[Loop, SocketFaults], Any]) -> None:
    """Run `script` with scripted sockets and a timeout of 10 s; fail if the loop reports an error."""
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def run_with_timeout() -> None:
        with loop.timeout(10 * SECOND):
            script(loop, faults)

    with scripted_sockets() as faults:
        loop.run(run_with_timeout)
    assert not errors, errors


def wait_until(loop: Loop, condition: Callable[[], Any]) -> None:
    """Sleep in steps of 10 ms until `condition` holds; there is no timeout."""
    while not condition():
        loop.sleep(10 * MS)


def start_accepting(loop: Loop, listener: Listener) -> list[Stream]:
    """Accept connections in a task until the listener is closed; return the growing list of streams."""
    streams: list[Stream] = []

    def accept() -> None:
        try:
            while True:
                streams.append(listener.accept())
        except OSError:
            if not listener.closed:
                raise

    loop.spawn(accept, name="accept")
    return streams


def close_all(*closables: Any) -> None:
    """Close all streams, sockets or listeners."""
    for closable in closables:
        closable.close()
