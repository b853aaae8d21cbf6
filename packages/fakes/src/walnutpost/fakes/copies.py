"""The copies of functions in a fake worker's memory: loads, eviction, expiry, and the record of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import ceil

from walnutpost.fakes.faults import Faults
from walnutpost.fakes.reactions import CopyEvent, CopyEventKind, FetchPackage
from walnutpost.fakes.specs import FunctionSpec, WorkerSpec
from walnutpost.metering import UsageRecorder

QUEUED_LOADS_PER_SLOT = 2  # for each load that may be under way


@dataclass(slots=True, eq=False)
class Copy:
    """One copy, which loads until it is ready."""

    number: int
    function: str
    is_ready: bool = False
    running: int = 0  # slots in use
    idle_since_us: int = 0
    ready_at_us: int | None = None  # the end of its start phase, once its package is there

    @property
    def is_idle(self) -> bool:
        """Whether it is ready and nothing runs in it."""
        return self.is_ready and not self.running


class CopyRecord:
    """Two accounts of the same events: the usage recorder, and the worker's own record."""

    def __init__(
        self, recorder: UsageRecorder, functions: dict[str, FunctionSpec], events: list[CopyEvent]
    ) -> None:
        self._recorder = recorder
        self._functions = functions
        self._events = events

    def load_began(self, now_us: int, copy: Copy) -> None:
        """Record that a copy takes its memory from now on."""
        self._recorder.start_copy(now_us, copy.number, copy.function, self._memory_mb(copy))
        self._append(now_us, CopyEventKind.LOAD_BEGAN, copy)

    def ready(self, now_us: int, copy: Copy) -> None:
        """Record that a copy can be called."""
        self._recorder.mark_ready(now_us, copy.number)
        self._append(now_us, CopyEventKind.READY, copy)

    def call_started(self, now_us: int, copy: Copy, tenant: str) -> None:
        """Record that a call takes a slot."""
        self._recorder.start_call(now_us, copy.number, tenant)
        self._append(now_us, CopyEventKind.CALL_STARTED, copy, tenant)

    def call_ended(self, now_us: int, copy: Copy, tenant: str) -> None:
        """Record that a call leaves its slot."""
        self._recorder.end_call(now_us, copy.number, tenant)
        self._append(now_us, CopyEventKind.CALL_ENDED, copy, tenant)

    def removed(self, now_us: int, copy: Copy) -> None:
        """Record that a copy's memory is free."""
        self._recorder.remove_copy(now_us, copy.number)
        self._append(now_us, CopyEventKind.REMOVED, copy)

    def _append(self, now_us: int, kind: CopyEventKind, copy: Copy, tenant: str = "") -> None:
        event = CopyEvent(now_us, kind, copy.number, copy.function, self._memory_mb(copy), tenant)
        self._events.append(event)

    def _memory_mb(self, copy: Copy) -> int:
        return ceil(self._functions[copy.function].memory_mb)


class CopyPool:
    """All copies of a worker, within its memory; `numbers` are those of its copies in order."""

    def __init__(
        self,
        spec: WorkerSpec,
        functions: dict[str, FunctionSpec],
        faults: Faults,
        record: CopyRecord,
        numbers: Iterator[int],
        emit: Callable[[FetchPackage], None],
    ) -> None:
        """Begin without copies; `emit` is given the fetches to start."""
        self._spec = spec
        self._functions = functions
        self._faults = faults
        self._record = record
        self._numbers = numbers
        self._emit = emit
        self._copies: dict[str, list[Copy]] = {}
        self._loading: dict[int, Copy] = {}
        self._load_queue: deque[Copy] = deque()

    @property
    def functions(self) -> set[str]:
        """The functions that were asked for."""
        return set(self._copies)

    @property
    def load_count(self) -> int:
        """How many loads are under way or queued."""
        return len(self._loading) + len(self._load_queue)

    @property
    def busy_memory_mb(self) -> float:
        """The memory of copies that are not idle."""
        return sum(self._functions[c.function].memory_mb for c in self._all() if not c.is_idle)

    def copies_of(self, function: str) -> list[Copy]:
        """Return the copies of a function, those that load too."""
        return self._copies.setdefault(function, [])

    def ready_count(self, function: str) -> int:
        """Return how many copies of a function are ready."""
        return sum(copy.is_ready for copy in self._copies.get(function, ()))

    def copy_with_free_slot(self, function: str) -> Copy | None:
        """Return the copy with the fewest running calls that can take another."""
        concurrency = self._functions[function].concurrency
        free = [c for c in self._copies[function] if c.is_ready and c.running < concurrency]
        return min(free, key=lambda c: c.running) if free else None

    def due_times_us(self) -> list[int]:
        """Return the times at which a load ends or an idle copy expires."""
        times = [c.ready_at_us for c in self._loading.values() if c.ready_at_us is not None]
        return times + [self._expires_us(c) for c in self._all() if c.is_idle]

    def begin_load(self, now_us: int, function: str) -> bool:
        """Load another copy, in the place of idle ones of other functions if need be; False if it can't."""
        max_queued = QUEUED_LOADS_PER_SLOT * self._spec.max_concurrent_loads
        spec = self._functions[function]
        if len(self._load_queue) >= max_queued or not self._evict_for(now_us, spec):
            return False
        copy = Copy(next(self._numbers), function)
        self._record.load_began(now_us, copy)
        self.copies_of(function).append(copy)
        self._load_queue.append(copy)
        self.start_loads()
        return True

    def start_loads(self) -> None:
        """Start the fetches of queued loads, as many as may be under way."""
        while self._load_queue and len(self._loading) < self._spec.max_concurrent_loads:
            copy = self._load_queue.popleft()
            self._loading[copy.number] = copy
            spec = self._functions[copy.function]
            usual_us = round(spec.load_us * spec.fetch_share * self._faults.slow)
            self._emit(FetchPackage(copy.number, copy.function, usual_us))

    def on_fetched(self, now_us: int, number: int, succeeded: bool) -> Copy | None:
        """Go on with a load; return the copy if it has failed, which is removed then."""
        copy = self._loading.get(number)
        if copy is None:
            return None
        if not succeeded or self._faults.consume("fail_loads"):
            del self._loading[number]
            self._remove(now_us, [copy])
            return copy
        spec = self._functions[copy.function]
        copy.ready_at_us = now_us + round(spec.load_us * (1 - spec.fetch_share) * self._faults.slow)
        return None

    def ended_loads(self, now_us: int) -> list[Copy]:
        """Return the copies whose loads are over."""
        loading = self._loading.values()
        return [c for c in loading if c.ready_at_us is not None and c.ready_at_us <= now_us]

    def mark_ready(self, now_us: int, copy: Copy) -> None:
        """Let a copy be called whose load is over."""
        del self._loading[copy.number]
        copy.is_ready = True
        copy.idle_since_us = now_us
        self._record.ready(now_us, copy)

    def remove_idle(self, now_us: int, function: str) -> None:
        """Remove the idle copies of a function."""
        self._remove(now_us, [c for c in self._copies.get(function, ()) if c.is_idle])

    def remove_expired(self, now_us: int) -> None:
        """Remove the copies that have been idle for as long as they are kept alive."""
        for copies in self._copies.values():
            self._remove(now_us, [c for c in copies if c.is_idle and now_us >= self._expires_us(c)])

    def _all(self) -> list[Copy]:
        return [copy for copies in self._copies.values() for copy in copies]

    def _expires_us(self, copy: Copy) -> int:
        return copy.idle_since_us + self._spec.keep_alive_us

    def _remove(self, now_us: int, copies: list[Copy]) -> None:
        for copy in copies:
            self._copies[copy.function].remove(copy)
            self._record.removed(now_us, copy)

    def _evict_for(self, now_us: int, spec: FunctionSpec) -> bool:
        """Remove copies of other functions, the longest idle first, until one of this function fits."""
        copies = self._all()
        used_mb = sum(self._functions[c.function].memory_mb for c in copies)
        candidates = [c for c in copies if c.is_idle and c.function != spec.name]
        for copy in sorted(candidates, key=lambda c: c.idle_since_us):
            if used_mb + spec.memory_mb <= self._spec.memory_mb:
                break
            self._remove(now_us, [copy])
            used_mb -= self._functions[copy.function].memory_mb
        return used_mb + spec.memory_mb <= self._spec.memory_mb
