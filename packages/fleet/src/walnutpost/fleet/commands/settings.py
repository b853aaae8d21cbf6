"""Commands about budgets, versions, manual changes, and the config store."""

from __future__ import annotations

from walnutpost.configstore.messages import Mutation
from walnutpost.fleet.commands.records import ArrayRecord


class DisruptionBudget(ArrayRecord, frozen=True):
    """How many members of a kind may be unavailable at once.

    Either `max_unavailable`, or `max_unavailable_ratio` of the members, rounded down but at least one, since
    no member could ever be replaced otherwise. `zone`: empty counts all zones together, `*` each zone alone.
    """

    kind: str
    zone: str = ""
    max_unavailable: int | None = None
    max_unavailable_ratio: float | None = None

    def limit(self, members: int) -> int:
        """Return how many of this number of members may be unavailable."""
        if self.max_unavailable is not None:
            return self.max_unavailable
        return max(1, int((self.max_unavailable_ratio or 0.0) * members))


class SetBudgets(ArrayRecord, frozen=True, tag="SetBudgets"):
    """Replaces all disruption budgets."""

    budgets: tuple[DisruptionBudget, ...]


class StoreVersion(ArrayRecord, frozen=True, tag="Keep"):
    """The content of a version, which is named by its digest."""

    version: str
    content: bytes


class RecordManualChange(ArrayRecord, frozen=True, tag="Alone"):
    """A restart that an operator ordered from an agent while there was no quorum, reported afterwards.

    `recorded_at_s`: seconds by the agent's wall clock, for information only.
    """

    member: str
    operator: str
    reason: str
    version: str
    recorded_at_s: float


class ApplyChangeSet(ArrayRecord, frozen=True, tag="SetEntries"):
    """One change set of the config store, validated by the leader against the store at `base_revision`.

    It is rejected if another one was applied first; that result is not stored, so its id may be used again.
    """

    mutations: tuple[Mutation, ...]
    base_revision: int
    operator: str = ""


class UpdateFollowers(ArrayRecord, frozen=True, tag="Followers"):
    """Who follows the config store, as pairs of name and incarnation.

    `joined` replaces another incarnation of the same name; `left` counts only for the incarnation known.
    """

    joined: tuple[tuple[str, str], ...] = ()
    left: tuple[tuple[str, str], ...] = ()
