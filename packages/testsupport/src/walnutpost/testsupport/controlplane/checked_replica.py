"""A replica as `walnutpost control-plane` starts it, with `check` as the validation of change sets."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from walnutpost.cli import fleet_processes
from walnutpost.cli.main import main
from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.controlplane import ControlPlaneReplica

MAX_LIMIT = 1000


def check(store: ConfigStore, mutations: Sequence[Mutation]) -> list[str]:
    """Return the errors of a change set.

    Limits are numbers up to MAX_LIMIT and are never lowered; everything else is accepted.
    """
    errors = []
    for mutation in mutations:
        kind, _, name = mutation.key.partition("/")
        if kind != "limit" or mutation.value is None:
            continue
        entry = store.entries.get(mutation.key)
        min_limit = 0 if entry is None else int(entry.value)
        if not mutation.value.isdigit() or not min_limit <= int(mutation.value) <= MAX_LIMIT:
            found = mutation.value.decode()
            errors.append(f"limit {name}: found {found!r}, wanted {min_limit} to {MAX_LIMIT}")
    return errors


class CheckedReplica(ControlPlaneReplica):
    """A replica whose change sets are validated by `check`."""

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self._context.changes._check = check


if __name__ == "__main__":
    assert vars(fleet_processes)["ControlPlaneReplica"] is ControlPlaneReplica
    vars(fleet_processes)["ControlPlaneReplica"] = CheckedReplica
    main(prog_name="walnutpost")
