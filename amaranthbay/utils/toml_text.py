"""Writes data classes as TOML with a comment above each explained key."""

import textwrap
from dataclasses import fields, is_dataclass

import msgspec

__all__ = ["to_toml"]

COMMENT_WIDTH = 80


def to_toml(value, comments=None, head=()):
    """Returns a data class as TOML text; equal values give equal texts.

    Args:
        value: Data class of scalars, tuples, mappings and data classes.
        comments: Comment of each key, by path.
        head: Lines of a comment at the top.
    """
    lines = [f"# {line}".rstrip() for line in head]
    if lines:
        lines.append("")
    _write_table(value, "", "", comments or {}, lines)
    return "\n".join(lines) + "\n"


def _write_table(value, path, name, comments, lines):
    """Writes plain keys first, since TOML ends a table at the next header."""
    named = [(field.name, getattr(value, field.name)) for field in fields(value)]
    tables = [(key, each) for key, each in named if _is_tables(each)]
    for key, each in named:
        if each is None or _is_tables(each):
            continue
        _write_comment(f"{path}{key}", comments, lines)
        lines.append(f"{key} = {_inline(each)}")
    for key, items in tables:
        for item in items:
            header = f"{name}{key}"
            lines.append("")
            _write_comment(f"{path}{key}.{item.name}", comments, lines)
            lines.append(f"[[{header}]]")
            inner = f"{path}{key}.{item.name}."
            _write_table(item, inner, f"{header}.", comments, lines)


def _write_comment(path, comments, lines):
    if path in comments:
        wrapped = textwrap.wrap(comments[path], COMMENT_WIDTH)
        lines.extend(f"# {line}" for line in wrapped)


def _is_tables(value):
    """Returns whether a value is a list of named data classes."""
    return bool(
        isinstance(value, tuple)
        and value
        and is_dataclass(value[0])
        and hasattr(value[0], "name")
    )


def _inline(value):
    if is_dataclass(value):
        parts = {field.name: getattr(value, field.name) for field in fields(value)}
        return _inline({key: each for key, each in parts.items() if each is not None})
    if isinstance(value, dict):
        pairs = [f"{_key(key)} = {_inline(each)}" for key, each in value.items()]
        return "{ " + ", ".join(pairs) + " }" if pairs else "{}"
    if isinstance(value, tuple | list):
        return "[" + ", ".join(_inline(each) for each in value) + "]"
    return msgspec.json.encode(value).decode()


def _key(name):
    bare = name.replace("-", "").replace("_", "")
    if bare.isascii() and bare.isalnum():
        return name
    return msgspec.json.encode(name).decode()
