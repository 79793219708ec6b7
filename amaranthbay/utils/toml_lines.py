"""Finds the line of each key of a TOML text."""

import re

__all__ = ["key_lines", "line_of"]

_STRING = re.compile(r'"(?:\\.|[^"\\])*"|\'[^\']*\'')
_TABLE = re.compile(r"^\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
_ARRAY_TABLE = re.compile(r"^\s*\[\[\s*([^\[\]]+?)\s*\]\]\s*(?:#.*)?$")
_KEY = re.compile(r"""^\s*((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[\w-]+)*)\s*=""")
_LONG_QUOTES = ('"' * 3, "'" * 3)


class _Scanner:
    """Follows tables and values that span lines."""

    def __init__(self):
        self.lines = {}
        self._table = ""
        self._counts = {}
        self._depth = 0
        self._quotes = None

    def feed(self, number, line):
        """Takes the next line."""
        if self._quotes:
            if self._quotes in line:
                self._quotes = None
            return
        if self._depth == 0:
            self._open(number, line)
        self._follow_value(line)

    def _open(self, number, line):
        array, table = _ARRAY_TABLE.match(line), _TABLE.match(line)
        if array:
            name = self._resolve(array[1])
            index = self._counts[name] = self._counts.get(name, -1) + 1
            self.lines.setdefault(name, number)
            self._table = f"{name}[{index}]"
            self.lines[self._table] = number
        elif table:
            self._table = self._resolve(table[1])
            self.lines[self._table] = number
        elif key := _KEY.match(line):
            name = _plain(key[1])
            self.lines[f"{self._table}.{name}" if self._table else name] = number

    def _resolve(self, name):
        """Returns a table's path with the index of each array it is inside."""
        parts = []
        for part in _plain(name).split("."):
            path = ".".join([*parts, part])
            if path in self._counts and path != _plain(name):
                part = f"{part}[{self._counts[path]}]"
            parts.append(part)
        return ".".join(parts)

    def _follow_value(self, line):
        for quotes in _LONG_QUOTES:
            if line.count(quotes) % 2:
                self._quotes = quotes
                return
        bare = _STRING.sub("", line).partition("#")[0]
        if self._depth == 0 and not _KEY.match(line):
            return
        opened = bare.count("[") + bare.count("{")
        self._depth += opened - bare.count("]") - bare.count("}")


def _plain(name):
    return re.sub(r"[\s\"']", "", name)


def key_lines(text):
    """Returns the line number of each key and table.

    Examples:
        >>> key_lines('a = 1\\n[[b]]\\nc = 2\\n')["b[0].c"]
        3
    """
    scanner = _Scanner()
    for number, line in enumerate(text.splitlines(), 1):
        scanner.feed(number, line)
    return scanner.lines


def line_of(lines, key):
    """Returns the line of a key, else of the nearest table around it."""
    while key:
        if key in lines:
            return lines[key]
        key = re.sub(r"(\[\d+\]|\.?[^.\[\]]+)$", "", key)
    return 1
