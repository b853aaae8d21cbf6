"""What tests of the event loop share: loops on a virtual clock, scripted sockets, waiting for a condition."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

from walnutpost.eventloop import Listener, Loop, Stream, VirtualClock
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, scripted_sockets

MS = 1_000
SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)
PENDING_NETWORK_ERRORS = (  # of the network, as accept(2) names them, and of rules for sockets
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
    """Return a loop that appends the errors it reports, with their names, to `errors`."""
    if errors is None:
        return Loop(VirtualClock())
    return Loop(VirtualClock(), lambda name, error: errors.append((name, error)))


def run_with_faults(script: Callable[[Loop, SocketFaults], Any]) -> None:
    """Run `script` on scripted sockets, within ten seconds; no error may be reported."""
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def bounded() -> None:
        with loop.timeout(10 * SECOND):
            script(loop, faults)

    with scripted_sockets() as faults:
        loop.run(bounded)
    assert not errors, errors


def wait_until(loop: Loop, condition: Callable[[], Any]) -> None:
    """Sleep until the condition holds, 10 ms at a time, without a limit."""
    while not condition():
        loop.sleep(10 * MS)


def start_accepting(loop: Loop, listener: Listener) -> list[Stream]:
    """Return the streams that a task accepts from now on, until the listener is closed."""
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


def close_all(*ends: Any) -> None:
    """Close each stream or listener."""
    for end in ends:
        end.close()
