"""An agent's decisions for the process in its care, without any process."""

from __future__ import annotations

import pytest

from walnutpost.fleet import (
    FRONT_END,
    Ask,
    Back,
    Began,
    Budget,
    Enter,
    Fleet,
    Keep,
    SetBudgets,
    Start,
    Unbegun,
)
from walnutpost.fleet.commands import Command, Halt, encode
from walnutpost.fleet.steward import (
    Answered,
    Due,
    Effect,
    Ended,
    EndIt,
    Launch,
    Phase,
    Ready,
    Request,
    Saw,
    Steward,
    Tell,
    Terms,
)

SECOND = 1_000_000
TERMS = Terms(begin_within=5 * SECOND, ready_within=10 * SECOND)


class Place:
    """One agent, its process and the agreed state; `bad` versions don't come up."""

    kind = FRONT_END

    def __init__(self, bad: tuple[str, ...] = ()) -> None:
        self.now, self.index, self.starts = 0, 0, 0
        self.bad, self.launched = bad, list[str]()
        self.told: list[Command] = []
        self.fleet = Fleet()
        self.steward = self.agent()
        for command in (SetBudgets((Budget(FRONT_END, most=1),)), Keep("v1", b""), Keep("v2", b"")):
            self.agree(command)
        self.do(self.steward.start(self.now))

    def agent(self) -> Steward:
        return Steward("agent-m", "m", self.kind, "a", "v1", TERMS, 1)

    def stands(self) -> Phase:
        return self.steward.phase

    def agree(self, command: Command) -> str:
        self.index += 1
        answer = self.fleet.apply(self.index, "", encode(command))
        return answer.permit if answer.done else f"no: {answer.why}"

    def do(self, effects: list[Effect], answer: bool = True) -> None:
        for effect in effects:
            match effect:
                case Launch(version):
                    self.launched.append(version)
                    self.starts += 1
                    if version in self.bad:
                        self.feed(Ended())
                    else:
                        self.feed(Ready(f"m.{self.starts}"))
                case EndIt():
                    self.feed(Ended())
                case Tell(command):
                    self.told.append(command)
                    self.agree(command)
                case Request(command) if answer:
                    told = self.agree(command)
                    self.feed(Answered("", told) if told.startswith("no") else Answered(told))

    def feed(self, event: object, answer: bool = True) -> None:
        self.do(self.steward.handle(self.now, event), answer)  # type: ignore[arg-type]

    def look(self, answer: bool = True) -> None:
        self.feed(Saw(self.fleet.state), answer)

    def pass_time(self, span: int) -> None:
        until = self.now + span
        while self.steward.due is not None and self.steward.due <= until:
            self.now = max(self.now, self.steward.due)
            self.feed(Due())
        self.now = until


def release(place: Place, back: str = "v1") -> None:
    place.agree(Start("r", ("m",), "v2", (1.0,), back))


def test_a_release_takes_the_process_to_the_new_version_under_a_permit() -> None:
    place = Place()
    release(place)
    place.look()
    assert place.launched == ["v1", "v2"] and place.steward.current == "v2" and place.steward.previous == "v1"
    assert [type(c) for c in place.told] == [Enter, Began, Back]
    assert not place.fleet.state.permits and place.fleet.state.plans["r"].done == ["m"]
    place.look()
    assert place.launched == ["v1", "v2"]


def test_a_version_that_does_not_come_up_is_left_by_itself_and_the_plan_learns_of_it() -> None:
    place = Place(bad=("v2",))
    release(place)
    place.look()
    place.pass_time(60 * SECOND)
    assert place.launched == ["v1", "v2", "v2", "v1"] and place.steward.phase is Phase.RUNNING
    assert place.fleet.state.plans["r"].ended.startswith("gone back") and not place.fleet.state.permits


def test_a_process_that_is_not_ready_in_time_is_ended_like_one_that_broke() -> None:
    place = Place()
    release(place)
    effects = place.steward.handle(place.now, Saw(place.fleet.state))
    assert isinstance(effects[0], Request)
    permit = place.agree(effects[0].command)
    place.steward.handle(place.now, Answered(permit))
    place.steward.handle(place.now, Ended())
    place.now += TERMS.ready_within
    assert EndIt() in place.steward.handle(place.now, Due())


def test_a_crashed_process_is_started_again_with_growing_pauses() -> None:
    place = Place()
    pauses = []
    for _ in range(8):
        place.feed(Ended())
        due = place.steward.due
        assert due is not None
        pauses.append(due - place.now)
        place.pass_time(due - place.now)
    assert pauses == [min(500_000 * 2**n, 30 * SECOND) for n in range(8)]
    place.pass_time(31 * SECOND)
    place.feed(Ended())
    assert place.steward.due == place.now + 500_000
    assert {type(c) for c in place.told} == {Enter}


@pytest.mark.parametrize(("late", "begins"), [(4 * SECOND, True), (6 * SECOND, False)])
def test_an_answer_that_comes_too_late_begins_nothing_and_gives_the_permit_back(
    late: int, begins: bool
) -> None:
    place = Place()
    release(place)
    place.look(answer=False)
    permit = place.agree(Ask("m", "agent-m", "to v2", "r"))
    place.now += late
    place.feed(Answered(permit))
    assert (place.launched == ["v1", "v2"]) is begins
    assert [type(c) for c in place.told[1:]] == ([Began, Back] if begins else [Unbegun])
    assert not place.fleet.state.permits


def test_a_halt_lets_nothing_be_asked_and_a_denial_is_asked_again_later() -> None:
    place = Place()
    release(place)
    place.agree(Halt("stop"))
    place.look()
    assert place.launched == ["v1"]
    place = Place()
    place.agree(Enter("n", FRONT_END, "b", "n.1"))
    other = place.agree(Ask("n", "agent-n", "by hand"))
    release(place)
    place.look()
    place.look()
    assert place.launched == ["v1"] and "m" not in {p.member for p in place.fleet.state.permits.values()}
    place.agree(Back(other, "agent-n", "n.2"))
    place.now += 2 * TERMS.ask_again
    place.look()
    assert place.launched == ["v1", "v2"]


def test_an_agent_that_was_restarted_gives_its_permit_back_once_its_process_is_up() -> None:
    place = Place()
    place.agree(Ask("m", "agent-m", "by hand"))
    place.steward, place.told = place.agent(), []
    place.do(place.steward.start(place.now))
    place.look()
    assert [type(c) for c in place.told] == [Enter, Back] and not place.fleet.state.permits


def test_a_process_that_ends_while_the_answer_is_under_way_is_not_taken_for_stopped() -> None:
    place = Place()
    release(place)
    place.look(answer=False)
    permit = place.agree(Ask("m", "agent-m", "to v2", "r"))
    place.feed(Ended())
    place.feed(Answered(permit))
    assert [type(c) for c in place.told[1:]] == [Unbegun] and place.steward.phase is Phase.PAUSING
    place.pass_time(SECOND)
    place.look()
    assert place.launched == ["v1", "v1", "v2"]
