"""Commands about members: their registration, responsiveness and removal."""

from __future__ import annotations

from walnutpost.fleet.commands.records import ArrayRecord

FRONT_END, WORKER = "front_end", "worker"  # kinds of members, as stored


class RegisterMember(ArrayRecord, frozen=True, tag="Enter"):
    """A process is ready. A known name with another incarnation replaces the process of that name.

    `follows_endpoints`: it acts on the fleet's list of workers and acknowledges each version of it.
    `address`: of a worker; empty if it is not known.
    """

    member: str
    kind: str
    zone: str
    incarnation: str
    version: str = ""
    follows_endpoints: bool = False
    address: str = ""


class MarkUnresponsive(ArrayRecord, frozen=True, tag="Silent"):
    """The lease of this incarnation has expired: it counts as unavailable."""

    member: str
    incarnation: str


class MarkResponsive(ArrayRecord, frozen=True, tag="Heard"):
    """This incarnation reports again after its lease had expired."""

    member: str
    incarnation: str


class ForgetMember(ArrayRecord, frozen=True, tag="Forget"):
    """An operator removes a member, or a follower of the config store, for good."""

    member: str
