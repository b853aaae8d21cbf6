"""Golden files: the bytes that this project writes to wires and disks, in files that renames don't touch.

A `*_samples` module below `walnutpost.testsupport`, or a test module, maps each golden name to its object in
one place, as `GOLDEN`. The names are neutral: they are those of no class. After a rename only that mapping
changes, never the file. A golden file that has to change means that older versions and older folders can't be
read any more.

To write the forms that a file doesn't have yet (from the root of the repository):

    .venv/bin/python -m walnutpost.testsupport.golden.samples walnutpost.testsupport.fleet.command_samples

It refuses to change a form that the file has, unless it is given `--overwrite`.
"""

from __future__ import annotations

import importlib
import json
import operator
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
from msgspec import structs

from walnutpost.testsupport.folders import PACKAGES

# Fields that name the format of what is written: any value but the default is refused by the reader.
FORMAT_FIELDS = frozenset({"format"})


class GoldenFormChangedError(Exception):
    """Forms that a golden file has would change or go: `names`."""

    def __init__(self, path: Path, names: list[str]) -> None:
        self.path = path
        self.names = names
        super().__init__(f"{path}: would change {', '.join(names)}")


def identity(value: Any) -> Any:
    return value


@dataclass(frozen=True)
class Form:
    """One object and how it is written and read.

    `decode`: None where it is only written. `comparable`: what to compare of the object that was read and of
    `value`, where it has no equality of its own. `is_equivalent`: whether the bytes written now, its first
    argument, still are the golden ones.
    """

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any] | None
    comparable: Callable[[Any], Any] = identity
    is_equivalent: Callable[[bytes, bytes], bool] = operator.eq


def packed(value: Any, kind: Any = None) -> Form:
    """Return the form of a value that `msgspec.msgpack` writes, and reads as `kind`, by default its type."""
    return Form(value, msgspec.msgpack.encode, msgspec.msgpack.Decoder(kind or type(value)).decode)


def as_json(value: Any) -> Form:
    """Return the form of names and numbers that are only compared, readable in the golden file."""
    return Form(value, lambda plain: json.dumps(plain).encode(), json.loads)


@dataclass(frozen=True)
class Golden:
    """A golden file and its forms, by name."""

    path: Path
    about: str
    forms: Mapping[str, Form]

    def read(self) -> dict[str, bytes]:
        content = json.loads(self.path.read_text()) if self.path.exists() else {"forms": {}}
        return {name: _bytes_of(stored) for name, stored in content["forms"].items()}

    def __getitem__(self, name: str) -> bytes:
        return self.read()[name]

    def check_written(self, name: str) -> None:
        form = self.forms[name]
        written = form.encode(form.value)
        is_same = form.is_equivalent(written, self[name])
        assert is_same, f"{name}: other bytes than those of {self.path.name}: {written!r}"

    def check_read(self, name: str) -> None:
        form = self.forms[name]
        if form.decode is None:
            return
        read = form.comparable(form.decode(self[name]))
        assert read == form.comparable(form.value), f"{name}: {self.path.name} is read as another value"

    def check_names(self) -> None:
        assert list(self.read()) == list(self.forms)

    def values(self) -> list[Any]:
        return [form.value for form in self.forms.values()]

    def write(self, overwrite: bool = False) -> list[str]:
        """Add what the file lacks, and return the names that were written.

        Raises GoldenFormChangedError where a form of the file would change or go, unless `overwrite`.
        """
        stored = self.read()
        written = {name: form.encode(form.value) for name, form in self.forms.items()}
        unchanged = [
            name
            for name, data in stored.items()
            if name in written and self.forms[name].is_equivalent(written[name], data)
        ]
        changed = [name for name in stored if name not in unchanged]
        if changed and not overwrite:
            raise GoldenFormChangedError(self.path, changed)
        written |= {name: stored[name] for name in unchanged}
        content = {"about": self.about, "forms": {name: _form_of(data) for name, data in written.items()}}
        self.path.parent.mkdir(exist_ok=True)
        self.path.write_text(json.dumps(content, indent=1) + "\n")
        return changed + [name for name in written if name not in stored]


def _form_of(data: bytes) -> dict[str, Any]:
    """Return text as text or lines, so that people can read it, and all else as hexadecimal digits."""
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    lines = text.split("\n")
    if not all(line.isprintable() for line in lines):
        return {"hex": data.hex()}
    return {"text": text} if len(lines) == 1 else {"lines": lines}


def _bytes_of(stored: dict[str, Any]) -> bytes:
    if "hex" in stored:
        return bytes.fromhex(stored["hex"])
    text: str = stored["text"] if "text" in stored else "\n".join(stored["lines"])
    return text.encode()


# What the forms cover


def structs_of(module: ModuleType) -> set[type[msgspec.Struct]]:
    """Return the structs that a module defines, but for bases without fields that only serve others."""
    found = {
        each
        for each in vars(module).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct) and each.__module__ == module.__name__
    }
    bases = {base for each in found for base in each.__mro__[1:]}
    return {each for each in found if each not in bases or each.__struct_fields__}


def structs_within(value: Any) -> Iterator[msgspec.Struct]:
    """Yield the structs in a value, itself included."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, Mapping):
        value = list(value.values())
    if isinstance(value, (tuple, list)):
        for each in value:
            yield from structs_within(each)


def check_covered(
    expected: Iterable[type], values: Iterable[Any], never_written: Iterable[type] = ()
) -> None:
    """Check that each expected type is in some form, or is named as one that is never written; not both."""
    written, never = {type(each) for each in structs_within(list(values))}, set(never_written)
    assert not written & never, "named as never written, and in a golden form"
    missing = {each.__name__ for each in set(expected) - written - never}
    assert not missing, f"in no golden form: {sorted(missing)}"


def check_fields_distinguishable(values: Iterable[Any]) -> None:
    """Check that no field of the structs in the forms can change without another byte in some form.

    Each field differs from its default in some form, any two fields differ from each other in some form, so
    that neither can change places unnoticed, and some form has all defaults.
    """
    found: defaultdict[type[msgspec.Struct], list[msgspec.Struct]] = defaultdict(list)
    for each in structs_within(list(values)):
        found[type(each)].append(each)
    wrong = []
    for kind, instances in found.items():
        wrong += [*_default_faults(kind, instances), *_equal_fields(kind, instances)]
    assert not wrong, wrong


def _default_faults(kind: type[msgspec.Struct], instances: list[msgspec.Struct]) -> Iterator[str]:
    defaults = {field.name: _default(field) for field in structs.fields(kind) if not field.required}
    has_all_defaults = any(
        all(getattr(instance, name) == default for name, default in defaults.items())
        for instance in instances
    )
    if defaults and not has_all_defaults:
        yield f"{kind.__name__}: never with all its defaults"
    for name, default in defaults.items():
        is_always_default = all(getattr(instance, name) == default for instance in instances)
        if name not in FORMAT_FIELDS and is_always_default:
            yield f"{kind.__name__}.{name}: always the default"


def _equal_fields(kind: type[msgspec.Struct], instances: list[msgspec.Struct]) -> Iterator[str]:
    for one, other in combinations(kind.__struct_fields__, 2):
        if all(_packed(getattr(i, one)) == _packed(getattr(i, other)) for i in instances):
            yield f"{kind.__name__}: {one} and {other} always the same"


def _packed(value: Any) -> bytes:
    """Return a value's bytes; an unset value is not written at all, which is no value's bytes."""
    return b"" if value is msgspec.UNSET else msgspec.msgpack.encode(value)


def _default(field: structs.FieldInfo) -> Any:
    return field.default if field.default is not msgspec.NODEFAULT else field.default_factory()


def main(arguments: list[str]) -> int:
    sys.path += [str(path) for path in sorted(PACKAGES.glob("*/tests"))]  # for a `GOLDEN` of a test module
    names = [name for name in arguments if name != "--overwrite"]
    if not names:
        print(__doc__)
        return 2
    for name in names:
        module = importlib.import_module(name)
        try:
            written = module.GOLDEN.write("--overwrite" in arguments)
        except GoldenFormChangedError as error:
            print(f"refused: {error}", file=sys.stderr)
            return 1
        print(f"{module.GOLDEN.path}: wrote {', '.join(written) or 'nothing new'}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
