"""Functions that change while a front end runs, with a fake relay and with calls over sockets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import ConfigStore, Entry, Mutation
from walnutpost.daemon.dynamic_functions import MAX_DECODED_FUNCTIONS, DynamicFunctions
from walnutpost.gateway import Function
from walnutpost.http import Connection
from walnutpost.interface import RequestArrived, WorkersListed
from walnutpost.testsupport.daemon.config_fleet import (
    CLASS_NAMES,
    ConfigFleet,
    delete_function,
    function_entry,
    put_function,
)
from walnutpost.testsupport.daemon.fleet import INVOKE_PATH, SECOND
from walnutpost.testsupport.daemon.front_end_calls import EVENT, describe_execution


def test_changed_settings_apply_from_the_next_call_and_leave_router_state_unchanged(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        fleet.warm("reserve")
        router = fleet.front.dispatcher._gateway._router
        events: list[Any] = []
        handle = router.handle

        def record(now: int, event: Any) -> Any:
            events.append(event)
            return handle(now, event)

        router.handle = record  # type: ignore[method-assign]
        key = fleet.front.dispatcher._gateway._translator.functions.number("reserve")
        state = router.functions.by_key[key]
        copy_counts = {worker: copies.count for worker, copies in state.copies.items()}
        first = fleet.loop.spawn(fleet.invoke, "price")
        fleet.wait_until(lambda: fleet.runs("price") == 1)
        fleet.commit_and_wait(
            put_function("price", 2, lanes=7, memory_mb=512, load_ms=80, **{"class": "reservation"})
        )
        open_calls = fleet.front.dispatcher._gateway._calls.by_number.values()
        assert [(call.function.version, call.function.concurrency) for call in open_calls] == [("1", 2.0)]
        second = fleet.invoke("price")
        assert (second.status, second.headers["x-amz-executed-version"]) == (200, "2")
        assert (first.join().status, first.join().headers["x-amz-executed-version"]) == (200, "1")
        arrivals = [event for event in events if isinstance(event, RequestArrived)]
        arrival_settings = [
            (event.class_index, event.memory_mb, event.concurrency, event.load_time_us) for event in arrivals
        ]
        assert arrival_settings == [(0, 400, 2.0, 300_000), (1, 512, 7.0, 80_000)]
        assert not [event for event in events if isinstance(event, WorkersListed)]
        assert fleet.front.dispatcher._gateway._router is router
        assert router.functions.by_key[key] is state
        assert {worker: copies.count for worker, copies in state.copies.items()} == copy_counts
        assert fleet.warm("reserve") in {
            fleet.front.dispatcher._gateway._translator.workers.name(worker) for worker in copy_counts
        }

    fleet.run_script(script)


def test_removed_function_rejects_new_calls_and_completes_open_ones(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        sync = fleet.loop.spawn(fleet.invoke, "price")
        deferred = fleet.invoke("price", b"2", x_amz_invocation_type=EVENT)
        fleet.wait_until(lambda: fleet.runs("price") == 2)
        fleet.commit_and_wait(delete_function("price"))
        unknown = fleet.invoke("price")
        assert unknown.status == 404
        assert b"Function not found: price" in unknown.body
        assert fleet.invoke("price", x_amz_invocation_type=EVENT).status == 404
        assert sync.join().status == 200
        fleet.wait_until(lambda: describe_execution(fleet, deferred)["Status"] == "SUCCEEDED")
        assert fleet.invoked_version("reserve") == "1"
        assert fleet.runs("price") == 2
        fleet.commit_and_wait(put_function("price", 3))
        assert fleet.invoked_version("price") == "3"

    fleet.run_script(script)


def test_change_set_under_load_is_applied_atomically_without_failed_calls(tmp_path: Path) -> None:
    """Four clients continuously call two functions in turn while the versions of both change together."""
    fleet = ConfigFleet(tmp_path)
    observed: list[tuple[str, int]] = []

    def client(order: tuple[str, str], is_stopped: Callable[[], bool]) -> None:
        previous_version = 0
        connection = Connection.open(fleet.loop, fleet.front.address)
        while not is_stopped():
            for function in order:
                response = connection.request("POST", INVOKE_PATH.format(function), {}, b"1")
                assert response.status == 200, (function, response.status, response.body)
                version = int(response.headers["x-amz-executed-version"])
                assert version >= previous_version, (
                    "a change set was applied to one function but not to the other"
                )
                previous_version = version
                observed.append((function, version))
        connection.close()

    def script() -> None:
        stop_requests: list[bool] = []
        orders = [("left", "right"), ("right", "left")] * 2
        for name in ("left", "right"):
            fleet.invoke(name)
        clients = [fleet.loop.spawn(client, order, lambda: bool(stop_requests)) for order in orders]
        revision = 1
        for version in range(2, 42):  # every third change set is applied together with the two before it
            mutations = [put_function("left", version), put_function("right", version)]
            mutations.append(put_function("extra", version) if version % 2 else delete_function("extra"))
            revision = fleet.relay.commit(mutations)
            fleet.loop.sleep(37_000 if version % 3 == 0 else 0)
        fleet.wait_until(lambda: fleet.config_watch.watch_state.applied_revision == revision)
        fleet.loop.sleep(SECOND)
        stop_requests.append(True)
        for task in clients:
            task.join()
        assert fleet.invoked_version("left") == fleet.invoked_version("right") == "41"

    fleet.run_script(script)
    assert len({version for _, version in observed}) > 10


def test_configured_functions_apply_until_the_store_has_a_function(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path, has_stored_config=False)

    def script() -> None:
        assert fleet.invoked_version("left") == "1"
        assert len(fleet.front.catalogue.functions) == 5
        fleet.commit_and_wait(Mutation("tenant/tills", b"{}"))
        assert fleet.invoked_version("left") == "1"
        fleet.commit_and_wait(put_function("extra", 7))
        assert fleet.invoked_version("extra") == "7"
        assert fleet.invoke("left").status == 404
        assert list(fleet.front.catalogue.functions) == ["extra"]

    fleet.run_script(script)


def test_front_end_uses_both_a_control_plane_and_relays(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)
    fleet.watch_overrides = {"keepers": {"k1": "127.0.0.1:1"}}

    def script() -> None:
        assert fleet.front.fleet is not None
        assert fleet.front.fleet.follower.incarnation == fleet.config_watch.watch_state.incarnation
        fleet.commit_and_wait(put_function("left", 2))
        assert fleet.invoked_version("left") == "2"
        assert fleet.front.call_counter is not None
        assert fleet.front.call_counter.counts.served == 1

    fleet.run_script(script)


def test_functions_are_decoded_on_lookup_and_the_cache_is_bounded() -> None:
    functions = DynamicFunctions({}, CLASS_NAMES)
    entries_by_key = {
        FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(n), 1)
        for n in range(3 * MAX_DECODED_FUNCTIONS)
    }
    entries = ConfigStore.from_entries(entries_by_key, 1).entries
    functions.replace_all(entries, len(entries_by_key))
    assert functions.decoded_count == 0
    for n in range(3 * MAX_DECODED_FUNCTIONS):
        assert functions[f"f{n}"].version == str(n)
    assert functions.decoded_count == MAX_DECODED_FUNCTIONS
    cached = functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"]
    assert cached is functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"]
    assert isinstance(cached, Function)
    changed = entries.set(FUNCTION_PREFIX + "f1", Entry(FUNCTION_PREFIX + "f1", function_entry(77), 2))
    assert functions["f1"].version == "1"
    functions.replace_all(changed, len(entries_by_key))
    assert functions["f1"].version == "77"
    assert "unknown" not in functions
