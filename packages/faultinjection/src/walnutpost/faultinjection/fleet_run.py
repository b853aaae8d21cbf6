"""Plays a fleet's day: the stage, the traffic, what befalls the processes, and what the observer saw."""

from __future__ import annotations

import json
import os
import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from walnutpost.config import Config, overlay_sections
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.audit import Verdict
from walnutpost.faultinjection.capture import Capture
from walnutpost.faultinjection.clients import Clients, Result
from walnutpost.faultinjection.facts import SUFFIX, audit_folder
from walnutpost.faultinjection.fleet_script import AnyAct, Break, FleetScript, Order
from walnutpost.faultinjection.fleet_stage import FleetStage
from walnutpost.faultinjection.script import Script
from walnutpost.fleet import FleetState

SECOND = 1_000_000


@dataclass(slots=True)
class FleetOutcome:
    """`broken`: what the observer saw against what was agreed. `most_out`: of each kind, without those that
    the script had touched."""

    results: list[Result]
    verdict: Verdict
    broken: list[str]
    failures: list[str]
    most_out: dict[str, int]
    state: FleetState

    @property
    def good(self) -> bool:
        return self.verdict.kept and not self.broken and not self.failures


def play_fleet(script: FleetScript, config: Config, folder: Path, log: Any) -> FleetOutcome:
    """In real time; logs and captures stay in `folder`."""
    failed: list[str] = []
    loop = Loop(on_error=lambda name, error: failed.append(f"{name}: {error!r}"))
    stage = FleetStage(loop, config, script, folder)
    results: list[Result] = []
    halts: list[tuple[int, int]] = []
    held: list[FleetState] = []

    def main() -> None:
        stage.start()
        log.info("fleet stands", processes=len(stage.processes) + len(stage.members), folder=str(folder))
        tap = Capture(folder / f"clients{SUFFIX}", "client", "clients", loop.now)
        traffic = Script(
            config=script.config, seed=script.seed, duration_s=script.duration_s, traffic=script.traffic
        )
        wheres = [_where(stage, name) for name in stage.fronts]
        clients = Clients(loop, traffic, config, wheres, tap)
        watch = loop.spawn(stage.watch, name="observer")
        acts = [
            loop.spawn(_act, stage, act, halts, log, name=f"act {number}")
            for number, act in enumerate(script.acts)
        ]
        clients.run()
        results.extend(clients.results)
        for task in acts:  # what waits for something that does not come; what is broken is made good
            task.cancel()
        stage.until(lambda: all(task.is_done for task in acts), "what is broken to be made good")
        stage.mesh.heal()
        stage.until(lambda: _settled(stage.state()), "plans to end or halt", int(script.patience_s * SECOND))
        held.append(stage.state())
        watch.cancel()

    try:
        loop.run(main)
    finally:
        stage.stop()
    state = held[0]
    broken, most = judged(stage, halts)
    return FleetOutcome(results, audit_folder(folder), broken, [*failed, *stage.failures], most, state)


def _where(stage: FleetStage, name: str) -> Any:
    return lambda: stage.front_at(name)


def _settled(state: FleetState) -> bool:
    """Nobody is on the way out or in, and no plan could go on without calls to judge it by. A drain that
    holds its members out has done what it can."""
    stays = {p.id for p in state.plans.values() if p.keeps_members_out}
    still = all(q.plan in stays and q.confirmed_index for q in state.permits.values())
    return still and all(
        p.end_reason
        or p.halt_reason
        or state.halt_reason
        or p.keeps_members_out
        or len(p.completed) >= p.eligible_count()
        for p in state.plans.values()
    )


def judged(stage: FleetStage, halts: list[tuple[int, int]]) -> tuple[list[str], dict[str, int]]:
    """What was out beyond the budgets, or went out after a halt had taken effect. Two are out at once where
    the times overlap in which each was seen down, first and last."""
    broken: list[str] = []
    most = {"front_end": 0, "worker": 0}
    planned = [g for g in stage.gone if not g.hit]
    for at in sorted({g.first for g in planned}):
        now = [g for g in planned if g.first <= at <= g.last]
        for kind, names in (("front_end", stage.fronts), ("worker", stage.workers)):
            out = sorted({g.member for g in now if g.member in names})
            most[kind] = max(most[kind], len(out))
            for budget in stage.script.budgets:
                for zone in stage.script.zones if budget.zone == "*" else [budget.zone]:
                    here = [m for m in names if zone in ("", stage.zone[m])]
                    share = max(1, int((budget.max_unavailable_ratio or 0.0) * len(here)))
                    allowed = budget.max_unavailable if budget.max_unavailable is not None else share
                    over = [m for m in out if m in here]
                    if budget.kind == kind and len(over) > allowed:
                        broken.append(
                            f"{', '.join(over)} were out at once in {zone or 'all'}, {allowed} may be"
                        )
    for since, until in halts:
        broken += [f"{g.member} went out after a halt" for g in planned if since < g.first < until]
    return sorted(set(broken)), most


def _act(stage: FleetStage, act: AnyAct, halts: list[tuple[int, int]], log: Any) -> None:
    loop = stage.loop
    while act.when and not _so(stage, act):
        loop.sleep(SECOND // 50)
    loop.sleep(round(act.at_s * SECOND))
    log.info("act", **act.model_dump(exclude_defaults=True))
    if isinstance(act, Order):
        return _order(stage, act, halts)
    with ExitStack() as stack:
        for told in act.on:
            name = stage.leader() if told == "leader" else told
            stack.enter_context(_broken(stage, act, name))
        loop.sleep(round(act.for_s * SECOND))


def _so(stage: FleetStage, act: AnyAct) -> bool:
    if act.when == "leader":
        return stage.leader() == act.of
    state = stage.glance()
    if state is None:
        return False
    match act.when:
        case "permit" | "begun" | "cleared":
            return any(
                act.of in ("", p.plan, p.member)
                and {"permit": True, "begun": p.has_begun, "cleared": bool(p.confirmed_index)}[act.when]
                for p in state.permits.values()
            )
        case "plan open":
            return any(act.of in ("", p.id) and not p.end_reason for p in state.plans.values())
        case "halted":
            return bool(state.halt_reason) or any(
                act.of in ("", p.id) and p.halt_reason for p in state.plans.values()
            )
        case _:
            return any(act.of in ("", p.id) and p.end_reason for p in state.plans.values())


@contextmanager
def _broken(stage: FleetStage, act: Break, name: str) -> Iterator[None]:
    """One process, or its ways to the keepers, until the end of the block; then made good."""
    relays = [(pair, r) for pair, r in stage.mesh.relays.items() if name in pair and pair[1] in stage.keepers]
    ways = [(r, *((r.there, r.back) if a == name else (r.back, r.there))) for (a, _), r in relays]
    process, member = stage.processes.get(name), name in stage.members
    harmed = act.what in ("kill", "kill child", "pause") or not member
    with ExitStack() as stack:
        if harmed and member:
            stage.touch(name)
        match act.what:
            case "kill" if process is not None:
                stage.kill(name)
                stack.callback(stage.back, name)
            case "lose disk" if process is not None:
                stage.lose_disk(name)
                stack.callback(stage.back, name)
            case "second" if member:
                second = stage.second_agent(name)
                stack.callback(stage.end_second, second)
            case "kill child":
                with suppress(OSError):
                    if (pid := stage.child(name)) is not None:
                        os.kill(pid, signal.SIGKILL)
            case "pause" if process is not None:
                process.send_signal(signal.SIGSTOP)
                stack.callback(process.send_signal, signal.SIGCONT)
            case "cut" | "mute" | "deaf":
                for relay, says, hears in ways:
                    if act.what != "deaf":
                        says.hold()
                    if act.what != "mute":
                        hears.hold()
                    stack.callback(relay.heal)
            case "slow":
                for _, relay in relays:
                    relay.there.delay = relay.back.delay = round(act.by_ms * 1000)
                    stack.callback(relay.heal)
            case "reset":
                for _, relay in relays:
                    relay.reset()
            case "tear":
                for _, says, _ in ways:
                    says.left = 700
            case _:
                pass
        yield
    if harmed and member:
        stage.clear(name)


def _order(stage: FleetStage, act: Order, halts: list[tuple[int, int]]) -> None:
    plan = ["--plan", act.plan] if act.plan else []
    match act.what:
        case "release":
            site = stage.config.model_dump(mode="json", by_alias=True)
            content = stage.folder / f"{act.content}.version"
            content.write_text(json.dumps(overlay_sections(site, stage.script.versions[act.content])))
            stage.operator("release", str(content), "--steps", "0.5,1", *plan)
        case "rollback":
            stage.operator("rollback", "--to", _first(stage), *plan)
        case "drain" | "cycle":
            stage.operator(act.what, *act.on, *plan)
        case "return":
            for name in act.on:
                stage.operator("return", name, "--operator", "trial")
        case "judge":
            stage.operator("judge", act.plan, "good" if act.good else "bad")
        case "halt":
            stage.operator("halt", "--why", "trial", *plan)
            effect = stage.loop.now() + round(stage.script.begin_within_ms * 1000)
            halts.append((effect, 1 << 62))
        case "resume":
            if halts:
                halts[-1] = halts[-1][0], stage.loop.now()
            stage.operator("resume", *plan)


def _first(stage: FleetStage) -> str:
    """The version that all began with."""
    return next(iter(stage.state().versions))
