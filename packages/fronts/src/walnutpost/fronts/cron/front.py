"""Fires what the planner decides, as deferred calls, and writes down what became of each due time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from walnutpost.cron import Fire, Planner, Schedule, Skip, execution_name
from walnutpost.eventloop import Event, Loop
from walnutpost.fronts.calls import DeferredCalls
from walnutpost.gateway import Execution, ReplicationPending, Status
from walnutpost.store import Change, FiringStore, StoreError

LOOK_AT_LEAST = 1_000_000  # the wall clock may be set, or the machine sleep: never trust a longer wait
ASK_AGAIN = 250_000  # after a refusal that names no time
STORE_AGAIN = 500_000
SKIPS_A_COMMIT = 500
# The next due time takes some 60 us to find: ten thousand at once would hold up everything for half a second.
PLAN_AT_ONCE, PLAN_GAP = 20, 5_000


class TimersFront:
    """`wall` is the time of day in microseconds; it may jump either way. `seen` is told the newest due
    time that has a fate or a call on disk."""

    def __init__(
        self,
        loop: Loop,
        wall: Callable[[], int],
        schedules: Iterable[Schedule],
        calls: DeferredCalls,
        store: FiringStore,
        doubtful: int,
        at_once: int,
        per_s: float,
        log: Any,
        seen: Callable[[int, int], None] = lambda newest, now: None,
    ) -> None:
        self._loop = loop
        self._wall = wall
        self._calls = calls
        self._store = store
        self._at_once = at_once
        self._gap = round(1_000_000 / per_s)
        self._slot = 0  # before which no further firing is sent
        self._log = log
        self._seen = seen
        self._schedules = list(schedules)
        self.planner = Planner(self._schedules, store.load_marks(), wall(), doubtful)
        out, self._orphans = store.load_unfinished()
        for row in out:
            self.planner.out(row.schedule, row.due)
        self._queue: deque[Fire] = deque()
        self._firing = 0
        self._firings: dict[str, tuple[str, int]] = {}
        for row in out:
            self._firings[row.execution] = (row.schedule, row.due)
        self._wake: Event | None = None
        self._newest = max(store.load_marks().values(), default=0)

    def replace(self, schedules: Iterable[Schedule]) -> None:
        """The configuration has changed."""
        self._schedules = list(schedules)
        self.planner.replace(self._schedules, self._wall())
        self._loop.spawn(self._begin, name="new schedules")
        if self._wake is not None:
            self._wake.set()

    def run(self) -> None:
        """Until cancelled."""
        self._begin()
        while True:
            now = self._wall()
            decisions = self.planner.plan(now, PLAN_AT_ONCE)
            self._skip([d for d in decisions if isinstance(d, Skip)])
            self._queue.extend(d for d in decisions if isinstance(d, Fire))
            while self._queue and self._firing < self._at_once:
                self._firing += 1
                self._loop.spawn(self._fire_queue, name="firings")
            self._note_newest(now)
            upcoming = self.planner.next()
            wait = LOOK_AT_LEAST if upcoming is None else min(LOOK_AT_LEAST, upcoming - self._wall())
            self._wake = Event(self._loop)
            timer = self._loop.call_later(max(PLAN_GAP, wait), self._wake.set)
            try:
                self._wake.wait()
            finally:
                timer.cancel()

    def _note_newest(self, now: int) -> None:
        """On the helper thread, as it is synced. A disk that takes nothing is asked again at the next look,
        and stops no firing."""
        try:
            self._loop.blocking(self._seen, self._newest, now)
        except OSError as error:
            self._log.error(
                "store_failed", operation="schedule", error=f"the newest due time is not written: {error}"
            )

    def _begin(self) -> None:
        """New names are written down, so that what they miss while nobody looks is known to be missed."""
        now, names = self._wall(), [s.name for s in self._schedules]
        why = "the front end restarted while it was being refused"
        orphans, self._orphans = self._orphans, []
        lost = (self._store.record_rejected(row.schedule, row.due, now, why) for row in orphans)
        self._commit(self._store.register_schedules(names, now), *lost)

    def _commit(self, *changes: Change) -> None:
        while True:
            try:
                return self._store.commit(*changes)
            except StoreError as error:
                self._log.error("store_failed", operation="schedule", error=str(error))
                self._loop.sleep(STORE_AGAIN)

    def _skip(self, skips: list[Skip]) -> None:
        now = self._wall()
        for start in range(0, len(skips), SKIPS_A_COMMIT):
            part = skips[start : start + SKIPS_A_COMMIT]
            self._commit(
                *(
                    self._store.record_skipped(s.schedule.name, s.due, s.last, s.count, now, s.why)
                    for s in part
                )
            )
            self._newest = max(self._newest, *(s.last for s in part))
            for s in part:
                self._log.info("skipped", schedule=s.schedule.name, due=s.due, count=s.count, why=s.why)

    def _fire_queue(self) -> None:
        try:
            while self._queue:
                fire = self._queue.popleft()
                self._pace()
                self._fire(fire)
        finally:
            self._firing -= 1

    def _pace(self) -> None:
        """Waits for the next free slot. Guards clients' calls against thousands of firings due in one
        second: a firing can wait, its time begins when it is sent. Harm: the last of many are late."""
        now = self._loop.now()
        slot, self._slot = max(now, self._slot), max(now, self._slot) + self._gap
        if slot > now:
            self._loop.sleep(slot - now)

    def _fire(self, fire: Fire) -> None:
        """Asks as a client does, and again after a refusal, until the firing's own time is over."""
        s, due = fire.schedule, fire.due
        name = execution_name(s.name, due)
        for earlier in fire.stop:
            self._calls.stop_named(s.function, execution_name(s.name, earlier))
        until = self._loop.now() + s.deadline
        while True:
            left = until - self._loop.now()
            if left <= 0:
                why = "refused until its time was over"
                self._commit(self._store.record_rejected(s.name, due, self._wall(), why))
                self._log.warning("firing", schedule=s.name, due=due, kind="refused", why=why)
                self.planner.ended(s.name, due)
                return
            self._firings[name] = (s.name, due)
            also = self._store.record_fired(s.name, due, self._wall(), name)
            got = self._calls.defer(s.function, s.tenant, s.payload, left, name, name, also)
            if isinstance(got, ReplicationPending):
                got = got.execution  # it is on disk with its firing, and will run
            if isinstance(got, Execution):
                self._newest = max(self._newest, due)
                if got.status is not Status.RUNNING:
                    self.ended(got)
                return
            self._firings.pop(name, None)
            if got is None:
                why = "its name stands for another payload: the schedule was changed while it was out"
                self._commit(self._store.record_rejected(s.name, due, self._wall(), why))
                self.planner.ended(s.name, due)
                return
            self._loop.sleep(max(ASK_AGAIN, got.retry_after_us))

    def ended(self, execution: Execution) -> None:
        """An execution's fate is on disk; it may be no firing."""
        firing = self._firings.pop(execution.name, None)
        if firing is None:
            return
        self.planner.ended(*firing)
        if execution.status is not Status.SUCCEEDED:
            self._log.warning(
                "firing",
                schedule=firing[0],
                due=firing[1],
                kind=execution.status.value,
                why=execution.error_message,
            )
