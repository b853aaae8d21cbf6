"""Revisions that a front end can't apply, and validation after the whole store is replaced."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

from walnutpost.config.entries import FUNCTION_PREFIX
from walnutpost.configstore import ConfigStore, Entry
from walnutpost.daemon.config_validation import VALIDATION_BATCH
from walnutpost.testsupport.daemon.config_fleet import (
    ConfigFleet,
    delete_function,
    function_entry,
    put_function,
)
from walnutpost.testsupport.daemon.fleet import SECOND


def test_invalid_revision_is_reported_and_not_even_partly_applied(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def blocked_reason() -> str:
        return fleet.relay.requests[-1].blocked_reason

    def script() -> None:
        invalid = put_function("ghost", 1, **{"class": "nowhere"})
        fleet.relay.commit([put_function("left", 2), invalid])
        fleet.wait_until(lambda: blocked_reason() != "")
        assert "function/ghost" in blocked_reason()
        assert "nowhere" in blocked_reason()
        assert "valuation" in blocked_reason()
        assert fleet.invoked_version("left") == "1"
        assert fleet.invoke("ghost").status == 404
        fleet.relay.commit([put_function("right", 2)])  # valid, but it follows a blocked revision
        fleet.wait_until(lambda: fleet.relay.requests[-1].revision == 3)
        assert fleet.relay.requests[-1].applied_revision == 1
        assert blocked_reason()
        assert fleet.invoked_version("left") == fleet.invoked_version("right") == "1"
        assert fleet.count_logged("config_blocked", "nowhere") == 1
        fleet.commit_and_wait(put_function("ghost", 2))
        assert (fleet.invoked_version("left"), fleet.invoked_version("right")) == ("2", "2")
        fleet.wait_until(lambda: fleet.relay.requests[-1].applied_revision == 4 and not blocked_reason())

    fleet.run_script(script)


def test_invalid_revision_is_applied_after_its_invalid_entries_are_deleted(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        ghosts = [put_function(f"ghost{n}", 1, **{"class": "nowhere"}) for n in range(3)]
        fleet.relay.commit([put_function("left", 2), *ghosts])
        fleet.wait_until(lambda: "and 2 more" in fleet.relay.requests[-1].blocked_reason)
        fleet.commit_and_wait(*(delete_function(f"ghost{n}") for n in range(3)))
        assert fleet.invoked_version("left") == "2"
        assert len(fleet.front.catalogue.functions) == 5

    fleet.run_script(script)


def test_replaced_store_is_validated_in_batches_without_missing_concurrent_changes(
    tmp_path: Path,
) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        added_entries = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(), 2)
            for n in range(3000)
        }
        counts_during_validation: list[int] = []
        validated_count, validate = [0], fleet.config_watch.applier.validator.validation_error

        def record_counts() -> None:
            while fleet.config_watch.applier.is_validating:
                counts_during_validation.append(validated_count[0])
                fleet.loop.yield_now()

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 1:
                fleet.loop.spawn(record_counts)
            elif validated_count[0] == 1000:
                fleet.relay.commit([put_function("left", 9), delete_function("f17"), put_function("new", 3)])
            return validate(entry)

        fleet.config_watch.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        fleet.relay.store = ConfigStore.from_entries({**fleet.relay.store.entries, **added_entries}, 50)
        fleet.relay.watch_server.store_changed()
        fleet.wait_until(lambda: fleet.config_watch.watch_state.applied_revision == 51)
        assert fleet.invoked_version("left") == "9"
        assert fleet.invoke("f17").status == 404
        assert max(b - a for a, b in pairwise(counts_during_validation)) <= VALIDATION_BATCH
        assert counts_during_validation[-1] > 2900
        functions = fleet.front.catalogue.functions
        assert len(functions) == len(list(functions)) == 5 + 3000
        assert functions["new"].version == "3"

    fleet.run_script(script)


def test_change_during_validation_does_not_apply_an_invalid_store(tmp_path: Path) -> None:
    fleet = ConfigFleet(tmp_path)

    def script() -> None:
        added_entries = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(2), 2)
            for n in range(500)
        }
        added_entries[FUNCTION_PREFIX + "ghost"] = Entry(
            FUNCTION_PREFIX + "ghost", function_entry(1, **{"class": "nowhere"}), 2
        )
        validated_count, validate = [0], fleet.config_watch.applier.validator.validation_error

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 100:
                fleet.relay.commit([put_function("left", 9)])
                fleet.wait_until(lambda: fleet.config_watch.watch_state.store.revision == 51)
            return validate(entry)

        fleet.config_watch.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        fleet.relay.store = ConfigStore.from_entries({**fleet.relay.store.entries, **added_entries}, 50)
        fleet.relay.watch_server.store_changed()
        observed_states = set()
        while fleet.relay.requests[-1].revision < 51 or fleet.config_watch.applier.is_validating:
            observed_states.add(
                (
                    fleet.config_watch.watch_state.applied_revision,
                    fleet.front.catalogue.functions["left"].version,
                )
            )
            fleet.loop.sleep(1000)
        fleet.loop.sleep(5 * SECOND)
        observed_states.add(
            (fleet.config_watch.watch_state.applied_revision, fleet.front.catalogue.functions["left"].version)
        )
        assert observed_states == {(1, "1")}
        assert "ghost" in fleet.relay.requests[-1].blocked_reason
        fleet.commit_and_wait(delete_function("ghost"))
        assert fleet.invoked_version("left") == "9"
        assert len(fleet.front.catalogue.functions) == 505

    fleet.run_script(script)
