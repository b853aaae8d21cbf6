"""Reading files: every error at once, each with the file, the path within it, what was found and wanted."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

M = TypeVar("M", bound=BaseModel)
FOUND_MOST = 60  # characters of a wrong value that an error shows


class ConfigError(Exception):
    """One or more lines, each naming a place."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load(path: Path, model: type[M]) -> M:
    """Reads a JSON5 file into `model`; raises ConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        why = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise ConfigError([f"{path}: cannot be read: {why}"]) from None
    return parse(text, str(path), model)


def keys_of(path: Path) -> set[str]:
    """What stands at the top of a file; nothing where it can't be read, which `load` says."""
    try:
        told = _read(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError):
        return set()
    return {str(key) for key in told} if isinstance(told, dict) else set()


def parse(text: str, source: str, model: type[M]) -> M:
    """`source` is named in errors."""
    try:
        told = _read(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError([f"{source}: not JSON5: {error}"]) from None
    try:
        return model.model_validate(told)
    except ValidationError as error:
        raise ConfigError([error_line(source, dict(e)) for e in error.errors()]) from None


def load_with_own(path: Path, own: Path, model: type[M]) -> M:
    """Reads `path` with the file `own` laid over it: what is one process's own stands apart from what all of
    a version share. Sections are joined key by key, anything else is replaced. Raises ConfigError."""
    told: list[dict[str, object]] = []
    for file in (path, own):
        try:
            read = _read(file.read_text(encoding="utf-8"))
        except (OSError, ValueError, RecursionError) as error:
            raise ConfigError([f"{file}: cannot be read as JSON5: {error}"]) from None
        if not isinstance(read, dict):
            raise ConfigError([f"{file}: found {type(read).__name__}; wanted sections with names"])
        told.append(read)
    return parse(json.dumps(laid_over(*told)), f"{path} with {own}", model)


def laid_over(under: dict[str, object], over: dict[str, object]) -> dict[str, object]:
    out = dict(under)
    for key, value in over.items():
        known = out.get(key)
        out[key] = laid_over(known, value) if isinstance(known, dict) and isinstance(value, dict) else value
    return out


def _read(text: str) -> object:
    """Plain JSON by the standard library, all else by json5, which is a thousand times slower: the files
    that programs write, worker lists above all, are plain."""
    try:
        return json.loads(text, object_pairs_hook=_once)
    except json.JSONDecodeError:
        return json5.loads(text, allow_duplicate_keys=False)


def _once(pairs: list[tuple[str, object]]) -> dict[str, object]:
    told = dict(pairs)
    if len(told) < len(pairs):
        names = [name for name, _ in pairs]
        raise ValueError(f"a key stands twice: {next(n for n in names if names.count(n) > 1)!r}")
    return told


def error_line(source: str, error: dict[str, object]) -> str:
    """One of pydantic's errors: source, place, found, wanted."""
    loc = error["loc"]
    assert isinstance(loc, tuple)
    place = ".".join(str(part) for part in loc) or "(top)"
    kind = str(error["type"])
    wanted = str(error["msg"]).removeprefix("Value error, ")
    if kind == "extra_forbidden":
        return f"{source}: {place}: found a key that is not known here; wanted none of that name"
    if kind == "missing":
        return f"{source}: {place}: found nothing; wanted a value, since it has no default"
    found = repr(error.get("input"))
    if len(found) > FOUND_MOST:
        found = found[:FOUND_MOST] + "..."
    return f"{source}: {place}: found {found}; wanted: {wanted}"
