"""How many bytes of journal entries the origin made durable up to each number, to measure backlogs."""

from __future__ import annotations

from collections import deque

MAX_REMEMBERED_COMMITS = 4096  # commits whose sizes are remembered; a replica further behind counts all bytes


class PersistedBytes:
    """Bytes of entries made durable since the start of this process, by commit. Starts empty."""

    def __init__(self) -> None:
        self.total = 0
        self._totals: deque[tuple[int, int]] = deque(maxlen=MAX_REMEMBERED_COMMITS)  # (last number, bytes)

    def add(self, size_bytes: int) -> None:
        """Count bytes of a commit; `end_commit` says up to which number they are."""
        self.total += size_bytes

    def end_commit(self, seq: int) -> None:
        """Remember that the bytes so far are of entries up to `seq`."""
        self._totals.append((seq, self.total))

    def up_to(self, seq: int) -> int:
        """Return the bytes of entries up to `seq`; entries from before the start count nothing."""
        return next((size for last, size in reversed(self._totals) if last <= seq), 0)

    def forget_before(self, seq: int) -> None:
        """Forget the commits that end before `seq`: each replica has them."""
        while self._totals and self._totals[0][0] < seq:
            self._totals.popleft()
