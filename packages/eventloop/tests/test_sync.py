"""Bounded queues."""

from __future__ import annotations

import pytest

from walnutpost.eventloop import Queue, QueueFullError
from walnutpost.testsupport.eventloop.fixtures import virtual_loop


def test_full_queue_makes_put_wait_and_put_nowait_raise() -> None:
    loop = virtual_loop()

    def main() -> list[int]:
        queue = Queue[int](loop, 2)

        def fill() -> None:
            for i in range(5):
                queue.put(i)

        loop.spawn(fill)
        loop.yield_now()
        assert len(queue) == 2
        with pytest.raises(QueueFullError) as raised:
            queue.put_nowait(9)
        assert raised.value.max_items == 2
        return [queue.get() for _ in range(5)]

    assert loop.run(main) == [0, 1, 2, 3, 4]
