"""Finds the line numbers of the keys and tables of a TOML text.

The standard library's parser doesn't report them.
"""

import re

__all__ = ["key_lines", "line_of"]

_STRING = re.compile(r'"(?:\\.|[^"\\])*"|\'[^\']*\'')
_TABLE = re.compile(r"^\s*\[\s*([^\[\]]+?)\s*\]\s*(?:#.*)?$")
_ARRAY_TABLE = re.compile(r"^\s*\[\[\s*([^\[\]]+?)\s*\]\]\s*(?:#.*)?$")
_KEY = re.compile(r"""^\s*((?:[\w-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[\w-]+)*)\s*=""")
_MULTILINE_DELIMITERS = ('"' * 3, "'" * 3)


class _Scanner:
    """Records the line of each key, and tracks tables and values that span lines.

    Attributes:
        lines: Line number of each key and table, by path.
    """

    def __init__(self):
        self.lines = {}
        self._table = ""
        # Index of the last table of each array of tables.
        self._last_index = {}
        self._bracket_depth = 0
        # Delimiter of the multi-line string that is open, if any.
        self._delimiter = None

    def feed(self, number, line):
        """Processes the next line of the text; numbers start at 1."""
        if self._delimiter:
            if self._delimiter in line:
                self._delimiter = None
            return
        if self._bracket_depth == 0:
            self._record_line(number, line)
        self._track_nesting(line)

    def _record_line(self, number, line):
        """Records the table header or the key that a line begins, if any."""
        array_match, table_match = _ARRAY_TABLE.match(line), _TABLE.match(line)
        if array_match:
            name = self._resolve(array_match[1])
            index = self._last_index[name] = self._last_index.get(name, -1) + 1
            self.lines.setdefault(name, number)
            self._table = f"{name}[{index}]"
            self.lines[self._table] = number
        elif table_match:
            self._table = self._resolve(table_match[1])
            self.lines[self._table] = number
        elif key_match := _KEY.match(line):
            name = _unquote(key_match[1])
            self.lines[f"{self._table}.{name}" if self._table else name] = number

    def _resolve(self, name):
        """Returns the path of a table, such as ``services[1].calls``.

        Each enclosing array of tables gets the index of its last table.
        """
        parts = []
        for part in _unquote(name).split("."):
            path = ".".join([*parts, part])
            if path in self._last_index and path != _unquote(name):
                part = f"{part}[{self._last_index[path]}]"
            parts.append(part)
        return ".".join(parts)

    def _track_nesting(self, line):
        """Tracks multi-line strings and brackets that a line opens or closes."""
        for delimiter in _MULTILINE_DELIMITERS:
            if line.count(delimiter) % 2:
                self._delimiter = delimiter
                return
        without_strings = _STRING.sub("", line).partition("#")[0]
        if self._bracket_depth == 0 and not _KEY.match(line):
            return
        opened = without_strings.count("[") + without_strings.count("{")
        self._bracket_depth += (
            opened - without_strings.count("]") - without_strings.count("}")
        )


def _unquote(name):
    """Returns a key without quotes and whitespace."""
    return re.sub(r"[\s\"']", "", name)


def key_lines(text):
    """Returns the line number of each key and table, by path.

    Examples:
        >>> key_lines('a = 1\\n[[b]]\\nc = 2\\n')["b[0].c"]
        3
    """
    scanner = _Scanner()
    for number, line in enumerate(text.splitlines(), 1):
        scanner.feed(number, line)
    return scanner.lines


def line_of(lines, key):
    """Returns the line of a key, of the innermost table around it, or else 1.

    Args:
        lines: Line numbers by path, as `key_lines` returns them.
        key: Path of the key.
    """
    while key:
        if key in lines:
            return lines[key]
        key = re.sub(r"(\[\d+\]|\.?[^.\[\]]+)$", "", key)
    return 1
