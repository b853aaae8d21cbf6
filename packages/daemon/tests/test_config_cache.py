"""The cache file of the last applied configuration: when it is written, and starts that depend on it."""

from __future__ import annotations

import base64
from pathlib import Path

import pytest

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import ConfigStore, Entry
from walnutpost.daemon.config_cache import WRITE_INTERVAL_US
from walnutpost.http import Response
from walnutpost.testsupport.daemon.config_fleet import (
    ConfigFleet,
    delete_function,
    function_entry,
    put_function,
)
from walnutpost.testsupport.daemon.fleet import SECOND, execution_path
from walnutpost.testsupport.daemon.front_end_calls import EVENT, describe_execution, kill_front_end


def test_start_without_relays_uses_the_cached_config(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        fleet.commit_and_wait(put_function("left", 2), put_function("extra", 5), delete_function("right"))
        response = fleet.invoke("extra", b"9", x_amz_invocation_type=EVENT)
        kill_front_end(fleet)
        assert fleet.relay.requests[-1].is_leaving
        fleet.relay.kill()
        started_us = fleet.loop.now()
        fleet.remove_from_own_config("extra")
        fleet.start_front_end()
        assert fleet.loop.now() - started_us <= 2 * SECOND
        assert fleet.invoked_version("left") == "2"
        assert fleet.invoked_version("extra") == "5"
        assert fleet.invoke("right").status == 404
        fleet.wait_until(lambda: describe_execution(fleet, response)["Status"] == "SUCCEEDED")
        assert fleet.config_watch.watch_state.applied_revision == 2
        fleet.loop.sleep(30 * SECOND)
        assert fleet.config_watch.is_stale
        assert fleet.count_logged("config_stale", "") == 1
        assert fleet.invoked_version("left") == "2"

    fleet.run_script(script)


@pytest.mark.parametrize("outcome", ["received", "removed", "stopped", "expired"])
def test_recovered_call_of_a_dynamic_function_waits_for_the_config(tmp_path: Path, outcome: str) -> None:
    """Without relays and without a cache, the function may be in a configuration not received yet."""
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        fleet.commit_and_wait(put_function("extra", 5))
        context = base64.b64encode(b'{"custom": {"deadline-ms": 60000}}').decode()
        response = fleet.invoke("extra", b"9", x_amz_invocation_type=EVENT, x_amz_client_context=context)
        kill_front_end(fleet)
        watch_server = fleet.relay.watch_server
        handle = watch_server.handle
        watch_server.handle = lambda *_: Response(503)  # type: ignore[method-assign]
        (tmp_path / "calls.db.table").unlink()
        fleet.remove_from_own_config("extra")
        fleet.start_front_end()
        assert fleet.invoke("extra").status == 404
        assert describe_execution(fleet, response)["Status"] == "RUNNING"
        fleet.loop.sleep(SECOND)
        assert describe_execution(fleet, response)["Status"] == "RUNNING"
        if outcome == "stopped":
            fleet.ask("POST", execution_path(response) + "/stop")
        elif outcome == "expired":
            fleet.loop.sleep(120 * SECOND)
        else:
            if outcome == "removed":
                fleet.relay.commit([delete_function("extra")])
            watch_server.handle = handle  # type: ignore[method-assign]
        expected_status = {
            "received": "SUCCEEDED",
            "removed": "FAILED",
            "stopped": "STOPPED",
            "expired": "TIMED_OUT",
        }[outcome]
        fleet.wait_until(lambda: describe_execution(fleet, response)["Status"] != "RUNNING")
        assert describe_execution(fleet, response)["Status"] == expected_status, describe_execution(
            fleet, response
        )

    fleet.run_script(script)


@pytest.mark.parametrize("corruption", ["bit flip", "truncated", "empty"])
def test_corrupt_config_cache_is_logged_and_ignored(tmp_path: Path, corruption: str) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        fleet.commit_and_wait(put_function("left", 2))
        kill_front_end(fleet)
        store = fleet.relay.store
        fleet.relay.kill()
        cache_file = tmp_path / "calls.db.table"
        data = bytearray(cache_file.read_bytes())
        if corruption == "bit flip":
            data[len(data) // 2] ^= 4
        cache_file.write_bytes(
            data if corruption == "bit flip" else data[: len(data) // 2] if corruption == "truncated" else b""
        )
        fleet.start_front_end()
        assert fleet.count_logged("config_cache_ignored", "calls.db.table") == 1
        assert fleet.invoked_version("left") == "1"  # from its own configuration
        fleet.front.stop()
        fleet.front.close()
        fleet.start_relay(store)
        fleet.start_front_end()
        assert fleet.invoked_version("left") == "2"

    fleet.run_script(script)


def test_silent_relay_delays_the_start_by_at_most_two_seconds_and_no_call(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        fleet.front.stop()
        fleet.front.close()
        (tmp_path / "calls.db.table").unlink()
        fleet.relay.watch_server.handle = lambda *_: fleet.loop.sleep(3600 * SECOND)  # type: ignore[assignment, method-assign]
        started_us = fleet.loop.now()
        fleet.start_front_end()
        assert fleet.loop.now() - started_us <= 2 * SECOND
        started_us = fleet.loop.now()
        assert fleet.invoked_version("left") == "1"
        assert fleet.loop.now() - started_us < SECOND
        assert fleet.front.fleet is None

    fleet.run_script(script)


def test_corrupt_entry_in_memory_is_reloaded_and_the_cache_is_correct_afterwards(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        fleet.commit_and_wait(put_function("left", 2))
        store = fleet.config_watch.watch_state.store
        key = FUNCTION_PREFIX + "left"
        corrupt_entry = Entry(key, function_entry(3), store.entries[key].revision)
        store.entries = store.entries.set(key, corrupt_entry)
        fleet.commit_and_wait(put_function("right", 2))
        fleet.wait_until(lambda: fleet.count_logged("config_repaired", "1 keys") == 1)
        assert (fleet.invoked_version("left"), fleet.invoked_version("right")) == ("2", "2")
        fleet.loop.sleep(30 * SECOND)
        cached_store = ConfigStore.restore((tmp_path / "calls.db.table").read_bytes())
        assert cached_store.revision == 3
        assert cached_store.entries[key].value == function_entry(2)

    fleet.run_script(script)


def test_corrupt_entry_in_the_cache_is_rewritten_after_it_is_detected(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)
    cache_file = tmp_path / "calls.db.table"

    def script() -> None:
        fleet.commit_and_wait(put_function("left", 2))
        fleet.loop.sleep(3 * WRITE_INTERVAL_US)  # the digest check is done and the cache is written
        fleet.commit_and_wait(put_function("right", 2))
        # The digest check for the next change is due a few seconds after the previous one.
        fleet.commit_and_wait(put_function("right", 3))
        store, key = fleet.config_watch.watch_state.store, FUNCTION_PREFIX + "left"
        store.entries = store.entries.set(key, Entry(key, function_entry(7), store.entries[key].revision))
        fleet.config_watch.cache.mark_outdated()
        fleet.config_watch.cache.schedule_write(store)
        fleet.config_watch.cache.write()
        fleet.wait_until(lambda: fleet.count_logged("config_repaired", "1 keys") == 1)
        assert fleet.invoked_version("left") == "2"
        assert fleet.config_watch.watch_state.applied_revision == 4
        fleet.loop.sleep(3 * WRITE_INTERVAL_US)
        assert ConfigStore.restore(cache_file.read_bytes()).entries[key].value == function_entry(2)

    fleet.run_script(script)


def test_config_cache_is_written_periodically_and_at_shutdown(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def cached_revision() -> int:
        return ConfigStore.restore((tmp_path / "calls.db.table").read_bytes()).revision

    def script() -> None:
        fleet.wait_until(lambda: (tmp_path / "calls.db.table").exists())
        written = {cached_revision()}
        for version in range(2, 102):
            fleet.commit_and_wait(put_function("left", version))
            fleet.loop.sleep(100_000)
            written.add(cached_revision())
        assert len(written) <= 3
        fleet.loop.sleep(3 * WRITE_INTERVAL_US)
        assert cached_revision() == 101
        fleet.commit_and_wait(put_function("left", 102))
        fleet.loop.sleep(100_000)
        assert cached_revision() == 102  # the write interval since the last write has passed
        fleet.commit_and_wait(put_function("left", 103))
        fleet.front.stop()
        fleet.front.close()
        assert cached_revision() == 103
        fleet.front = fleet.start_front()

    fleet.run_script(script)
