"""Loads and validates the project's TOML files.  Schemas are msgspec structs; all errors are reported together.

Each error is one line, `FILE: PATH: requirement`, such as `a.toml: world.hosts[0].cores: must be above 0`.
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
"""Limit for a file; the files are written by hand."""


class ConfigError(Exception):
    """A file or setting that can't be used; `lines` holds one line for each error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


_TYPE_NAMES = {"int": "a whole number", "float": "a number", "str": "text", "bool": "true or false",
               "array": "a list", "object": "a table", "null": "nothing"}
_CONSTRAINTS = ((re.compile(r"Expected `(?:int|float)` > (\S+)"), "must be above {}"),
                (re.compile(r"Expected `(?:int|float)` >= (\S+)"), "must be at least {}"),
                (re.compile(r"Expected `(?:int|float)` < (\S+)"), "must be below {}"),
                (re.compile(r"Expected `(?:int|float)` <= (\S+)"), "must be at most {}"),
                (re.compile(r"Expected `str` of length >= 1\b"), "must not be empty"),
                (re.compile(r"Expected `str` matching regex '(.*)'"), "must match {}"),
                (re.compile(r"Expected `\w+` of length (>=|<=) (\d+)"), "must have a length {} {}"),
                (re.compile(r"Invalid enum value (.*)"), "can't be {}"))


def _describe(error: str) -> str:
    """Rewrite an error of msgspec for the author of the file."""
    text, _, _ = error.partition(" - at `")
    for pattern, message in _CONSTRAINTS:
        if found := pattern.match(text):
            return message.format(*(re.sub(r"(?<=\d)\.0$", "", group) for group in found.groups()))
    if found := re.match(r"Expected `([^`]+)`, got `([^`]+)`", text):
        types_expected = [kind.strip() for kind in found[1].split("|")]
        expected = " or ".join(_TYPE_NAMES.get(kind, kind) for kind in types_expected if kind != "null")
        return f"must be {expected}, not {_TYPE_NAMES.get(found[2], found[2])}"
    return text[:1].lower() + text[1:]


def _unwrap(kind: Any) -> Any:
    """Strip annotations and `| None` from a type."""
    while typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        alternatives = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        if len(alternatives) == 1:
            return _unwrap(alternatives[0])
    return kind


def find_errors(raw: Any, kind: Any, path: str = "") -> list[str]:
    """All errors of a value read from a file, as `path: requirement`; an empty list if it is valid."""
    unwrapped, prefix = _unwrap(kind), f"{path}: " if path else ""
    if isinstance(unwrapped, type) and issubclass(unwrapped, msgspec.Struct):
        if not isinstance(raw, dict):
            return [f"{prefix}must be a table"]
        return _find_struct_errors(raw, unwrapped, path)
    origin, args = typing.get_origin(unwrapped), typing.get_args(unwrapped)
    if origin in (list, tuple) and isinstance(raw, list) and args:
        errors = [line for index, item in enumerate(raw)
                  for line in find_errors(item, args[0], f"{path}[{index}]")]
        if errors:
            return errors
    if origin is dict and isinstance(raw, dict):
        errors = [line for name, item in raw.items() for line in find_errors(item, args[1], f"{path}.{name}")]
        if errors:
            return errors
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        return [f"{prefix}{_describe(str(error))}"]
    return []


def _find_struct_errors(raw: dict[str, Any], unwrapped: Any, path: str) -> list[str]:
    errors: list[str] = []
    fields = {field.encode_name: field for field in msgspec.structs.fields(unwrapped)}
    for name, value in raw.items():
        key_path = f"{path}.{name}" if path else name
        if name not in fields:
            similar = difflib.get_close_matches(name, fields, 1)
            errors.append(f"{key_path}: no such key" + (f" (did you mean {similar[0]}?)" if similar else ""))
        else:
            errors += find_errors(value, fields[name].type, key_path)
    errors += [f"{path}.{name}: is missing".lstrip(".") for name, field in fields.items()
               if field.required and name not in raw]
    if not errors:
        try:
            msgspec.convert(raw, unwrapped)   # checks of the struct itself, across its fields
        except msgspec.ValidationError as error:
            errors.append(f"{path}: {_describe(str(error))}".removeprefix(": "))
    return errors


def check(raw: Any, kind: type[T], file: str) -> T:
    """Convert a value to a type.  Raises ConfigError with all errors."""
    errors = find_errors(raw, kind)
    if errors:
        raise ConfigError([f"{file}: {line}" for line in errors])
    return msgspec.convert(raw, kind)


def read(path: str | Path) -> dict[str, Any]:
    """Read a TOML file as plain tables.  Raises ConfigError if it can't be read."""
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
    """Load a file as a type.  Raises ConfigError with all errors."""
    return check(read(path), kind, str(path))
