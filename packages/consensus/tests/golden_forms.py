"""Golden files: the bytes that this project writes to wires and disks, in files that renames don't touch.

A package's `tests/*_forms.py` maps each golden name to its object in one place, as `GOLDEN`. The names are
neutral: they are those of no class. After a rename only that mapping changes, never the file. A golden file
that has to change means that older versions and older folders can't be read any more.

To write the forms that a file doesn't have yet (from the root of the repository):

    .venv/bin/python packages/consensus/tests/golden_forms.py fleet_forms

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

# Fields that name the format of what is written: any value but the default is refused by the reader.
FORMAT_FIELDS = frozenset({"format"})


def same(value: Any) -> Any:
    return value


@dataclass(frozen=True)
class Form:
    """One object and how it is written and read. `decode` None: it is written only. `compared`: what is
    compared of the object that was read and `value`, where it has no equality of its own. `agrees`: whether
    bytes that are written now, its first argument, are still the golden ones."""

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any] | None
    compared: Callable[[Any], Any] = same
    agrees: Callable[[bytes, bytes], bool] = operator.eq


def packed(value: Any, kind: Any = None) -> Form:
    """A value that `msgspec.msgpack` writes, and reads as `kind`: its own type where none is given."""
    return Form(value, msgspec.msgpack.encode, msgspec.msgpack.Decoder(kind or type(value)).decode)


def as_json(value: Any) -> Form:
    """Names and figures that are only compared, readable in the golden file."""
    return Form(value, lambda told: json.dumps(told).encode(), json.loads)


class Refused(Exception):
    """A golden form would change."""


@dataclass(frozen=True)
class Golden:
    """A golden file and the forms that it holds, by name."""

    path: Path
    about: str
    forms: Mapping[str, Form]

    def read(self) -> dict[str, bytes]:
        told = json.loads(self.path.read_text()) if self.path.exists() else {"forms": {}}
        return {name: _bytes_of(form) for name, form in told["forms"].items()}

    def __getitem__(self, name: str) -> bytes:
        return self.read()[name]

    def check_written(self, name: str) -> None:
        form = self.forms[name]
        now = form.encode(form.value)
        assert form.agrees(now, self[name]), f"{name}: other bytes than those of {self.path.name}: {now!r}"

    def check_read(self, name: str) -> None:
        form = self.forms[name]
        if form.decode is None:
            return
        read = form.compared(form.decode(self[name]))
        assert read == form.compared(form.value), f"{name}: {self.path.name} is read as another value"

    def check_names(self) -> None:
        assert list(self.read()) == list(self.forms)

    def values(self) -> list[Any]:
        return [form.value for form in self.forms.values()]

    def write(self, overwrite: bool = False) -> list[str]:
        """Adds what the file lacks, and returns its names. Raises Refused where a form that it has would
        change or go, unless `overwrite`."""
        had = self.read()
        now = {name: form.encode(form.value) for name, form in self.forms.items()}
        kept = [name for name in had if name in now and self.forms[name].agrees(now[name], had[name])]
        changed = [name for name in had if name not in kept]
        if changed and not overwrite:
            raise Refused(f"{self.path}: would change {', '.join(changed)}")
        now |= {name: had[name] for name in kept}
        told = {"about": self.about, "forms": {name: _form_of(data) for name, data in now.items()}}
        self.path.parent.mkdir(exist_ok=True)
        self.path.write_text(json.dumps(told, indent=1) + "\n")
        return changed + [name for name in now if name not in had]


def _form_of(data: bytes) -> dict[str, Any]:
    """Text as text or lines, so that people can read it; all else as hexadecimal digits."""
    try:
        text = data.decode("ascii")
    except UnicodeDecodeError:
        return {"hex": data.hex()}
    lines = text.split("\n")
    if not all(line.isprintable() for line in lines):
        return {"hex": data.hex()}
    return {"text": text} if len(lines) == 1 else {"lines": lines}


def _bytes_of(form: dict[str, Any]) -> bytes:
    if "hex" in form:
        return bytes.fromhex(form["hex"])
    text: str = form["text"] if "text" in form else "\n".join(form["lines"])
    return text.encode()


# What the forms cover


def structs_of(module: ModuleType) -> set[type[msgspec.Struct]]:
    """The structs that a module defines, but for bases that have no fields and only serve others."""
    found = {
        each
        for each in vars(module).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct) and each.__module__ == module.__name__
    }
    bases = {base for each in found for base in each.__mro__[1:]}
    return {each for each in found if each not in bases or each.__struct_fields__}


def within(value: Any) -> Iterator[msgspec.Struct]:
    """The structs in a value, itself too."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, Mapping):
        value = list(value.values())
    if isinstance(value, (tuple, list)):
        for each in value:
            yield from within(each)


def check_covered(wanted: Iterable[type], values: Iterable[Any], never_written: Iterable[type] = ()) -> None:
    """Each wanted type is in some form, or is named as one that is never written; not both."""
    written, never = {type(each) for each in within(list(values))}, set(never_written)
    assert not written & never, "named as never written, and in a golden form"
    left = {each.__name__ for each in set(wanted) - written - never}
    assert not left, f"in no golden form: {sorted(left)}"


def check_fields_told_apart(values: Iterable[Any]) -> None:
    """For each struct that is found in the forms: each field differs from its default in one of them, and any
    two fields differ from each other, so that neither can change places without another byte; and all
    defaults are in force in one."""
    found = defaultdict(list)
    for each in within(list(values)):
        found[type(each)].append(each)
    wrong = []
    for kind, instances in found.items():
        defaults = {f.name: _default(f) for f in structs.fields(kind) if not f.required}
        if defaults and not any(all(getattr(i, n) == d for n, d in defaults.items()) for i in instances):
            wrong.append(f"{kind.__name__}: never with all its defaults")
        for name, default in defaults.items():
            if name not in FORMAT_FIELDS and all(getattr(i, name) == default for i in instances):
                wrong.append(f"{kind.__name__}.{name}: always the default")
        for one, other in combinations(kind.__struct_fields__, 2):
            if all(_packed(getattr(i, one)) == _packed(getattr(i, other)) for i in instances):
                wrong.append(f"{kind.__name__}: {one} and {other} always the same")
    assert not wrong, wrong


def _packed(value: Any) -> bytes:
    """An unset value is not written at all, which is no value's bytes."""
    return b"" if value is msgspec.UNSET else msgspec.msgpack.encode(value)


def _default(field: structs.FieldInfo) -> Any:
    return field.default if field.default is not msgspec.NODEFAULT else field.default_factory()


def main(arguments: list[str]) -> int:
    packages = Path(__file__).resolve().parents[2]
    sys.path += [str(path) for path in sorted(packages.glob("*/tests"))]
    names = [name for name in arguments if name != "--overwrite"]
    if not names:
        print(__doc__)
        return 2
    for name in names:
        module = importlib.import_module(name)
        try:
            written = module.GOLDEN.write("--overwrite" in arguments)
        except Refused as refused:
            print(f"refused: {refused}", file=sys.stderr)
            return 1
        print(f"{module.GOLDEN.path}: wrote {', '.join(written) or 'nothing new'}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
