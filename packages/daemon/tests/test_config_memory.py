"""Memory of a front end that applies many changes of the configuration store."""

from __future__ import annotations

import base64
import gc
import tracemalloc
from pathlib import Path

import pytest

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import ConfigStore, Mutation
from walnutpost.testsupport.daemon.config_fleet import ConfigFleet, delete_function, function_entry
from walnutpost.testsupport.daemon.fleet import SECOND

LIVE_FUNCTIONS = 30  # added functions that exist at a time
CHANGES_PER_BURST = 200
WARM_UP_BURSTS, MEASURED_BURSTS = 12, 50
ADDED_ENTRY, CHANGED_ENTRY = function_entry(), function_entry(2)
SHORT_DEADLINE = base64.b64encode(b'{"custom": {"deadline-ms": 20}}').decode()


def apply_burst(fleet: ConfigFleet, burst: int) -> None:
    """Commit change sets that each add, change and delete a function; then call the added functions."""
    for n in range(CHANGES_PER_BURST):
        number = burst * CHANGES_PER_BURST + n
        changed_entry = CHANGED_ENTRY.replace(b'"2"', b'"%d"' % (number + 2))
        mutations = [
            Mutation(f"{FUNCTION_PREFIX}added{number}", ADDED_ENTRY),
            Mutation(f"{FUNCTION_PREFIX}left", changed_entry),
        ]
        if number >= LIVE_FUNCTIONS:
            mutations.append(delete_function(f"added{number - LIVE_FUNCTIONS}"))
        revision = fleet.relay.commit(mutations)
    fleet.wait_until(lambda: fleet.config_watch.watch_state.applied_revision == revision)
    added = [f"added{number - n}" for n in range(LIVE_FUNCTIONS)]
    calls = [
        fleet.loop.spawn(lambda name=name: fleet.invoke(name, x_amz_client_context=SHORT_DEADLINE))
        for name in added
    ]
    # The front end has no workers, because the fake workers' records of calls would grow.
    assert {call.join().status for call in calls} == {429}
    assert fleet.front.catalogue.functions["left"].version == str(number + 2)
    fleet.loop.sleep(4 * SECOND)
    fleet.log.events.clear()
    fleet.relay.requests.clear()


def measure_memory(fleet: ConfigFleet) -> tuple[int, int]:
    """Return the traced bytes and the number of objects that the garbage collector tracks."""
    fleet.loop.sleep(60 * SECOND)  # the router's records of copies and calls expire
    fleet.log.events.clear()
    fleet.relay.requests.clear()
    gc.collect()
    return tracemalloc.get_traced_memory()[0], len(gc.get_objects())


def test_memory_does_not_grow_over_ten_thousand_changes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Functions are added, changed, called and deleted. The test measures traced memory, not process size."""
    # A low limit, so that the cache of decoded functions is full before the first measurement.
    monkeypatch.setattr("walnutpost.daemon.dynamic_functions.MAX_DECODED_FUNCTIONS", 16)
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        max_log_entries = 2 * CHANGES_PER_BURST
        fleet.start_relay(
            ConfigStore.from_entries(fleet.relay.store.entries, 1, max_log_entries=max_log_entries)
        )
        fleet.front.stop()
        fleet.front.close()
        fleet.start_front_end(listed=False)
        tracemalloc.start()
        try:
            for burst in range(WARM_UP_BURSTS):
                apply_burst(fleet, burst)
            measure_memory(fleet)
            before = measure_memory(fleet)
            for burst in range(WARM_UP_BURSTS, WARM_UP_BURSTS + MEASURED_BURSTS):
                apply_burst(fleet, burst)
            after = measure_memory(fleet)
        finally:
            tracemalloc.stop()
        assert fleet.config_watch.watch_state.applied_revision > 10_000
        assert after[0] - before[0] < 100_000, (before, after)
        assert after[1] - before[1] < 500, (before, after)

    fleet.run_script(script)
