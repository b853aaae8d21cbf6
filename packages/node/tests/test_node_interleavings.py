"""Clients, workers, the list and signals in any order; the rules are checked from what the stand-ins saw."""

from __future__ import annotations

from functools import partial
from typing import Any

import msgpack
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from walnutpost.testsupport.node.harness import MS, Client, HeldConnections, Words, Worker, World, play, reply
from walnutpost.testsupport.node.harness import settings as with_settings

GRACE_US, GONE_US, BUDGET_US = 100 * MS, 100 * MS, 1_000 * MS
NEVER_RAN = ("full", "miss")
WAYS = ("good", "silent", "error", "full", "miss", "reset", "malformed", "twice")
METHODS = ("valuation", "reservation")
STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 2), st.sampled_from(METHODS)),
    st.tuples(st.just("leave"), st.integers(0, 2), st.sampled_from(("close", "reset", "interrupt"))),
    st.tuples(st.just("way"), st.integers(0, 1), st.sampled_from(WAYS)),
    st.tuples(st.just("list"), st.integers(0, 1), st.sampled_from(("Ready", "Terminating", "Gone"))),
    st.tuples(st.just("hold"), st.booleans(), st.none()),
    st.tuples(st.just("end"), st.none(), st.none()),
    st.tuples(st.just("sleep"), st.sampled_from((0, 1, 20, 90, 130, 400)), st.none()),
)


class Day:
    def __init__(self, world: World, held: HeldConnections) -> None:
        self.world, self.held = world, held
        self.ways = ["good", "good"]
        self.left_us: dict[bytes, int] = {}  # by id of a request
        self.told_us: dict[str, int] = {}  # since when a worker leaves
        self.arrivals: list[tuple[bytes, str, str, int]] = []  # id, class, how it was taken, when
        self.asked: list[tuple[Client, int, bytes, str]] = []
        self.clients: list[Client] = []
        self.ended = False
        for number, worker in enumerate(world.workers):
            worker.answer = partial(self.take, number, worker)

    def take(self, number: int, worker: Worker, words: Words) -> bytes | None:
        if words[0] != b"FN":
            return Worker.good(words)
        way, now = self.ways[number], self.world.loop.now()
        cls = words[2].split(b",")[0].decode()
        self.arrivals.append((words[1], cls, way, now))
        assert now <= self.told_us.get(worker.name, now) + GRACE_US + 5 * MS, "begun after the grace"
        assert now <= self.left_us.get(words[1], now) + GONE_US, "begun for a client that left"
        good = reply(words[1], b"OK", b"-", b"did " + words[3])
        return {
            "good": good,
            "silent": None,
            "error": reply(words[1], b"ERR"),
            "full": reply(words[1], b"BUSY"),
            "miss": reply(words[1], b"MISS"),
            "reset": b"",
            "malformed": b"*4\r\n$2\r\nzz",
            "twice": good + good,
        }[way]

    def client(self, number: int) -> Client:
        while len(self.clients) <= number or self.clients[number].stream.closed:
            if len(self.clients) <= number:
                self.clients.append(self.world.client())
            else:
                self.clients[number] = self.world.client()
        return self.clients[number]

    def step(self, what: str, one: Any, two: Any) -> None:
        world, now = self.world, self.world.loop.now()
        if what == "ask" and not self.ended:
            client = self.client(one)
            request = f"{len(self.asked):016x}"
            self.asked.append((client, client.send(method=two, rid=request), request.encode(), two))
        elif what == "leave" and one < len(self.clients) and not self.clients[one].stream.closed:
            client = self.clients[one]
            for other, number, rid, _ in self.asked:
                if other is client:
                    self.left_us.setdefault(rid, now)
                    if two == "interrupt":
                        client.raw(msgpack.packb([2, "interrupt", [number]]))
            if two != "interrupt":
                getattr(client.stream, two)()
        elif what == "way":
            self.ways[one] = two
        elif what == "list":
            name = world.workers[one].name
            if two == "Ready":
                self.told_us.pop(name, None)
            else:
                self.told_us.setdefault(name, now)
            targets = [{**world.workers[one].target, "state": two}]
            serial = world.node.directory.serial + 1
            event = {"offset": serial, "topology": {"all": False, "targets": targets}}
            world.node._apply_endpoints(
                world.node.directory.apply_known_events({"offset": serial, "batch": [event]})
            )
        elif what == "hold":
            self.held.is_holding = one
            if not one:
                self.held.come_up()
        elif what == "end" and not self.ended:
            self.ended = True
            world.loop.spawn(world.node.shut_down)
        elif what == "sleep":
            world.loop.sleep(one * MS)

    def check(self) -> None:
        """Every request that its client still waited for has one answer; nothing unsafe has run twice."""
        self.held.come_up()
        self.world.loop.sleep(BUDGET_US + 100 * MS)
        got: dict[tuple[int, int], int] = {}
        for client in {id(c): c for c, *_ in self.asked}.values():
            if not client.stream.closed:
                client.raw(msgpack.packb([0, 10_000, "check", [{}]])) if not self.ended else None
                while (answer := client.next()) is not None and answer[1] != 10_000:
                    key = id(client), answer[1]
                    got[key] = got.get(key, 0) + 1
        for client, number, rid, method in self.asked:
            count = got.get((id(client), number), 0)
            assert count <= 1 and (count == 1 or rid in self.left_us), "one final answer"
            ran = [way for id, _, way, _ in self.arrivals if id == rid and way not in NEVER_RAN]
            assert method == "valuation" or len(ran) <= 1, "no effect twice"


@settings(max_examples=60, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(steps=st.lists(STEPS, min_size=4, max_size=24))
def test_invariants_hold_in_any_order_of_events(steps: list[tuple[str, Any, Any]]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        held = HeldConnections(patch)

        def script(world: World) -> None:
            day = Day(world, held)
            for step in steps:
                day.step(*step)
            day.check()

        play(script, workers=2, settings=with_settings(Guarantees={"DrainGrace": GRACE_US}))
