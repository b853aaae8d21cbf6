"""The outcome of a load order is true in any order of events (property test)."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from itertools import chain
from typing import Any

import pytest
from hypothesis import HealthCheck, example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from walnutpost.gateway import LoadOrder
from walnutpost.interface import Outcome
from walnutpost.node.worker_connection import WorkerConnection
from walnutpost.testsupport.node.harness import MS, SECOND, HeldConnections, Words, Worker, World, play, reply
from walnutpost.testsupport.node.worker_fixtures import (
    LATE_US,
    NEVER_ARRIVED,
    ORDER_TIMEOUT_US,
    ORDERED,
    PART,
    PLENTY,
)

STEPS = st.one_of(
    st.tuples(st.just("order"), st.sampled_from((0, 0, 50 * MS))),
    st.tuples(st.just("room"), st.sampled_from((PART, PLENTY))),
    st.tuples(st.just("sleep"), st.sampled_from((250, 30, 1))),
    st.tuples(st.sampled_from(("speak", "call", "leave")), st.none()),
    st.tuples(st.just("way"), st.sampled_from(("good", "silent", "reset", "noise", "half", "twice"))),
    st.one_of(
        st.tuples(st.just("break"), st.sampled_from(("close", "reset"))),
        st.tuples(st.sampled_from(("hold", "list")), st.booleans()),
    ),
)


ORDER_IN_PART = (
    st.tuples(  # an order that the kernel takes a part of, and what comes before the rest could leave
        st.just(("room", PART)),
        st.tuples(st.just("order"), st.just(0)),
        STEPS,
        st.one_of(STEPS, st.just(("speak", None))),
        st.tuples(st.just("sleep"), st.sampled_from((1, 250))),
        st.just(("room", PLENTY)),
    )
)


EPISODES = st.lists(
    st.one_of(st.tuples(STEPS), st.tuples(STEPS, STEPS), ORDER_IN_PART), min_size=3, max_size=8
)


REST_LEAVES_LATE = (
    ("room", PART),
    ("order", 0),
    ("sleep", 30),
    ("speak", None),
    ("sleep", 250),
    ("room", PLENTY),
)


class OrderDay:
    """Plays steps, and keeps each order's outcomes and when the worker got it."""

    def __init__(self, world: World, patch: pytest.MonkeyPatch, held: HeldConnections) -> None:
        self.world, self.worker, self._held = world, world.workers[0], held
        self._way, self._room = "good", PLENTY
        self._address = dict(world.node.pool._addresses)
        self.outcomes: dict[bytes, list[tuple[int, Outcome]]] = {}
        self.arrivals: dict[bytes, list[int]] = {}
        self._clients: list[Any] = []
        self.worker.answer = self._answer
        self._throttle(patch)
        limits = replace(world.node.pool.limits, max_connections=1, order_timeout_us=ORDER_TIMEOUT_US)
        world.node.pool.limits = limits

    def _throttle(self, patch: pytest.MonkeyPatch) -> None:
        """All connections share the room; a blocked one looks again each 5 ms."""
        init, day = WorkerConnection.__init__, self

        def made(connection: WorkerConnection, *args: Any) -> None:
            init(connection, *args)
            send, watch = connection.stream.send_now, connection.stream.on_writable

            def take(data: bytes) -> bytes:
                count = min(day._room, len(data))
                if day._room < PLENTY:
                    day._room -= count
                return (send(data[:count]) if count else b"") + data[count:]

            def look_again(callback: Callable[[], object] | None) -> None:
                if connection.is_connected and callback is not None:
                    day.world.loop.call_later(5 * MS, callback)
                else:
                    watch(callback)

            connection.stream.send_now = take  # type: ignore[method-assign]
            connection.stream.on_writable = look_again  # type: ignore[method-assign]

        patch.setattr(WorkerConnection, "__init__", made)

    def _answer(self, words: Words) -> bytes | None:
        if words[0] == b"SPAWN" and ORDERED.encode() in words[2]:
            self.arrivals.setdefault(words[1], []).append(self.world.loop.now())
        good = Worker.good(words)
        ways = {"good": good, "silent": None, "reset": b"", "noise": b"noise\r\n"}
        ways |= {"half": (good or b"")[:15] or None, "twice": good and good + good}
        return ways[self._way]

    def _order(self, latest: int) -> None:
        pool = self.world.node.workers
        tag = b"t%d" % (pool._last_id + 1)
        ends = self.outcomes.setdefault(tag, [])
        effect = LoadOrder(self.worker.name, ORDERED, 1, latest)
        pool.order_load(effect, lambda done: ends.append((self.world.loop.now(), done.outcome)))

    def step(self, what: str, how: Any) -> None:
        match what:
            case "order":
                self._order(how)
            case "call":
                self._clients.append(self.world.client())
                self._clients[-1].send()
            case "leave" if self._clients:
                self._clients.pop().stream.close()
            case "room":
                self._room = how
            case "way":
                self._way = how
            case "speak":
                for stream in self.worker.streams:
                    with suppress(OSError):
                        stream.send_all(reply(b"0" * 16, b"OK"))
            case "break":
                for stream in self.worker.streams:
                    getattr(stream, how)()
            case "hold":
                self._held.is_holding = how
                if not how:
                    self._held.come_up()
            case "list":
                self.world.node.pool.update_addresses(self._address if how else {})
            case "sleep":
                self.world.loop.sleep(how * MS)

    def check(self) -> None:
        self._room = PLENTY
        self._held.come_up()
        self.world.loop.sleep(3 * SECOND)
        for tag, ends in self.outcomes.items():
            assert len(ends) == 1, "one outcome for each order"
            (at, outcome), arrivals = ends[0], self.arrivals.get(tag, [])
            assert len(arrivals) <= 1, "an order is not sent twice"
            assert not arrivals or outcome not in NEVER_ARRIVED, "reported as never arrived"
            if outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
                assert arrivals, "reported as answered"
            # The stand-in reads at once: what arrives later has left this process later.
            assert all(arrival <= at + LATE_US for arrival in arrivals), "left after its outcome was told"


@hypothesis_settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(episodes=EPISODES)
@example(episodes=[REST_LEAVES_LATE])
def test_load_order_outcome_is_true_in_any_order_of_events(
    episodes: list[tuple[tuple[str, Any], ...]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        held = HeldConnections(patch)

        def script(world: World) -> None:
            day = OrderDay(world, patch, held)
            for step in chain.from_iterable(episodes):
                day.step(*step)
            day.check()

        play(script, workers=1)
