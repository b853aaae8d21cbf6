"""The number of reachable objects stays bounded while functions, workers, clients and connections change."""

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
from walnutpost.testsupport.node.harness import NodeHarness, run_scenario
from walnutpost.testsupport.policy.harness import SECOND_US, SETTINGS

EXCLUDED_TYPES = (type, ModuleType, FunctionType, CodeType, FrameType)


def count_reachable(*roots: Any) -> int:
    """Count the objects reachable from `roots`, except for classes, modules, functions, code and frames."""
    gc.collect()
    seen: dict[int, Any] = {}
    pending = list(roots)
    while pending:
        obj = pending.pop()
        if id(obj) not in seen and not isinstance(obj, EXCLUDED_TYPES):
            seen[id(obj)] = obj
            pending += gc.get_referents(obj)
    return len(seen)


class GatewaySimulation:
    """A gateway whose workers load and answer at once; each round replaces all workers and functions."""

    def __init__(self) -> None:
        self.now, self.calls, self.served = 100 * SECOND_US, 0, 0
        self.gateway = Gateway(SETTINGS, Catalogue({}), 1)
        self.timers: list[tuple[int, int]] = []
        self.loaded_copies: set[tuple[str, str]] = set()

    def handle(self, event: Any) -> None:
        effects: list[Effect] = self.gateway.handle(self.now, event)
        while effects:
            match effects.pop(0):
                case Send(call, attempt, worker, function):
                    outcome = Outcome.OK if (worker, function) in self.loaded_copies else Outcome.MISS
                    effects += self.gateway.handle(self.now, AttemptEnded(call, attempt, outcome, 1000))
                case LoadOrder(worker, function, copies):
                    self.loaded_copies.add((worker, function))
                    load_order_ended = LoadOrderEnded(worker, function, Outcome.OK, 1000, copies)
                    effects += self.gateway.handle(self.now, load_order_ended)
                case SetTimer(delay, token):
                    self.timers.append((self.now + delay, token))
                case AnswerCaller():
                    self.served += 1

    def advance(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.timers and min(self.timers)[0] <= end:
            self.timers.remove(earliest := min(self.timers))
            self.now = max(self.now, earliest[0])
            self.handle(TimerDue(earliest[1]))
        self.now = end

    def run_round(self, number: int) -> None:
        listed_workers = tuple(ListedWorker(f"w{number}-{index}") for index in range(20))
        self.handle(WorkersListed(ListKind.FULL, number, listed_workers))
        for index in range(100):
            self.calls += 1
            function_definition = Function(f"f{number}-{index}", 0, 300.0, 2.0)
            self.handle(
                CallArrived(
                    self.calls, function_definition.name, b"", 2 * SECOND_US, definition=function_definition
                )
            )
        self.advance(5 * SECOND_US)
        self.loaded_copies.clear()


def test_gateway_drops_the_state_of_removed_functions_and_workers() -> None:
    simulation = GatewaySimulation()
    for number in range(20):
        simulation.run_round(number)
    baseline = count_reachable(simulation.gateway)
    for number in range(20, 60):
        simulation.run_round(number)
    assert simulation.served == simulation.calls == 6000
    # Unused names are removed in periodic sweeps, so the count fluctuates.
    assert count_reachable(simulation.gateway) < 1.3 * baseline


def test_node_drops_the_state_of_removed_clients_workers_and_connections() -> None:
    def scenario(harness: NodeHarness) -> None:
        node, count = harness.node, 0

        def run_rounds_and_count(rounds: int) -> int:
            nonlocal count
            for _ in range(rounds):
                listed_workers = [
                    {**worker.target, "uid": f"{worker.name}-{count}"} for worker in harness.workers
                ]
                event = {"offset": count + 2, "topology": {"all": True, "targets": listed_workers}}
                node._apply_endpoints(
                    node.directory.apply_known_events({"offset": count + 2, "batch": [event]})
                )
                for client_number in range(10):
                    client = harness.client()
                    for request_number in range(4):
                        client.send(f"{count:08x}{client_number:04x}{request_number:04x}")
                        assert client.next_answer()[2] is None
                    client.stream.close()
                harness.loop.sleep(12 * SECOND_US)
                count += 1
            for worker in harness.workers:
                worker.received_commands.clear()
                worker.streams.clear()
            harness.log.lines.clear()
            return count_reachable(node, harness.loop)

        baseline = run_rounds_and_count(10)
        assert run_rounds_and_count(20) < 1.3 * baseline

    run_scenario(scenario)
