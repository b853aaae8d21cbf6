"""Functions that change while a front end runs: a fake relay on the same loop, real calls over sockets."""

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
    CLASSES,
    ConfigFleet,
    delete_function,
    function_entry,
    put_function,
)
from walnutpost.testsupport.daemon.fleet import INVOKE, SECOND
from walnutpost.testsupport.daemon.front_end_calls import EVENT, describe_execution


def test_new_settings_apply_from_the_next_call_and_change_nothing_else(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        f.warm("reserve")
        router = f.front.dispatcher._gateway._router
        events: list[Any] = []
        handle = router.handle

        def record(now: int, event: Any) -> Any:
            events.append(event)
            return handle(now, event)

        router.handle = record  # type: ignore[method-assign]
        key = f.front.dispatcher._gateway._translator.functions.number("reserve")
        state = router.functions.by_key[key]
        copy_counts = {w: copies.count for w, copies in state.copies.items()}
        first = f.loop.spawn(f.invoke, "price")
        f.until(lambda: f.runs("price") == 1)
        f.change(put_function("price", 2, lanes=7, memory_mb=512, load_ms=80, **{"class": "reservation"}))
        open_calls = f.front.dispatcher._gateway._calls.by_number.values()
        assert [(copies.function.version, copies.function.concurrency) for copies in open_calls] == [
            ("1", 2.0)
        ]
        second = f.invoke("price")
        assert (second.status, second.headers["x-amz-executed-version"]) == (200, "2")
        assert (first.join().status, first.join().headers["x-amz-executed-version"]) == (200, "1")
        arrivals = [e for e in events if isinstance(e, RequestArrived)]
        response = [(e.class_index, e.memory_mb, e.concurrency, e.load_time_us) for e in arrivals]
        assert response == [(0, 400, 2.0, 300_000), (1, 512, 7.0, 80_000)]
        assert not [e for e in events if isinstance(e, WorkersListed)]
        assert f.front.dispatcher._gateway._router is router
        assert router.functions.by_key[key] is state
        assert {w: copies.count for w, copies in state.copies.items()} == copy_counts
        assert f.warm("reserve") in {
            f.front.dispatcher._gateway._translator.workers.name(w) for w in copy_counts
        }

    f.play(script)


def test_removed_function_rejects_new_calls_as_unknown_and_open_ones_end(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        sync = f.loop.spawn(f.invoke, "price")
        deferred = f.invoke("price", b"2", x_amz_invocation_type=EVENT)
        f.until(lambda: f.runs("price") == 2)
        f.change(delete_function("price"))
        unknown = f.invoke("price")
        assert unknown.status == 404
        assert b"Function not found: price" in unknown.body
        assert f.invoke("price", x_amz_invocation_type=EVENT).status == 404
        assert sync.join().status == 200
        f.until(lambda: describe_execution(f, deferred)["Status"] == "SUCCEEDED")
        assert f.invoked_version("reserve") == "1"
        assert f.runs("price") == 2
        f.change(put_function("price", 3))
        assert f.invoked_version("price") == "3"

    f.play(script)


def test_change_set_under_load_is_seen_atomically_and_loses_no_call(tmp_path: Path) -> None:
    """Four clients call two functions in turn all the time, whose versions change together."""
    f = ConfigFleet(tmp_path)
    observed: list[tuple[str, int]] = []

    def client(order: tuple[str, str], is_over: Callable[[], bool]) -> None:
        previous_version = 0
        connection = Connection.open(f.loop, f.front.address)
        while not is_over():
            for function in order:
                response = connection.request("POST", INVOKE.format(function), {}, b"1")
                assert response.status == 200, (function, response.status, response.body)
                version = int(response.headers["x-amz-executed-version"])
                assert version >= previous_version, "one function of a change set without the other"
                previous_version = version
                observed.append((function, version))
        connection.close()

    def script() -> None:
        over: list[bool] = []
        orders = [("left", "right"), ("right", "left")] * 2
        for name in ("left", "right"):
            f.invoke(name)
        clients = [f.loop.spawn(client, order, lambda: bool(over)) for order in orders]
        revision = 1
        for version in range(2, 42):  # every third one is applied together with others
            mutations = [put_function("left", version), put_function("right", version)]
            mutations.append(put_function("extra", version) if version % 2 else delete_function("extra"))
            revision = f.relay.change(mutations)
            f.loop.sleep(37_000 if version % 3 == 0 else 0)
        f.until(lambda: f.watch.watch_state.applied_revision == revision)
        f.loop.sleep(SECOND)
        over.append(True)
        for task in clients:
            task.join()
        assert f.invoked_version("left") == f.invoked_version("right") == "41"

    f.play(script)
    assert len({version for _, version in observed}) > 10


def test_configured_functions_apply_until_a_function_is_agreed_on(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path, agreed=False)

    def script() -> None:
        assert f.invoked_version("left") == "1"
        assert len(f.front.catalogue.functions) == 5
        f.change(Mutation("tenant/tills", b"{}"))
        assert f.invoked_version("left") == "1"
        f.change(put_function("extra", 7))
        assert f.invoked_version("extra") == "7"
        assert f.invoke("left").status == 404
        assert list(f.front.catalogue.functions) == ["extra"]

    f.play(script)


def test_front_end_with_keepers_and_relays_watches_both(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)
    f.more = {"keepers": {"k1": "127.0.0.1:1"}}

    def script() -> None:
        assert f.front.fleet is not None
        assert f.front.fleet.follower.incarnation == f.watch.watch_state.incarnation
        f.change(put_function("left", 2))
        assert f.invoked_version("left") == "2"
        assert f.front.call_counter is not None
        assert f.front.call_counter.counts.served == 1

    f.play(script)


def test_functions_are_decoded_at_lookup_and_few_are_cached() -> None:
    functions = DynamicFunctions({}, CLASSES)
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
    again = functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"]
    assert again is functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"]
    assert isinstance(again, Function)
    changed = entries.set(FUNCTION_PREFIX + "f1", Entry(FUNCTION_PREFIX + "f1", function_entry(77), 2))
    assert functions["f1"].version == "1"
    functions.replace_all(changed, len(entries_by_key))
    assert functions["f1"].version == "77"
    assert "nope" not in functions
