"""Commands about permits to take a member out, and about drains that end."""

from __future__ import annotations

from walnutpost.fleet.commands.records import ArrayRecord


class RequestPermit(ArrayRecord, frozen=True, tag="Ask"):
    """`holder` asks to take the member out, for `plan`; an empty plan means by hand."""

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
    """This process acts on the list of workers of log entry `index`."""

    member: str
    incarnation: str
    index: int


class ConfirmPermit(ArrayRecord, frozen=True, tag="Clear"):
    """All responsive front ends act on a list without the worker, so it may end.

    `acknowledgements` is what the leader has heard; it is checked against the members when it is applied.
    """

    permit: str
    acknowledgements: tuple[Acknowledgement, ...]


class EndDrain(ArrayRecord, frozen=True, tag="Return"):
    """An operator lets a drained member come back."""

    member: str
    operator: str


class CompletePermit(ArrayRecord, frozen=True, tag="Back"):
    """The member is ready again as this incarnation, and its permit ends.

    `failure`: why it does not run the version that its plan wants; empty where the plan may simply retry.
    """

    permit: str
    holder: str
    incarnation: str
    version: str = ""
    failure: str = ""
    address: str = ""


class RevokePermit(ArrayRecord, frozen=True, tag="Remove"):
    """An operator vouches that the member is available, whatever the permit's holder does."""

    permit: str
    operator: str
