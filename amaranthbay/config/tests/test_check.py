"""Checks of answers and configurations: all faults, each with its place."""

from pathlib import Path
from tempfile import TemporaryDirectory

from amaranthbay.config import check_file, decode_answers
from amaranthbay.config.template import TEMPLATE
from amaranthbay.utils.testing import collect


def faults_of(case, text, check=decode_answers):
    """Returns line and key of each fault of a text."""
    path = Path(case.enterContext(TemporaryDirectory())) / "file.toml"
    path.write_text(text)
    return [(fault.line, fault.key) for fault in check(path).faults]


def changed(*pairs):
    """Returns the template with some texts replaced."""
    text = TEMPLATE
    for old, new in pairs:
        assert text.count(old) >= 1, old
        text = text.replace(old, new, 1)
    return text


def line_with(text, part):
    """Returns the number of the first line that holds a text."""
    lines = text.splitlines()
    return next(number for number, line in enumerate(lines, 1) if part in line)


def test_template_has_no_fault(case):
    """Guards against a template that can't be used as it is."""
    case.assertEqual(faults_of(case, TEMPLATE), [])


def test_all_faults_are_reported_at_once(case):
    """Guards against one report a fault, which costs a run each."""
    text = changed(
        ('= "both_alike"', '= "speed"'),
        ("first_token_ms = 1300", 'first_token_ms = "soon"'),
        ('role = "decode"', 'role = "decoder"'),
        ("checks_fence = false", "chekcs_fence = false"),
    )
    # A missing key is reported at the header of its table.
    table = line_with(text, 'role = "plain"') - 2
    case.assertEqual(
        faults_of(case, text),
        [
            (line_with(text, "weigh_more ="), "weigh_more"),
            (line_with(text, '"soon"'), "callers[0].first_token_ms"),
            (line_with(text, '"decoder"'), "pools[1].role"),
            (table, "pools[2].checks_fence"),
            (line_with(text, "chekcs_fence"), "pools[2].chekcs_fence"),
        ],
    )


def test_contradictions_are_refused(case):
    """Guards against answers that can't all be true."""
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
    for key, pair in contradictions.items():
        with case.subTest(key):
            case.assertIn(key, [name for _, name in faults_of(case, changed(pair))])


def test_unreadable_file_is_a_fault(case):
    """Guards against a trace in place of a sentence."""
    case.assertEqual(faults_of(case, "a = = 1"), [(0, "file")])
    case.assertEqual(len(check_file("/nonexistent").faults), 1)


def test_configuration_and_answers_are_told_apart(case):
    """Guards against a check by the rules of the other kind of file."""
    faults = faults_of(case, "version = 0\n", check_file)
    case.assertIn((1, "deployment"), faults)
    case.assertNotIn((1, "weigh_more"), faults)


load_tests = collect(globals())
