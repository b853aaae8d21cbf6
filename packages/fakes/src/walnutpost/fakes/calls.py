"""The calls of a fake worker that have not been answered."""

from __future__ import annotations

from collections import defaultdict, deque
from dataclasses import dataclass

from walnutpost.fakes.copies import Copy
from walnutpost.interface import Warmth


@dataclass(slots=True, eq=False)
class Call:
    """One call; it is queued until it has a `copy` and the number of its `run`."""

    request_id: int
    function: str
    warmth: Warmth
    crowd: int
    tenant: str = ""
    copy: Copy | None = None
    run: int = 0
    work_left_us: float = 0.0  # of a core of speed 1
    wait_us: int = 0
    waits_until_us: int | None = None  # the end of its wait for other systems


class OpenCalls:
    """All calls that are not answered, and by function those that are queued."""

    def __init__(self) -> None:
        self._calls: dict[int, Call] = {}
        self._queues: defaultdict[str, deque[Call]] = defaultdict(deque)

    @property
    def queued_count(self) -> int:
        """How many are queued, of all functions."""
        return sum(call.run == 0 for call in self._calls.values())

    def queue_of(self, function: str) -> deque[Call]:
        """Return the queue of a function, oldest first."""
        return self._queues[function]

    def enqueue(self, call: Call) -> None:
        """Add a call behind the others of its function."""
        self._calls[call.request_id] = call
        self._queues[call.function].append(call)

    def close(self, call: Call) -> None:
        """Forget a call that is being answered."""
        self._calls.pop(call.request_id, None)

    def cancel(self, request_id: int) -> None:
        """Forget a call if it is queued; one that runs goes on."""
        call = self._calls.get(request_id)
        if call is not None and call.run == 0:
            del self._calls[request_id]
            self._queues[call.function].remove(call)
