"""Replicas of other versions and older disks: the bytes of commands, results and states do not change, and
the same log gives the same state."""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest

from walnutpost.consensus import LogEntry
from walnutpost.fleet import (
    Command,
    Fleet,
    agent_effects,
    agent_inputs,
    agent_instance,
    agent_process,
    agent_reports,
    agent_state,
    agent_transitions,
    analysis,
    budgets,
    commands,
    context,
    endpoints,
    leases,
    machine,
    members,
    permit_holder,
    permits,
    plan_progress,
    plans,
    retention,
    settings,
    state,
)
from walnutpost.testsupport.fleet.command_samples import COMMANDS, GOLDEN, HISTORY_COMMANDS, applied
from walnutpost.testsupport.golden.samples import check_covered, check_fields_distinguishable, structs_of

MODULES = (
    agent_effects,
    agent_inputs,
    agent_instance,
    agent_process,
    agent_reports,
    agent_state,
    agent_transitions,
    analysis,
    budgets,
    commands.encoding,
    commands.members,
    commands.permits,
    commands.plans,
    commands.records,
    commands.settings,
    context,
    endpoints,
    leases,
    machine,
    members,
    permit_holder,
    permits,
    plan_progress,
    plans,
    retention,
    settings,
    state,
)
# `Fleet.snapshot` writes it as a `FleetState` with the config store added.
FRAMES: set[type[msgspec.Struct]] = {machine.StateSnapshot}


def values() -> list[object]:
    """Return the golden values, with the states of fleets, which are no structs themselves."""
    golden = GOLDEN.values()
    return golden + [each.state for each in golden if isinstance(each, Fleet)]


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_golden_file_has_exactly_these_forms() -> None:
    GOLDEN.check_names()


def test_each_command_and_each_stored_type_has_a_golden_form() -> None:
    check_covered(get_args(Command), COMMANDS.values())
    wanted = {kind for module in MODULES for kind in structs_of(module)} - FRAMES
    check_covered(wanted, values())


def test_golden_history_has_all_types_of_commands_except_those_that_would_end_its_permits_and_halts() -> None:
    missing = set(get_args(Command)) - {type(command) for command in HISTORY_COMMANDS}
    assert missing == {commands.AbandonPermit, commands.RevokePermit, commands.ResumePlan}


def test_golden_values_show_a_change_of_order_or_default_of_any_field() -> None:
    check_fields_distinguishable(values())


def test_golden_history_gives_the_golden_results_and_state() -> None:
    entries = msgspec.msgpack.decode(GOLDEN["history.entries"], type=tuple[LogEntry, ...])
    fleet = Fleet()
    assert msgspec.msgpack.encode(applied(fleet, entries)) == GOLDEN["history.answers"]
    assert fleet.snapshot() == GOLDEN["state-snapshot.after-the-history"]


def test_golden_history_gives_the_same_state_from_a_snapshot_at_any_entry() -> None:
    entries = msgspec.msgpack.decode(GOLDEN["history.entries"], type=tuple[LogEntry, ...])
    for cut in range(len(entries)):
        fleet = Fleet()
        applied(fleet, entries[:cut])
        fleet = Fleet.restore(fleet.snapshot())
        applied(fleet, entries[cut:])
        assert fleet.snapshot() == GOLDEN["state-snapshot.after-the-history"]
