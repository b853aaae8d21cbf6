"""Runs a front end, a fake worker, both, or the fake package store, until a signal ends the process."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from walnutpost.cli.process import make_loop, stop_event
from walnutpost.config import Config, ConfigError, FakeWorkerConfig, WorkerConfig, load, load_with_overlay
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.daemon.composition import build_front_end
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.eventloop import Logger, Loop
from walnutpost.fakes import WorkerServer
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.fakes.store import PackageStore, RemoteStore, StoreServer
from walnutpost.faultinjection.capture import Capture


@dataclass(frozen=True, slots=True)
class FrontEndFiles:
    """The files of a front end: its configuration, its own file over that, where its sockets are captured."""

    config: Path
    own: Path | None = None
    capture: Path | None = None

    @property
    def base(self) -> Path:
        """Return the folder that files named by the configuration are in."""
        return (self.own or self.config).parent


class FrontEndRunner:
    """Runs one front end; SIGHUP reads the schedules anew."""

    def __init__(self, config: Config, files: FrontEndFiles, log: Logger, starts_fake_workers: bool) -> None:
        """Take a configuration that was read from `files`. Fake workers run in the same process."""
        self._config = config
        self._files = files
        self._log = log
        self._starts_fake_workers = starts_fake_workers
        self._loop = make_loop(log)
        self._cleanup = ExitStack()

    def run(self) -> None:
        """Run until a signal ends it."""
        with self._cleanup:
            self._loop.run(self._run)

    def _run(self) -> None:
        stop = stop_event(self._loop, self._log)
        config = self._config
        if self._starts_fake_workers and config.fleet is not None:
            config = self._start_fake_workers()
        front_end = build_front_end(self._loop, config, self._log, self._open_capture(), self._files.base)
        self._cleanup.callback(front_end.close)
        self._loop.on_signal(signal.SIGHUP, lambda: self._reload(front_end))
        stop.wait()
        front_end.stop()

    def _start_fake_workers(self) -> Config:
        """Start them; return the configuration with their addresses as the list of workers."""
        config = self._config
        assert config.fleet is not None
        store = local_store(self._loop, config)
        servers = [
            start_worker(self._loop, config, worker, store, base=self._files.base)
            for worker in config.fleet.workers
        ]
        workers = _listed_workers(config.fleet.workers, servers)
        self._log.info(
            "fake_workers_started", workers=[f"{worker.name} {worker.address}" for worker in workers]
        )
        front = config.front.model_copy(update={"workers": workers, "workers_file": None})
        return config.model_copy(update={"front": front})

    def _open_capture(self) -> Capture | None:
        if self._files.capture is None:
            return None
        return Capture(self._files.capture, "front", f"front-{self._config.front.index}", self._loop.now)

    def _reload(self, front_end: FrontEnd) -> None:
        path, own = self._files.config, self._files.own
        try:
            front_end.reload(load(path, Config) if own is None else load_with_overlay(path, own, Config))
        except ConfigError as error:
            self._log.error("config_file_reload_failed", errors=error.lines)
        else:
            self._log.info("config_file_reloaded", file=str(path))


def _listed_workers(
    configs: Sequence[FakeWorkerConfig], servers: Sequence[WorkerServer]
) -> list[WorkerConfig]:
    return [
        WorkerConfig(
            name=config.name,
            address=_address_text(server.address),
            zone=config.zone,
            kind=config.kind,
        )
        for config, server in zip(configs, servers, strict=True)
    ]


@dataclass(frozen=True, slots=True)
class FakeWorkerOptions:
    """How one fake worker runs. `was_restarted`: it reports that it has just been restarted."""

    base: Path
    store_address: str | None = None
    capture: Path | None = None
    was_restarted: bool = False


def run_fake_worker(
    config: Config, worker: FakeWorkerConfig, options: FakeWorkerOptions, log: Logger
) -> None:
    """Run one fake worker until a signal ends it; without `store_address` it has a store of its own."""
    loop = make_loop(log)

    def open_capture(name: str) -> Capture:
        assert options.capture is not None
        return Capture(options.capture, "worker", name, loop.now)

    def run() -> None:
        stop = stop_event(loop, log)
        store = _package_store(loop, config, options.store_address)
        traffic_observer = open_capture if options.capture is not None else None
        server = start_worker(loop, config, worker, store, traffic_observer, options.base)
        if options.was_restarted:
            server.restart()
        log.info("listening", worker=worker.name, address=_address_text(server.address))
        stop.wait()
        server.drain(ms_to_us(config.site.rules.drain_grace_ms))

    loop.run(run)


def _package_store(loop: Loop, config: Config, address: str | None) -> PackageStore:
    if address:
        return RemoteStore(loop, parse_address(address))
    return local_store(loop, config)


def run_fake_store(config: Config, address: str, log: Logger) -> None:
    """Run the fake package store until a signal ends it."""
    loop = make_loop(log)

    def run() -> None:
        stop = stop_event(loop, log)
        server = StoreServer(loop, local_store(loop, config), parse_address(address))
        log.info("listening", store=True, address=_address_text(server.server.address))
        stop.wait()

    loop.run(run)


def _address_text(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"
