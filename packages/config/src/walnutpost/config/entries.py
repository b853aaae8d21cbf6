"""The settings that a fleet agrees on, as entries of its table: a key `class/NAME`, `function/NAME` or
`tenant/NAME` for each line of a configuration's `site`, and as value that line in canonical JSON: keys in
order, no spaces, defaults left out. The same settings are the same bytes, whoever writes them.

Members act on a function's entry as it changes, on all others as they stood at their start. So nothing but
functions may change once it is agreed on: what is told to be in force must be."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType

from pydantic import ValidationError

from walnutpost.config.base import Strict
from walnutpost.config.load import FOUND_MOST, error_line
from walnutpost.config.model import CLASSES_MOST, CallClass, FunctionLine, Site, TenantLine
from walnutpost.config.settings import function
from walnutpost.configstore import MAX_CHANGE_SET_BYTES, MAX_MUTATIONS, Entry, Mutation, encode
from walnutpost.gateway import Function

CLASS, FUNCTION, TENANT = "class/", "function/", "tenant/"
KINDS: Mapping[str, type[Strict]] = MappingProxyType(
    {CLASS: CallClass, FUNCTION: FunctionLine, TENANT: TenantLine}
)
AT_START = "taken up at a start only"
SPARE = 64  # bytes of a change set beside its ops, at the least


def value_of(line: Strict) -> bytes:
    """A line as the table holds it."""
    told = line.model_dump(mode="json", by_alias=True, exclude_defaults=True)
    return json.dumps(told, sort_keys=True, separators=(",", ":")).encode()


def entries_of(site: Site) -> dict[str, bytes]:
    """All that a fleet agrees on of a site, by key."""
    lines: tuple[tuple[str, Mapping[str, Strict]], ...] = (
        (CLASS, site.classes),
        (FUNCTION, site.functions),
        (TENANT, site.tenants),
    )
    return {kind + name: value_of(line) for kind, named in lines for name, line in named.items()}


class Held(Mapping[str, bytes]):
    """A table's values by key, read where they stand."""

    def __init__(self, entries: Mapping[str, Entry]) -> None:
        self._entries = entries

    def __getitem__(self, key: str) -> bytes:
        return self._entries[key].value

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def __len__(self) -> int:
        return len(self._entries)


def function_of(name: str, value: bytes, classes: Sequence[str]) -> Function:
    """What a gateway is given for the entry `function/name`. `classes`: in the order of the settings that it
    was started with. Raises ValueError, naming key, field, found and wanted."""
    key = FUNCTION + name
    line = _line_of(key, value)
    assert isinstance(line, FunctionLine)
    if line.class_ not in classes:
        raise ValueError(_unknown_class(key, line, classes))
    return function(name, line, classes)


def differences(held: Mapping[str, bytes], wanted: Mapping[str, bytes]) -> tuple[Mutation, ...]:
    """What makes `held` into `wanted`, in an order that any part of it from the first on may be agreed to:
    a class comes before the functions that name it, and goes after them."""
    ops = [Mutation(key, value) for key, value in wanted.items() if held.get(key) != value]
    ops += [Mutation(key, None) for key in held if key not in wanted]
    return tuple(sorted(ops, key=_order))


def _order(op: Mutation) -> tuple[int, str]:
    if op.key.startswith(FUNCTION):
        return (1 if op.value is not None else 2), op.key
    return (0 if op.value is not None else 3), op.key


def parts_of(ops: Sequence[Mutation]) -> list[tuple[Mutation, ...]]:
    """Change sets, in order, none beyond what one may hold."""
    parts: list[tuple[Mutation, ...]] = []
    size = MAX_CHANGE_SET_BYTES
    for op in ops:
        own = len(encode(op))
        if not parts or size + own > MAX_CHANGE_SET_BYTES or len(parts[-1]) == MAX_MUTATIONS:
            parts.append(())
            size = SPARE
        parts[-1] += (op,)
        size += own
    return parts


def check(held: Mapping[str, bytes], ops: Sequence[Mutation]) -> list[str]:
    """What is wrong with these changes as settings, on what is held: a line for each fault, with key, field,
    found and wanted. Reads the entries that it changes and the classes that these name; all functions only
    where a class goes, all keys where one comes."""
    changes = {op.key: op.value for op in ops}

    def after(key: str) -> bytes | None:
        return changes[key] if key in changes else held.get(key)

    wrong: list[str] = []
    for key, value in changes.items():
        kind = key[: key.find("/") + 1]
        if kind not in KINDS:
            kinds = ", ".join(each + "NAME" for each in KINDS)
            wrong.append(f"{key}: (key): found {kind or key!r}; wanted one of {kinds}")
        elif value is None:
            if key not in held:
                wrong.append(f"{key}: (top): found nothing to delete; wanted a key that is agreed on")
            elif kind == TENANT:
                wrong.append(_at_start(key, "a deletion"))
            elif kind == CLASS:
                wrong += _goes(key, held, changes)
        else:
            wrong += _stands(key, value, held, after)
    return wrong + _too_many(held, changes)


def _stands(
    key: str, value: bytes, held: Mapping[str, bytes], after: Callable[[str], bytes | None]
) -> list[str]:
    """What is wrong with a line that is to stand under a key."""
    try:
        line = _line_of(key, value)
    except ValueError as error:
        return str(error).splitlines()
    if (canonical := value_of(line)) != value:  # else two who agree would differ by digest
        return [f"{key}: (top): found {_short(value)}; wanted its canonical form {_short(canonical)}"]
    if key == TENANT + "-":
        return [f"{key}: (key): found '-'; wanted another name: it stands for nobody"]
    if (known := held.get(key)) is not None and known != value and not key.startswith(FUNCTION):
        return [_changed(key, known, value)]
    if isinstance(line, FunctionLine) and after(CLASS + line.class_) is None:
        return [_unknown_class(key, line, [k[len(CLASS) :] for k in held if k.startswith(CLASS)])]
    return []


def _line_of(key: str, value: bytes) -> Strict:
    """Raises ValueError with a line for each fault."""
    model = KINDS[key[: key.index("/") + 1]]
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        raise ValueError("\n".join(error_line(key, dict(e)) for e in error.errors())) from None


def _goes(key: str, held: Mapping[str, bytes], changes: Mapping[str, bytes | None]) -> list[str]:
    """A class may go once no function names it: then nobody acts on it."""
    name = key[len(CLASS) :]
    # Values are canonical, so the name of the class stands in them as it does here.
    named = f'"class":{json.dumps(name)}'.encode()
    users = [k for k, value in held.items() if k not in changes and k.startswith(FUNCTION) and named in value]
    users += [k for k, v in changes.items() if v is not None and k.startswith(FUNCTION) and named in v]
    if not users:
        return []
    more = f" and {len(users) - 1} more" if len(users) > 1 else ""
    return [f"{key}: (top): found a deletion; wanted no function to name it, as {min(users)} does{more}"]


def _too_many(held: Mapping[str, bytes], changes: Mapping[str, bytes | None]) -> list[str]:
    coming = [k for k, v in changes.items() if k.startswith(CLASS) and v is not None and k not in held]
    if not coming:
        return []
    known = sum(k.startswith(CLASS) and k not in changes for k in held)
    known += sum(k.startswith(CLASS) and v is not None for k, v in changes.items())
    if known <= CLASSES_MOST:
        return []
    return [f"{coming[0]}: (top): found {known} classes with it; wanted {CLASSES_MOST} at most"]


def _changed(key: str, known: bytes, value: bytes) -> str:
    was, now = json.loads(known), json.loads(value)
    fields = [f for f in sorted({*was, *now}) if was.get(f) != now.get(f)]
    found = ", ".join(json.dumps(now[f]) if f in now else "its default" for f in fields)
    wanted = ", ".join(json.dumps(was[f]) if f in was else "its default" for f in fields)
    way = "; a class of another name may be added" if key.startswith(CLASS) else ""
    return f"{key}: {', '.join(fields)}: found {found}; wanted {wanted}, as agreed: {AT_START}{way}"


def _at_start(key: str, found: str) -> str:
    return f"{key}: (top): found {found}; wanted it as agreed: {AT_START}"


def _unknown_class(key: str, line: FunctionLine, classes: Sequence[str]) -> str:
    return f"{key}: class: found {line.class_!r}; wanted one of {', '.join(sorted(classes)) or 'none known'}"


def _short(value: bytes) -> str:
    text = value.decode("utf-8", "replace")
    return text if len(text) <= FOUND_MOST else text[:FOUND_MOST] + "..."
