"""Builds fake workers from a configuration."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from ssl import SSLContext

from walnutpost.config import Config, FakeWorkerConfig
from walnutpost.config.base import parse_address
from walnutpost.config.conversion import ms_to_us
from walnutpost.config.fakes import FakeFunctionConfig
from walnutpost.eventloop import Loop
from walnutpost.fakes.model import WorkerModel
from walnutpost.fakes.model_runner import WorkerObserver
from walnutpost.fakes.specs import FunctionSpec, WorkerSpec
from walnutpost.fakes.store import LocalStore, PackageStore
from walnutpost.fakes.worker import WorkerServer
from walnutpost.gateway.catalogue import name_hash
from walnutpost.workerclient import tls_contexts
from walnutpost.workerclient.tls_contexts import CertificateFiles

SEED_BITS = 32


def function_specs(config: Config) -> dict[str, FunctionSpec]:
    """Return the functions by name, with what they cost in the fakes."""
    works = config.fleet.work if config.fleet else {}
    specs = {}
    for name, function in config.site.functions.items():
        work = works.get(name, FakeFunctionConfig())
        specs[name] = FunctionSpec(
            name=name,
            memory_mb=function.memory_mb,
            concurrency=function.concurrency,
            work_us=ms_to_us(work.work_ms),
            wait_us=ms_to_us(work.wait_ms),
            work_spread=work.spread,
            load_us=ms_to_us(work.load_ms),
            fetch_share=work.fetch_share,
        )
    return specs


def worker_spec(config: Config, line: FakeWorkerConfig) -> WorkerSpec:
    """Return a worker as the configuration has it."""
    site = config.site
    rules = site.rules
    return WorkerSpec(
        name=line.name,
        cores=line.cores,
        speed=line.speed,
        memory_mb=line.memory_mb,
        max_concurrent_loads=line.max_concurrent_loads,
        max_queued=line.queue,
        keep_alive_us=ms_to_us(site.keep_alive_ms),
        loads_when_absent=site.on_absence == "load",
        start_capacity=rules.start_capacity,
        warm_up_us=ms_to_us(rules.warm_up_ms),
        overload_factor=rules.overload_factor,
        overload_window_us=ms_to_us(rules.overload_window_ms),
    )


def local_store(loop: Loop, config: Config) -> LocalStore:
    """Return the package store of a configuration with a fleet."""
    assert config.fleet is not None
    return LocalStore(loop, config.fleet.store.max_concurrent_fetches, config.fleet.store.fetch_limit)


def start_worker(
    loop: Loop,
    config: Config,
    line: FakeWorkerConfig,
    store: PackageStore,
    open_observer: Callable[[str], WorkerObserver] | None = None,
    base: Path | None = None,
) -> WorkerServer:
    """Start a worker of the fleet; `open_observer` opens its capture, `base` is the configuration's folder.

    Raises OSError where its address is in use.
    """
    assert config.fleet is not None
    context = _tls_context(config, line, base or Path())
    seed = config.fleet.seed ^ name_hash(line.name, SEED_BITS)
    model = WorkerModel(worker_spec(config, line), function_specs(config), seed, loop.now())
    worker_observer = open_observer(line.name) if open_observer else None
    return WorkerServer(loop, model, store, parse_address(line.listen), worker_observer, context)


def _tls_context(config: Config, line: FakeWorkerConfig, base: Path) -> SSLContext | None:
    assert config.fleet is not None
    tls = config.fleet.tls
    if tls is None:
        return None
    folder = base / tls.folder
    now_us = time.time_ns() // 1000
    own = CertificateFiles(folder / f"{line.name}.pem", folder / f"{line.name}.key")
    return tls_contexts.make_server_context(folder / "root.pem", own, tls.clients, now_us)
