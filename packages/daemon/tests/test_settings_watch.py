"""Settings that change while a front end runs: a fake relay on the same loop, real calls over sockets."""

from __future__ import annotations

import base64
import gc
import tracemalloc
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import ConfigStore, Entry, Mutation
from walnutpost.daemon.config_cache import WRITE_INTERVAL_US
from walnutpost.daemon.config_validation import VALIDATION_BATCH
from walnutpost.daemon.dynamic_functions import MAX_DECODED_FUNCTIONS, DynamicFunctions
from walnutpost.gateway import Function
from walnutpost.http import Connection, Response
from walnutpost.interface import RequestArrived, WorkersListed
from walnutpost.testsupport.daemon.executions import EVENT, describe_execution, kill_front_end
from walnutpost.testsupport.daemon.fleet import INVOKE, SECOND, execution_path
from walnutpost.testsupport.daemon.settings_fleet import (
    SettingsFleet,
    function_entry,
    put_function,
)

CLASSES = ["valuation", "reservation"]


def delete_function(name: str) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, None)


def test_new_settings_apply_from_the_next_call_and_change_nothing_else(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        f.warm("reserve")
        router = f.front.dispatcher._gateway._router
        events: list[Any] = []
        handle = router.handle

        def record(now: int, event: Any) -> Any:
            events.append(event)
            return handle(now, event)

        router.handle = record  # type: ignore[method-assign]
        key = f.front.dispatcher._gateway._names.functions.number("reserve")
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
        assert f.warm("reserve") in {f.front.dispatcher._gateway._names.workers.name(w) for w in copy_counts}

    f.play(script)


def test_removed_function_rejects_new_calls_as_unknown_and_open_ones_end(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

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
    f = SettingsFleet(tmp_path)
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
        f.until(lambda: f.settings.watch_state.applied_revision == revision)
        f.loop.sleep(SECOND)
        over.append(True)
        for task in clients:
            task.join()
        assert f.invoked_version("left") == f.invoked_version("right") == "41"

    f.play(script)
    assert len({version for _, version in observed}) > 10


def test_invalid_revision_is_reported_and_no_part_of_it_applied(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def blocked_reason() -> str:
        return f.relay.requests[-1].blocked_reason

    def script() -> None:
        bad = put_function("ghost", 1, **{"class": "nowhere"})
        f.relay.change([put_function("left", 2), bad])
        f.until(lambda: blocked_reason() != "")
        assert "function/ghost" in blocked_reason()
        assert "nowhere" in blocked_reason()
        assert "valuation" in blocked_reason()
        assert f.invoked_version("left") == "1"
        assert f.invoke("ghost").status == 404
        f.relay.change([put_function("right", 2)])  # valid, but after a revision that is blocked
        f.until(lambda: f.relay.requests[-1].revision == 3)
        assert f.relay.requests[-1].applied_revision == 1
        assert blocked_reason()
        assert f.invoked_version("left") == f.invoked_version("right") == "1"
        assert f.count_logged("config_blocked", "nowhere") == 1
        f.change(put_function("ghost", 2))
        assert (f.invoked_version("left"), f.invoked_version("right")) == ("2", "2")
        f.until(lambda: f.relay.requests[-1].applied_revision == 4 and not blocked_reason())

    f.play(script)


def test_invalid_revision_when_corrected_by_a_removal_is_applied(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        ghosts = [put_function(f"ghost{n}", 1, **{"class": "nowhere"}) for n in range(3)]
        f.relay.change([put_function("left", 2), *ghosts])
        f.until(lambda: "and 2 more" in f.relay.requests[-1].blocked_reason)
        f.change(*(delete_function(f"ghost{n}") for n in range(3)))
        assert f.invoked_version("left") == "2"
        assert len(f.front.catalogue.functions) == 5

    f.play(script)


def test_start_without_relays_applies_the_cached_table(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        f.change(put_function("left", 2), put_function("extra", 5), delete_function("right"))
        response = f.invoke("extra", b"9", x_amz_invocation_type=EVENT)
        kill_front_end(f)
        assert f.relay.requests[-1].is_leaving
        f.relay.kill()
        before = f.loop.now()
        f.remove_from_own_config("extra")
        f.start_front_end()
        assert f.loop.now() - before <= 2 * SECOND
        assert f.invoked_version("left") == "2"
        assert f.invoked_version("extra") == "5"
        assert f.invoke("right").status == 404
        f.until(lambda: describe_execution(f, response)["Status"] == "SUCCEEDED")
        assert f.settings.watch_state.applied_revision == 2
        f.loop.sleep(30 * SECOND)
        assert f.settings.is_stale
        assert f.count_logged("config_stale", "") == 1
        assert f.invoked_version("left") == "2"

    f.play(script)


@pytest.mark.parametrize("end", ["agreed", "removed", "stopped", "late"])
def test_recovered_call_of_an_agreed_function_waits_until_the_table_is_received(
    tmp_path: Path, end: str
) -> None:
    """Without relays and cache: the function may be in a table that was not received yet."""
    f = SettingsFleet(tmp_path)

    def script() -> None:
        f.change(put_function("extra", 5))
        context = base64.b64encode(b'{"custom": {"deadline-ms": 60000}}').decode()
        response = f.invoke("extra", b"9", x_amz_invocation_type=EVENT, x_amz_client_context=context)
        kill_front_end(f)
        watch = f.relay.watch
        answer = watch.handle
        watch.handle = lambda *_: Response(503)  # type: ignore[method-assign]
        (tmp_path / "calls.db.table").unlink()
        f.remove_from_own_config("extra")
        f.start_front_end()
        assert f.invoke("extra").status == 404
        assert describe_execution(f, response)["Status"] == "RUNNING"
        f.loop.sleep(SECOND)
        assert describe_execution(f, response)["Status"] == "RUNNING"
        if end == "stopped":
            f.ask("POST", execution_path(response) + "/stop")
        elif end == "late":
            f.loop.sleep(120 * SECOND)
        else:
            if end == "removed":
                f.relay.change([delete_function("extra")])
            watch.handle = answer  # type: ignore[method-assign]
        wanted = {"agreed": "SUCCEEDED", "removed": "FAILED", "stopped": "STOPPED", "late": "TIMED_OUT"}[end]
        f.until(lambda: describe_execution(f, response)["Status"] != "RUNNING")
        assert describe_execution(f, response)["Status"] == wanted, describe_execution(f, response)

    f.play(script)


@pytest.mark.parametrize("damage", ["flipped", "short", "empty"])
def test_cached_table_when_corrupt_is_logged_and_not_used(tmp_path: Path, damage: str) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        f.change(put_function("left", 2))
        kill_front_end(f)
        table = f.relay.table
        f.relay.kill()
        cache_file = tmp_path / "calls.db.table"
        data = bytearray(cache_file.read_bytes())
        if damage == "flipped":
            data[len(data) // 2] ^= 4
        cache_file.write_bytes(
            data if damage == "flipped" else data[: len(data) // 2] if damage == "short" else b""
        )
        f.start_front_end()
        assert f.count_logged("config_cache_ignored", "calls.db.table") == 1
        assert f.invoked_version("left") == "1"  # of its own configuration
        f.front.stop()
        f.front.close()
        f.start_relay(table)
        f.start_front_end()
        assert f.invoked_version("left") == "2"

    f.play(script)


def test_configured_functions_apply_until_a_function_is_agreed_on(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path, agreed=False)

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


def test_silent_relay_delays_a_start_by_a_second_and_no_call(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        f.front.stop()
        f.front.close()
        (tmp_path / "calls.db.table").unlink()
        f.relay.watch.handle = lambda *_: f.loop.sleep(3600 * SECOND)  # type: ignore[assignment, method-assign]
        before = f.loop.now()
        f.start_front_end()
        assert f.loop.now() - before <= 2 * SECOND
        before = f.loop.now()
        assert f.invoked_version("left") == "1"
        assert f.loop.now() - before < SECOND
        assert f.front.fleet is None

    f.play(script)


def test_front_end_with_keepers_and_relays_watches_both(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)
    f.more = {"keepers": {"k1": "127.0.0.1:1"}}

    def script() -> None:
        assert f.front.fleet is not None
        assert f.front.fleet.follower.incarnation == f.settings.watch_state.incarnation
        f.change(put_function("left", 2))
        assert f.invoked_version("left") == "2"
        assert f.front.call_counter is not None
        assert f.front.call_counter.counts.served == 1

    f.play(script)


def test_table_when_replaced_is_validated_in_batches_and_later_changes_are_not_missed(
    tmp_path: Path,
) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        many = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(), 2)
            for n in range(3000)
        }
        counts_meanwhile: list[int] = []
        validated_count, validate = [0], f.settings.applier.validator.validation_error

        def run_meanwhile() -> None:
            while f.settings.applier.is_validating:
                counts_meanwhile.append(validated_count[0])
                f.loop.yield_now()

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 1:
                f.loop.spawn(run_meanwhile)
            elif validated_count[0] == 1000:
                f.relay.change([put_function("left", 9), delete_function("f17"), put_function("new", 3)])
            return validate(entry)

        f.settings.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        f.until(lambda: f.settings.watch_state.applied_revision == 51)
        assert f.invoked_version("left") == "9"
        assert f.invoke("f17").status == 404
        assert max(b - a for a, b in pairwise(counts_meanwhile)) <= VALIDATION_BATCH
        assert counts_meanwhile[-1] > 2900
        names = f.front.catalogue.functions
        assert len(names) == len(list(names)) == 5 + 3000
        assert names["new"].version == "3"

    f.play(script)


def test_changes_during_a_validation_apply_no_part_of_the_table(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        many = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(2), 2)
            for n in range(500)
        }
        many[FUNCTION_PREFIX + "ghost"] = Entry(
            FUNCTION_PREFIX + "ghost", function_entry(1, **{"class": "nowhere"}), 2
        )
        validated_count, validate = [0], f.settings.applier.validator.validation_error

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 100:
                f.relay.change([put_function("left", 9)])
                f.until(lambda: f.settings.watch_state.store.revision == 51)
            return validate(entry)

        f.settings.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        observed = set()
        while f.relay.requests[-1].revision < 51 or f.settings.applier.is_validating:
            observed.add(
                (f.settings.watch_state.applied_revision, f.front.catalogue.functions["left"].version)
            )
            f.loop.sleep(1000)
        f.loop.sleep(5 * SECOND)
        observed.add((f.settings.watch_state.applied_revision, f.front.catalogue.functions["left"].version))
        assert observed == {(1, "1")}
        assert "ghost" in f.relay.requests[-1].blocked_reason
        f.change(delete_function("ghost"))
        assert f.invoked_version("left") == "9"
        assert len(f.front.catalogue.functions) == 505

    f.play(script)


def test_entry_when_a_bit_is_flipped_is_reloaded_and_the_cache_is_intact_again(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def script() -> None:
        f.change(put_function("left", 2))
        table = f.settings.watch_state.store
        key = FUNCTION_PREFIX + "left"
        flipped = Entry(key, function_entry(3), table.entries[key].revision)
        table.entries = table.entries.set(key, flipped)
        f.change(put_function("right", 2))
        f.until(lambda: f.count_logged("config_repaired", "1 keys") == 1)
        assert (f.invoked_version("left"), f.invoked_version("right")) == ("2", "2")
        f.loop.sleep(30 * SECOND)
        cached_table = ConfigStore.restore((tmp_path / "calls.db.table").read_bytes())
        assert cached_table.revision == 3
        assert cached_table.entries[key].value == function_entry(2)

    f.play(script)


def test_flipped_entry_in_the_cache_is_rewritten_once_it_is_found(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)
    cache_file = tmp_path / "calls.db.table"

    def script() -> None:
        f.change(put_function("left", 2))
        f.loop.sleep(3 * WRITE_INTERVAL_US)  # digest check done, and the cache written
        f.change(put_function("right", 2))
        f.change(put_function("right", 3))  # its digest check is due a few seconds after the previous one
        table, key = f.settings.watch_state.store, FUNCTION_PREFIX + "left"
        table.entries = table.entries.set(key, Entry(key, function_entry(7), table.entries[key].revision))
        f.settings.cache.mark_outdated()
        f.settings.cache.schedule_write(table)
        f.settings.cache.write()
        f.until(lambda: f.count_logged("config_repaired", "1 keys") == 1)
        assert f.invoked_version("left") == "2"
        assert f.settings.watch_state.applied_revision == 4
        f.loop.sleep(3 * WRITE_INTERVAL_US)
        assert ConfigStore.restore(cache_file.read_bytes()).entries[key].value == function_entry(2)

    f.play(script)


def test_table_cache_is_written_periodically_and_at_the_stop(tmp_path: Path) -> None:
    f = SettingsFleet(tmp_path)

    def cached_revision() -> int:
        return ConfigStore.restore((tmp_path / "calls.db.table").read_bytes()).revision

    def script() -> None:
        f.until(lambda: (tmp_path / "calls.db.table").exists())
        written = {cached_revision()}
        for version in range(2, 102):
            f.change(put_function("left", version))
            f.loop.sleep(100_000)
            written.add(cached_revision())
        assert len(written) <= 3
        f.loop.sleep(3 * WRITE_INTERVAL_US)
        assert cached_revision() == 101
        f.change(put_function("left", 102))
        f.loop.sleep(100_000)
        assert cached_revision() == 102  # the last write was long ago
        f.change(put_function("left", 103))
        f.front.stop()
        f.front.close()
        assert cached_revision() == 103
        f.front = f.start_front()

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


LIVE_FUNCTIONS = 30  # functions besides the fleet's own that exist at a time
CHANGES_PER_BURST = 200
WARM_UP_BURSTS, MEASURED_BURSTS = 12, 50
ADDED_ENTRY, CHANGED_ENTRY = function_entry(), function_entry(2)
SHORT_DEADLINE = base64.b64encode(b'{"custom": {"deadline-ms": 20}}').decode()


def apply_burst(f: SettingsFleet, burst: int) -> None:
    """Commit change sets that add, change and delete a function each; then call some functions."""
    for n in range(CHANGES_PER_BURST):
        number = burst * CHANGES_PER_BURST + n
        changed_entry = CHANGED_ENTRY.replace(b'"2"', b'"%d"' % (number + 2))
        mutations = [
            Mutation(f"{FUNCTION_PREFIX}added{number}", ADDED_ENTRY),
            Mutation(f"{FUNCTION_PREFIX}left", changed_entry),
        ]
        if number >= LIVE_FUNCTIONS:
            mutations.append(delete_function(f"added{number - LIVE_FUNCTIONS}"))
        revision = f.relay.change(mutations)
    f.until(lambda: f.settings.watch_state.applied_revision == revision)
    added = [f"added{number - n}" for n in range(LIVE_FUNCTIONS)]
    calls = [
        f.loop.spawn(lambda name=name: f.invoke(name, x_amz_client_context=SHORT_DEADLINE)) for name in added
    ]
    assert {call.join().status for call in calls} == {429}  # no workers: their records would grow
    assert f.front.catalogue.functions["left"].version == str(number + 2)
    f.loop.sleep(4 * SECOND)
    f.log.lines.clear()
    f.relay.requests.clear()


def measure_memory(f: SettingsFleet) -> tuple[int, int]:
    """Return the traced bytes and the number of live objects."""
    f.loop.sleep(60 * SECOND)  # the router's records of copies and calls have expired
    f.log.lines.clear()
    f.relay.requests.clear()
    gc.collect()
    return tracemalloc.get_traced_memory()[0], len(gc.get_objects())


def test_memory_after_ten_thousand_changes_has_not_grown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Functions are added, changed, called and deleted; not the size of the process is measured."""
    # The limit is reached before the first measurement.
    monkeypatch.setattr("walnutpost.daemon.dynamic_functions.MAX_DECODED_FUNCTIONS", 16)
    f = SettingsFleet(tmp_path)

    def script() -> None:
        max_log_entries = 2 * CHANGES_PER_BURST
        f.start_relay(ConfigStore.from_entries(f.relay.table.entries, 1, max_log_entries=max_log_entries))
        f.front.stop()
        f.front.close()
        f.start_front_end(listed=False)
        tracemalloc.start()
        try:
            for burst in range(WARM_UP_BURSTS):
                apply_burst(f, burst)
            measure_memory(f)
            before = measure_memory(f)
            for burst in range(WARM_UP_BURSTS, WARM_UP_BURSTS + MEASURED_BURSTS):
                apply_burst(f, burst)
            after = measure_memory(f)
        finally:
            tracemalloc.stop()
        assert f.settings.watch_state.applied_revision > 10_000
        assert after[0] - before[0] < 100_000, (before, after)
        assert after[1] - before[1] < 500, (before, after)

    f.play(script)
