"""Tests of the line numbers of TOML keys."""

from amaranthbay.utils.testing import collect
from amaranthbay.utils.toml_lines import key_lines, line_of

TEXT = '''\
first = 1 # [not.a.table]
list = [
  "x = 2",
  "[y]",
]
text = """
inside = 1
[table]
"""
"quoted key" = "a [ b"
dotted.key = 3

[limits]
body_bytes = 4

[[services]]
name = "a"

[[services.calls]]
path = "/"

[[services]]
name = "b"

[[services.calls]]
path = "/"
'''


def test_each_key_has_its_line(case):
    """Guards against faults that point to the line of another key."""
    lines = key_lines(TEXT)
    # Paths contain no quotes or whitespace.
    for number, key in (
        (1, "first"),
        (2, "list"),
        (6, "text"),
        (10, "quotedkey"),
        (11, "dotted.key"),
        (14, "limits.body_bytes"),
        (17, "services[0].name"),
        (20, "services[0].calls[0].path"),
        (23, "services[1].name"),
    ):
        case.assertEqual(lines.get(key), number, key)
    case.assertNotIn("inside", lines)


def test_missing_key_has_the_line_of_its_table(case):
    """Guards against faults without a line for keys that are missing."""
    lines = key_lines(TEXT)
    case.assertEqual(line_of(lines, "limits.missing"), 13)
    case.assertEqual(line_of(lines, "services[1].missing"), 22)
    case.assertEqual(line_of(lines, "missing"), 1)


load_tests = collect(globals())
