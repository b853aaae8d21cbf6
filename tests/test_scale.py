"""The measuring tool itself: what it refuses, and what made fleets and messages hold. No time is tested."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from msgspec import to_builtins

from benchmarks.scale import hollow, made
from benchmarks.scale.__main__ import ALL, run, table
from benchmarks.scale.axes import AXES
from benchmarks.scale.followers import delays, parts, spread
from benchmarks.scale.machine import about
from benchmarks.scale.slopes import TooFewSizes, slope
from walnutpost.config import Config, parse
from walnutpost.config.entries import encode_site
from walnutpost.configstore import ConfigStore, Mutation, WatchRequest
from walnutpost.controlplane import wire
from walnutpost.controlplane.wire import CommandReply
from walnutpost.eventloop import Loop
from walnutpost.fleet import ConfirmPermit, Fleet, encode, endpoint_snapshot
from walnutpost.http import Exchange, Response
from walnutpost.http.server import start_server
from walnutpost.watch import WatchServer


def test_a_line_has_its_slope_and_an_exponent_of_one() -> None:
    found = slope("x", {n: [3.0 * n] * 3 for n in (10, 20, 40, 80)})
    assert found.each == pytest.approx(3.0)
    assert found.low <= 3.0 + 1e-9
    assert found.high >= 3.0 - 1e-9
    assert found.exponent == pytest.approx(1.0)
    assert found.last == pytest.approx(1.0)


def test_a_square_shows_its_bend() -> None:
    found = slope("x", {n: [float(n * n)] for n in (10, 20, 40, 80)})
    assert found.exponent == pytest.approx(2.0)
    assert found.stderr > 1


def test_a_constant_has_no_slope_and_values_of_zero_have_no_exponent() -> None:
    assert slope("x", {n: [7.0] for n in (1, 2, 3, 4)}).each == 0
    assert slope("x", {n: [float(n - 1)] for n in (1, 2, 3, 4)}).exponent is None


@pytest.mark.parametrize("sizes", [[], [5], [1, 2, 3]])
def test_too_few_sizes_get_no_slope(sizes: list[int]) -> None:
    with pytest.raises(TooFewSizes, match=rf"found {len(sizes)} sizes .*wanted 4"):
        slope("bytes", {size: [1.0, 2.0] for size in sizes})


def test_the_same_size_four_times_is_one_size_and_nothing_is_measured() -> None:
    with pytest.raises(TooFewSizes, match=r"workers: found 1 sizes \[5\]; wanted 4"):
        run("workers", [5, 5, 5, 5], 1)


def test_a_size_without_values_does_not_count() -> None:
    with pytest.raises(TooFewSizes):
        slope("x", {1: [1.0], 2: [1.0], 3: [1.0], 4: []})


def test_every_axis_has_four_sizes_small_and_large() -> None:
    for line in ALL.values():
        assert len(set(line.sizes)) >= 4
        assert len(set(line.small)) >= 4


@pytest.mark.parametrize("axis", sorted(AXES))
def test_the_smallest_size_of_an_axis_gives_all_readings(axis: str) -> None:
    found = AXES[axis].measure(AXES[axis].small[0])
    assert found
    assert all(reading.values and reading.unit for reading in found.values())


def test_bytes_are_the_same_at_every_run() -> None:
    one, two = (AXES["members"].measure(40) for _ in range(2))
    sizes = {name: reading.values for name, reading in one.items() if reading.unit == "bytes"}
    assert sizes == {name: reading.values for name, reading in two.items() if reading.unit == "bytes"}
    assert sizes["state of a fleet"][0] > 40 * 100


def test_a_made_fleet_has_its_members_in_ten_zones_and_its_list_names_each_worker() -> None:
    agreed = made.fleet(20, 30)
    state = agreed.fleet.state
    assert len(state.members) == 50
    assert len({m.zone for m in state.members.values()}) == 10
    assert sum(m.follows_endpoints for m in state.members.values()) == 20
    sight = endpoint_snapshot(state, 0, made.ages(agreed))
    assert len(sight.workers) == 30
    assert sight.index == state.endpoints_index == agreed.index
    assert wire.decode(wire.encode(CommandReply(endpoints=sight)), CommandReply).endpoints == sight


def test_the_list_grows_by_as_many_bytes_for_each_worker() -> None:
    def sent(workers: int) -> int:
        agreed = made.fleet(0, workers)
        return len(
            wire.encode(CommandReply(endpoints=endpoint_snapshot(agreed.fleet.state, 0, made.ages(agreed))))
        )

    assert 55 < (sent(400) - sent(200)) / 200 < 75


def test_a_worker_is_cleared_by_every_front_end_and_the_state_keeps_who_said_so() -> None:
    agreed = made.fleet(10, 20)
    permit = made.taken_out(agreed, made.worker_name(3))
    assert not agreed.do(ConfirmPermit(permit, made.acted(9, agreed.index))).ok
    clear = ConfirmPermit(permit, made.acted(10, agreed.index))
    assert agreed.do(clear).ok
    assert len(agreed.fleet.state.permits[permit].acknowledgements) == 10
    more = len(encode(ConfirmPermit(permit, made.acted(20, agreed.index)))) - len(encode(clear))
    assert 25 <= more / 10 <= 45
    again = Fleet.restore(agreed.fleet.snapshot())
    assert again.snapshot() == agreed.fleet.snapshot()


def test_a_made_configuration_is_one_that_a_front_end_takes() -> None:
    config = parse(made.config_text(40, 3), "made", Config)
    assert len(config.site.functions) == 40
    assert len(config.front.workers) == 3
    assert len(config.site.tenants) == 400
    assert config.front.front_ends == 900


def test_a_run_says_where_it_ran() -> None:
    told = about()
    assert {"cores", "memory_gb", "processor", "python", "commit", "dirty"} <= told.keys()
    assert told["cores"]
    assert told["commit"]


def test_a_table_shows_each_quantity_with_its_spread() -> None:
    by_size = {n: [2.0 * n, 2.0 * n + 4, 2.0 * n - 4] for n in (10, 20, 40, 80)}
    measured = {str(n): values for n, values in by_size.items()}
    found = {"thing": {"unit": "ms", "measured": measured, "slope": to_builtins(slope("thing", by_size))}}
    text = table("axis", found)
    assert "| thing | ms | 20 | 40 | 80 | 160 | 156 to 164 | 2 ± " in text
    assert "1.00 ± 0.00" in text


# Followers


def test_the_time_until_a_change_is_acted_on_counts_from_its_order() -> None:
    changed = [(5, 10.0, 10.2), (7, 11.0, 11.1), (9, 12.0, 12.1)]
    assert delays(changed, [(5, 10.5), (8, 11.25)]) == [0.5, 0.25, float("inf")]
    assert delays(changed, [(9, 12.5)]) == [2.5, 1.5, 0.5]
    assert delays(changed, []) == [float("inf")] * 3


def test_quantiles_are_of_values_that_were_seen() -> None:
    values = [n / 1000 for n in range(1000)]
    assert spread(values) == {"p50": 0.5, "p99": 0.99, "p999": 0.999, "max": 0.999, "n": 1000}
    assert spread([2.0])["p999"] == 2.0


class RequestRecorder:
    """Records the requests of the members of a watch server."""

    def __init__(self) -> None:
        self.requests: list[WatchRequest] = []

    def member_requested(self, request: WatchRequest) -> None:
        self.requests.append(request)

    def member_disconnected(self, last_request: WatchRequest) -> None:
        pass


def test_hollow_members_act_on_each_change_by_one_encoded_page(monkeypatch: pytest.MonkeyPatch) -> None:
    """The real watch over real sockets: what is sent, held and told, and that it is the same at all."""
    monkeypatch.setattr(hollow, "SPREAD", 1)
    loop, table, recorder = Loop(), ConfigStore(), RequestRecorder()
    said = recorder.requests
    values = encode_site(made.config(40).site)
    table.propose(1, [Mutation(key, value) for key, value in values.items()])
    server = WatchServer(loop, lambda: table, lambda: 0, recorder, batch_interval_us=0)

    def serve(exchange: Exchange) -> Response:
        return server.handle(exchange.request.body)

    def until(ready: Callable[[], bool]) -> None:
        with loop.timeout(20_000_000):
            while not ready():
                loop.sleep(5_000)

    def script() -> None:
        at = "{}:{}".format(*start_server(loop, ("127.0.0.1", 0), serve, lambda e: Response(400)).address)
        kept = ConfigStore.restore(table.snapshot())
        members = [hollow.Member(loop, f"h{n}", {"r1": at}, kept, hollow.Quiet()) for n in range(12)]
        tasks = [loop.spawn(member.run) for member in members]
        until(lambda: server.waiting == 12)
        encoded, answered = server.counts.pages_encoded, server.counts.responses
        assert answered == 0
        key = next(key for key in values if key.startswith("function/"))
        for revision in (2, 3):
            table.propose(revision, [Mutation(key, values[key])])
            server.store_changed()
            until(
                lambda: server.waiting == 12
                and all(m.follower.applied_revision == table.revision for m in members)
            )
        assert server.counts.pages_encoded - encoded == 2
        assert server.counts.responses == 24
        assert server.counts.response_bytes < 24 * 400
        told = [member.told() for member in members]
        assert {t["digest"] for t in told} == {table.digest}
        assert {t["entries"] for t in told} == {len(values)}
        assert {t["revision"] for t in told} == {3}
        assert [[revision for revision, _ in t["acted"]] for t in told] == [[2, 3]] * 12
        assert {question.member for question in said} == {f"h{n}" for n in range(12)}
        assert {question.applied_revision for question in said if question.revision == 3} == {3}
        assert {t["moves"] for t in told} == {0}
        for task in tasks:
            task.cancel()

    loop.run(script)


def test_a_fleet_of_any_size_is_told_in_change_sets_that_may_enter() -> None:
    values = encode_site(made.config(3000).site)
    sets = list(parts(values))
    assert {op.key for ops in sets for op in ops} == set(values)
    table = ConfigStore()
    for revision, ops in enumerate(sets, 1):
        table.propose(revision, ops)
    assert len(table.entries) == len(values) == 3402
