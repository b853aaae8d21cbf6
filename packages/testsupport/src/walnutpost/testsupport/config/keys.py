"""The keys that a model of configuration reads, by their places in a file: for golden files of them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Literal, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo

NO_KEY = "no_such_key"


def models_in(annotation: Any, place: str = "") -> Iterator[tuple[str, type[BaseModel]]]:
    """Yield the models that a value of this type may be or hold, each with its place.

    In a place, `.*` stands for any name and `[]` for any item of a list.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield place, annotation
        return
    origin, args = get_origin(annotation), get_args(annotation)
    if origin is Literal:
        return
    if origin is dict:
        yield from models_in(args[1], f"{place}.*")
    elif origin in (list, tuple):
        yield from models_in(args[0], f"{place}[]")
    else:
        for each in args:
            yield from models_in(each, place)


def type_names(annotation: Any) -> list[str]:
    """Return the basic types and literals that a value may be."""
    if get_origin(annotation) is Literal:
        return [repr(literal) for literal in get_args(annotation)]
    if isinstance(annotation, type) and not get_args(annotation) and not issubclass(annotation, BaseModel):
        return [annotation.__name__]
    return [name for each in get_args(annotation) for name in type_names(each)]


def key_of(name: str, field: FieldInfo) -> str:
    """Return the key that a field is read from."""
    return field.alias or name


def keys(model: type[BaseModel], place: str = "") -> dict[str, dict[str, Any]]:
    """Return each key with its default, types and limits.

    Members of a union of several models differ by their `what`.
    """
    found: dict[str, dict[str, Any]] = {}
    for name, field in model.model_fields.items():
        at = f"{place}.{key_of(name, field)}" if place else key_of(name, field)
        default = field.get_default(call_default_factory=True)
        if isinstance(default, BaseModel):
            default = default.model_dump(mode="json", by_alias=True)
        found[at] = {
            "default": "(required)" if field.is_required() else default,
            "types": sorted(set(type_names(field.annotation))),
            "limits": sorted(map(repr, field.metadata)),
        }
        nested = list(models_in(field.annotation))
        for inside, other in nested:
            kind = other.model_fields.get("what")
            mark = f"({'|'.join(type_names(kind.annotation))})" if kind and len(nested) > 1 else ""
            found |= keys(other, f"{at}{inside}{mark}")
    return found


def sections(model: type[BaseModel], content: Any) -> Iterator[tuple[type[BaseModel], dict[str, Any]]]:
    """Yield the parts of a document that are sections of their own, with the model that reads each."""
    yield model, content
    for name, field in model.model_fields.items():
        value = content.get(key_of(name, field))
        for inside, other in models_in(field.annotation):
            parts = [value]
            for step in (inside[at : at + 2] for at in range(0, len(inside), 2)):
                parts = [p for part in parts for p in (part.values() if step == ".*" else part) if part]
            for part in parts:
                kind = other.model_fields.get("what")
                if isinstance(part, dict) and (
                    kind is None or repr(part["what"]) in type_names(kind.annotation)
                ):
                    yield from sections(other, part)


def missing_keys(model: type[BaseModel], content: Any) -> set[str]:
    """Return keys of the model's sections that a document does not have."""
    have: set[tuple[type[BaseModel], str]] = set()
    wanted: set[tuple[type[BaseModel], str]] = set()
    for found, part in sections(model, content):
        have |= {(found, key) for key in part}
        wanted |= {(found, key_of(name, field)) for name, field in found.model_fields.items()}
    return {f"{found.__name__}.{key}" for found, key in wanted - have}
