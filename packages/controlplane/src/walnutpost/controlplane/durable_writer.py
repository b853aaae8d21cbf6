"""The loop that makes consensus state durable: one commit for all writes that wait."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.consensus import Write
from walnutpost.eventloop import Loop
from walnutpost.store import StoreError
from walnutpost.store.replica import ConsensusStore


class DurableWriter:
    """Writes to the replica's store, in order.

    `on_completed` is called with the number of a write that is durable with all before it; `on_failed` after
    a failed commit, when writes that waited are still queued.
    """

    def __init__(
        self,
        loop: Loop,
        store: ConsensusStore,
        on_completed: Callable[[int], None],
        on_failed: Callable[[StoreError], None],
    ) -> None:
        self._loop = loop
        self._on_completed = on_completed
        self._on_failed = on_failed
        self._queue: list[Write] = []
        self._is_running = False
        self._is_stopped = False
        self.store = store

    def submit(self, write: Write) -> None:
        """Queue a write."""
        self._queue.append(write)
        if not self._is_running:
            self._is_running = True
            self._loop.spawn(self._run, name="writes")

    def discard_queued(self) -> None:
        """Drop the writes that have not begun."""
        self._queue.clear()

    def stop(self) -> None:
        """Begin no further commit and report no further failure."""
        self._is_stopped = True

    def _run(self) -> None:
        try:
            while self._queue and not self._is_stopped:
                batch = self._queue
                self._queue = []
                self.store.write(batch)
                self._on_completed(batch[-1].number)
        except StoreError as error:
            if not self._is_stopped:
                self._on_failed(error)
        finally:
            self._is_running = False
