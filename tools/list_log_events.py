"""Checks or updates the table of log events in docs/logs.md.

Without options, exits with 1 if the table differs from the log calls in the source.
``--write`` updates the table.
"""

import ast
import sys
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "logs.md"
TABLE_START = "<!-- events: written by tools/list_log_events.py -->"
TABLE_END = "<!-- end of events -->"
# Arguments of a log call that don't become fields of the line.
ARGUMENTS_WITHOUT_FIELD = ("level", "exc")


def string_value(node):
    """Returns the value of a string constant, or None for any other node."""
    value = getattr(node, "value", None)
    return value if isinstance(value, str) else None


def find_log_calls(path):
    """Yields the event and the field names of each log call in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        name = getattr(getattr(node, "func", None), "id", None)
        if name not in ("log_event", "log_decision") or not node.args:
            continue
        event = string_value(node.args[0])
        fields = {keyword.arg for keyword in node.keywords if keyword.arg}
        if event:
            prefix = "decision: " if name == "log_decision" else ""
            yield prefix + event, fields - set(ARGUMENTS_WITHOUT_FIELD)


def build_table():
    """Returns the Markdown table of the source's log events."""
    events = defaultdict(lambda: (set(), set()))
    for path in sorted((ROOT / "amaranthbay").rglob("*.py")):
        if "tests" in path.parts or path.name == "logs.py":
            continue
        package = path.relative_to(ROOT / "amaranthbay").parts[0]
        for event, fields in find_log_calls(path):
            events[event][0].add(package)
            events[event][1].update(fields)
    lines = ["| event | written by | fields |", "| --- | --- | --- |"]
    for event, (packages, fields) in sorted(events.items()):
        names = ", ".join(f"`{field}`" for field in sorted(fields))
        lines.append(f"| `{event}` | {', '.join(sorted(packages))} | {names} |")
    return "\n".join(lines)


def update_page(text):
    """Returns the text of a page with the table replaced by the current one."""
    before, _, rest = text.partition(TABLE_START)
    _, _, after = rest.partition(TABLE_END)
    return f"{before}{TABLE_START}\n\n{build_table()}\n\n{TABLE_END}{after}"


def main():
    """Checks or updates the table and returns the exit code."""
    text = PAGE.read_text()
    updated = update_page(text)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(updated)
    elif text != updated:
        print(f"{PAGE.name} is out of date: run tools/list_log_events.py --write")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
