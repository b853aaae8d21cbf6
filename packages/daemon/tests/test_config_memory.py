"""Memory of a front end that follows many changes of the configuration store."""

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

LIVE_FUNCTIONS = 30  # functions besides the fleet's own that exist at a time
CHANGES_PER_BURST = 200
WARM_UP_BURSTS, MEASURED_BURSTS = 12, 50
ADDED_ENTRY, CHANGED_ENTRY = function_entry(), function_entry(2)
SHORT_DEADLINE = base64.b64encode(b'{"custom": {"deadline-ms": 20}}').decode()


def apply_burst(f: ConfigFleet, burst: int) -> None:
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
    f.until(lambda: f.watch.watch_state.applied_revision == revision)
    added = [f"added{number - n}" for n in range(LIVE_FUNCTIONS)]
    calls = [
        f.loop.spawn(lambda name=name: f.invoke(name, x_amz_client_context=SHORT_DEADLINE)) for name in added
    ]
    assert {call.join().status for call in calls} == {429}  # no workers: their records would grow
    assert f.front.catalogue.functions["left"].version == str(number + 2)
    f.loop.sleep(4 * SECOND)
    f.log.lines.clear()
    f.relay.requests.clear()


def measure_memory(f: ConfigFleet) -> tuple[int, int]:
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
    f = ConfigFleet(tmp_path)

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
        assert f.watch.watch_state.applied_revision > 10_000
        assert after[0] - before[0] < 100_000, (before, after)
        assert after[1] - before[1] < 500, (before, after)

    f.play(script)
