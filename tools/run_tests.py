"""Runs the whole test suite and prints one closing line with its counts.

Test modules run side by side, each in a process of its own; without names, all of
them. Tests listed in KNOWN-RED.txt run and are reported, but do not fail the run. An
entry is a line that starts with ``test:`` and names the test's id.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from amaranthbay.utils.runtime import pin_event_loop  # noqa: E402

pin_event_loop()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import time  # noqa: E402
import unittest  # noqa: E402

from gevent import subprocess  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from amaranthbay.observe import configure_logs  # noqa: E402

# Modules side by side. Many tests start processes and wait for them, so that more would
# only make them late.
JOBS = max(1, min(3, (os.cpu_count() or 1) // 2))
# A module that takes longer hangs; the longest takes a minute on a busy machine.
MODULE_BOUND_S = 400
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


def module_names(suite):
    """Returns the names of the modules of a suite, the largest first.

    A large module that starts last would run alone at the end.
    """
    sizes = {}
    for test in flatten(suite):
        name = test.id().rsplit(".", 1)[0]
        if type(test).__name__ == "_FailedTest":
            # The loader's stand-in for a module that can't be imported.
            name = test._testMethodName
        path = ROOT / (name.replace(".", "/") + ".py")
        sizes[name] = path.stat().st_size if path.exists() else 0
    return sorted(sizes, key=sizes.get, reverse=True)


def flatten(suite):
    """Yields the tests of a suite."""
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from flatten(each)
        else:
            yield each


def run_here(names):
    """Runs modules in this process; returns the counts and names as a dictionary."""
    # The log handler would otherwise be made inside a test that captures standard
    # error, and write to the closed capture from then on.
    configure_logs("warning")
    runner = unittest.TextTestRunner(verbosity=2, resultclass=TimedResult)
    result = runner.run(load(names))
    return {
        "run": result.testsRun,
        "bad": result.bad_tests(),
        "skipped": len(result.skipped),
        "durations": result.durations,
    }


def run_module(name):
    """Runs one module in a process of its own and prints what it has written."""
    reading, writing = os.pipe()
    command = [sys.executable, __file__, "--report", str(writing), name]
    popen = subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        pass_fds=(writing,),
    )
    os.close(writing)
    try:
        output, _ = popen.communicate(timeout=MODULE_BOUND_S)
    except subprocess.TimeoutExpired:
        popen.kill()
        output, _ = popen.communicate()
    with open(reading, "rb") as file:
        report = file.read()
    sys.stdout.write(output.decode(errors="replace"))
    sys.stdout.flush()
    if report:
        return json.loads(report)
    print(f"{name} ended without a report, exit code {popen.returncode}")
    return {"run": 1, "bad": [name], "skipped": 0, "durations": []}


def run_side_by_side(names):
    """Runs modules in several processes; returns the sum of their reports."""
    total = {"run": 0, "bad": [], "skipped": 0, "durations": []}
    for report in Pool(JOBS).imap_unordered(run_module, names):
        for key, value in report.items():
            total[key] += value
    return total


def conclude(report):
    """Prints the slowest tests and the closing line; returns the exit code."""
    durations = sorted(map(tuple, report["durations"]), reverse=True)
    for seconds, name in durations[:SLOWEST_SHOWN]:
        print(f"{seconds:7.1f} s  {name}")
    allowed = set(known_red(ROOT / "KNOWN-RED.txt"))
    bad = report["bad"]
    failed = [name for name in bad if name not in allowed]
    for name in bad:
        print(f"{'known red' if name in allowed else 'failed'}: {name}")
    passed = report["run"] - len(bad)
    print(f"{passed} passed, {len(failed)} failed, {report['skipped']} skipped")
    return 1 if failed or report["run"] == 0 else 0


def main():
    """Runs the tests and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="test modules; all if none")
    parser.add_argument("--report", type=int, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.report is not None:
        report = run_here(args.names)
        with open(args.report, "w") as file:
            json.dump(report, file)
        return 0
    if len(args.names) == 1:
        return conclude(run_here(args.names))
    names = args.names or module_names(load([]))
    started_at = time.monotonic()
    report = run_side_by_side(names)
    print(f"{len(names)} modules in {time.monotonic() - started_at:.0f} s")
    return conclude(report)


if __name__ == "__main__":
    sys.exit(main())
