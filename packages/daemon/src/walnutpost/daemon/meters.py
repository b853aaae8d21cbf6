"""Carries metering out: reads workers' books, writes the ledger, looks at the budgets."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from math import ceil
from pathlib import Path
from typing import Any

from walnutpost.config import Config
from walnutpost.config.model import Metering
from walnutpost.config.settings import budgets, meter_policy, us
from walnutpost.eventloop import Group, Loop, Task
from walnutpost.gateway import AttemptEnded, Function, LoadOrder, LoadOrderEnded, Rejected, Send
from walnutpost.interface import Outcome
from walnutpost.metering import HOUR, Budgets, Gap, Ledger, Sight, Size, Standing
from walnutpost.metering.ledger import DOWN
from walnutpost.store import StoreError, UsageStore
from walnutpost.store.usage import Run
from walnutpost.workerclient import Links

AT_ONCE = 16  # workers whose books are read at the same time
NAMELESS = ""


class Sizes(Mapping[str, Size]):
    """Of functions as they are configured at each look. Memory in whole MB, rounded up, as it is metered."""

    def __init__(self, functions: Mapping[str, Function]) -> None:
        self._functions = functions

    def __getitem__(self, name: str) -> Size:
        f = self._functions[name]
        return Size(ceil(f.memory_mb), int(f.lanes), f.load_time_us)

    def __iter__(self) -> Iterator[str]:
        return iter(self._functions)

    def __len__(self) -> int:
        return len(self._functions)


class Meters:
    """Opens the ledger at construction; raises StoreError. A ledger that can't be written any more keeps
    counting in memory and says so: calls go on."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        line: Metering,
        functions: Mapping[str, Function],
        links: Links,
        log: Any,
        base: Path,
    ) -> None:
        self._loop, self._links, self._log, self._line = loop, links, log, line
        self._default = config.site.default_tenant
        self._keep_alive = us(config.site.keep_alive_ms)
        self._longest = max(us(c.deadline_ms) for c in config.site.classes.values())
        now = loop.now()
        self._store = UsageStore(loop, base / line.file)
        saved, last = self._store.saved()
        self.ledger = Ledger(meter_policy(line), saved, now)
        self.sight = Sight(now, Sizes(functions), self._keep_alive)
        self.budgets = Budgets(budgets(line))
        self._acts = self.budgets.act  # only then is sight of workers with books wanted
        self._began = now
        self._attempts: dict[tuple[int, int], tuple[str, str, str]] = {}
        self._complaints: dict[str, list[str]] = {}
        self._without: set[str] = set()  # workers that said they keep no book
        self._sick = ""
        self._written = 0
        self._writer: Task[bool] | None = None
        if last.at_risk:
            self._was_killed(last)

    def _was_killed(self, last: Run) -> None:
        """The last life of this front end was not ended in order: what it saw since its last writing of
        workers that keep no book is lost."""
        lost = us(self._line.write_ms) + self._longest + self._keep_alive
        most = last.at_risk * lost
        self.ledger.gap(Gap(last.at // HOUR * HOUR, f"front end {last.started}", DOWN, most))
        self._log.warning("metering", gap=DOWN, since=last.at, most_mb_s=most // 1_000_000)

    # What the core shows (daemon.core.Watch)

    def barred(self, function: str, tenant: str | None) -> Rejected | None:
        if not self._acts:
            return None
        name = tenant if tenant is not None else self._default
        if name is None or self.budgets.standing(name) is not Standing.PAST:
            return None
        now = self._loop.now()
        if self.budgets.lets_in(name, self.sight.stands(now, function)):
            return None
        why = "the tenant's budget of memory is used up, and the call would need a load"
        return Rejected(why, self.budgets.ends(name, now))

    def started(self, now: int, start: Send) -> None:
        if not self._acts and not self.sight.estimates(start.worker):
            return
        tenant = start.tenant if start.tenant is not None else NAMELESS
        self._attempts[start.call, start.attempt] = (start.worker, start.function, tenant)
        self.sight.began(now, start.worker, start.function, tenant)

    def done(self, now: int, done: AttemptEnded) -> None:
        place = self._attempts.pop((done.call, done.attempt), None)
        if place is not None:
            self.sight.ended(now, *place)

    def held(self, now: int, done: LoadOrderEnded) -> None:
        if done.outcome in (Outcome.OK, Outcome.FULL):
            self.sight.stood(now, done.worker, done.function, done.copies)

    def lets_order(self, now: int, order: LoadOrder) -> bool:
        if not self._acts or order.copies <= 0:
            return True
        stands = self.sight.stands(now, order.function)
        return self.budgets.lets_order(self.sight.askers(order.function), stands)

    # Tasks

    def run(self) -> None:
        """Until cancelled."""
        while True:
            self._loop.sleep(us(self._line.fetch_ms))
            self.look()

    def look(self) -> None:
        """Reads every book once, sees where budgets stand, and writes what is due."""
        self._read_all()
        now = self._loop.now()
        self.ledger.saw(self.sight.take(now))
        self._see_budgets(now)
        if now - self._written >= us(self._line.write_ms):
            self.write()

    def _read_all(self) -> None:
        waiting = list(self._links.workers)
        with Group(self._loop) as group:
            for _ in range(min(AT_ONCE, len(waiting))):
                group.spawn(self._read_some, waiting, name="usage")

    def _read_some(self, waiting: list[str]) -> None:
        while waiting:
            worker = waiting.pop()
            try:
                report = self._links.usage(worker, *self.ledger.cursor(worker))
            except OSError:
                continue  # silence is accounted for in the ledger
            except ValueError as error:
                self._complain(worker, [str(error)])
                continue
            if report is None:
                if worker not in self._without:
                    self._without.add(worker)
                    self._log.warning("metering", worker=worker, why="it keeps no book: usage is estimated")
                continue
            notes = self.ledger.take(report, worker, self._loop.now())
            if self.ledger.reports(worker):
                self.sight.counts_itself(worker)
            self._complain(worker, notes)

    def _complain(self, worker: str, notes: list[str]) -> None:
        """Once, not at every look; the figures in it may change."""
        kinds = [re.sub(r"\d+", "", note) for note in notes]
        if notes and kinds != self._complaints.get(worker):
            self._log.warning(
                "metering", worker=worker, contradictions=notes[:5], more=max(0, len(notes) - 5)
            )
        self._complaints[worker] = kinds

    def _see_budgets(self, now: int) -> None:
        if not self.budgets:
            return
        used = {period: self.ledger.used(now // period * period, now) for period in self.budgets.periods}
        for change in self.budgets.look(now, used):
            say = self._log.warning if change.now > change.before else self._log.info
            say(
                "budget",
                tenant=change.budget.tenant,
                now=change.now.name,
                before=change.before.name,
                used_mb_s=change.used // 1_000_000,
                limit_mb_s=change.budget.limit // 1_000_000,
                action=change.budget.action.value,
            )

    def write(self, at_end: bool = False) -> bool:
        """Waits for the disk; False where it took nothing: the same and more is offered next time. The
        writing goes on if whoever waits is cancelled, since what is on disk must be known to be."""
        while self._writer is not None and not self._writer.done:
            self._writer.join()
        self._writer = self._loop.spawn(self._write, at_end, name="ledger")
        return self._writer.join()

    def _write(self, at_end: bool) -> bool:
        now = self._loop.now()
        batch = self.ledger.batch(now)
        if batch is None:
            return True
        run = Run(self._began, now, 0 if at_end else self.sight.at_risk(now))
        try:
            self._store.write(batch, run)
        except StoreError as error:
            if not self._sick:
                self._log.error(
                    "metering", store=str(error), why="the ledger is not written; counting goes on"
                )
            self._sick = str(error)
            return False
        if self._sick:
            self._log.info("metering", store="written again")
        self._sick, self._written = "", now
        self.ledger.written(batch)
        return True

    def stop(self) -> None:
        """A last reading and writing, for as long as the caller lets it."""
        self._read_all()
        self.ledger.saw(self.sight.take(self._loop.now()))
        self.write(at_end=True)

    def close(self) -> None:
        """After the loop has ended."""
        self._store.close()
