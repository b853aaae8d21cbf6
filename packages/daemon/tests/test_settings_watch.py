"""Settings that change while a front end runs: a relay's table on the same loop, real calls over sockets."""

from __future__ import annotations

import base64
import gc
import json
import tracemalloc
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from fleet_rig import INVOKE, SECOND, Fleet
from relay_rig import Served
from test_functions_gone import ARN, EVENT, fate, killed
from walnutpost.config.entries import FUNCTION_PREFIX, encode_site, encode_value
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import ConfigStore, Entry, Mutation
from walnutpost.daemon.settings_watch import (
    MAX_DECODED_FUNCTIONS,
    VALIDATION_BATCH,
    WRITE_INTERVAL_US,
    AgreedFunctions,
    SettingsWatch,
)
from walnutpost.gateway import Function
from walnutpost.http import Connection, Response
from walnutpost.interface import RequestArrived, WorkersListed

CLASSES = ["valuation", "reservation"]
PAIR = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50}
QUICK = {"work_ms": 20, "spread": 0, "load_ms": 50}
SITE = {
    "site": {"functions": {name: PAIR for name in ("left", "right", "extra")}, "rules": {"free_loads": 99}},
    "fleet": {"work": {name: QUICK for name in ("left", "right", "extra")}},
}


def line(version: int = 1, **more: Any) -> bytes:
    told = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50, "version": str(version)}
    return encode_value(FunctionConfig.model_validate(told | more))


def put(name: str, version: int = 1, **more: Any) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, line(version, **more))


def gone(name: str) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, None)


class Followed(Fleet):
    """A fleet whose front end follows a relay's table, which has the settings of its own file."""

    def __init__(self, path: Path, more: dict[str, Any] | None = None, agreed: bool = True) -> None:
        super().__init__(path, more or SITE)
        self.agreed = agreed
        self.relay: Served
        self.relays: dict[str, str] = {}
        self.more: dict[str, Any] = {}

    def play(self, script: Callable[[], None]) -> None:
        def main() -> None:
            self.start_workers()
            table = ConfigStore()
            if self.agreed:
                table.propose(
                    1, [Mutation(key, value) for key, value in encode_site(self.config.site).items()]
                )
            self.start_relay(table)
            self.begin()
            script()

        try:
            self.loop.run(main)
        finally:
            if hasattr(self, "front"):
                self.front.close()
        assert not self.errors, self.errors

    def start_relay(self, table: ConfigStore) -> None:
        self.relay = Served(self.loop, table)
        self.relays = {"r1": "{}:{}".format(*self.relay.address)}

    def begin(self, listed: bool = True) -> None:
        told = json.loads(self.front_config.model_dump_json(by_alias=True, exclude_unset=True))
        told["agreement"] = {"member": "front-0", "relays": self.relays} | self.more
        self.front_config = type(self.front_config).model_validate(told)
        self.front = self.start_front(listed)

    def own_file_lacks(self, name: str) -> None:
        """The front end's file is older than the function."""
        site = self.front_config.site
        own = {other: line for other, line in site.functions.items() if other != name}
        site = site.model_copy(update={"functions": own})
        self.front_config = self.front_config.model_copy(update={"site": site})

    @property
    def settings(self) -> SettingsWatch:
        assert self.front.settings_watch is not None
        return self.front.settings_watch

    def change(self, *ops: Mutation) -> int:
        """Agreed on, and in force at the front end."""
        revision = self.relay.change(list(ops))
        self.until(lambda: self.settings.follower.applied_revision == revision)
        return revision

    def answers_as(self, function: str) -> str:
        told = self.invoke(function)
        assert told.status == 200, (told.status, told.body)
        return told.headers["x-amz-executed-version"]

    def said(self, event: str, part: str) -> int:
        return sum(name == event and part in repr(told) for name, told in self.log.lines)


def test_new_settings_apply_from_the_next_call_and_change_nothing_else(tmp_path: Path) -> None:
    f = Followed(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        f.warm("reserve")
        router = f.front.core._gateway._router
        events: list[Any] = []
        handle = router.handle

        def seen(now: int, event: Any) -> Any:
            events.append(event)
            return handle(now, event)

        router.handle = seen  # type: ignore[method-assign]
        key = f.front.core._gateway._functions.number("reserve")
        state = router.functions.by_key[key]
        belief = {w: c.count for w, c in state.copies.items()}
        first = f.loop.spawn(f.invoke, "price")
        f.until(lambda: f.runs("price") == 1)
        f.change(put("price", 2, lanes=7, memory_mb=512, load_ms=80, **{"class": "reservation"}))
        open_calls = f.front.core._gateway._calls.by_number.values()
        assert [(c.function.version, c.function.lanes) for c in open_calls] == [("1", 2.0)]
        second = f.invoke("price")
        assert (second.status, second.headers["x-amz-executed-version"]) == (200, "2")
        assert (first.join().status, first.join().headers["x-amz-executed-version"]) == (200, "1")
        asked = [e for e in events if isinstance(e, RequestArrived)]
        told = [(e.class_index, e.memory_mb, e.lanes, e.load_time_us) for e in asked]
        assert told == [(0, 400, 2.0, 300_000), (1, 512, 7.0, 80_000)]
        assert not [e for e in events if isinstance(e, WorkersListed)]
        assert f.front.core._gateway._router is router and router.functions.by_key[key] is state
        assert {w: c.count for w, c in state.copies.items()} == belief
        assert f.warm("reserve") in {f.front.core._gateway._workers.name(w) for w in belief}

    f.play(script)


def test_removed_function_rejects_new_calls_as_unknown_and_open_ones_end(tmp_path: Path) -> None:
    f = Followed(tmp_path, {"fleet": {"work": {"price": {"work_ms": 1000}}}})

    def script() -> None:
        sync = f.loop.spawn(f.invoke, "price")
        deferred = f.invoke("price", b"2", x_amz_invocation_type=EVENT)
        f.until(lambda: f.runs("price") == 2)
        f.change(gone("price"))
        unknown = f.invoke("price")
        assert unknown.status == 404 and b"Function not found: price" in unknown.body
        assert f.invoke("price", x_amz_invocation_type=EVENT).status == 404
        assert sync.join().status == 200
        f.until(lambda: fate(f, deferred)["Status"] == "SUCCEEDED")
        assert f.answers_as("reserve") == "1" and f.runs("price") == 2
        f.change(put("price", 3))
        assert f.answers_as("price") == "3"

    f.play(script)


def test_change_set_under_load_is_seen_atomically_and_loses_no_call(tmp_path: Path) -> None:
    """Four clients call all along, each two functions in turn, whose versions change together."""
    f = Followed(tmp_path)
    seen: list[tuple[str, int]] = []

    def client(order: tuple[str, str], until: Callable[[], bool]) -> None:
        before = 0
        connection = Connection.open(f.loop, f.front.address)
        while not until():
            for function in order:
                told = connection.ask("POST", INVOKE.format(function), {}, b"1")
                assert told.status == 200, (function, told.status, told.body)
                version = int(told.headers["x-amz-executed-version"])
                assert version >= before, "one function of a change set without the other"
                before = version
                seen.append((function, version))
        connection.close()

    def script() -> None:
        over: list[bool] = []
        orders = [("left", "right"), ("right", "left")] * 2
        for name in ("left", "right"):
            f.invoke(name)
        clients = [f.loop.spawn(client, order, lambda: bool(over)) for order in orders]
        revision = 1
        for version in range(2, 42):  # of each third the front end takes several at once
            ops = [put("left", version), put("right", version)]
            ops.append(put("extra", version) if version % 2 else gone("extra"))
            revision = f.relay.change(ops)
            f.loop.sleep(37_000 if version % 3 == 0 else 0)
        f.until(lambda: f.settings.follower.applied_revision == revision)
        f.loop.sleep(SECOND)
        over.append(True)
        for task in clients:
            task.join()
        assert f.answers_as("left") == f.answers_as("right") == "41"

    f.play(script)
    assert len({version for _, version in seen}) > 10


def test_invalid_revision_is_reported_and_no_part_of_it_applied(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def stuck() -> str:
        return f.relay.questions[-1].blocked_reason

    def script() -> None:
        bad = put("ghost", 1, **{"class": "nowhere"})
        f.relay.change([put("left", 2), bad])
        f.until(lambda: stuck() != "")
        assert "function/ghost" in stuck() and "nowhere" in stuck() and "valuation" in stuck()
        assert f.answers_as("left") == "1" and f.invoke("ghost").status == 404
        f.relay.change([put("right", 2)])  # which alone could be acted on, and comes after what can't
        f.until(lambda: f.relay.questions[-1].revision == 3)
        assert f.relay.questions[-1].applied_revision == 1 and stuck()
        assert f.answers_as("left") == f.answers_as("right") == "1"
        assert f.said("config_blocked", "nowhere") == 1
        f.change(put("ghost", 2))
        assert (f.answers_as("left"), f.answers_as("right")) == ("2", "2")
        f.until(lambda: f.relay.questions[-1].applied_revision == 4 and not stuck())

    f.play(script)


def test_invalid_revision_when_corrected_by_a_removal_is_applied(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        ghosts = [put(f"ghost{n}", 1, **{"class": "nowhere"}) for n in range(3)]
        f.relay.change([put("left", 2), *ghosts])
        f.until(lambda: "and 2 more" in f.relay.questions[-1].blocked_reason)
        f.change(*(gone(f"ghost{n}") for n in range(3)))
        assert f.answers_as("left") == "2" and len(f.front.catalogue.functions) == 5

    f.play(script)


def test_start_without_relays_applies_the_cached_table(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        f.change(put("left", 2), put("extra", 5), gone("right"))
        told = f.invoke("extra", b"9", x_amz_invocation_type=EVENT)
        killed(f)
        assert f.relay.questions[-1].is_leaving
        f.relay.end()
        before = f.loop.now()
        f.own_file_lacks("extra")
        f.begin()
        assert f.loop.now() - before <= 2 * SECOND
        assert (
            f.answers_as("left") == "2" and f.answers_as("extra") == "5" and f.invoke("right").status == 404
        )
        f.until(lambda: fate(f, told)["Status"] == "SUCCEEDED")
        assert f.settings.follower.applied_revision == 2
        f.loop.sleep(30 * SECOND)
        assert f.settings.is_stale and f.said("config_stale", "") == 1
        assert f.answers_as("left") == "2"

    f.play(script)


@pytest.mark.parametrize("ends", ["agreed", "removed", "stopped", "late"])
def test_recovered_call_of_an_agreed_function_waits_until_the_table_is_received(
    tmp_path: Path, ends: str
) -> None:
    """Neither relays nor a kept table: the function may stand in what is not heard of yet."""
    f = Followed(tmp_path)

    def script() -> None:
        f.change(put("extra", 5))
        own = base64.b64encode(b'{"custom": {"deadline-ms": 60000}}').decode()
        told = f.invoke("extra", b"9", x_amz_invocation_type=EVENT, x_amz_client_context=own)
        killed(f)
        watch = f.relay.watch
        answer = watch.handle
        watch.handle = lambda *_: Response(503)  # type: ignore[method-assign]
        (tmp_path / "calls.db.table").unlink()
        f.own_file_lacks("extra")
        f.begin()
        assert f.invoke("extra").status == 404 and fate(f, told)["Status"] == "RUNNING"
        f.loop.sleep(SECOND)
        assert fate(f, told)["Status"] == "RUNNING"
        if ends == "stopped":
            arn = told.headers[ARN].replace(":", "%3A").replace("/", "%2F")
            f.ask("POST", f"/2025-12-01/durable-executions/{arn}/stop")
        elif ends == "late":
            f.loop.sleep(120 * SECOND)
        else:
            if ends == "removed":
                f.relay.change([gone("extra")])
            watch.handle = answer  # type: ignore[method-assign]
        wanted = {"agreed": "SUCCEEDED", "removed": "FAILED", "stopped": "STOPPED", "late": "TIMED_OUT"}[ends]
        f.until(lambda: fate(f, told)["Status"] != "RUNNING")
        assert fate(f, told)["Status"] == wanted, fate(f, told)

    f.play(script)


@pytest.mark.parametrize("harm", ["flipped", "short", "empty"])
def test_cached_table_when_corrupt_is_logged_and_not_used(tmp_path: Path, harm: str) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        f.change(put("left", 2))
        killed(f)
        table = f.relay.table
        f.relay.end()
        kept = tmp_path / "calls.db.table"
        data = bytearray(kept.read_bytes())
        if harm == "flipped":
            data[len(data) // 2] ^= 4
        kept.write_bytes(data if harm == "flipped" else data[: len(data) // 2] if harm == "short" else b"")
        f.begin()
        assert f.said("config_cache_ignored", "calls.db.table") == 1
        assert f.answers_as("left") == "1"  # its own file's
        f.front.stop()
        f.front.close()
        f.start_relay(table)
        f.begin()
        assert f.answers_as("left") == "2"

    f.play(script)


def test_configured_functions_apply_until_a_function_is_agreed_on(tmp_path: Path) -> None:
    f = Followed(tmp_path, agreed=False)

    def script() -> None:
        assert f.answers_as("left") == "1" and len(f.front.catalogue.functions) == 5
        f.change(Mutation("tenant/tills", b"{}"))
        assert f.answers_as("left") == "1"
        f.change(put("extra", 7))
        assert f.answers_as("extra") == "7" and f.invoke("left").status == 404
        assert list(f.front.catalogue.functions) == ["extra"]

    f.play(script)


def test_silent_relay_delays_a_start_by_a_second_and_no_call(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        f.front.stop()
        f.front.close()
        (tmp_path / "calls.db.table").unlink()
        f.relay.watch.handle = lambda *_: f.loop.sleep(3600 * SECOND)  # type: ignore[assignment, method-assign]
        before = f.loop.now()
        f.begin()
        assert f.loop.now() - before <= 2 * SECOND
        before = f.loop.now()
        assert f.answers_as("left") == "1" and f.loop.now() - before < SECOND
        assert f.front.fleet is None

    f.play(script)


def test_front_end_with_keepers_and_relays_watches_both(tmp_path: Path) -> None:
    f = Followed(tmp_path)
    f.more = {"keepers": {"k1": "127.0.0.1:1"}}

    def script() -> None:
        assert f.front.fleet is not None
        assert f.front.fleet.follower.incarnation == f.settings.follower.incarnation
        f.change(put("left", 2))
        assert f.answers_as("left") == "2" and f.front.core.figures.served == 1  # type: ignore[attr-defined]

    f.play(script)


def test_table_when_replaced_is_validated_in_batches_and_later_changes_are_not_missed(
    tmp_path: Path,
) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        many = {FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", line(), 2) for n in range(3000)}
        others: list[int] = []
        judged, wrong = [0], f.settings._validation_error

        def other() -> None:
            while f.settings._validation is not None:
                others.append(judged[0])
                f.loop.yield_now()

        def counted(entry: Entry) -> str:
            judged[0] += 1
            if judged[0] == 1:
                f.loop.spawn(other)
            elif judged[0] == 1000:
                f.relay.change([put("left", 9), gone("f17"), put("new", 3)])
            return wrong(entry)

        f.settings._validation_error = counted  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        f.until(lambda: f.settings.follower.applied_revision == 51)
        assert f.answers_as("left") == "9" and f.invoke("f17").status == 404
        assert max(b - a for a, b in pairwise(others)) <= VALIDATION_BATCH and others[-1] > 2900
        names = f.front.catalogue.functions
        assert len(names) == len(list(names)) == 5 + 3000 and names["new"].version == "3"

    f.play(script)


def test_changes_during_a_validation_apply_no_part_of_the_table(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        many = {FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", line(2), 2) for n in range(500)}
        many[FUNCTION_PREFIX + "ghost"] = Entry(FUNCTION_PREFIX + "ghost", line(1, **{"class": "nowhere"}), 2)
        judged, wrong = [0], f.settings._validation_error

        def counted(entry: Entry) -> str:
            judged[0] += 1
            if judged[0] == 100:
                f.relay.change([put("left", 9)])
                f.until(lambda: f.settings.follower.store.revision == 51)
            return wrong(entry)

        f.settings._validation_error = counted  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        seen = set()
        while f.relay.questions[-1].revision < 51 or f.settings._validation is not None:
            seen.add((f.settings.follower.applied_revision, f.front.catalogue.functions["left"].version))
            f.loop.sleep(1000)
        f.loop.sleep(5 * SECOND)
        seen.add((f.settings.follower.applied_revision, f.front.catalogue.functions["left"].version))
        assert seen == {(1, "1")} and "ghost" in f.relay.questions[-1].blocked_reason
        f.change(gone("ghost"))
        assert f.answers_as("left") == "9" and len(f.front.catalogue.functions) == 505

    f.play(script)


def test_entry_when_a_bit_is_flipped_is_reloaded_and_the_cache_is_intact_again(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def script() -> None:
        f.change(put("left", 2))
        table = f.settings.follower.store
        key = FUNCTION_PREFIX + "left"
        flipped = Entry(key, line(3), table.entries[key].revision)
        table.entries = table.entries.set(key, flipped)
        f.change(put("right", 2))
        f.until(lambda: f.said("config_repaired", "1 keys") == 1)
        assert (f.answers_as("left"), f.answers_as("right")) == ("2", "2")
        f.loop.sleep(30 * SECOND)
        kept = ConfigStore.restore((tmp_path / "calls.db.table").read_bytes())
        assert kept.revision == 3 and kept.entries[key].value == line(2)

    f.play(script)


def test_flipped_entry_in_the_cache_is_rewritten_once_it_is_found(tmp_path: Path) -> None:
    f = Followed(tmp_path)
    kept = tmp_path / "calls.db.table"

    def script() -> None:
        f.change(put("left", 2))
        f.loop.sleep(3 * WRITE_INTERVAL_US)  # counted, and written
        f.change(put("right", 2))
        f.change(put("right", 3))  # counted a few seconds after the one before
        table, key = f.settings.follower.store, FUNCTION_PREFIX + "left"
        table.entries = table.entries.set(key, Entry(key, line(7), table.entries[key].revision))
        f.settings._written_revision, f.settings._applied_table = 0, table
        f.settings._write()
        f.until(lambda: f.said("config_repaired", "1 keys") == 1)
        assert f.answers_as("left") == "2" and f.settings.follower.applied_revision == 4
        f.loop.sleep(3 * WRITE_INTERVAL_US)
        assert ConfigStore.restore(kept.read_bytes()).entries[key].value == line(2)

    f.play(script)


def test_table_cache_is_written_periodically_and_at_the_stop(tmp_path: Path) -> None:
    f = Followed(tmp_path)

    def kept() -> int:
        return ConfigStore.restore((tmp_path / "calls.db.table").read_bytes()).revision

    def script() -> None:
        f.until(lambda: (tmp_path / "calls.db.table").exists())
        written = {kept()}
        for version in range(2, 102):
            f.change(put("left", version))
            f.loop.sleep(100_000)
            written.add(kept())
        assert len(written) <= 3
        f.loop.sleep(3 * WRITE_INTERVAL_US)
        assert kept() == 101
        f.change(put("left", 102))
        f.loop.sleep(100_000)
        assert kept() == 102  # nothing was written for long
        f.change(put("left", 103))
        f.front.stop()
        f.front.close()
        assert kept() == 103
        f.front = f.start_front()

    f.play(script)


def test_functions_are_decoded_at_lookup_and_few_are_cached() -> None:
    functions = AgreedFunctions({}, CLASSES)
    made = {
        FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", line(n), 1)
        for n in range(3 * MAX_DECODED_FUNCTIONS)
    }
    entries = ConfigStore.from_entries(made, 1).entries
    functions.put(entries, len(made))
    assert not functions._decoded
    for n in range(3 * MAX_DECODED_FUNCTIONS):
        assert functions[f"f{n}"].version == str(n)
    assert len(functions._decoded) == MAX_DECODED_FUNCTIONS
    again = functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"]
    assert again is functions[f"f{3 * MAX_DECODED_FUNCTIONS - 1}"] and isinstance(again, Function)
    changed = entries.set(FUNCTION_PREFIX + "f1", Entry(FUNCTION_PREFIX + "f1", line(77), 2))
    assert functions["f1"].version == "1"
    functions.put(changed, len(made))
    assert functions["f1"].version == "77" and "nope" not in functions


def test_memory_after_ten_thousand_changes_has_not_grown(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Functions come, change, are called and go; traced bytes and counted objects, not the process's size."""
    monkeypatch.setattr(
        "walnutpost.daemon.settings_watch.MAX_DECODED_FUNCTIONS", 16
    )  # reached before the first measuring
    f = Followed(tmp_path)
    live, burst_of, come, left = 30, 200, line(), line(2)
    context = base64.b64encode(b'{"custom": {"deadline-ms": 20}}').decode()

    def brief(function: str) -> Response:
        return f.invoke(function, x_amz_client_context=context)

    def burst(count: int) -> None:
        """Each change set has a function come, one change and one go; then some are called."""
        for n in range(burst_of):
            number = count * burst_of + n
            changed = left.replace(b'"2"', b'"%d"' % (number + 2))
            ops = [
                Mutation(f"{FUNCTION_PREFIX}come{number}", come),
                Mutation(f"{FUNCTION_PREFIX}left", changed),
            ]
            if number >= live:
                ops.append(gone(f"come{number - live}"))
            revision = f.relay.change(ops)
        f.until(lambda: f.settings.follower.applied_revision == revision)
        calls = [f.loop.spawn(brief, f"come{number - n}") for n in range(live)]
        assert {call.join().status for call in calls} == {429}  # no workers: their records would grow
        assert f.front.catalogue.functions["left"].version == str(number + 2)
        f.loop.sleep(4 * SECOND)
        f.log.lines.clear()
        f.relay.questions.clear()

    def measured() -> tuple[int, int]:
        f.loop.sleep(60 * SECOND)  # what the Router remembers of copies and calls has lapsed
        f.log.lines.clear()
        f.relay.questions.clear()
        gc.collect()
        return tracemalloc.get_traced_memory()[0], len(gc.get_objects())

    def script() -> None:
        f.start_relay(ConfigStore.from_entries(f.relay.table.entries, 1, max_log_entries=2 * burst_of))
        f.front.stop()
        f.front.close()
        f.begin(listed=False)
        tracemalloc.start()
        try:
            for count in range(12):
                burst(count)
            measured()
            before = measured()
            for count in range(12, 62):
                burst(count)
            after = measured()
        finally:
            tracemalloc.stop()
        assert f.settings.follower.applied_revision > 10_000
        assert after[0] - before[0] < 100_000 and after[1] - before[1] < 500, (before, after)

    f.play(script)
