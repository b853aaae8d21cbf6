"""Replication that is required for deferred calls of each class."""

from __future__ import annotations

from dataclasses import dataclass

from walnutpost.config.journal import ReplicationConfig
from walnutpost.gateway import Function


@dataclass(frozen=True, slots=True)
class QuorumRequirement:
    """The number of replicas that an entry needs, and whether a smaller number is accepted too."""

    replicas: int
    accepts_fewer: bool


@dataclass(frozen=True, order=True, slots=True)
class _Strictness:
    """Sort key of requirements: those that refuse calls on a shortage of replicas are the strictest."""

    refuses_on_shortage: bool
    replicas: int


class QuorumRequirements:
    """The requirements of all classes, ordered by class index."""

    def __init__(self, classes: list[ReplicationConfig]) -> None:
        self._requirements = [_requirement(section) for section in classes]
        self._strictest = _requirement(max(classes, key=_strictness))

    def of_function(self, function: Function | None) -> QuorumRequirement:
        """Return the requirement of a function's class, or the strictest one for a removed function."""
        return self._requirements[function.class_index] if function is not None else self._strictest


def _requirement(section: ReplicationConfig) -> QuorumRequirement:
    return QuorumRequirement(section.replicas, accepts_fewer=section.on_shortage == "less")


def _strictness(section: ReplicationConfig) -> _Strictness:
    return _Strictness(section.on_shortage == "refuse", section.replicas)
