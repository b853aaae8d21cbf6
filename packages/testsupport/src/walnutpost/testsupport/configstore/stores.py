"""Stores and mutations for tests."""

from __future__ import annotations

from walnutpost.configstore import ConfigStore, Entry, Mutation


def ops(*keys: str, value: bytes | None = b"v") -> tuple[Mutation, ...]:
    """Return mutations that set functions to `value`, or delete them if it is None."""
    return tuple(Mutation(f"function/{key}", value) for key in keys)


def filled(number: int = 300, **limits: int) -> ConfigStore:
    """Return a store with `number` entries at revisions 2, 4, 6, ...: other commands lie between them."""
    store = ConfigStore(**limits)
    for n in range(number):
        store.propose(2 * n + 2, ops(f"f{n:05}", value=b"%d" % n))
    return store


def flip(store: ConfigStore, key: str, value: bytes = b"flipped") -> None:
    """Replace the value of an entry without an update of the digests, as a memory fault does."""
    held = store.entries[key]
    store.entries = store.entries.set(key, Entry(key, value, held.revision))
