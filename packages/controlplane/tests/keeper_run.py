"""A keeper's process as `walnutpost keeper` starts it, with a check of its own in place of the settings'."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from walnutpost.cli import keepers
from walnutpost.cli.main import main
from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.controlplane import Keeper

MOST = 1000


def check(table: ConfigStore, ops: Sequence[Mutation]) -> list[str]:
    """Limits are numbers up to MOST, and never lowered; all else may stand as it is."""
    wrong = []
    for op in ops:
        kind, _, name = op.key.partition("/")
        if kind != "limit" or op.value is None:
            continue
        held = table.entries.get(op.key)
        least = 0 if held is None else int(held.value)
        if not op.value.isdigit() or not least <= int(op.value) <= MOST:
            wrong.append(f"limit {name}: found {op.value.decode()!r}, wanted {least} to {MOST}")
    return wrong


class Checked(Keeper):
    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self._changes._check = check


if __name__ == "__main__":
    vars(keepers)["Keeper"] = Checked
    main(prog_name="walnutpost")
