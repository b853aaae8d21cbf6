"""Errors of the configuration store. All derive from ConfigStoreError."""

from __future__ import annotations

from collections.abc import Sequence


class ConfigStoreError(Exception):
    """Base class of all errors of this package."""


class InvalidMessageError(ConfigStoreError):
    """Bytes that are not a message of the expected type and format."""


class InvalidChangeError(ConfigStoreError):
    """A change set was rejected and the store is unchanged.

    `errors`: one text for each fault with its place, the value found and the one wanted; the message joins
    them.
    """

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


class OutOfOrderError(ConfigStoreError):
    """A change set is not newer than the store's revision; the store is unchanged.

    `found`: the revision of the change set; `current`: that of the store.
    """

    def __init__(self, found: int, current: int) -> None:
        super().__init__(f"found revision {found}, wanted one after {current}")
        self.found = found
        self.current = current


class DigestMismatchError(ConfigStoreError):
    """The store would differ from the committed one after a change set; the store is unchanged.

    `found`: the digest computed here; `wanted`: the one that was committed with the change set.
    """

    def __init__(self, revision: int, found: int, wanted: int) -> None:
        super().__init__(f"digest {found:016x} at revision {revision}, committed was {wanted:016x}")
        self.revision = revision
        self.found = found
        self.wanted = wanted


class InvalidSnapshotError(ConfigStoreError):
    """Bytes that are no snapshot of a store, or a damaged one."""


class InvalidRevisionError(ConfigStoreError, ValueError):
    """A member claims to have applied a revision that its store has not reached.

    `found`: the claimed revision; `current`: that of the store.
    """

    def __init__(self, found: int, current: int) -> None:
        super().__init__(f"applied revision {found}, the store is at {current}")
        self.found = found
        self.current = current


class NoRelaysError(ConfigStoreError, ValueError):
    """There is no relay to select from."""

    def __init__(self) -> None:
        super().__init__("relays: found none, wanted at least one")
