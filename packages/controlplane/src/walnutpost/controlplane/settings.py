"""Settings of a replica."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from walnutpost.consensus import Timing
from walnutpost.controlplane.changes import Check
from walnutpost.fleet import AnalysisPolicy
from walnutpost.store.replica import MAX_HISTORY_ENTRIES

Address = tuple[str, int]
MAX_LOG_ENTRIES = 5000
"""Entries after the snapshot before the next one is taken, by default."""


@dataclass(frozen=True, kw_only=True)
class ReplicaSettings:
    """Settings of one replica.

    `name`: its name in the configuration. `addresses`: where each replica of the configuration is reached, by
    name, itself too. `folder`: where its file is. `lease_us`: how long a member is responsive after a report.
    `is_bootstrap`: all replicas start for the first time and are each other's members; without it a replica
    with an empty disk waits to be added. `check`: validates change sets by the meaning of the settings.
    """

    name: str
    addresses: Mapping[str, Callable[[], Address]]
    listen: Address
    folder: Path
    timing: Timing
    lease_us: int
    is_bootstrap: bool = False
    max_log_entries: int = MAX_LOG_ENTRIES
    max_history_entries: int = MAX_HISTORY_ENTRIES
    analysis_policy: AnalysisPolicy = field(default_factory=AnalysisPolicy)
    check: Check | None = None
