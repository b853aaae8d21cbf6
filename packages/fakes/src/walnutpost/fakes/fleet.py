"""Builds stand-in workers from a configuration."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from walnutpost.config import Config, StandIn
from walnutpost.config.base import address_of
from walnutpost.config.model import FunctionWork
from walnutpost.config.settings import us
from walnutpost.eventloop import Loop
from walnutpost.fakes.model import FunctionSpec, WorkerModel, WorkerSpec
from walnutpost.fakes.store import LocalStore, PackageStore
from walnutpost.fakes.worker import Recorder, WorkerServer
from walnutpost.gateway.catalogue import number_of
from walnutpost.workerclient import contexts


def function_specs(config: Config) -> dict[str, FunctionSpec]:
    site, work = config.site, config.fleet.work if config.fleet else {}
    out = {}
    for name, f in site.functions.items():
        w = work.get(name, FunctionWork())
        out[name] = FunctionSpec(
            name,
            f.memory_mb,
            f.lanes,
            us(w.work_ms),
            us(w.wait_ms),
            w.spread,
            us(w.load_ms),
            w.fetch_share,
            site.classes[f.class_].effect,
        )
    return out


def worker_spec(config: Config, line: StandIn) -> WorkerSpec:
    site, rules = config.site, config.site.rules
    return WorkerSpec(
        line.name,
        line.cores,
        line.speed,
        line.memory_mb,
        line.loads_at_once,
        line.queue,
        us(site.keep_alive_ms),
        site.on_absence == "load",
        rules.start_capacity,
        us(rules.cold_ms),
        rules.overload_factor,
        us(rules.overload_for_ms),
    )


def local_store(loop: Loop, config: Config) -> LocalStore:
    assert config.fleet is not None
    return LocalStore(loop, config.fleet.store.fetches_at_once, config.fleet.store.fetch_limit)


def start_worker(
    loop: Loop,
    config: Config,
    line: StandIn,
    store: PackageStore,
    tap: Callable[[str], Recorder] | None = None,
    base: Path | None = None,
) -> WorkerServer:
    assert config.fleet is not None
    context = None
    if config.fleet.tls is not None:
        folder, now = (base or Path()) / config.fleet.tls.folder, time.time_ns() // 1000
        own = (folder / f"{line.name}.pem", folder / f"{line.name}.key")
        context = contexts.server(*own, folder / "root.pem", config.fleet.tls.clients, now)
    seed = config.fleet.seed ^ number_of(line.name, 32)
    model = WorkerModel(worker_spec(config, line), function_specs(config), seed, loop.now())
    return WorkerServer(loop, model, store, address_of(line.listen), tap(line.name) if tap else None, context)
