"""Runs the whole test suite and prints one closing line with its counts.

Tests listed in KNOWN-RED.txt run and are reported, but do not fail the run. An
entry is a line that starts with ``test:`` and names the test's id.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from amaranthbay.utils.runtime import pin_event_loop  # noqa: E402

pin_event_loop()

import argparse  # noqa: E402
import unittest  # noqa: E402


def known_red(path):
    """Returns the ids of the tests that may fail, in file order."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [line[5:].strip() for line in lines if line.startswith("test:")]


def main():
    """Runs the tests and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="test modules; all if none")
    args = parser.parse_args()
    loader = unittest.TestLoader()
    if args.names:
        suite = loader.loadTestsFromNames(args.names)
    else:
        suite = loader.discover(
            str(ROOT / "amaranthbay"), pattern="test_*.py", top_level_dir=str(ROOT)
        )
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    allowed = set(known_red(ROOT / "KNOWN-RED.txt"))
    bad = [test.id() for test, _ in result.failures + result.errors]
    failed = [name for name in bad if name not in allowed]
    for name in bad:
        if name in allowed:
            print(f"known red: {name}")
    passed = result.testsRun - len(bad)
    skipped = len(result.skipped)
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
