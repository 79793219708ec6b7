"""Lists the log events of the code, for the table in docs/logs.md.

Without options it ends with 1 if the table is not up to date; ``--write`` brings
it up to date.
"""

import ast
import sys
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "logs.md"
START = "<!-- events: written by tools/list_log_events.py -->"
END = "<!-- end of events -->"
NOT_FIELDS = ("level", "exc")


def literal(node):
    """Returns the text of a constant, or None."""
    value = getattr(node, "value", None)
    return value if isinstance(value, str) else None


def calls_of(path):
    """Yields event and field names of each logging call in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        name = getattr(getattr(node, "func", None), "id", None)
        if name not in ("log_event", "log_decision") or not node.args:
            continue
        event = literal(node.args[0])
        fields = {each.arg for each in node.keywords if each.arg}
        if event:
            prefix = "decision: " if name == "log_decision" else ""
            yield prefix + event, fields - set(NOT_FIELDS)


def table():
    """Returns the lines of the table."""
    events = defaultdict(lambda: (set(), set()))
    for path in sorted((ROOT / "amaranthbay").rglob("*.py")):
        if "tests" in path.parts or path.name == "logs.py":
            continue
        package = path.relative_to(ROOT / "amaranthbay").parts[0]
        for event, fields in calls_of(path):
            events[event][0].add(package)
            events[event][1].update(fields)
    lines = ["| event | written by | fields |", "| --- | --- | --- |"]
    for event, (packages, fields) in sorted(events.items()):
        names = ", ".join(f"`{each}`" for each in sorted(fields))
        lines.append(f"| `{event}` | {', '.join(sorted(packages))} | {names} |")
    return "\n".join(lines)


def page_with_table(text):
    """Returns the page with the table of today's code."""
    before, _, rest = text.partition(START)
    _, _, after = rest.partition(END)
    return f"{before}{START}\n\n{table()}\n\n{END}{after}"


def main():
    """Compares or writes the table and returns the exit code."""
    text = PAGE.read_text()
    wanted = page_with_table(text)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(wanted)
    elif text != wanted:
        print(f"{PAGE.name} is out of date: run tools/list_log_events.py --write")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
