"""Commands about plans: releases, rollbacks and drains."""

from __future__ import annotations

from walnutpost.fleet.commands.records import ArrayRecord


class StartPlan(ArrayRecord, frozen=True, tag="Start"):
    """Starts a plan: a release or rollback of `members` to `version`, or a drain if `version` is empty.

    `steps`: ratios of the members that may have begun by each step, ascending to 1; a first step of one
    member precedes them. `rollback_version`: a failed step starts a rollback to it. `keeps_members_out`: a
    drain that keeps each member out until an operator ends it. `replaces`: the running plan that ends with
    this. `requires_verdict=False`: a release without analysis of its steps, such as a rollback.
    """

    plan: str
    members: tuple[str, ...]
    version: str = ""
    steps: tuple[float, ...] = (1.0,)
    rollback_version: str = ""
    keeps_members_out: bool = False
    replaces: str = ""
    requires_verdict: bool = True


class RecordStepVerdict(ArrayRecord, frozen=True, tag="Judge"):
    """The verdict on a step whose members are all back, by the leader's analysis or an operator.

    `baseline`: call counts of the members on the old version, for later steps in which no member runs it.
    """

    plan: str
    step: int
    passed: bool
    reason: str = ""
    baseline: tuple[int, ...] = ()


class HaltPlan(ArrayRecord, frozen=True, tag="Halt"):
    """No permit is granted any more for this plan, or for any plan if `plan` is empty."""

    reason: str
    plan: str = ""


class ResumePlan(ArrayRecord, frozen=True, tag="Resume"):
    """Ends the halt of this plan, or the general halt if `plan` is empty."""

    plan: str = ""
