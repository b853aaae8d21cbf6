"""The file of the last applied configuration: when it is written, and starts that need it."""

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


def test_start_without_relays_applies_the_cached_table(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

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
        assert f.watch.watch_state.applied_revision == 2
        f.loop.sleep(30 * SECOND)
        assert f.watch.is_stale
        assert f.count_logged("config_stale", "") == 1
        assert f.invoked_version("left") == "2"

    f.play(script)


@pytest.mark.parametrize("end", ["agreed", "removed", "stopped", "late"])
def test_recovered_call_of_an_agreed_function_waits_until_the_table_is_received(
    tmp_path: Path, end: str
) -> None:
    """Without relays and cache: the function may be in a table that was not received yet."""
    f = ConfigFleet(tmp_path)

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
    f = ConfigFleet(tmp_path)

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


def test_silent_relay_delays_a_start_by_a_second_and_no_call(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

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


def test_entry_when_a_bit_is_flipped_is_reloaded_and_the_cache_is_intact_again(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

    def script() -> None:
        f.change(put_function("left", 2))
        table = f.watch.watch_state.store
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
    f = ConfigFleet(tmp_path)
    cache_file = tmp_path / "calls.db.table"

    def script() -> None:
        f.change(put_function("left", 2))
        f.loop.sleep(3 * WRITE_INTERVAL_US)  # digest check done, and the cache written
        f.change(put_function("right", 2))
        f.change(put_function("right", 3))  # its digest check is due a few seconds after the previous one
        table, key = f.watch.watch_state.store, FUNCTION_PREFIX + "left"
        table.entries = table.entries.set(key, Entry(key, function_entry(7), table.entries[key].revision))
        f.watch.cache.mark_outdated()
        f.watch.cache.schedule_write(table)
        f.watch.cache.write()
        f.until(lambda: f.count_logged("config_repaired", "1 keys") == 1)
        assert f.invoked_version("left") == "2"
        assert f.watch.watch_state.applied_revision == 4
        f.loop.sleep(3 * WRITE_INTERVAL_US)
        assert ConfigStore.restore(cache_file.read_bytes()).entries[key].value == function_entry(2)

    f.play(script)


def test_table_cache_is_written_periodically_and_at_the_stop(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

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
