"""The list of workers that front ends merge into their own."""

from __future__ import annotations

from walnutpost.fleet import (
    WORKER,
    EndpointAges,
    EndpointFollower,
    ListedEndpoint,
    RegisterMember,
    endpoint_snapshot,
)
from walnutpost.testsupport.fleet.state_machine_harness import (
    begin_drain,
    fleet_with,
)


def test_merge_given_an_own_list_adds_and_drains_workers_but_removes_none() -> None:
    harness = fleet_with()
    begin_drain(harness)
    own = [
        ListedEndpoint("w0", "127.0.0.1:9", "a", 0, False),
        ListedEndpoint("w1", "127.0.0.1:2", "a", 800, True),
        ListedEndpoint("own", "127.0.0.1:7", None, 0, False),
    ]
    follower = EndpointFollower("f0", "f0.1", True)
    assert follower.merge(own) == own
    harness.do(RegisterMember("w2", WORKER, "b", "w2.1", "v1"))  # without an address it cannot be called
    follower.receive(700, endpoint_snapshot(harness.fleet.state, 0, EndpointAges()), True)
    by_name = {w.name: w for w in follower.merge(own[1:])}
    assert set(by_name) == {"w0", "w1", "own"}
    assert by_name["w0"] == ListedEndpoint("w0", "127.0.0.1:1", "a", 700, True)
    assert by_name["w1"] == ListedEndpoint("w1", "127.0.0.1:2", "a", 800, True), "it drains by the own list"


def test_worker_age_when_clocks_of_machines_differ_is_the_same_for_a_process() -> None:
    """By a clock that is a day ahead, a worker would be warming up for a day; by a clock
    that is behind, its start would be overlooked."""
    harness, ages, follower = fleet_with(), EndpointAges(), EndpointFollower("f0", "f0.1", True)

    def started_at(front_end_us: int, replica_us: int) -> int:
        ages.observe(replica_us, harness.fleet.state)
        follower.receive(front_end_us, endpoint_snapshot(harness.fleet.state, replica_us, ages), True)
        return next(w.started_at_us for w in follower.merge([]) if w.name == "w0")

    ages.observe(100, harness.fleet.state)
    assert started_at(front_end_us=10**9, replica_us=5100) == 10**9 - 5000
    begin_drain(harness)
    ages = EndpointAges()  # of another replica, which has just started
    assert started_at(front_end_us=10**9 + 7000, replica_us=0) == 10**9 - 5000
    harness.do(RegisterMember("w0", WORKER, "a", "w0.2", "v1", address="127.0.0.1:1"))
    assert started_at(front_end_us=10**9 + 9000, replica_us=40) == 10**9 + 9000
