"""The file of a replica: opened and loaded at its start, and opened again by the recovery of its disk."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from walnutpost.consensus import Members
from walnutpost.controlplane import wire
from walnutpost.controlplane.settings import ReplicaSettings
from walnutpost.eventloop import Logger, Loop
from walnutpost.store.replica import ConsensusStore, StoredConsensusState

OpenStore = Callable[[Loop, Path, int], ConsensusStore]
"""Opens the file at a path, for so many entries of history. Raises StoreError."""
DISK_ID_MASK = 0xFFFF_FFFF


class ReplicaFile:
    """Opens the replica's file, in the folder of its settings, which is created."""

    def __init__(self, loop: Loop, settings: ReplicaSettings, open_store: OpenStore) -> None:
        self._loop = loop
        self._settings = settings
        self._open_store = open_store
        settings.folder.mkdir(parents=True, exist_ok=True)

    def open(self) -> ConsensusStore:
        """Open or create the file. Raises StoreError."""
        path = self._settings.folder / f"{self._settings.name}.db"
        return self._open_store(self._loop, path, self._settings.max_history_entries)

    def load_or_create(self, store: ConsensusStore, seed: int, log: Logger) -> StoredConsensusState:
        """Return the state in the file; a new file gets its first one. Raises StoreError.

        `seed` is the source of the id of a new disk.
        """
        store.make_durable()  # the former process may have ended at a failed sync
        stored = store.load()
        settings = self._settings
        if stored is not None:
            if settings.is_bootstrap:
                log.warning("bootstrap_ignored", replica=stored.identity)
            return stored
        if settings.is_bootstrap:
            return store.create(settings.name, Members(tuple(settings.addresses)))
        disk_id = f"{seed & DISK_ID_MASK:08x}"
        return store.create(f"{settings.name}{wire.REPLICA_ID_SEPARATOR}{disk_id}", Members())
