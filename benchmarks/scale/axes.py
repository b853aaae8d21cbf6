"""One axis of the size each: what it measures at one size, in this process and without sockets.

Times are processor time. Whoever runs an axis gives each size a process of its own, for the memory's sake.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from benchmarks.scale import made
from benchmarks.scale.machine import Grown, cpu_of, rss
from walnutpost import interface as api
from walnutpost.config import Config, build_catalogue, build_router_settings, parse
from walnutpost.controlplane import wire
from walnutpost.controlplane.wire import CommandReply
from walnutpost.daemon.endpoint_lists import EndpointLists
from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Loop
from walnutpost.fleet import (
    AnalysisPolicy,
    CallCounts,
    CommandResult,
    ConfirmPermit,
    EndpointFollower,
    Fleet,
    FleetMonitor,
    MarkResponsive,
    MarkUnresponsive,
    MemberReport,
    StoreVersion,
    encode,
    endpoint_snapshot,
)
from walnutpost.gateway import Gateway
from walnutpost.gateway.catalogue import FUNCTION_BITS, NumberedNames
from walnutpost.interface import ListKind, Outcome, Warmth
from walnutpost.policy import Router
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

SECOND = 1_000_000
AGENTS = 2_750
PERMITS = 137  # 5% of the agents
KEEP_ALIVE = 10 * SECOND


@dataclass(frozen=True, slots=True)
class Reading:
    """Values of one quantity at one size, by repeat."""

    unit: str
    values: list[float]


Readings = dict[str, Reading]


class Quiet:
    """A log that nobody reads."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **named: None


def ms(values: Sequence[float]) -> Reading:
    return Reading("ms", [v * 1e3 for v in values])


def us(values: Sequence[float]) -> Reading:
    return Reading("us", [v * 1e6 for v in values])


def mb(grown: Grown) -> Reading:
    return Reading("MB", [grown.bytes / 1e6])


def whole() -> Readings:
    """Of this process, with what the measuring itself took."""
    return {"RSS of the process that did all this": Reading("MB", [rss() / 1e6])}


def size_of(data: bytes) -> Reading:
    return Reading("bytes", [float(len(data))])


# Workers


def workers(size: int) -> Readings:
    """The agreed list, as the leader makes it and a front end takes it up."""
    out: Readings = {}
    with Grown() as state:
        agreed = made.fleet(0, size)
    out["state at a keeper"] = mb(state)
    ages = made.ages(agreed)

    def answer() -> bytes:
        sight = endpoint_snapshot(agreed.fleet.state, 9 * SECOND, ages)
        return wire.encode(CommandReply(CommandResult(True, agreed.index), endpoints=sight))

    body = answer()
    with Grown() as held:
        told = wire.decode(body, CommandReply)
    out["list sent"] = size_of(body)
    out["list made for one report"] = ms(cpu_of(answer))
    out["list decoded"] = ms(cpu_of(lambda: wire.decode(body, CommandReply)))
    out["list held decoded"] = mb(held)
    assert told.endpoints is not None
    out["list kept in a file"] = ms(cpu_of(lambda: msgspec.msgpack.encode(told.endpoints)))
    out |= _front(size, agreed, told)
    return out | whole()


def _front(size: int, agreed: made.Agreed, told: CommandReply) -> Readings:
    """A front end with as many workers of its own list, which takes up one that leaves."""
    out: Readings = {}
    config = parse(made.config_text(8, 0), "made", Config)
    settings = build_router_settings(config)
    worker = made.worker_name(size // 2)
    made.taken_out(agreed, worker)
    ages = made.ages(agreed)

    def in_loop() -> None:
        quiet: Any = Quiet()
        client = WorkerClient(loop, WorkerClientSettings("f"))
        gateway = Gateway(settings, build_catalogue(config.site), 1)
        lists = EndpointLists(loop, Dispatcher(loop, gateway, client, quiet), client, config.site, quiet)
        follower = EndpointFollower("f", "1", True)
        lists.set_configured(ListKind.CACHED, 0, [])

        def take_up() -> None:
            follower.applied_index = 0
            follower.receive(9 * SECOND, told.endpoints, True)
            lists.set_dynamic(follower)

        with Grown() as all_of_it:
            take_up()
        out["list in force at a front end"] = mb(all_of_it)
        out["list taken up by a front end"] = ms(cpu_of(take_up, 3))

        def again() -> None:
            sight = endpoint_snapshot(agreed.fleet.state, 9 * SECOND, ages)
            follower.receive(9 * SECOND, sight, True)
            follower.merge([])

        out["list compared by the follower"] = ms(cpu_of(again, 3))

    loop = Loop(on_error=lambda name, error: None)
    loop.run(in_loop)
    return out | router(size, settings)


def router(size: int, settings: api.Settings) -> Readings:
    """The Router by itself: its list, and the first call of a function."""
    out: Readings = {}
    listed = tuple(
        api.Worker(n + 1, n % len(made.ZONES), 0, 0, api.WorkerState.READY, 1.0, 0) for n in range(size)
    )
    router, now = Router(settings, 1), 100 * SECOND
    with Grown() as held:
        router.handle(now, api.WorkersListed(ListKind.CACHED, 0, listed))
    out["Router's workers"] = mb(held)
    count = 1

    def relist() -> None:
        nonlocal count
        count += 1
        router.handle(now, api.WorkersListed(ListKind.FULL, count, listed))

    out["Router's list anew"] = ms(cpu_of(relist, 3))
    functions = max(16, min(400, 500_000 // size))
    firsts = first_calls(router, now, 0, functions)
    out["first call of a function"] = ms(sorted(firsts)[len(firsts) // 10 : -len(firsts) // 10 or None])
    with Grown() as orders:  # while memory is counted, nothing is timed
        first_calls(router, now + SECOND, functions, functions)
    out["memory of a function called"] = Reading("KB", [orders.bytes / 1e3 / functions])
    return out


def first_calls(router: Router, now: int, first: int, count: int) -> list[float]:
    """Seconds until a call of a function that the Router has not seen is decided, by function."""
    out = []
    for n in range(first, first + count):
        now += 1000
        event = api.RequestArrived(n, 0, 0, n * 7919 + 1, 2 * SECOND, None, 128.0, 1.0, 0, False)
        began = time.process_time()
        sent = [a for a in router.handle(now, event) if isinstance(a, api.Send)]
        out.append(time.process_time() - began)
        for action in sent:
            done = api.AttemptEnded(n, 0, action.worker, Outcome.OK, 1000, True, Warmth.WARM, 0, ())
            router.handle(now, done)
    return out


# Functions


def functions(size: int) -> Readings:
    """The catalogue of all functions, as a front end holds it today."""
    out: Readings = {}
    text = made.config_text(size)
    out["whole file"] = size_of(text.encode())
    packed = [
        msgspec.msgpack.encode([made.function_name(n), *made.function_line(n).values()]) for n in range(size)
    ]
    out["all functions' settings packed"] = size_of(b"".join(packed))
    out["whole file checked"] = ms(cpu_of(lambda: parse(text, "made", Config), 3))
    with Grown() as checked:
        config = parse(text, "made", Config)
    out["checked configuration"] = mb(checked)
    out["Catalogue made"] = ms(cpu_of(lambda: build_catalogue(config.site), 3))
    with Grown() as held:
        kept = build_catalogue(config.site)
    out["Catalogue"] = mb(held)
    out["Numbers made"] = ms(cpu_of(lambda: NumberedNames(FUNCTION_BITS, kept.functions), 3))
    with Grown() as numbered:
        numbers = NumberedNames(FUNCTION_BITS, kept.functions)
    assert numbers.number(made.function_name(0))
    out["Numbers"] = mb(numbered)
    with Grown() as bytes_only:
        held_packed = {made.function_name(n): packed[n] for n in range(size)}
    out["dict of names to packed settings, values shared"] = mb(bytes_only)
    del held_packed
    return out | whole()


# Front ends


def fronts(size: int) -> Readings:
    """What the leader does for so many front ends, beside the agents of the target."""
    out: Readings = {}
    agreed = made.fleet(size, AGENTS)
    state = agreed.fleet.state
    now = 1000 * SECOND
    watch = FleetMonitor(now, 5 * SECOND, AnalysisPolicy())
    bodies = [
        wire.encode(
            wire.Report(
                made.front_name(n),
                f"{n:012x}",
                applied_index=state.endpoints_index,
                call_counts=(9_000 + n, 17, 3, 8_990),
            )
        )
        for n in range(size)
    ]

    def report(body: bytes) -> bytes:
        """As `RequestHandler._record_report` does it."""
        said = wire.decode(body, wire.Report)
        figures = None if said.call_counts is None else CallCounts(*said.call_counts)
        known = watch.report(
            now, MemberReport(said.member, said.incarnation, said.applied_index, figures), state
        )
        return wire.encode(CommandReply(CommandResult(known, agreed.index)))

    def all_report() -> None:
        for body in bodies:
            report(body)

    out["report"] = size_of(bodies[-1])
    out["answer to a report"] = size_of(report(bodies[0]))
    out["report heard, without HTTP"] = us([v / size for v in cpu_of(all_report, 5)])
    for n in range(AGENTS):
        watch.report(now, MemberReport(made.worker_name(n), f"{n:012x}"), state)
    out["look of the leader"] = ms(cpu_of(lambda: watch.propose(now, state), 5))
    permit = made.taken_out(agreed, made.worker_name(0))
    clear = ConfirmPermit(permit, made.acted(size, agreed.index))
    data = encode(clear)
    out["Clear of one worker"] = size_of(data)
    out["Clear encoded"] = ms(cpu_of(lambda: encode(clear)))

    def apply() -> None:
        state.permits[permit].confirmed_index = 0
        agreed.index += 1
        assert agreed.fleet.apply(agreed.index, "", data).ok

    out["Clear applied at each keeper"] = ms(cpu_of(apply))
    before = len(agreed.fleet.snapshot())
    for n in range(1, PERMITS):
        other = made.taken_out(agreed, made.worker_name(n))
        assert agreed.do(ConfirmPermit(other, made.acted(size, agreed.index))).ok, other
    after = len(agreed.fleet.snapshot())
    out[f"state for {PERMITS} cleared permits more"] = Reading("bytes", [float(after - before)])
    return out | whole()


# Members, and what follows from their number


def members(size: int) -> Readings:
    """The state of so many members, a tenth of them in each zone."""
    out: Readings = {}
    agreed = made.fleet(size // 4, size - size // 4)
    state = agreed.fleet.state
    snapshot = agreed.fleet.snapshot()
    out["state of a fleet"] = size_of(snapshot)
    out["state made for one look of an agent"] = ms(cpu_of(agreed.fleet.snapshot, 3))
    out["state read by an agent at each look"] = ms(cpu_of(lambda: Fleet.restore(snapshot), 3))
    with Grown() as held:
        copy = Fleet.restore(snapshot)
    assert copy.state.index == state.index
    out["state at an agent"] = mb(held)
    watch = FleetMonitor(1000 * SECOND, 5 * SECOND, AnalysisPolicy())
    out["look of the leader, all heard of too long ago"] = ms(
        cpu_of(lambda: watch.propose(1006 * SECOND, state), 3)
    )
    lost = [n for n in range(size - size // 4) if n % len(made.ZONES) == 0][:20]
    gone = [encode(MarkUnresponsive(made.worker_name(n), f"{n:012x}")) for n in lost]
    back = [encode(MarkResponsive(made.worker_name(n), f"{n:012x}")) for n in lost]

    def zone() -> None:
        for data in (*gone, *back):
            agreed.index += 1
            assert agreed.fleet.apply(agreed.index, "", data).ok

    out["one member silent or heard, applied"] = us([v / (2 * len(lost)) for v in cpu_of(zone, 3)])
    return out | whole()


# Agreed commands


def commands(size: int) -> Readings:
    """The state with the whole file of so many functions kept, beside the members of the target."""
    out: Readings = {}
    agreed = made.fleet(900, 2_100)
    text = made.config_text(size).encode()
    data = encode(StoreVersion("v0", text))
    out["Keep of a whole file"] = size_of(data)

    def keep() -> None:
        agreed.index += 1
        assert agreed.fleet.apply(agreed.index, "", data).ok

    out["Keep applied at each keeper"] = ms(cpu_of(keep, 3))
    out["state with one version"] = size_of(agreed.fleet.snapshot())
    out["snapshot of one version"] = ms(cpu_of(agreed.fleet.snapshot, 3))
    for n in range(20):
        agreed.do(StoreVersion(f"v{n}", text + b" " * n))
    out["state with twenty versions"] = size_of(agreed.fleet.snapshot())
    out["snapshot of twenty versions"] = ms(cpu_of(agreed.fleet.snapshot, 3))
    answered = 0

    def enter() -> None:
        nonlocal answered
        for n in range(1000):
            answered += 1
            agreed.do(MarkResponsive(made.front_name(n % 900), f"{n % 900:012x}"), f"c-{answered}")

    out["small command applied"] = us([v / 1000 for v in cpu_of(enter, 3)])
    return out | whole()


@dataclass(frozen=True, slots=True)
class Axis:
    measure: Callable[[int], Readings]
    sizes: tuple[int, ...]
    small: tuple[int, ...]
    runs: int = 2  # processes for each size


AXES = {
    "workers": Axis(workers, (500, 2_750, 20_000, 110_000), (100, 200, 300, 400), 1),
    "functions": Axis(functions, (1_000, 10_000, 38_000, 80_000), (100, 200, 300, 400), 1),
    "fronts": Axis(fronts, (100, 300, 900, 1_800), (10, 20, 30, 40)),
    "members": Axis(members, (236, 1_000, 3_650, 20_000), (100, 200, 300, 400)),
    "commands": Axis(commands, (1_000, 10_000, 38_000, 80_000), (100, 200, 300, 400)),
}
