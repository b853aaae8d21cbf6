"""Plays a script: starts the stage, sends the traffic, makes the trouble, audits what was captured."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from walnutpost.config import Config
from walnutpost.config.conversion import ms_to_us
from walnutpost.eventloop import Loop, TaskGroup
from walnutpost.faultinjection.audit import Verdict
from walnutpost.faultinjection.capture import Capture
from walnutpost.faultinjection.clients import Clients, Result
from walnutpost.faultinjection.facts import SUFFIX, audit_folder
from walnutpost.faultinjection.script import (
    Ageing,
    AnyTrouble,
    Burst,
    Drain,
    Heavy,
    KillFront,
    OneOffs,
    Released,
    ReportsLate,
    Restart,
    Script,
    Silent,
    Slow,
    StoreSlow,
)
from walnutpost.faultinjection.stage import Stage, front_name, ledger_name
from walnutpost.faultinjection.usage import Compared, compare

SECOND = 1_000_000
AGEING_STEPS = 8
METERED_AFTER = 5 * SECOND


@dataclass(slots=True)
class Outcome:
    """`failures`: what went wrong with the trial itself, as a process that did not end."""

    results: list[Result]
    verdict: Verdict
    failures: list[str]
    usage: list[Compared] = field(default_factory=list)


def play(script: Script, config: Config, folder: Path, log: Any) -> Outcome:
    """Plays a whole trial in real time; captures and logs stay in `folder`."""
    failed: list[str] = []
    loop = Loop(on_error=lambda name, error: failed.append(f"{name}: {error!r}"))
    stage = Stage(loop, config, script, folder)
    results: list[Result] = []

    def main() -> None:
        stage.start()
        log.info("stage stands", folder=str(folder), processes=len(stage.children))
        tap = Capture(folder / f"clients{SUFFIX}", "client", "clients", loop.now)
        clients = Clients(loop, script, stage.config, [partial(lambda a: a, a) for a in stage.fronts], tap)
        with TaskGroup(loop) as group:
            for number, trouble in enumerate(script.troubles):
                group.spawn(make, stage, trouble, Random(script.seed * 7919 + number), log, name=trouble.what)
            clients.run()
            log.info("traffic is over", calls=len(clients.results))
        results.extend(clients.results)
        if config.metering is not None:  # until idle copies are gone, and their end is known
            loop.sleep(ms_to_us(config.site.keep_alive_ms) + METERED_AFTER)

    try:
        loop.run(main)
    finally:
        ended = loop.now()
        stage.stop()
    usage: list[Compared] = []
    if config.metering is not None:
        ledgers = [folder / ledger_name(index) for index in range(script.front_ends)]
        usage = compare(folder, ledgers, stage.config, stage.ends, ended)
    return Outcome(results, audit_folder(folder), [*failed, *stage.failures], usage)


def make(stage: Stage, trouble: AnyTrouble, rng: Random, log: Any) -> None:
    """One trouble, from its time to its end."""
    loop = stage.loop
    assert stage.config.fleet is not None
    everyone = [w.name for w in stage.config.fleet.workers]

    def chosen(count: int) -> list[str]:
        if trouble.on is not None:
            return [everyone[i % len(everyone)] for i in trouble.on]
        return rng.sample(everyone, min(count, len(everyone)))

    def nap(seconds: float) -> None:
        loop.sleep(round(seconds * SECOND))

    nap(trouble.at_s)
    log.info("trouble", **trouble.model_dump())
    match trouble:
        case Burst() | OneOffs():
            pass  # the clients see to these
        case Released(share=share):
            names = list(stage.config.site.functions)
            stage.command(everyone, {"void": rng.sample(names, round(share * len(names)))})
        case Silent(for_s=for_s, workers=count):
            names = chosen(count)
            for name in names:
                stage.silence(name)
            nap(for_s)
            _restart(stage, names)
        case Restart(for_s=for_s, workers=count):
            names = chosen(count)
            for name in names:
                _restart(stage, [name])
                nap(for_s / len(names))
        case Slow(for_s=for_s, factor=factor, workers=count, every_s=every):
            names = chosen(count)
            _switch(loop, for_s, every, lambda on: stage.command(names, {"slow": factor if on else 1.0}))
        case Ageing(for_s=for_s, factor=factor, workers=count):
            names = chosen(count)
            for step in range(1, AGEING_STEPS + 1):
                stage.command(names, {"slow": 1 + (factor - 1) * step / AGEING_STEPS})
                nap(for_s / AGEING_STEPS)
            _restart(stage, names)
        case StoreSlow(for_s=for_s, factor=factor):
            stage.store_slow(factor)
            nap(for_s)
            stage.store_slow(1.0)
        case ReportsLate(for_s=for_s, by_s=by_s, workers=count):
            names = chosen(count)
            stage.command(names, {"reports_by": round(by_s * SECOND)})
            nap(for_s)
            stage.command(names, {"reports_by": 0})
        case Heavy(for_s=for_s, factor=factor, share=share):
            stage.command(everyone, {"heavy_share": share, "heavy_factor": factor})
            nap(for_s)
            stage.command(everyone, {"heavy_share": 0.0})
        case Drain(for_s=for_s, workers=count):
            _drain(stage, chosen(count), lambda: nap(for_s))
        case KillFront(for_s=for_s, fronts=count):
            indexes = (
                trouble.on if trouble.on is not None else rng.sample(range(stage.script.front_ends), count)
            )
            for index in indexes:
                stage.kill(front_name(index))
            nap(for_s)
            for index in indexes:
                stage.front_back(index)


def _restart(stage: Stage, names: list[str]) -> None:
    for name in names:
        stage.kill(name)
    for name in names:
        stage.back_cold(name)


def _drain(stage: Stage, names: list[str], wait: Callable[[], None]) -> None:
    for name in names:
        stage.listed[name].state = "draining"
    stage.tell_later()
    wait()
    for name in names:
        stage.command([name], {"drain": True})
        stage.listed.pop(name)
    stage.tell_later()
    wait()
    _restart(stage, names)


def _switch(loop: Loop, for_s: float, every: float, turn: Callable[[bool], None]) -> None:
    end = loop.now() + round(for_s * SECOND)
    on = True
    while loop.now() < end:
        turn(on)
        loop.sleep(min(round((every or for_s) * SECOND), max(1, end - loop.now())))
        on = not on
    turn(False)
