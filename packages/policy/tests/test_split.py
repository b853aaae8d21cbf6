"""The policy in files of its own decides as the one file did: the same actions for the same events.

Kept, with former_rules.py, until the landing after the split.
"""

from __future__ import annotations

from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import former_rules
from rig import SECOND, SETTINGS, worker
from test_properties import RATIONED, SITES, STEP, Referee
from walnutpost import interface as api
from walnutpost.policy import Router

THIN = replace(RATIONED, front_ends=60, index=7, report_fields=("busy",), must_ask_list=True)


class Both:
    """Two routers that see the same; raises where their actions differ."""

    def __init__(self, site: api.Settings, seed: int) -> None:
        self._now, self._former = Router(site, seed), former_rules.Router(site, seed)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        actions = self._now.handle(now, event)
        assert repr(actions) == repr(self._former.handle(now, event)), f"at {now}: {event}"
        assert list(map(set, self._now.named())) == list(map(set, self._former.named()))
        return actions


@settings(max_examples=100)
@given(SITES, st.integers(0, 1000), st.lists(STEP, min_size=20, max_size=150))
def test_any_order_of_events(site: api.Settings, seed: int, steps: list[tuple[str, int, int]]) -> None:
    referee = Referee(site, seed)
    both: Any = Both(site, seed)
    both.handle(referee.rig.now, api.WorkersListed(api.ListKind.CACHED, 1, tuple(map(worker, range(1, 5)))))
    referee.rig.router = both
    for step in steps:
        referee.step(*step)


class Day:
    """A small fleet that answers: copies load in their time, workers fall silent, drain, come back, fail."""

    def __init__(self, site: api.Settings, seed: int) -> None:
        self.random, self.router, self.events = Random(seed), Both(site, seed), 0
        self.due: list[tuple[int, int, api.Event]] = []
        self.copies: dict[tuple[int, int], int] = {}  # worker and function -> stands from
        self.silent: set[int] = set()
        self.state = dict.fromkeys(range(1, 13), api.WorkerState.READY)
        self.number: dict[int, int] = {}
        self.now = 100 * SECOND

    def at(self, after: float, event: api.Event) -> None:
        self.events += 1
        heappush(self.due, (self.now + int(after), self.events, event))

    def listed(self, kind: api.ListKind) -> api.Event:
        return api.WorkersListed(kind, 1, tuple(worker(w, s) for w, s in self.state.items()))

    def carry_out(self, action: api.Action) -> None:
        roll = self.random.random()
        match action:
            case api.Send(rid, wid, timeout):
                number = self.number[rid] = self.number.get(rid, -1) + 1
                stands = self.copies.get((wid, rid % 17))
                outcome, took = api.Outcome.OK, 20_000 + roll * 400_000
                if wid in self.silent:
                    outcome, took = [(api.Outcome.TIMEOUT, timeout), (api.Outcome.RESET, 1000)][roll < 0.3]
                elif stands is None or stands > self.now:
                    outcome, took = api.Outcome.MISS, 1000
                elif roll > 0.9:
                    outcome = list(api.Outcome)[int(roll * 1000) % len(api.Outcome)]
                ok = outcome is api.Outcome.OK
                report = (roll,) if outcome in (api.Outcome.OK, api.Outcome.FULL) else ()
                self.at(
                    took,
                    api.AttemptEnded(rid, number, wid, outcome, int(took), ok, api.Warmth(1), 0, report),
                )
            case api.Hold(wid, function, copies) if wid not in self.silent:
                stands = self.copies.get((wid, function))
                took = 1000.0 if not copies or stands else 300_000 + roll * SECOND
                if copies and not stands and roll < 0.9:
                    self.copies[wid, function] = self.now + int(took)
                good = bool(self.copies.get((wid, function), 0))
                outcome = api.Outcome.OK if good or not copies else api.Outcome.FULL
                self.at(took, api.HoldEnded(wid, function, outcome, int(took), int(good)))
            case api.SetTimer(delay, token):
                self.at(delay, api.TimerDue(token))

    def run(self, requests: int) -> int:
        self.at(0, self.listed(api.ListKind.CACHED))
        for rid in range(requests):
            budget = self.random.choice((400_000, 1_300_000, 3 * SECOND))
            arrived = api.RequestArrived(
                rid, rid % 3, 0, rid % 17, budget, None, 100.0, 2, SECOND // 2, False
            )
            self.at(rid * 12_000 + self.random.random() * 10_000, arrived)
        while self.due:
            self.now, _, event = heappop(self.due)
            for action in self.router.handle(self.now, event):
                self.carry_out(action)
            if self.random.random() < 0.004:
                wid = self.random.randrange(1, 13)
                if self.random.random() < 0.5:
                    self.silent ^= {wid}
                else:
                    self.state[wid] = self.random.choice(list(api.WorkerState))
                    self.at(0, self.listed(self.random.choice((api.ListKind.FULL, api.ListKind.DELTA))))
        return self.events


@pytest.mark.parametrize("site", [SETTINGS, RATIONED, THIN])
def test_whole_days(site: api.Settings) -> None:
    assert sum(Day(site, seed).run(800) for seed in range(3)) > 6_000
