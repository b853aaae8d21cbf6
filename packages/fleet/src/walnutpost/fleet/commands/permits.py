"""Commands about permits to take a member out, and about drains that end."""

from __future__ import annotations

from walnutpost.fleet.commands.records import ArrayRecord


class RequestPermit(ArrayRecord, frozen=True, tag="Ask"):
    """`holder` asks to take the member out for `plan`; without a plan it acts for an operator."""

    member: str
    holder: str
    reason: str
    plan: str = ""


class BeginPermit(ArrayRecord, frozen=True, tag="Began"):
    """The holder has begun to take the member out."""

    permit: str
    holder: str


class AbandonPermit(ArrayRecord, frozen=True, tag="Unbegun"):
    """The holder has not begun, and never will under this permit."""

    permit: str
    holder: str


class Acknowledgement(ArrayRecord, frozen=True):
    """A front end's process acts on the list of workers of log entry `index`."""

    member: str
    incarnation: str
    index: int


class ConfirmPermit(ArrayRecord, frozen=True, tag="Clear"):
    """All responsive front ends act on a list without the worker, so it may stop.

    `acknowledgements`: those reported to the leader; they are checked against the members when applied.
    """

    permit: str
    acknowledgements: tuple[Acknowledgement, ...]


class EndDrain(ArrayRecord, frozen=True, tag="Return"):
    """An operator lets a drained member come back."""

    member: str
    operator: str


class CompletePermit(ArrayRecord, frozen=True, tag="Back"):
    """The member is ready again as this incarnation, and its permit ends.

    `failure`: why it does not run the version that its plan wants; empty if the plan may simply retry.
    """

    permit: str
    holder: str
    incarnation: str
    version: str = ""
    failure: str = ""
    address: str = ""


class RevokePermit(ArrayRecord, frozen=True, tag="Remove"):
    """An operator states that the member is available, without regard to the permit's holder."""

    permit: str
    operator: str
