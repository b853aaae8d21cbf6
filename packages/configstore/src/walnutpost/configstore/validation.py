"""Limits and shape of change sets. What values mean is checked by those who own them. No I/O.

The texts are stored in the replicated state as results of commands: they must be the same at all replicas
and in all versions.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Sequence

from walnutpost.configstore.digests import DIGEST_MASK
from walnutpost.configstore.messages import ChangeSet, Mutation, encode

KEY_PATTERN = re.compile(r"[a-z]{1,20}/[A-Za-z0-9_.-]{1,140}")
"""Form of a key: `kind/name`."""
KEY_FORMAT = "wanted kind/name, kind of 1 to 20 letters a-z, name of 1 to 140 of A-Z a-z 0-9 _ . -"
MAX_MUTATIONS = 1000
"""Mutations in one change set."""
MAX_VALUE_BYTES = 16 * 1024
MAX_CHANGE_SET_BYTES = 128 * 1024
"""Encoded size of a change set: a member that receives 22 KB a second has it in 6 of the 9 s it may take."""
MAX_SHOWN_KEY_CHARS = 200


def encoded_size(change: ChangeSet) -> int:
    """Return the encoded size of a change set in bytes."""
    return len(encode(change))


def validate_mutations(mutations: Sequence[Mutation]) -> list[str]:
    """Return the faults of a change set's shape, each with the value found and the one wanted."""
    faults = []
    if not 1 <= len(mutations) <= MAX_MUTATIONS:
        faults.append(f"change set: found {len(mutations)} keys, wanted 1 to {MAX_MUTATIONS}")
    for key, times in Counter(mutation.key for mutation in mutations).items():
        if not KEY_PATTERN.fullmatch(key):
            faults.append(f"key {key[:MAX_SHOWN_KEY_CHARS]!r}: {KEY_FORMAT}")
        if times > 1:
            faults.append(
                f"key {key[:MAX_SHOWN_KEY_CHARS]!r}: found {times} times in one change set, wanted once"
            )
    faults += [
        f"key {mutation.key[:MAX_SHOWN_KEY_CHARS]!r}: found a value of {len(mutation.value)} bytes, "
        f"wanted {MAX_VALUE_BYTES} at most"
        for mutation in mutations
        if mutation.value is not None and len(mutation.value) > MAX_VALUE_BYTES
    ]
    size = encoded_size(ChangeSet(DIGEST_MASK, tuple(mutations), DIGEST_MASK))
    if size > MAX_CHANGE_SET_BYTES:
        faults.append(f"change set: found {size} bytes encoded, wanted {MAX_CHANGE_SET_BYTES} at most")
    return faults
