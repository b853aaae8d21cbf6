"""The replicated state, as plain values.

They are written to snapshots as maps, under the names given by `field(name=...)` where these differ from the
attributes' own. Neither a stored name nor the order of fields may change: replicas compare snapshots by
bytes.
"""

from __future__ import annotations

import msgspec
from msgspec import field

from walnutpost.fleet.commands import Acknowledgement, CommandResult, DisruptionBudget, RecordManualChange


class StateRecord(msgspec.Struct):
    """A mutable part of the state; only the handlers of commands change it."""


class Member(StateRecord):
    """A named place in the fleet; `incarnation` is the process that has it now."""

    kind: str
    zone: str
    incarnation: str
    version: str = ""
    unresponsive: bool = field(default=False, name="silent")
    follows_endpoints: bool = field(default=False, name="follows")
    address: str = ""


class Permit(StateRecord):
    """The right of `holder` to take a member out, granted by log entry `granted_index`.

    It ends by a command alone (completed, abandoned, revoked, or its member forgotten), never by
    time. `confirmed_index`: the entry that confirmed it, 0 before; `acknowledgements`: those of all front
    ends for it. `return_requested`: an operator has ended the drain.
    """

    id: str
    member: str
    holder: str
    reason: str = field(name="why")
    granted_index: int = field(name="at")
    plan: str = ""
    has_begun: bool = field(default=False, name="began")
    confirmed_index: int = field(default=0, name="cleared")
    acknowledgements: tuple[Acknowledgement, ...] = field(default=(), name="acted")
    return_requested: bool = field(default=False, name="returning")


def permit_id_of(index: int) -> str:
    """Return the id of the permit that log entry `index` grants."""
    return f"p{index}"


def grant_index_of(permit: str) -> int:
    """Return the log entry that granted a permit, by its id: an older state can't contain it."""
    return int(permit[1:])


class Plan(StateRecord):
    """A release, rollback or drain. `members`: in the order in which they are taken out, zones interleaved.

    `step`: how many steps have passed their verdict. `halt_reason` and `end_reason` are empty while it is not
    halted or ended. `baseline`: call counts of the old version, from earlier steps.
    """

    id: str
    members: list[str] = field(name="order")
    version: str
    steps: list[float]
    rollback_version: str = field(name="back")
    step: int = 0
    completed: list[str] = field(default_factory=list, name="done")
    halt_reason: str = field(default="", name="halted")
    end_reason: str = field(default="", name="ended")
    keeps_members_out: bool = field(default=False, name="stay")
    requires_verdict: bool = field(default=True, name="judged")
    baseline: tuple[int, ...] = field(default=(), name="before")

    def eligible_count(self) -> int:
        """Return how many members, from the first, may have begun: one, then a ratio of them at each step."""
        if not self.requires_verdict or self.step >= len(self.steps):
            return len(self.members)
        ratio = self.steps[self.step - 1] if self.step else 0.0
        return max(1, int(ratio * len(self.members) + ROUNDING))


ROUNDING = 1e-9  # so that int() of a product such as 0.29 * 100 is 29


class FleetState(StateRecord):
    """Everything but the config store. Dicts have the order of the log: the oldest entries come first.

    `endpoints_index`: the entry that last changed the list of workers. `manual_changes`: changes made
    without a quorum, newest last. `results`: by the id of the command, newest last. `followers`: of the
    config store, incarnations by name.
    """

    index: int = 0
    endpoints_index: int = field(default=0, name="listed")
    members: dict[str, Member] = field(default_factory=dict)
    permits: dict[str, Permit] = field(default_factory=dict)
    plans: dict[str, Plan] = field(default_factory=dict)
    versions: dict[str, bytes] = field(default_factory=dict)
    budgets: list[DisruptionBudget] = field(default_factory=list)
    halt_reason: str = field(default="", name="halted")
    manual_changes: list[RecordManualChange] = field(default_factory=list, name="alone")
    results: dict[str, CommandResult] = field(default_factory=dict, name="answers")
    followers: dict[str, str] = field(default_factory=dict)
