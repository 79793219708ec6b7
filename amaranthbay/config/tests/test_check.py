"""Tests of the checks of answers and configurations."""

from pathlib import Path
from tempfile import TemporaryDirectory

from amaranthbay.config import check_file, load_answers
from amaranthbay.config.template import TEMPLATE
from amaranthbay.utils.testing import collect


def faults_of(case, text, check=load_answers):
    """Returns the line and the key of each fault of a file with a text."""
    path = Path(case.enterContext(TemporaryDirectory())) / "file.toml"
    path.write_text(text)
    return [(fault.line, fault.key) for fault in check(path).faults]


def changed_template(*replacements):
    """Returns the template after replacing texts; each replacement is (old, new)."""
    text = TEMPLATE
    for old, new in replacements:
        assert text.count(old) >= 1, old
        text = text.replace(old, new, 1)
    return text


def line_with(text, part):
    """Returns the number of the first line that contains a part of the text."""
    lines = text.splitlines()
    return next(number for number, line in enumerate(lines, 1) if part in line)


def test_template_has_no_fault(case):
    """Guards against a template that is faulty as shipped."""
    case.assertEqual(faults_of(case, TEMPLATE), [])


def test_all_faults_are_reported_at_once(case):
    """Guards against reporting one fault at a time, which costs a run for each."""
    text = changed_template(
        ('= "both_alike"', '= "speed"'),
        ("first_token_ms = 1300", 'first_token_ms = "soon"'),
        ('role = "decode"', 'role = "decoder"'),
        ("checks_fence = false", "chekcs_fence = false"),
    )
    # A missing key is reported at the header of its table.
    table_line = line_with(text, 'role = "plain"') - 2
    case.assertEqual(
        faults_of(case, text),
        [
            (line_with(text, "weigh_more ="), "weigh_more"),
            (line_with(text, '"soon"'), "callers[0].first_token_ms"),
            (line_with(text, '"decoder"'), "pools[1].role"),
            (table_line, "pools[2].checks_fence"),
            (line_with(text, "chekcs_fence"), "pools[2].chekcs_fence"),
        ],
    )


def test_contradictions_are_faults(case):
    """Guards against accepting answers that contradict each other."""
    contradictions = {
        "services[0].callers": ('["desk", "counter"]', '["desk", "shop"]'),
        "services[0].pools": ('["prefill", "decode"]', '["prefill"]'),
        "callers[1].first_token_ms": (
            'waits = "as_long_as_it_takes"\n',
            'waits = "as_long_as_it_takes"\nfirst_token_ms = 5\n',
        ),
        "callers[0].first_token_ms": ("first_token_ms = 1300\n", ""),
        "callers[0].between_tokens_ms": ("between_tokens_ms = 51\n", ""),
        "pools[1].name": ('name = "decode"', 'name = "prefill"'),
        "services[0].non_idempotent": (
            'pools = ["prefill", "decode"]',
            'pools = ["prefill", "decode"]\nnon_idempotent = ["POST /x"]',
        ),
        "services[1].pools": ('pools = ["ledger"]', 'pools = ["decode"]'),
    }
    for key, replacement in contradictions.items():
        with case.subTest(key):
            case.assertIn(
                key,
                [name for _, name in faults_of(case, changed_template(replacement))],
            )


def test_unreadable_file_is_a_fault(case):
    """Guards against a traceback in place of a fault."""
    case.assertEqual(faults_of(case, "a = = 1"), [(0, "file")])
    case.assertEqual(len(check_file("/nonexistent").faults), 1)


def test_configuration_and_answers_are_distinguished(case):
    """Guards against checking a file by the rules of the other kind of file."""
    faults = faults_of(case, "version = 0\n", check_file)
    case.assertIn((1, "deployment"), faults)
    case.assertNotIn((1, "weigh_more"), faults)


load_tests = collect(globals())
