"""Compares sessions on the wire with golden files; addresses and times are masked."""

from amaranthbay.platform.tests.sessions import GOLDEN_FOLDER, SESSIONS, record_session
from amaranthbay.utils.testing import collect


def compare(case, name):
    case.maxDiff = None
    case.assertEqual(record_session(name), (GOLDEN_FOLDER / f"{name}.txt").read_text())


def test_plain_call(case):
    """Guards against headers that are lost, added or respelled on the way."""
    compare(case, "plain_call")


def test_refused_call(case):
    """Guards against a refusal that callers can't parse."""
    compare(case, "refused_call")


def test_resumable_stream(case):
    """Guards against control calls of a stream that change in order or form."""
    compare(case, "resumable_stream")


def test_stream_that_nobody_takes(case):
    """Guards against KV cache that is not released if no decode server takes it."""
    compare(case, "stream_that_nobody_takes")


def test_server_that_leaves(case):
    """Guards against a call to a server that has just announced that it leaves."""
    compare(case, "server_that_leaves")


def test_server_that_asks_for_a_pause(case):
    """Guards against a call to a server during the pause that it asked for, and against
    a retry time for callers that is before the end of the pause."""
    compare(case, "server_that_asks_for_a_pause")


def test_server_that_names_a_limit(case):
    """Guards against a call beyond the limit of a server, and against a limit that the
    caller's answer lacks or the refusal repeats."""
    compare(case, "server_that_names_a_limit")


def test_each_session_is_compared(case):
    """Guards against a golden file that no test reads."""
    names = {path.stem for path in GOLDEN_FOLDER.glob("*.txt")}
    case.assertEqual(names, set(SESSIONS))
    tests = {name.removeprefix("test_") for name in globals()}
    case.assertLessEqual(names, tests)


load_tests = collect(globals())
