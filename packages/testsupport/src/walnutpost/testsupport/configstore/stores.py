"""Stores and mutations for tests."""

from __future__ import annotations

from walnutpost.configstore import ConfigStore, Entry, Mutation


def ops(*keys: str, value: bytes | None = b"v") -> tuple[Mutation, ...]:
    return tuple(Mutation(f"function/{key}", value) for key in keys)


def filled(number: int = 300, **limits: int) -> ConfigStore:
    """Entries at revisions 2, 4, 6, ...: the history has other things between them."""
    store = ConfigStore(**limits)
    for n in range(number):
        store.propose(2 * n + 2, ops(f"f{n:05}", value=b"%d" % n))
    return store


def flip(store: ConfigStore, key: str, value: bytes = b"flipped") -> None:
    held = store.entries[key]
    store.entries = store.entries.set(key, Entry(key, value, held.revision))
