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
import time  # noqa: E402
import unittest  # noqa: E402

from amaranthbay.observe import configure_logs  # noqa: E402

SLOWEST_SHOWN = 15


class TimedResult(unittest.TextTestResult):
    """Notes how long each test takes and which tests failed."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.durations = []
        self._started_at = 0.0

    def startTest(self, test):
        self._started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):
        super().stopTest(test)
        self.durations.append((time.monotonic() - self._started_at, test.id()))

    def bad_tests(self):
        """Returns the ids of failed tests; a test with failed parts counts once."""
        found = [test for test, _ in self.failures + self.errors]
        found = [getattr(test, "test_case", test) for test in found]
        return list(dict.fromkeys(test.id() for test in found))


def known_red(path):
    """Returns the ids of the tests that may fail, in file order."""
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [line[5:].strip() for line in lines if line.startswith("test:")]


def load(names):
    """Returns the suite of some modules, or of the whole tree if none is named."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    folder = str(ROOT / "amaranthbay")
    return loader.discover(folder, pattern="test_*.py", top_level_dir=str(ROOT))


def main():
    """Runs the tests and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="test modules; all if none")
    args = parser.parse_args()
    # The log handler would otherwise be made inside a test that captures standard
    # error, and write to the closed capture from then on.
    configure_logs("warning")
    runner = unittest.TextTestRunner(verbosity=2, resultclass=TimedResult)
    result = runner.run(load(args.names))
    for seconds, name in sorted(result.durations, reverse=True)[:SLOWEST_SHOWN]:
        print(f"{seconds:7.1f} s  {name}")
    allowed = set(known_red(ROOT / "KNOWN-RED.txt"))
    bad = result.bad_tests()
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
