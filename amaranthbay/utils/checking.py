"""Decodes TOML files into data classes and reports all faults at once.

msgspec stops at the first fault, so each field is checked separately.
"""

import tomllib
from dataclasses import MISSING, dataclass, fields, is_dataclass, replace
from functools import cache
from pathlib import Path
from types import NoneType, UnionType
from typing import get_args, get_origin, get_type_hints

import msgspec
from msgspec import inspect

from amaranthbay.kernel.errors import Fault
from amaranthbay.utils.toml_lines import key_lines, line_of

__all__ = ["CheckResult", "TreeFault", "check_tree", "load_checked"]

# Longer values are truncated in the report of a fault.
MAX_VALUE_CHARACTERS = 60


@dataclass(frozen=True)
class TreeFault:
    """A value that is not allowed, before the line of its key is known.

    Attributes:
        key: Path of the key, for example ``keys[0].id``.
        value: The value as decoded; None if the key is missing.
        allowed: Description of the allowed values.
    """

    key: str
    value: object
    allowed: str


@dataclass(frozen=True)
class CheckResult:
    """Result of checking a file.

    Attributes:
        value: The decoded data class; None if there are faults.
        faults: All faults, sorted by line.
    """

    value: object
    faults: tuple[Fault, ...]


def load_checked(path, cls, find_contradictions):
    """Decodes and checks a TOML file.

    Args:
        path: Path of the file.
        cls: Data class to decode into.
        find_contradictions: Function that takes the decoded value and yields a
            `TreeFault` for each contradiction between its fields. It is called only
            if each field on its own is valid.

    Returns:
        `CheckResult`; an unreadable file is a fault.
    """
    try:
        text = Path(path).read_text()
        tree = tomllib.loads(text)
    except (OSError, ValueError) as exc:
        return CheckResult(None, (_unreadable_fault(path, exc),))
    tree_faults = check_tree(tree, cls)
    value = None
    if not tree_faults:
        value = msgspec.convert(tree, cls)
        tree_faults = list(find_contradictions(value))
    lines = key_lines(text)
    faults = [
        Fault(str(path), each.key, line_of(lines, each.key), *_value_and_allowed(each))
        for each in tree_faults
    ]
    faults.sort(key=lambda fault: (fault.line, fault.key))
    return CheckResult(None if faults else value, tuple(faults))


def _unreadable_fault(path, exc):
    detail = exc.strerror if isinstance(exc, OSError) else str(exc)
    return Fault(str(path), "file", 0, "", f"a readable TOML file ({detail})")


def _value_and_allowed(fault):
    """Returns the value as truncated JSON, empty if missing, and what is allowed."""
    if fault.value is None:
        return "", fault.allowed
    text = msgspec.json.encode(fault.value, enc_hook=str).decode()
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    return text, fault.allowed


def check_tree(value, cls, key=""):
    """Returns a `TreeFault` for each key that is unknown, missing or has a bad value.

    A value is bad if the type hint of its field doesn't allow it. The fault of a part
    that may hold a field with the metadata ``secret`` has no value: a misspelt key of a
    table can hold secrets too.

    Args:
        value: Decoded TOML table.
        cls: Data class that the table must match.
        key: Path of the table; empty for the whole file.
    """
    secret = _may_hold_secrets(cls)
    if not isinstance(value, dict):
        return [TreeFault(key, None if secret else value, "a table")]
    hints = get_type_hints(cls, include_extras=True)
    faults = []
    for name in value.keys() - hints.keys():
        allowed = "one of the keys " + ", ".join(hints)
        shown = None if secret else value[name]
        faults.append(TreeFault(_child_path(key, name), shown, allowed))
    for field in fields(cls):
        path = _child_path(key, field.name)
        if field.name in value:
            found = _check_value(value[field.name], hints[field.name], path)
            if field.metadata.get("secret"):
                found = [replace(each, value=None) for each in found]
            faults.extend(found)
        elif field.default is MISSING and field.default_factory is MISSING:
            allowed = f"{_describe_hint(hints[field.name])}; the key is missing"
            faults.append(TreeFault(path, None, allowed))
    return faults


def _check_value(value, hint, path):
    """Returns a `TreeFault` for each part of a value that its type hint forbids."""
    if is_dataclass(hint):
        return check_tree(value, hint, path)
    item_class = _item_class(hint)
    if item_class is not None and isinstance(value, list):
        faults = []
        for index, item in enumerate(value):
            faults.extend(check_tree(item, item_class, f"{path}[{index}]"))
        return faults
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        shown = None if _may_hold_secrets(hint) else value
        return [TreeFault(path, shown, _describe_hint(hint))]
    return []


@cache
def _may_hold_secrets(hint):
    """Returns whether a value of a type can hold a field that is marked as secret."""
    if is_dataclass(hint):
        hints = get_type_hints(hint)
        return any(
            field.metadata.get("secret") or _may_hold_secrets(hints[field.name])
            for field in fields(hint)
        )
    return any(_may_hold_secrets(arg) for arg in get_args(hint))


def _item_class(hint):
    """Returns the class of a tuple's items if it is a data class, else None.

    The tuple may be optional.
    """
    alternatives = [each for each in get_args(hint) if each is not NoneType]
    if isinstance(hint, UnionType) and len(alternatives) == 1:
        return _item_class(alternatives[0])
    args = get_args(hint)
    if get_origin(hint) is tuple and args and is_dataclass(args[0]):
        return args[0]
    return None


def _child_path(key, name):
    """Returns the path of the key ``name`` in the table with the path ``key``."""
    return f"{key}.{name}" if key else name


def _describe_hint(hint):
    return _describe_type(inspect.type_info(hint))


def _describe_type(info):
    """Returns a description of the values that a type allows."""
    match info:
        case inspect.Metadata():
            schema = info.extra_json_schema or {}
            return schema.get("description") or _describe_type(info.type)
        case inspect.LiteralType():
            return "one of " + ", ".join(f'"{each}"' for each in info.values)
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType() | inspect.FloatType():
            return _describe_number(info)
        case inspect.StrType():
            if info.min_length or info.max_length:
                return (
                    f"a string of {info.min_length or 0} to {info.max_length}"
                    " characters"
                )
            return "a string"
        case inspect.VarTupleType():
            return f"a list, each item {_describe_type(info.item_type)}"
        case inspect.DictType():
            value = _describe_type(info.value_type)
            return f"a table, each value {value}"
        case inspect.DataclassType():
            return "a table"
        case inspect.UnionType():
            alternatives = [each for each in info.types if each != inspect.NoneType()]
            return " or ".join(_describe_type(each) for each in alternatives)
    return "another value"


def _describe_number(info):
    noun = "a whole number" if isinstance(info, inspect.IntType) else "a number"
    if info.ge is not None and info.le is not None:
        return f"{noun} from {info.ge} to {info.le}"
    if info.gt is not None:
        return f"{noun} above {info.gt}"
    if info.ge is not None:
        return f"{noun} of at least {info.ge}"
    return noun
