"""Timeouts interrupt any wait, raise the error of the right block, and raise nothing after the block."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from walnutpost.eventloop import Event, Listener, Loop, Queue, WaitTimeoutError, connect
from walnutpost.testsupport.eventloop.fixtures import LOCAL, SECOND, virtual_loop


def recv_from_a_peer_that_sends_nothing(loop: Loop) -> bytes:
    listener = Listener(loop, LOCAL)
    data = connect(loop, listener.address).recv()
    listener.close()  # only now: closing earlier would reset the connection and end the wait
    return data


WAITS: dict[str, Callable[[Loop], object]] = {
    "sleep": lambda loop: loop.sleep(10 * SECOND),
    "queue get": lambda loop: Queue[int](loop, 1).get(),
    "event": lambda loop: Event(loop).wait(),
    "accept": lambda loop: Listener(loop, LOCAL).accept(),
    "join": lambda loop: loop.spawn(loop.sleep, 10 * SECOND).join(),
    "recv": recv_from_a_peer_that_sends_nothing,
}


@pytest.mark.parametrize("name", WAITS)
def test_timeout_interrupts_any_wait(name: str) -> None:
    loop = virtual_loop()

    def main() -> int:
        start_us = loop.now()
        with pytest.raises(WaitTimeoutError) as raised, loop.timeout(SECOND):
            WAITS[name](loop)
        assert raised.value.timeout_us == SECOND
        return loop.now() - start_us

    assert loop.run(main) == SECOND


def test_outer_timeout_raises_its_own_error_within_an_inner_block() -> None:
    loop = virtual_loop()

    def main() -> str:
        try:
            with loop.timeout(SECOND) as outer, loop.timeout(5 * SECOND):
                loop.sleep(10 * SECOND)
        except WaitTimeoutError as error:
            return "outer" if error is outer else "inner"
        return "none"

    assert loop.run(main) == "outer"


def test_timeout_that_fires_while_its_task_is_ready_is_not_raised_after_the_block() -> None:
    loop = virtual_loop()

    def main() -> None:
        event = Event(loop)
        loop.call_later(SECOND, event.set)
        with loop.timeout(SECOND):
            event.wait()
        loop.sleep(SECOND)  # a pending timeout error would be raised here

    loop.run(main)
