"""The runner of the suite: what fails must not pass for anything else."""

import shutil
import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from amaranthbay.utils.testing import collect

RUNNER = Path(__file__).resolve().parents[3] / "tools" / "run_tests.py"
PACKAGE = Path(__file__).resolve().parents[2]
GOOD = """
from amaranthbay.utils.testing import collect

def test_good(case):
    case.assertTrue(True)

load_tests = collect(globals())
"""
BAD = GOOD.replace("test_good", "test_bad").replace("True)", "False)")
ENDS = GOOD.replace("case.assertTrue(True)", "__import__('os')._exit(0)")


def run(case, known_red="", **modules):
    """Runs a small tree of test modules; returns the exit code and the output."""
    root = Path(case.enterContext(TemporaryDirectory()))
    shutil.copytree(RUNNER.parent, root / "tools")
    for part in ("observe", "utils", "kernel"):
        (root / "amaranthbay").mkdir(exist_ok=True)
        ignored = shutil.ignore_patterns("tests", "__pycache__")
        shutil.copytree(PACKAGE / part, root / "amaranthbay" / part, ignore=ignored)
    (root / "amaranthbay" / "__init__.py").touch()
    for name, text in modules.items():
        (root / "amaranthbay" / f"test_{name}.py").write_text(text)
    if known_red:
        (root / "KNOWN-RED.txt").write_text(known_red)
    done = subprocess.run(
        [sys.executable, str(root / "tools" / "run_tests.py")],
        capture_output=True,
        text=True,
        cwd=root,
    )
    return done.returncode, done.stdout


def test_failures_are_counted_over_all_modules(case):
    """Guards against a failure in one process that the others hide."""
    code, output = run(case, one=GOOD, two=BAD)
    case.assertEqual(code, 1, output)
    case.assertIn("failed: amaranthbay.test_two.test_bad", output)
    case.assertIn("1 passed, 1 failed, 0 skipped", output)


def test_module_that_cannot_run_fails(case):
    """Guards against modules that count for nothing: one that can't be imported, and
    one whose process ends without a report."""
    code, output = run(case, one=GOOD, two="import nowhere_to_be_found", three=ENDS)
    case.assertEqual(code, 1, output)
    case.assertIn("test_two", output)
    case.assertIn("amaranthbay.test_three ended without a report", output)
    case.assertIn("1 passed, 2 failed, 0 skipped", output)


def test_only_listed_tests_may_fail(case):
    """Guards against a list of known failures that lets others pass, and against one
    that is not shown."""
    listed = "test: amaranthbay.test_two.test_bad\nsaw: it fails\n"
    code, output = run(case, listed, one=GOOD, two=BAD)
    case.assertEqual(code, 0, output)
    case.assertIn("known red: amaranthbay.test_two.test_bad", output)
    code, output = run(case, listed, one=BAD, two=BAD)
    case.assertEqual(code, 1, output)
    case.assertIn("failed: amaranthbay.test_one.test_bad", output)


load_tests = collect(globals())
