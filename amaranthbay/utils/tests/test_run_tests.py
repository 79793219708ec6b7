"""Tests of the test runner: every failure must be counted and reported."""

import shutil
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from amaranthbay.utils.testing import collect

RUNNER = Path(__file__).resolve().parents[3] / "tools" / "run_tests.py"
PACKAGE = Path(__file__).resolve().parents[2]
PASSING = """
from amaranthbay.utils.testing import collect

def test_good(case):
    case.assertTrue(True)

load_tests = collect(globals())
"""
FAILING = PASSING.replace("test_good", "test_bad").replace("True)", "False)")
EXITING = PASSING.replace("case.assertTrue(True)", "__import__('os')._exit(0)")


def run(case, known_red="", **modules):
    """Runs the test runner in a copy of the project with some test modules.

    Args:
        case: Test case.
        known_red: Content of KNOWN-RED.txt; empty for no file.
        **modules: Source of each test module, by name.

    Returns:
        The exit code and the standard output.
    """
    root = Path(case.enterContext(TemporaryDirectory()))
    shutil.copytree(RUNNER.parent, root / "tools")
    for package in ("observe", "utils", "kernel", "ingress"):
        (root / "amaranthbay").mkdir(exist_ok=True)
        ignore = shutil.ignore_patterns("tests", "__pycache__")
        shutil.copytree(
            PACKAGE / package, root / "amaranthbay" / package, ignore=ignore
        )
    (root / "amaranthbay" / "__init__.py").touch()
    for name, text in modules.items():
        (root / "amaranthbay" / f"test_{name}.py").write_text(text)
    if known_red:
        (root / "KNOWN-RED.txt").write_text(known_red)
    completed = subprocess.run(
        [sys.executable, str(root / "tools" / "run_tests.py")],
        capture_output=True,
        text=True,
        cwd=root,
    )
    return completed.returncode, completed.stdout


def test_failures_are_counted_over_all_modules(case):
    """Guards against a failure in one test process that the results of others hide."""
    code, output = run(case, one=PASSING, two=FAILING)
    case.assertEqual(code, 1, output)
    case.assertIn("failed: amaranthbay.test_two.test_bad", output)
    case.assertIn("1 passed, 1 failed, 0 skipped", output)


def test_module_that_cannot_run_fails(case):
    """Guards against modules that are not counted because they can't be imported or
    because their process exits without a report."""
    code, output = run(
        case, one=PASSING, two="import nowhere_to_be_found", three=EXITING
    )
    case.assertEqual(code, 1, output)
    case.assertIn("test_two", output)
    case.assertIn("amaranthbay.test_three ended without a report", output)
    case.assertIn("1 passed, 2 failed, 0 skipped", output)


def test_only_listed_tests_may_fail(case):
    """Guards against a list of known failures that excuses other tests, and against
    known failures that are not reported."""
    known_red = "test: amaranthbay.test_two.test_bad\nsaw: it fails\n"
    code, output = run(case, known_red, one=PASSING, two=FAILING)
    case.assertEqual(code, 0, output)
    case.assertIn("known red: amaranthbay.test_two.test_bad", output)
    code, output = run(case, known_red, one=FAILING, two=FAILING)
    case.assertEqual(code, 1, output)
    case.assertIn("failed: amaranthbay.test_one.test_bad", output)


load_tests = collect(globals())
