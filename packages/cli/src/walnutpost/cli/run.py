"""Runs a front end, a stand-in worker, or both, until a signal ends it."""

from __future__ import annotations

import resource
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.config import Config, ConfigError, StandIn, WorkerLine, load, load_with_own
from walnutpost.config.base import address_of
from walnutpost.config.settings import us
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.eventloop import Event, Loop
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.fakes.store import PackageStore, RemoteStore, StoreServer
from walnutpost.faultinjection.capture import Capture


def make_loop(log: Any) -> Loop:
    def on_error(name: str, error: BaseException) -> None:
        log.error("task failed", task=name, error=repr(error), exc_info=error)

    return Loop(on_error=on_error)


def raise_descriptors() -> None:
    """A connection each for hundreds of members: as many descriptors as the machine lets this user have."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def stop_event(loop: Loop, log: Any) -> Event:
    """Set by SIGINT or SIGTERM."""
    event = Event(loop)

    def stop(name: str) -> Callable[[], None]:
        def told() -> None:
            log.info("stopping", signal=name)
            event.set()

        return told

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.on_signal(number, stop(number.name))
    return event


def reload(path: Path, own: Path | None, end: FrontEnd, log: Any) -> None:
    try:
        end.reload(load(path, Config) if own is None else load_with_own(path, own, Config))
        log.info("schedules reloaded", file=str(path))
    except ConfigError as error:
        log.error("not reloaded", errors=error.lines)


def serve(
    config: Config,
    base: Path,
    log: Any,
    fleet: bool,
    capture: Path | None,
    path: Path | None = None,
    own: Path | None = None,
) -> None:
    """A front end; SIGHUP reads the schedules of `path` anew; with `fleet` the stand-in workers in the
    same process too."""
    loop = make_loop(log)
    held: list[FrontEnd] = []

    def run() -> None:
        stop = stop_event(loop, log)
        front = config.front
        if fleet and config.fleet is not None:
            store = local_store(loop, config)
            servers = [start_worker(loop, config, line, store, base=base) for line in config.fleet.workers]
            lines = [
                WorkerLine(
                    name=line.name,
                    address="{}:{}".format(*server.address),
                    zone=line.zone,
                    kind=line.kind,
                )
                for line, server in zip(config.fleet.workers, servers, strict=True)
            ]
            front = front.model_copy(update={"workers": lines, "workers_file": None})
            log.info("stand-ins", workers=[f"{w.name} {w.address}" for w in lines])
        tap = Capture(capture, "front", f"front-{front.index}", loop.now) if capture else None
        end = FrontEnd(loop, config.model_copy(update={"front": front}), log, tap, base)
        held.append(end)
        if path is not None:
            loop.on_signal(signal.SIGHUP, lambda: reload(path, own, end, log))
        stop.wait()
        end.stop()

    try:
        loop.run(run)
    finally:
        for end in held:
            end.close()


def work(
    config: Config,
    line: StandIn,
    store_address: str | None,
    log: Any,
    capture: Path | None,
    cold: bool,
    base: Path,
) -> None:
    """One stand-in worker. `cold`: it has just been restarted, and says so."""
    loop = make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        store: PackageStore = (
            RemoteStore(loop, address_of(store_address)) if store_address else local_store(loop, config)
        )
        tap = (lambda name: Capture(capture, "worker", name, loop.now)) if capture else None
        server = start_worker(loop, config, line, store, tap, base)
        if cold:
            server.restart()
        log.info("listening", worker=line.name, address="{}:{}".format(*server.address))
        stop.wait()
        server.drain(us(config.site.rules.drain_grace_ms))

    loop.run(run)


def keep_store(config: Config, address: str, log: Any) -> None:
    """The stand-in package store as a process."""
    loop = make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        server = StoreServer(loop, local_store(loop, config), address_of(address))
        log.info("listening", store=True, address="{}:{}".format(*server.server.address))
        stop.wait()

    loop.run(run)
