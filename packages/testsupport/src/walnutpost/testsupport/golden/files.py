"""Golden files: what released code writes, as files that a test compares with what today's code writes.

A test module with golden files has a function `golden_files() -> dict[Path, bytes]`: each file's path with
the bytes that today's code makes of the object that the module names for it. A rename of classes or fields
changes that one place, and no file. New files are written by

    .venv/bin/python -m walnutpost.testsupport.golden.files test_journal_golden

which refuses to replace a file. Bytes that stored data or a peer of another version hold do not change: a
different golden file is a change of the format, and needs a reader of the former one.
"""

from __future__ import annotations

import dataclasses
import importlib
import itertools
import sqlite3
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from walnutpost.testsupport.folders import PACKAGES

Struct = TypeVar("Struct", bound=msgspec.Struct)


def write_golden_files(files: Mapping[Path, bytes], replace: bool = False) -> list[Path]:
    """Writes the files that do not exist yet and returns their paths. One that exists with other bytes is
    an error before anything is written, unless `replace`."""
    changed = {path: data for path, data in files.items() if not path.exists() or path.read_bytes() != data}
    if not replace and (existing := sorted(str(path) for path in changed if path.exists())):
        raise FileExistsError(f"golden files with other bytes: {', '.join(existing)}")
    for path, data in changed.items():
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    return sorted(changed)


def assert_as_golden(files: Mapping[Path, bytes]) -> None:
    """Today's bytes are those of the golden files, and each file of their folders is compared."""
    folders = {path.parent for path in files}
    assert sorted(p for folder in folders for p in folder.iterdir() if p.is_file()) == sorted(files)
    for path, data in files.items():
        assert data == path.read_bytes(), f"{path.name}: these bytes are stored or sent, and have changed"


def assert_every_field_tells(value: msgspec.Struct) -> None:
    """No field of `value` has its default, and no two of them are equal: a lost or swapped one shows."""
    fields = msgspec.structs.fields(value)
    values = {field.name: getattr(value, field.name) for field in fields}
    for field in fields:
        assert values[field.name] != field.default, f"{type(value).__name__}.{field.name} is its default"
    plain = {name: v for name, v in values.items() if not isinstance(v, bool)}
    for (one, a), (other, b) in itertools.combinations(plain.items(), 2):
        assert a != b, f"{type(value).__name__}.{one} and .{other} are both {a!r}"


def with_defaults(value: Struct) -> Struct:
    """`value` with each field that has a default at that default."""
    told = {f.name: getattr(value, f.name) for f in msgspec.structs.fields(value) if f.required}
    return type(value)(**told)


def values_of(value: Any) -> Any:
    """A dataclass or struct as the list of its fields' values, whatever they are called; for JSON."""
    if dataclasses.is_dataclass(value):
        return [values_of(getattr(value, f.name)) for f in dataclasses.fields(value)]
    if isinstance(value, msgspec.Struct):
        return [values_of(each) for each in msgspec.structs.astuple(value)]
    return value


def json_lines(told: Any) -> bytes:
    """JSON for people to read and for git to compare; bytes as base64, enumerations as their values."""
    return msgspec.json.format(msgspec.json.encode(told, order="sorted"), indent=1) + b"\n"


def dump_of(path: Path) -> bytes:
    """A file of sqlite as SQL text: schema and rows."""
    db = sqlite3.connect(path)
    try:
        return "".join(f"{statement}\n" for statement in db.iterdump()).encode()
    finally:
        db.close()


def schema_of(path: Path) -> list[tuple[Any, ...]]:
    """Tables and indexes, with their columns and the SQL that made them."""
    db = sqlite3.connect(path)
    try:
        objects = db.execute("select type, name, tbl_name, sql from sqlite_master order by name").fetchall()
        return [
            (*each, *db.execute("select name, type, [notnull], pk from pragma_table_info(?)", (each[1],)))
            for each in objects
        ]
    finally:
        db.close()


def restore_dump(dump: Path, path: Path) -> Path:
    """Makes the file of sqlite that `dump` is of."""
    db = sqlite3.connect(path)
    try:
        db.executescript(dump.read_text(encoding="utf-8"))
    finally:
        db.close()
    return path


def main(names: list[str]) -> None:
    """Writes the missing golden files of test modules."""
    for tests in PACKAGES.glob("*/tests"):
        sys.path.append(str(tests))
    for name in names:
        for path in write_golden_files(importlib.import_module(name).golden_files()):
            print(path)


if __name__ == "__main__":
    main(sys.argv[1:])
