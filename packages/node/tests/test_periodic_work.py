"""Periodic tasks of a node keep running after an error."""

from __future__ import annotations

from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.testsupport.node.harness import SECOND_US


def test_periodic_task_that_raises_keeps_running_and_counts_failures() -> None:
    errors: list[BaseException] = []
    loop, runs = Loop(VirtualClock(), lambda name, error: errors.append(error)), list[int]()

    def work() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("unexpected value")

    def body() -> int:
        periodic = loop.call_every(SECOND_US, work)
        loop.sleep(4 * SECOND_US + 1)
        return periodic.failures

    assert loop.run(body) == 2
    assert len(runs) == 4
    assert len(errors) == 2
