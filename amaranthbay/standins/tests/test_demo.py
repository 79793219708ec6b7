"""Tests of the demo: its exit code, and the processes that it leaves behind."""

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
    """Returns the ids of a session's processes, without zombies, from /proc."""
    pids = []
    for process_folder in Path("/proc").glob("[0-9]*"):
        try:
            fields = (process_folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[3]) == session and fields[0] != "Z":
            pids.append(int(process_folder.name))
    return pids


def start_demo(case, *options):
    """Starts the demo in a session of its own."""
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
    """Kills the processes that a failed test left behind."""
    for pid in processes_of_session(demo.pid):
        os.kill(pid, signal.SIGKILL)
    demo.communicate()


def test_demo_ends_with_zero_and_no_process(case):
    """Guards against a demo that fails or leaves processes behind."""
    path = ROOT / "docs" / "design.md"
    demo = start_demo(case, "--file", str(path))
    output, errors = demo.communicate(timeout=60)
    case.assertEqual(demo.returncode, 0, output + errors)
    case.assertEqual(processes_of_session(demo.pid), [])
    for text in ("long prompt", "posting, send 2", "interactive, cut", "killed"):
        case.assertIn(text, output)
    case.assertNotIn("WRONG", output)


def check_interrupted_demo(case, signum, process_count):
    """Interrupts the demo once it has started a number of processes."""
    demo = start_demo(case)
    # The demo itself is one of the processes of its session.
    wait_until(lambda: len(processes_of_session(demo.pid)) > process_count)
    # The second signal must not interrupt the clean-up that the first one starts.
    demo.send_signal(signum)
    demo.send_signal(signum)
    demo.communicate(timeout=60)
    case.assertEqual(demo.returncode, EXIT_INTERRUPTED)
    case.assertEqual(processes_of_session(demo.pid), [])


def test_sigint_during_start_leaves_no_process(case):
    """Guards against backend servers that outlive a SIGINT during the start."""
    check_interrupted_demo(case, signal.SIGINT, 1)


def test_sigterm_after_start_leaves_no_process(case):
    """Guards against daemons that outlive a demo ended by SIGTERM."""
    check_interrupted_demo(case, signal.SIGTERM, 9)


def test_report_is_as_expected_only_if_all_rows_and_checks_are(case):
    """Guards against an exit code that ignores a failed row or check."""
    expected_row = RequestRow("a", "1", 0.1, 3, "ran", True)
    unexpected_row = RequestRow("b", "2", None, 0, "may_have_run", False)
    case.assertTrue(Report(rows=[expected_row]).as_expected)
    case.assertFalse(Report(rows=[expected_row, unexpected_row]).as_expected)
    case.assertFalse(Report(rows=[expected_row], checks=[("x", False)]).as_expected)


load_tests = collect(globals())
