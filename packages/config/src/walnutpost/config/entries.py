"""The settings that a fleet agrees on, as entries of its configuration store.

A key `class/NAME`, `function/NAME` or `tenant/NAME` for each item of a configuration's `site`, and as value
that item in canonical JSON: keys in order, no spaces, defaults left out. So the same settings are the same
bytes, whoever writes them.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping, Sequence
from types import MappingProxyType

from pydantic import ValidationError

from walnutpost.config.base import StrictModel
from walnutpost.config.conversion import build_function
from walnutpost.config.errors import InvalidEntryError
from walnutpost.config.files import describe_errors
from walnutpost.config.site import CallClass, FunctionConfig, Site, TenantConfig
from walnutpost.configstore import MAX_CHANGE_SET_BYTES, MAX_MUTATIONS, Entry, Mutation, encode
from walnutpost.gateway import Function

CLASS_PREFIX = "class/"
FUNCTION_PREFIX = "function/"
TENANT_PREFIX = "tenant/"
MODEL_BY_PREFIX: Mapping[str, type[StrictModel]] = MappingProxyType(
    {CLASS_PREFIX: CallClass, FUNCTION_PREFIX: FunctionConfig, TENANT_PREFIX: TenantConfig}
)
CHANGE_SET_OVERHEAD_BYTES = 64  # of a change set beside its mutations, at least


class EntryValues(Mapping[str, bytes]):
    """A store's values by key; a view, so that large stores are not copied."""

    def __init__(self, entries: Mapping[str, Entry]) -> None:
        """Show the values of `entries`, which may change."""
        self._entries = entries

    def __getitem__(self, key: str) -> bytes:
        """Return the value of a key. Raises KeyError."""
        return self._entries[key].value

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys."""
        return iter(self._entries)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)


# Encoding


def encode_value(item: StrictModel) -> bytes:
    """Encode a class, function or tenant as the value of an entry."""
    fields = item.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    return json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()


def encode_site(site: Site) -> dict[str, bytes]:
    """Return all that a fleet agrees on of a site, by key."""
    return (
        _encode_section(CLASS_PREFIX, site.classes)
        | _encode_section(FUNCTION_PREFIX, site.functions)
        | _encode_section(TENANT_PREFIX, site.tenants)
    )


def _encode_section(prefix: str, section: Mapping[str, StrictModel]) -> dict[str, bytes]:
    return {prefix + name: encode_value(item) for name, item in section.items()}


def decode_value(key: str, value: bytes) -> StrictModel:
    """Decode the value of a key with a known prefix. Raises InvalidEntryError with a line for each fault."""
    model = MODEL_BY_PREFIX[prefix_of(key)]
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        raise InvalidEntryError(key, describe_errors(key, error)) from None


def decode_function(name: str, value: bytes, classes: Sequence[str]) -> Function:
    """Decode the entry of a function for the gateway.

    `classes`: in the order of the settings that the gateway was started with. Raises InvalidEntryError.
    """
    key = FUNCTION_PREFIX + name
    function = decode_value(key, value)
    assert isinstance(function, FunctionConfig)
    if function.class_ not in classes:
        raise InvalidEntryError(key, [unknown_class_error(key, function, classes)])
    return build_function(name, function, classes)


def prefix_of(key: str) -> str:
    """Return a key up to its first slash, with it; "" if it has none."""
    return key[: key.find("/") + 1]


def unknown_class_error(key: str, function: FunctionConfig, classes: Sequence[str]) -> str:
    """Return the error of a function whose class is none of `classes`."""
    known = ", ".join(sorted(classes)) or "none known"
    return f"{key}: class: found {function.class_!r}; wanted one of {known}"


# Differences


def diff_entries(current: Mapping[str, bytes], wanted: Mapping[str, bytes]) -> tuple[Mutation, ...]:
    """Return the mutations that make `current` into `wanted`.

    Each first part of them is valid by itself: a class comes before the functions that name it, and is
    deleted after them.
    """
    mutations = [Mutation(key, value) for key, value in wanted.items() if current.get(key) != value]
    mutations += [Mutation(key, None) for key in current if key not in wanted]
    return tuple(sorted(mutations, key=_dependency_order))


def _dependency_order(mutation: Mutation) -> tuple[int, str]:
    is_deletion = mutation.value is None
    if mutation.key.startswith(FUNCTION_PREFIX):
        return (2 if is_deletion else 1), mutation.key
    return (3 if is_deletion else 0), mutation.key


def split_into_change_sets(mutations: Sequence[Mutation]) -> list[tuple[Mutation, ...]]:
    """Split mutations, in order, into parts that a change set may hold."""
    parts: list[list[Mutation]] = []
    size_bytes = MAX_CHANGE_SET_BYTES
    for mutation in mutations:
        own_bytes = len(encode(mutation))
        is_full = size_bytes + own_bytes > MAX_CHANGE_SET_BYTES
        if not parts or is_full or len(parts[-1]) == MAX_MUTATIONS:
            parts.append([])
            size_bytes = CHANGE_SET_OVERHEAD_BYTES
        parts[-1].append(mutation)
        size_bytes += own_bytes
    return [tuple(part) for part in parts]
