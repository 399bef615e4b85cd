"""The one checker of the project's TOML files: schemas are msgspec structs, and every fault is told at once.

An error is one line, `FILE: PATH: what must hold`, such as `a.toml: world.hosts[0].cores: must be above 0`.
"""

from __future__ import annotations

import difflib
import re
import tomllib
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

MAX_BYTES = 1 << 20
"""The largest file taken, bytes: these are written by hand."""


class ConfigError(Exception):
    """A file that can't be used; `lines` holds one line for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


_KINDS = {"int": "a whole number", "float": "a number", "str": "text", "bool": "true or false",
          "array": "a list", "object": "a table", "null": "nothing"}
_RULES = ((re.compile(r"Expected `(?:int|float)` > (\S+)"), "must be above {}"),
          (re.compile(r"Expected `(?:int|float)` >= (\S+)"), "must be at least {}"),
          (re.compile(r"Expected `(?:int|float)` < (\S+)"), "must be below {}"),
          (re.compile(r"Expected `(?:int|float)` <= (\S+)"), "must be at most {}"),
          (re.compile(r"Expected `str` of length >= 1\b"), "must not be empty"),
          (re.compile(r"Expected `str` matching regex '(.*)'"), "must match {}"),
          (re.compile(r"Expected `\w+` of length (>=|<=) (\d+)"), "must have a length {} {}"),
          (re.compile(r"Invalid enum value (.*)"), "can't be {}"))


def _words(error: str) -> str:
    """What msgspec says, in words for whoever wrote the file."""
    text, _, _ = error.partition(" - at `")
    for pattern, words in _RULES:
        if found := pattern.match(text):
            return words.format(*(re.sub(r"(?<=\d)\.0$", "", group) for group in found.groups()))
    if found := re.match(r"Expected `([^`]+)`, got `([^`]+)`", text):
        kinds = [kind.strip() for kind in found[1].split("|")]
        wanted = " or ".join(_KINDS.get(kind, kind) for kind in kinds if kind != "null")
        return f"must be {wanted}, not {_KINDS.get(found[2], found[2])}"
    return text[:1].lower() + text[1:]


def _inner(kind: Any) -> Any:
    """A type without its annotations and without `| None`."""
    while typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        rest = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        if len(rest) == 1:
            return _inner(rest[0])
    return kind


def faults(raw: Any, kind: Any, path: str = "") -> list[str]:
    """Every fault of a value read from a file, as `path: what must hold`; an empty list if it is right."""
    inner, at = _inner(kind), f"{path}: " if path else ""
    if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
        if not isinstance(raw, dict):
            return [f"{at}must be a table"]
        return _struct_faults(raw, inner, path)
    origin, args = typing.get_origin(inner), typing.get_args(inner)
    if origin in (list, tuple) and isinstance(raw, list) and args:
        told = [line for index, item in enumerate(raw)
                for line in faults(item, args[0], f"{path}[{index}]")]
        if told:
            return told
    if origin is dict and isinstance(raw, dict):
        told = [line for name, item in raw.items() for line in faults(item, args[1], f"{path}.{name}")]
        if told:
            return told
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return [f"{at}{_words(str(error))}"]
    return []


def _struct_faults(raw: dict[str, Any], inner: Any, path: str) -> list[str]:
    told: list[str] = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(inner)}
    for name, value in raw.items():
        where = f"{path}.{name}" if path else name
        if name not in fields:
            near = difflib.get_close_matches(name, fields, 1)
            told.append(f"{where}: no such key" + (f" (did you mean {near[0]}?)" if near else ""))
        else:
            told += faults(value, fields[name].type, where)
    told += [f"{path}.{name}: is missing".lstrip(".") for name, field in fields.items()
             if field.required and name not in raw]
    if not told:
        try:
            msgspec.convert(raw, inner)   # what a struct checks as a whole
        except msgspec.ValidationError as error:
            told.append(f"{path}: {_words(str(error))}".removeprefix(": "))
    return told


def check(raw: Any, kind: type[T], file: str) -> T:
    """A value of this type.  Raises ConfigError with all faults."""
    told = faults(raw, kind)
    if told:
        raise ConfigError([f"{file}: {line}" for line in told])
    return msgspec.convert(raw, kind)


def read(path: str | Path) -> dict[str, Any]:
    """A TOML file as plain tables.  Raises ConfigError where it can't be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BYTES + 1)
        if len(data) > MAX_BYTES:
            raise ConfigError([f"{path}: is longer than {MAX_BYTES} bytes"])
        return tomllib.loads(data.decode())
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
        raise ConfigError([f"{path}: {error}"]) from None


def load(path: str | Path, kind: type[T]) -> T:
    """The file as this type.  Raises ConfigError with all faults."""
    return check(read(path), kind, str(path))
