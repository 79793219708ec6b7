"""Writes data classes as TOML, with comments above keys."""

import textwrap
from dataclasses import fields, is_dataclass

import msgspec

__all__ = ["to_toml"]

COMMENT_WIDTH = 80


def to_toml(value, comments=None, head=()):
    """Returns a data class as TOML text; the text depends only on the arguments.

    Args:
        value: Instance whose fields are scalars, tuples, mappings or data classes.
        comments: Comments of keys, by path, such as ``pools.decode.slots``; None for
            none.
        head: Lines of the comment at the top.
    """
    lines = [f"# {line}".rstrip() for line in head]
    if lines:
        lines.append("")
    _write_table(value, "", "", comments or {}, lines)
    return "\n".join(lines) + "\n"


def _write_table(value, path_prefix, name_prefix, comments, lines):
    """Appends the lines of a data class to ``lines``.

    Plain keys come first, since TOML ends a table at the next table header.

    Args:
        value: Instance of a data class.
        path_prefix: Prefix of the paths in ``comments``, with the names of the
            enclosing entries, such as ``pools.decode.``.
        name_prefix: Prefix of the table names in TOML, such as ``pools.``.
        comments: Comments of keys, by path.
        lines: Lines of the file so far.
    """
    items = [(field.name, getattr(value, field.name)) for field in fields(value)]
    table_arrays = [(key, item) for key, item in items if _is_table_array(item)]
    for key, item in items:
        if item is None or _is_table_array(item):
            continue
        _write_comment(f"{path_prefix}{key}", comments, lines)
        lines.append(f"{key} = {_format_value(item)}")
    for key, tables in table_arrays:
        for table in tables:
            table_name = f"{name_prefix}{key}"
            lines.append("")
            _write_comment(f"{path_prefix}{key}.{table.name}", comments, lines)
            lines.append(f"[[{table_name}]]")
            inner_path = f"{path_prefix}{key}.{table.name}."
            _write_table(table, inner_path, f"{table_name}.", comments, lines)


def _write_comment(path, comments, lines):
    if path in comments:
        wrapped = textwrap.wrap(comments[path], COMMENT_WIDTH)
        lines.extend(f"# {line}" for line in wrapped)


def _is_table_array(value):
    """Returns whether a value is a non-empty tuple of data classes with names."""
    return bool(
        isinstance(value, tuple)
        and value
        and is_dataclass(value[0])
        and hasattr(value[0], "name")
    )


def _format_value(value):
    if is_dataclass(value):
        parts = {field.name: getattr(value, field.name) for field in fields(value)}
        return _format_value(
            {key: each for key, each in parts.items() if each is not None}
        )
    if isinstance(value, dict):
        pairs = [
            f"{_format_key(key)} = {_format_value(each)}" for key, each in value.items()
        ]
        return "{ " + ", ".join(pairs) + " }" if pairs else "{}"
    if isinstance(value, tuple | list):
        return "[" + ", ".join(_format_value(each) for each in value) + "]"
    return msgspec.json.encode(value).decode()


def _format_key(name):
    bare = name.replace("-", "").replace("_", "")
    if bare.isascii() and bare.isalnum():
        return name
    return msgspec.json.encode(name).decode()
