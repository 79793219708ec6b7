"""The demonstration ends with 0 and leaves no process behind."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from amaranthbay.standins.demo import EXIT_INTERRUPTED
from amaranthbay.standins.demo_report import Report, RequestRow
from amaranthbay.utils.testing import collect, wait_until

ROOT = Path(__file__).resolve().parents[3]
COMMAND = (sys.executable, "-m", "amaranthbay.standins.demo")


def processes_of_session(session):
    """Returns the process ids of a session, from /proc."""
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[3]) == session and fields[0] != "Z":
            found.append(int(folder.name))
    return found


def start_demo(case, *options):
    """Starts the demonstration in a session of its own."""
    demo = subprocess.Popen(
        [*COMMAND, *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )
    case.addCleanup(end_session, demo)
    return demo


def end_session(demo):
    """Ends what a failed test left behind."""
    for pid in processes_of_session(demo.pid):
        os.kill(pid, signal.SIGKILL)
    demo.communicate()


def test_demo_ends_with_zero_and_no_process(case):
    """Guards against a demonstration that fails or leaves processes behind."""
    path = ROOT / "docs" / "design.md"
    demo = start_demo(case, "--file", str(path))
    output, errors = demo.communicate(timeout=60)
    case.assertEqual(demo.returncode, 0, output + errors)
    case.assertEqual(processes_of_session(demo.pid), [])
    for text in ("long prompt", "posting, send 2", "interactive, cut", "killed"):
        case.assertIn(text, output)
    case.assertNotIn("WRONG", output)


def interrupted_demo(case, signum, processes):
    """Interrupts the demonstration once it has started some processes."""
    demo = start_demo(case)
    # The demonstration itself is one of the processes of its session.
    wait_until(lambda: len(processes_of_session(demo.pid)) > processes)
    demo.send_signal(signum)
    demo.send_signal(signum)
    demo.communicate(timeout=60)
    case.assertEqual(demo.returncode, EXIT_INTERRUPTED)
    case.assertEqual(processes_of_session(demo.pid), [])


def test_sigint_during_start_leaves_no_process(case):
    """Guards against backend servers that outlive an early Ctrl-C."""
    interrupted_demo(case, signal.SIGINT, 1)


def test_sigterm_after_start_leaves_no_process(case):
    """Guards against daemons that outlive a terminated demonstration."""
    interrupted_demo(case, signal.SIGTERM, 9)


def test_a_wrong_row_makes_the_report_wrong(case):
    """Guards against an exit code that ignores what the table shows."""
    good = RequestRow("a", "1", 0.1, 3, "ran", True)
    bad = RequestRow("b", "2", None, 0, "may_have_run", False)
    case.assertTrue(Report(rows=[good]).right)
    case.assertFalse(Report(rows=[good, bad]).right)
    case.assertFalse(Report(rows=[good], checks=[("x", False)]).right)


load_tests = collect(globals())
