"""One front end on a loop."""

from __future__ import annotations

import os
import secrets
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from walnutpost.agent import INCARNATION
from walnutpost.config import Config, WorkerLine, catalogue, own_schedules, router_settings
from walnutpost.config.base import address_of
from walnutpost.config.settings import us
from walnutpost.daemon.deferred import Deferred
from walnutpost.daemon.fleet import CountedCore, Following
from walnutpost.daemon.journaling import Journaling
from walnutpost.daemon.keys import Keys
from walnutpost.daemon.lists import Lists
from walnutpost.daemon.meters import Meters
from walnutpost.daemon.seen import Seen
from walnutpost.daemon.settings import Functions, SettingsFollowing
from walnutpost.dispatch import Core
from walnutpost.eventloop import Loop, Tap, Timeout
from walnutpost.fronts.cron import TimersFront
from walnutpost.fronts.invoke import InvokeFront, Names, refusal
from walnutpost.gateway import Gateway
from walnutpost.http import Limits, Server
from walnutpost.http.server import serve_on
from walnutpost.interface import ListKind
from walnutpost.store import ExecutionStore, FiringStore
from walnutpost.workerclient import Links, LinkSettings

STOP_STEP = 20_000
STOP_METERS = 2_000_000


def wall_time() -> int:
    return time.time_ns() // 1000


class Recorder(Tap, Protocol):
    """A tap that is also told what the front end was told of workers."""

    def told(self, version: int, lines: list[WorkerLine]) -> None: ...


class FrontEnd:
    """Opens everything at construction; `stop` ends it in order. Two in one process share nothing."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        log: Any,
        tap: Recorder | None = None,
        base: Path | None = None,
        wall: Callable[[], int] | None = None,
    ) -> None:
        """`wall` is the time of day for schedules, which may be set; the loop's own time never steps."""
        front, site = config.front, config.site
        base = base or Path()
        self._loop = loop
        self._log = log
        self._config = config
        seed = front.seed if front.seed is not None else secrets.randbits(63)
        settings, self.catalogue = router_settings(config), catalogue(site)
        followed: Functions | None = None
        if config.agreement is not None and config.agreement.relays:
            followed = Functions(self.catalogue.functions, list(site.classes))
            self.catalogue = replace(self.catalogue, functions=followed, is_changing=True)
        gateway = Gateway(
            settings, self.catalogue, seed, us(front.remember_ms), int(front.remember_mb * (1 << 20))
        )
        link_settings = LinkSettings(
            us(front.dial_timeout_ms),
            us(site.order_timeout_ms),
            us(front.connection_idle_ms),
            report_fields=tuple(site.reports),
        )
        keys = Keys(loop, front.tls, base, wall_time, log) if front.tls is not None else None
        context = keys.context if keys is not None else None
        prefix = f"{front.index}-{secrets.token_hex(6)}"
        self.links = Links(loop, link_settings, prefix, tap, context, time_of_day=wall or wall_time)
        self.core = Core(loop, gateway, self.links, log)
        counted: CountedCore | None = None
        if config.agreement is not None and config.agreement.keepers:
            self.core = counted = CountedCore(loop, gateway, self.links, log)
            counted.functions, counted.classes = self.catalogue.functions, settings.classes
        self._store = ExecutionStore(loop, base / front.store)
        self.journaling: Journaling | None = None
        if config.journal is not None:
            self.journaling = Journaling(loop, config, config.journal, self._store, settings.classes, log)
        self.deferred = Deferred(
            loop,
            self.core,
            self._store,
            self.catalogue,
            us(front.keep_results_ms),
            log,
            self.journaling,
        )
        self.lists = Lists(loop, self.core, self.links, site, log, tap.told if tap else None)
        self._tasks = [loop.spawn(self.deferred.purge, name="purge")]
        if self.journaling is not None:
            self._tasks.append(loop.spawn(self.journaling.run, name="journal"))
        if keys is not None:
            self._tasks.append(loop.spawn(keys.follow, self.links, name="keys"))
        self.meters: Meters | None = None
        if config.metering is not None:
            functions = self.catalogue.functions
            self.meters = Meters(loop, config, config.metering, functions, self.links, log, base)
            self.core.watch = self.meters
            self._tasks.append(loop.spawn(self.meters.run, name="meters"))
        if front.workers_file is not None:
            path = base / front.workers_file
            self.lists.read(path, ListKind.CACHED)
            self._tasks.append(loop.spawn(self.lists.follow, path, us(front.workers_poll_ms), name="list"))
        else:
            self.lists.tell(ListKind.CACHED, 0, front.workers)
        self.following: Following | None = None
        incarnation = os.environ.get(INCARNATION) or secrets.token_hex(6)
        if config.agreement is not None and counted is not None:
            zone = front.zone or "all"
            kept = base / f"{front.store}.agreed"
            self.following = Following(loop, config.agreement, zone, counted, self.lists, log, kept)
            self.following.catch_up()
            incarnation = self.following.follower.incarnation
        self.settings: SettingsFollowing | None = None
        if config.agreement is not None and followed is not None:
            kept = base / f"{front.store}.table"
            self.settings = SettingsFollowing(
                loop, config.agreement, front.zone, incarnation, followed, log, kept
            )
            self.settings.catch_up()
        firings = FiringStore(self._store)
        self._seen = Seen(base / f"{front.store}.seen")
        self.timers = TimersFront(
            loop,
            wall or wall_time,
            own_schedules(config),
            self.deferred,
            firings,
            self._seen.doubtful(max(firings.marks().values(), default=0)),
            front.firings_at_once,
            front.firings_per_s,
            log,
            self._seen.write,
        )
        self.deferred.also_at_end = firings.ended
        self.deferred.on_end = self.timers.ended
        self.recovered = self.deferred.recover(self._functions_known)
        self._tasks.append(
            loop.spawn(self.deferred.await_functions, self._functions_known, name="await functions")
        )
        invoke = InvokeFront(
            self.core,
            self.deferred,
            self.catalogue,
            settings.classes,
            Names(),
            us(front.deferred_deadline_ms),
        )
        limits = Limits(front.max_head_bytes, front.max_body_bytes, us(front.head_time_ms))
        address = address_of(front.listen)
        self.server: Server = serve_on(loop, address, invoke.handle, refusal, limits, tap, "front", log=log)
        self._tasks.append(loop.spawn(self.timers.run, name="timers"))
        if self.following is not None:
            self._tasks.append(loop.spawn(self.following.run, name="following"))
        also = {"journal": self.journaling.address} if self.journaling is not None else {}
        log.info("listening", address="{}:{}".format(*self.server.address), recovered=self.recovered, **also)

    @property
    def address(self) -> tuple[str, int]:
        return self.server.address

    def _functions_known(self) -> bool:
        """Whether a function that isn't there is none: what is agreed on, where it is followed, was heard."""
        return self.settings is None or self.settings.known

    def reload(self, config: Config) -> None:
        """Takes up the schedules of a changed configuration; what else has changed waits for a restart."""
        self.timers.replace(own_schedules(config))

    # The end

    def stop(self) -> None:
        """No new connections; open calls get `stop_ms` to end. A deferred call that has not ended by
        then is on disk; an unsafe one that was being sent will have to be told to have failed."""
        self.server.stop_accepting()
        until = self._loop.now() + us(self._config.front.stop_ms)
        while self._busy() and self._loop.now() < until:
            self._loop.sleep(STOP_STEP)
        for task in self._tasks:
            task.cancel()
        if self.settings is not None:
            self.settings.stop()
        if self.journaling is not None:
            self.journaling.close()
        if self.meters is not None:
            try:
                with self._loop.timeout(STOP_METERS):
                    self.meters.stop()
            except Timeout:
                self._log.warning("metering", why="the last books were not read in time")
        self._log.info("stopped", open_streams=len(self.server.streams), deferred=self.deferred.open)

    def _busy(self) -> bool:
        return any(self.server.streams.values()) or self.core.open_calls > 0 or self.deferred.unsaved > 0

    def close(self) -> None:
        """After the loop has ended."""
        self._store.close()
        if self.meters is not None:
            self.meters.close()
