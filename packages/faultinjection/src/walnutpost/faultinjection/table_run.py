"""Plays a day of the agreed table: changes and calls all along, what befalls processes and their ways,
and what the observer found."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from walnutpost.configstore import PropagationStatus
from walnutpost.eventloop import Loop, Task, WaitTimeoutError
from walnutpost.faultinjection.table_stage import (
    FRONTS,
    FUNCTIONS,
    KEEPERS,
    REGIONS,
    RELAYS,
    TableStage,
    twin_ops,
)
from walnutpost.http import Connection, HttpMessageError

SECOND = 1_000_000
CALL_EVERY, CALL_WITHIN = 60_000, 25 * SECOND
KINDS = (
    "leader killed",
    "relay killed",
    "all relays killed",
    "region cut",
    "region mute",
    "region deaf",
    "slow ways",
    "ways reset",
    "ways torn",
    "member paused",
    "members restarted",
)


@dataclass(frozen=True, slots=True)
class Fault:
    """`what` of KINDS, or "disk lost"; `on` a process or region where there is a choice; `at_s` after
    the fault before it has ended; `for_s` until it is made good."""

    what: str
    on: str = ""
    at_s: float = 1.0
    for_s: float = 2.0


@dataclass(frozen=True, slots=True)
class TableDay:
    """`broken`: rules broken on purpose, by hollow member. `rest_s`: without changes at the end."""

    faults: tuple[Fault, ...]
    hollow: int = 40
    padding: int = 0
    change_every_s: float = 0.4
    rest_s: float = 0.0
    broken: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class TableOutcome:
    """`back`: for each fault, the seconds from its end until all that was agreed on by then was told to be in
    force everywhere. `claims`: words on what is in force that were held against the members' own."""

    changes: int = 0
    calls: int = 0
    lost: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    back: list[tuple[str, float]] = field(default_factory=list)
    claims: int = 0
    status: PropagationStatus | None = None
    asked: float = 0.0  # questions of a hollow member within the rest
    rested: float = 0.0  # seconds, by the hollow members' clock


def random_table_day(seed: int, faults: int = 4) -> TableDay:
    rng = Random(seed)
    told = []
    for _ in range(faults):
        what = rng.choice(KINDS)
        on = {
            "region": rng.choice(sorted(REGIONS)),
            "relay": rng.choice(RELAYS),
            "member": rng.choice((*FRONTS, "h1", "h2")),
        }.get(what.partition(" ")[0], "")
        told.append(Fault(what, on, rng.uniform(0.2, 1.0), rng.uniform(0.5, 3.0)))
    return TableDay(tuple(told), padding=rng.choice((0, 0, 1500)), change_every_s=rng.choice((0.1, 0.4)))


def play_table(day: TableDay, folder: Path) -> TableOutcome:
    """Raises StageError where a process does not start, or what was agreed on never is in force."""
    loop = Loop()
    stage = TableStage(loop, folder, day.hollow, day.padding, dict(day.broken))
    out = TableOutcome()
    try:
        loop.run(lambda: _play(stage, day, out))
    finally:
        stage.stop()
    out.broken = sorted(set(stage.broken))
    out.claims = stage.claims
    return out


def _play(stage: TableStage, day: TableDay, out: TableOutcome) -> None:
    loop = stage.loop
    stage.start()
    for _ in range(3):  # copies stand, so that no call waits for a load that a change is then blamed for
        for name in FRONTS:
            for function in FUNCTIONS:
                _call(stage, name, function)
    going = [True]
    tasks: list[Task[None]] = [
        loop.spawn(_changes, stage, day, out, going, name="changes"),
        *(loop.spawn(_calls, stage, name, out, going, name="calls") for name in FRONTS),
    ]
    for fault in day.faults:
        loop.sleep(round(fault.at_s * SECOND))
        _befall(stage, fault)
        last = stage.status().revision
        told = f"{fault.what} {fault.on}".strip()
        out.back.append((told, round(stage.settled(last) / SECOND, 2)))
    going[0] = False
    for task in tasks:
        task.join()
    stage.settled()
    if day.rest_s:
        loop.sleep(2 * SECOND)  # what was held when the last change came has been asked again
        _, before, began = stage.questions()
        loop.sleep(round(day.rest_s * SECOND))
        count, after, ended = stage.questions()
        out.asked, out.rested = (after - before) / count, (ended - began) / SECOND
    out.status = stage.status()
    stage.finish()


def _changes(stage: TableStage, day: TableDay, out: TableOutcome, going: list[bool]) -> None:
    while going[0]:
        out.changes += 1
        stage.change(twin_ops(2 + out.changes % 50))
        stage.loop.sleep(round(day.change_every_s * SECOND))


def _calls(stage: TableStage, name: str, out: TableOutcome, going: list[bool]) -> None:
    """One after another at one front end. A front end is never killed in these days, so each is to be
    served."""
    while going[0]:
        function = FUNCTIONS[out.calls % len(FUNCTIONS)]
        out.calls += 1
        why = _call(stage, name, function)
        if why:
            out.lost.append(f"{name} {function}: {why}")
        stage.loop.sleep(CALL_EVERY)


def _call(stage: TableStage, name: str, function: str) -> str:
    """Empty where it was served."""
    address = stage.where(name)
    assert address is not None
    try:
        with stage.loop.timeout(CALL_WITHIN):
            connection = Connection.open(stage.loop, address)
            try:
                target = f"/2015-03-31/functions/{function}/invocations"
                response = connection.request("POST", target, {}, b"{}")
            finally:
                connection.close()
    except (OSError, WaitTimeoutError, HttpMessageError) as error:
        return f"{type(error).__name__} {error}"
    failed = "x-amz-function-error" in response.headers
    return "" if response.status == 200 and not failed else f"{response.status} {response.body[:200]!r}"


def _befall(stage: TableStage, fault: Fault) -> None:
    """What goes wrong, for as long as it does, and made good again."""
    loop, span = stage.loop, round(fault.for_s * SECOND)

    def heal() -> None:
        stage.mesh.heal()

    def down(names: Sequence[str], *options: str) -> None:
        for name in names:
            stage.kill(name)
        loop.sleep(span)
        for name in names:
            stage.start_one(name, *options)
        stage.until(lambda: all(map(stage.up, names)), f"{', '.join(names)} to be back")

    def ways(act: Callable[[], None]) -> None:
        act()
        loop.sleep(span)
        heal()

    match fault.what:
        case "leader killed":
            down([stage.leader()])
        case "relay killed":
            down([fault.on or RELAYS[0]])
        case "all relays killed":
            down(RELAYS)
        case "disk lost":
            name = fault.on or stage.leader()
            stage.lose_disk(name)
            loop.sleep(span)
            stage.start_one(name)
            stage.until(lambda: stage.up(name), f"{name} to be back")
            stage.take_in(name)
        case "region cut":
            ways(lambda: stage.cut(fault.on))
        case "region mute":
            ways(lambda: stage.cut(fault.on, hears=False))
        case "region deaf":
            ways(lambda: stage.cut(fault.on, says=False))
        case "slow ways":
            ways(lambda: stage.mesh.slow(60_000))
        case "ways reset":
            until = loop.now() + span
            while loop.now() < until:
                for way in stage.ways(*RELAYS, *KEEPERS):
                    way.reset()
                loop.sleep(SECOND // 3)
        case "ways torn":  # within a message: of a change set, or of a whole state's page
            rng, until = Random(span), loop.now() + span
            while loop.now() < until:
                for way in stage.ways(*RELAYS):
                    way.back.left = rng.randrange(20, 3000)
                loop.sleep(SECOND // 3)
            heal()
        case "member paused":
            stage.pause(fault.on)
            loop.sleep(span)
            stage.go_on(fault.on)
        case "members restarted":
            down(("h1", "h2"))
        case other:
            raise ValueError(f"found a fault {other!r}; wanted one of {', '.join(KINDS)}, disk lost")
