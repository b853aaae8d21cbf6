"""Reads configuration files. Reports all errors at once: file, path within it, what was found and wanted."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

from walnutpost.config.errors import ConfigError

Model = TypeVar("Model", bound=BaseModel)
MAX_SHOWN_CHARACTERS = 60  # of a wrong value in an error


def load(path: Path, model: type[Model]) -> Model:
    """Read a JSON5 file into `model`. Raises ConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise ConfigError([f"{path}: cannot be read: {reason}"]) from None
    return parse(text, str(path), model)


def load_with_overlay(path: Path, overlay_path: Path, model: type[Model]) -> Model:
    """Read `path` with the file `overlay_path` over it. Raises ConfigError.

    So what is one process's own is kept apart from what all processes of a version share.
    """
    base = _read_sections(path)
    overlay = _read_sections(overlay_path)
    return parse(json.dumps(overlay_sections(base, overlay)), f"{path} with {overlay_path}", model)


def parse(text: str, source: str, model: type[Model]) -> Model:
    """Read JSON5 text into `model`; `source` is named in errors. Raises ConfigError."""
    try:
        document = _decode(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError([f"{source}: not JSON5: {error}"]) from None
    try:
        return model.model_validate(document)
    except ValidationError as error:
        raise ConfigError(describe_errors(source, error)) from None


def read_top_level_keys(path: Path) -> set[str]:
    """Return the keys at the top of a file; none if it can't be read, which `load` reports."""
    try:
        document = _decode(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError):
        return set()
    return {str(key) for key in document} if isinstance(document, dict) else set()


def overlay_sections(base: dict[str, object], overlay: dict[str, object]) -> dict[str, object]:
    """Return `base` with `overlay` over it: sections are merged key by key, anything else is replaced."""
    merged = dict(base)
    for key, value in overlay.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            value = overlay_sections(below, value)
        merged[key] = value
    return merged


def describe_errors(source: str, error: ValidationError) -> list[str]:
    """Return a line for each of pydantic's errors: source, place, found, wanted."""
    return [_describe(source, dict(detail)) for detail in error.errors()]


def _describe(source: str, detail: dict[str, object]) -> str:
    location = detail["loc"]
    assert isinstance(location, tuple)
    place = ".".join(str(part) for part in location) or "(top)"
    kind = str(detail["type"])
    wanted = str(detail["msg"]).removeprefix("Value error, ")
    if kind == "extra_forbidden":
        return f"{source}: {place}: found a key that is not known here; wanted none of that name"
    if kind == "missing":
        return f"{source}: {place}: found nothing; wanted a value, since it has no default"
    return f"{source}: {place}: found {shorten(repr(detail.get('input')))}; wanted: {wanted}"


def shorten(text: str) -> str:
    """Return a wrong value as far as an error shows it."""
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def _read_sections(path: Path) -> dict[str, object]:
    try:
        document = _decode(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError([f"{path}: cannot be read as JSON5: {error}"]) from None
    if not isinstance(document, dict):
        raise ConfigError([f"{path}: found {type(document).__name__}; wanted sections with names"])
    return document


def _decode(text: str) -> object:
    """Decode JSON5. Raises ValueError or RecursionError.

    Plain JSON is decoded by the standard library: json5 is a thousand times slower, and the files that
    programs write, worker lists above all, are plain.
    """
    try:
        return json.loads(text, object_pairs_hook=_without_duplicates)
    except json.JSONDecodeError:
        return json5.loads(text, allow_duplicate_keys=False)


def _without_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        raise ValueError(f"a key stands twice: {next(n for n in names if names.count(n) > 1)!r}")
    return document
