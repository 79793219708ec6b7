"""Whole sessions on the wire, byte for byte but for addresses and times."""

from amaranthbay.platform.tests.sessions import FOLDER, SESSIONS, record
from amaranthbay.utils.testing import collect


def compare(case, name):
    case.maxDiff = None
    case.assertEqual(record(name), (FOLDER / f"{name}.txt").read_text())


def test_plain_call(case):
    """Guards against headers that are lost, added or spelt anew on the way."""
    compare(case, "plain_call")


def test_refused_call(case):
    """Guards against a refusal that callers can't read."""
    compare(case, "refused_call")


def test_resumable_stream(case):
    """Guards against a changed order or form of the calls of a stream."""
    compare(case, "resumable_stream")


def test_stream_that_nobody_takes(case):
    """Guards against a KV cache that is not given back."""
    compare(case, "stream_that_nobody_takes")


def test_server_that_leaves(case):
    """Guards against a call at a server that has just said it leaves."""
    compare(case, "server_that_leaves")


def test_server_that_asks_for_a_pause(case):
    """Guards against a call at a server in its pause, and against callers that are
    told to come back before its end."""
    compare(case, "server_that_asks_for_a_pause")


def test_each_session_is_compared(case):
    """Guards against a file that no test reads."""
    names = {path.stem for path in FOLDER.glob("*.txt")}
    case.assertEqual(names, set(SESSIONS))
    tests = {name.removeprefix("test_") for name in globals()}
    case.assertLessEqual(names, tests)


load_tests = collect(globals())
