"""What is reachable does not grow while functions, workers, clients and connections come and go."""

from __future__ import annotations

import gc
from types import CodeType, FrameType, FunctionType, ModuleType
from typing import Any

from walnutpost.gateway import (
    AnswerCaller,
    AttemptEnded,
    CallArrived,
    Catalogue,
    Effect,
    Function,
    Gateway,
    ListedWorker,
    LoadOrder,
    LoadOrderEnded,
    Send,
    SetTimer,
    TimerDue,
    WorkersListed,
)
from walnutpost.interface import ListKind, Outcome
from walnutpost.testsupport.node.harness import World, play
from walnutpost.testsupport.policy.harness import SECOND, SETTINGS

SHARED = (type, ModuleType, FunctionType, CodeType, FrameType)


def count_reachable(*roots: Any) -> int:
    """Objects that are reached from `roots`, the program's own text aside."""
    gc.collect()
    seen: dict[int, Any] = {}
    todo = list(roots)
    while todo:
        thing = todo.pop()
        if id(thing) not in seen and not isinstance(thing, SHARED):
            seen[id(thing)] = thing
            todo += gc.get_referents(thing)
    return len(seen)


class Day:
    """A gateway whose workers load what is ordered and answer at once; all are replaced each round."""

    def __init__(self) -> None:
        self.now, self.calls, self.served = 100 * SECOND, 0, 0
        self.gateway = Gateway(SETTINGS, Catalogue({}), 1)
        self.due: list[tuple[int, int]] = []
        self.copies: set[tuple[str, str]] = set()

    def feed(self, event: Any) -> None:
        todo: list[Effect] = self.gateway.handle(self.now, event)
        while todo:
            match todo.pop(0):
                case Send(call, attempt, worker, function):
                    there = Outcome.OK if (worker, function) in self.copies else Outcome.MISS
                    todo += self.gateway.handle(self.now, AttemptEnded(call, attempt, there, 1000))
                case LoadOrder(worker, function, copies):
                    self.copies.add((worker, function))
                    done = LoadOrderEnded(worker, function, Outcome.OK, 1000, copies)
                    todo += self.gateway.handle(self.now, done)
                case SetTimer(delay, token):
                    self.due.append((self.now + delay, token))
                case AnswerCaller():
                    self.served += 1

    def pass_time(self, span: int) -> None:
        until = self.now + span
        while self.due and min(self.due)[0] <= until:
            self.due.remove(first := min(self.due))
            self.now = max(self.now, first[0])
            self.feed(TimerDue(first[1]))
        self.now = until

    def round(self, number: int) -> None:
        names = tuple(ListedWorker(f"w{number}-{n}") for n in range(20))
        self.feed(WorkersListed(ListKind.FULL, number, names))
        for n in range(100):
            self.calls += 1
            of = Function(f"f{number}-{n}", 0, 300.0, 2.0)
            self.feed(CallArrived(self.calls, of.name, b"", 2 * SECOND, definition=of))
        self.pass_time(5 * SECOND)
        self.copies.clear()


def test_gateway_forgets_functions_and_workers_that_are_gone() -> None:
    day = Day()
    for number in range(20):
        day.round(number)
    early = count_reachable(day.gateway)
    for number in range(20, 60):
        day.round(number)
    assert day.served == day.calls == 6000
    assert (
        count_reachable(day.gateway) < 1.3 * early
    )  # names are looked through now and then: what is kept swings


def test_node_forgets_clients_workers_and_connections_that_are_gone() -> None:
    def script(world: World) -> None:
        node, count = world.node, 0

        def rounds(number: int) -> int:
            nonlocal count
            for _ in range(number):
                names = [{**w.target, "uid": f"{w.name}-{count}"} for w in world.workers]
                event = {"offset": count + 2, "topology": {"all": True, "targets": names}}
                node._apply_endpoints(
                    node.directory.apply_known_events({"offset": count + 2, "batch": [event]})
                )
                for n in range(10):
                    client = world.client()
                    for m in range(4):
                        client.send(f"{count:08x}{n:04x}{m:04x}")
                        assert client.next()[2] is None
                    client.stream.close()
                world.loop.sleep(12 * SECOND)
                count += 1
            for worker in world.workers:
                worker.got.clear()
                worker.streams.clear()
            world.log.lines.clear()
            return count_reachable(node, world.loop)

        early = rounds(10)
        assert rounds(20) < 1.3 * early

    play(script)
