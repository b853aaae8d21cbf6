"""Revisions that a front end can't apply, and the validation of a replaced store."""

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


def test_invalid_revision_is_reported_and_no_part_of_it_applied(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

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
    f = ConfigFleet(tmp_path)

    def script() -> None:
        ghosts = [put_function(f"ghost{n}", 1, **{"class": "nowhere"}) for n in range(3)]
        f.relay.change([put_function("left", 2), *ghosts])
        f.until(lambda: "and 2 more" in f.relay.requests[-1].blocked_reason)
        f.change(*(delete_function(f"ghost{n}") for n in range(3)))
        assert f.invoked_version("left") == "2"
        assert len(f.front.catalogue.functions) == 5

    f.play(script)


def test_table_when_replaced_is_validated_in_batches_and_later_changes_are_not_missed(
    tmp_path: Path,
) -> None:
    f = ConfigFleet(tmp_path)

    def script() -> None:
        many = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(), 2)
            for n in range(3000)
        }
        counts_meanwhile: list[int] = []
        validated_count, validate = [0], f.watch.applier.validator.validation_error

        def run_meanwhile() -> None:
            while f.watch.applier.is_validating:
                counts_meanwhile.append(validated_count[0])
                f.loop.yield_now()

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 1:
                f.loop.spawn(run_meanwhile)
            elif validated_count[0] == 1000:
                f.relay.change([put_function("left", 9), delete_function("f17"), put_function("new", 3)])
            return validate(entry)

        f.watch.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        f.until(lambda: f.watch.watch_state.applied_revision == 51)
        assert f.invoked_version("left") == "9"
        assert f.invoke("f17").status == 404
        assert max(b - a for a, b in pairwise(counts_meanwhile)) <= VALIDATION_BATCH
        assert counts_meanwhile[-1] > 2900
        names = f.front.catalogue.functions
        assert len(names) == len(list(names)) == 5 + 3000
        assert names["new"].version == "3"

    f.play(script)


def test_changes_during_a_validation_apply_no_part_of_the_table(tmp_path: Path) -> None:
    f = ConfigFleet(tmp_path)

    def script() -> None:
        many = {
            FUNCTION_PREFIX + f"f{n}": Entry(FUNCTION_PREFIX + f"f{n}", function_entry(2), 2)
            for n in range(500)
        }
        many[FUNCTION_PREFIX + "ghost"] = Entry(
            FUNCTION_PREFIX + "ghost", function_entry(1, **{"class": "nowhere"}), 2
        )
        validated_count, validate = [0], f.watch.applier.validator.validation_error

        def validate_and_count(entry: Entry) -> str:
            validated_count[0] += 1
            if validated_count[0] == 100:
                f.relay.change([put_function("left", 9)])
                f.until(lambda: f.watch.watch_state.store.revision == 51)
            return validate(entry)

        f.watch.applier.validator.validation_error = validate_and_count  # type: ignore[method-assign]
        f.relay.table = ConfigStore.from_entries({**f.relay.table.entries, **many}, 50)
        f.relay.watch.store_changed()
        observed = set()
        while f.relay.requests[-1].revision < 51 or f.watch.applier.is_validating:
            observed.add((f.watch.watch_state.applied_revision, f.front.catalogue.functions["left"].version))
            f.loop.sleep(1000)
        f.loop.sleep(5 * SECOND)
        observed.add((f.watch.watch_state.applied_revision, f.front.catalogue.functions["left"].version))
        assert observed == {(1, "1")}
        assert "ghost" in f.relay.requests[-1].blocked_reason
        f.change(delete_function("ghost"))
        assert f.invoked_version("left") == "9"
        assert len(f.front.catalogue.functions) == 505

    f.play(script)
