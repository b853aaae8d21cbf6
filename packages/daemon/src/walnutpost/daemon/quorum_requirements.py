"""What the class of a deferred call requires of its replication."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.config.journal import ReplicationConfig
from walnutpost.gateway import Function


@dataclass(frozen=True, slots=True)
class QuorumRequirement:
    """How many replicas an entry needs, and whether any smaller number is accepted too."""

    replicas: int
    accepts_fewer: bool


@dataclass(frozen=True, order=True, slots=True)
class _Strictness:
    """Order of requirements: one that refuses calls on a shortage is above all others."""

    refuses_on_shortage: bool
    replicas: int


class QuorumRequirements:
    """The requirements of all classes, in the order of the classes' indexes."""

    def __init__(self, classes: list[ReplicationConfig]) -> None:
        self._requirements = [_requirement(section) for section in classes]
        self._strictest = _requirement(max(classes, key=_strictness))

    def of_function(self, function: Function | None) -> QuorumRequirement:
        """Return what the function's class requires; the strictest class's if the function was removed."""
        return self._requirements[function.class_index] if function is not None else self._strictest


def _requirement(section: ReplicationConfig) -> QuorumRequirement:
    return QuorumRequirement(section.replicas, accepts_fewer=section.on_shortage == "less")


def _strictness(section: ReplicationConfig) -> _Strictness:
    return _Strictness(section.on_shortage == "refuse", section.replicas)
