"""Decodes TOML into data classes and reports every fault at once.

msgspec stops at the first fault, so each field is converted on its own.
"""

import tomllib
from dataclasses import MISSING, dataclass, fields, is_dataclass
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

import msgspec
from msgspec import inspect

from amaranthbay.kernel.errors import Fault
from amaranthbay.utils.toml_lines import key_lines, line_of

__all__ = ["Checked", "TreeFault", "check_tree", "load_checked"]

SHOWN_VALUE_LENGTH = 60


@dataclass(frozen=True)
class TreeFault:
    """A fault by the path of its key, before its line is known."""

    key: str
    value: object
    allowed: str


@dataclass(frozen=True)
class Checked:
    """Outcome of decoding a file: a value, or faults."""

    value: object
    faults: tuple[Fault, ...]


def load_checked(path, cls, rules):
    """Decodes a TOML file into a data class.

    Args:
        path: The file.
        cls: Data class.
        rules: Function of the decoded value that yields a `TreeFault` for each
            contradiction between allowed values.

    Returns:
        `Checked`.
    """
    try:
        text = Path(path).read_text()
        tree = tomllib.loads(text)
    except (OSError, ValueError) as exc:
        return Checked(None, (_unreadable(path, exc),))
    found = check_tree(tree, cls)
    value = None
    if not found:
        value = msgspec.convert(tree, cls)
        found = list(rules(value))
    lines = key_lines(text)
    faults = [
        Fault(str(path), each.key, line_of(lines, each.key), *_shown(each))
        for each in found
    ]
    faults.sort(key=lambda fault: (fault.line, fault.key))
    return Checked(None if faults else value, tuple(faults))


def _unreadable(path, exc):
    detail = exc.strerror if isinstance(exc, OSError) else str(exc)
    return Fault(str(path), "file", 0, "", f"a readable TOML file ({detail})")


def _shown(fault):
    if fault.value is None:
        return "", fault.allowed
    text = msgspec.json.encode(fault.value, enc_hook=str).decode()
    if len(text) > SHOWN_VALUE_LENGTH:
        text = text[:SHOWN_VALUE_LENGTH] + "..."
    return text, fault.allowed


def check_tree(value, cls, key=""):
    """Returns a `TreeFault` for each value that its type doesn't allow."""
    if not isinstance(value, dict):
        return [TreeFault(key, value, "a table")]
    hints = get_type_hints(cls, include_extras=True)
    faults = []
    for name in value.keys() - hints.keys():
        allowed = "one of the keys " + ", ".join(hints)
        faults.append(TreeFault(_join(key, name), value[name], allowed))
    for field in fields(cls):
        path = _join(key, field.name)
        if field.name in value:
            faults.extend(_check_value(value[field.name], hints[field.name], path))
        elif field.default is MISSING and field.default_factory is MISSING:
            allowed = f"{_describe(hints[field.name])}; the key is missing"
            faults.append(TreeFault(path, None, allowed))
    return faults


def _check_value(value, hint, path):
    if is_dataclass(hint):
        return check_tree(value, hint, path)
    item = _item_class(hint)
    if item is not None and isinstance(value, list):
        faults = []
        for index, each in enumerate(value):
            faults.extend(check_tree(each, item, f"{path}[{index}]"))
        return faults
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        return [TreeFault(path, value, _describe(hint))]
    return []


def _item_class(hint):
    """Returns the data class of a tuple's items, or None."""
    args = get_args(hint)
    if get_origin(hint) is tuple and args and is_dataclass(args[0]):
        return args[0]
    return None


def _join(key, name):
    return f"{key}.{name}" if key else name


def _describe(hint):
    return _describe_type(inspect.type_info(hint))


def _describe_type(info):
    """Returns in words what a type allows."""
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
                    f"a text of {info.min_length or 0} to {info.max_length} characters"
                )
            return "a text"
        case inspect.VarTupleType():
            return f"a list, each item {_describe_type(info.item_type)}"
        case inspect.DictType():
            item = _describe_type(info.value_type)
            return f"a table, each value {item}"
        case inspect.DataclassType():
            return "a table"
        case inspect.UnionType():
            known = [each for each in info.types if each != inspect.NoneType()]
            return " or ".join(_describe_type(each) for each in known)
    return "another value"


def _describe_number(info):
    kind = "a whole number" if isinstance(info, inspect.IntType) else "a number"
    if info.ge is not None and info.le is not None:
        return f"{kind} from {info.ge} to {info.le}"
    if info.gt is not None:
        return f"{kind} above {info.gt}"
    if info.ge is not None:
        return f"{kind} of at least {info.ge}"
    return kind
