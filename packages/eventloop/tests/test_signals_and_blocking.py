"""Signals and blocking calls, whose events come from outside the loop's tasks."""

from __future__ import annotations

import os
import signal
import threading

import pytest

from walnutpost.eventloop import Event, Loop, WaitTimeoutError
from walnutpost.testsupport.eventloop.fixtures import SECOND, virtual_loop


def test_signal_wakes_the_loop() -> None:
    loop = Loop()

    def main() -> None:
        delivered = Event(loop)
        loop.on_signal(signal.SIGUSR1, delivered.set)
        os.kill(os.getpid(), signal.SIGUSR1)
        delivered.wait()

    loop.run(main)


def test_signal_is_delivered_after_an_error_in_a_signal_callback() -> None:
    errors: list[tuple[str, BaseException]] = []
    loop, delivered = virtual_loop(errors), list[int]()

    def raise_error() -> None:
        delivered.append(1)
        raise KeyError("unexpected configuration")

    def main() -> None:
        loop.on_signal(signal.SIGHUP, raise_error)
        for _ in range(2):
            os.kill(os.getpid(), signal.SIGHUP)
            loop.sleep(10_000)

    previous_handler = signal.getsignal(signal.SIGHUP)
    try:
        loop.run(main)
    finally:
        signal.signal(signal.SIGHUP, previous_handler)
    assert len(delivered) == len(errors) == 2


def test_blocking_calls_run_in_order_even_after_a_timeout_and_raise_their_errors() -> None:
    loop = Loop()
    order: list[int] = []

    def main() -> None:
        delivered = Event(loop)
        loop.on_signal(signal.SIGUSR1, delivered.set)  # signals and blocking calls share the waker
        os.kill(os.getpid(), signal.SIGUSR1)
        delivered.wait()
        gate = threading.Event()

        def wait_for_gate() -> None:
            gate.wait()
            order.append(1)

        first = loop.spawn(loop.run_blocking, wait_for_gate)
        second = loop.spawn(loop.run_blocking, order.append, 2)
        with pytest.raises(WaitTimeoutError), loop.timeout(SECOND // 100):
            first.join()
        gate.set()
        second.join()
        with pytest.raises(ZeroDivisionError):
            loop.run_blocking(lambda: 1 // 0)

    loop.run(main)
    assert order == [1, 2]


def test_virtual_clock_stands_still_during_a_blocking_call() -> None:
    loop = virtual_loop()

    def main() -> int:
        loop.call_later(SECOND, lambda: None)
        start_us = loop.now()
        gate = threading.Event()
        threading.Timer(0.05, gate.set).start()
        loop.run_blocking(gate.wait)
        return loop.now() - start_us

    assert loop.run(main) == 0


def test_loop_waits_for_the_last_blocking_call_before_it_ends() -> None:
    """The resources of blocking calls are closed after the loop: closing a store during a commit crashed."""
    loop = virtual_loop()
    gate, done = threading.Event(), list[str]()

    def job() -> None:
        gate.wait()
        done.append("job")

    def main() -> None:
        loop.spawn(loop.run_blocking, job)
        loop.yield_now()
        loop.call_later(SECOND, lambda: None)
        threading.Timer(0.05, gate.set).start()

    loop.run(main)
    assert done == ["job"]
