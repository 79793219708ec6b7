"""Tests of the explanation of a request from the log lines of several daemons."""

import io

import msgspec

from amaranthbay.observe.explain import describe_line, lines_about, read_lines
from amaranthbay.utils.testing import collect


def line(second, event, **fields):
    """Returns a decoded log line in the form that a daemon writes."""
    time = f"2026-01-01T00:00:0{second}.000000+00:00"
    return {"time": time, "instance": "entry-1", "event": event} | fields


LINES = [
    line(3, "cancelled", attempt_id="a-1", backend_server="decode-1"),
    line(
        1,
        "decision",
        decision="placement",
        chosen=["prefill-1", "decode-1"],
        candidate_count=4,
        reason="least loaded",
        request_id="r-1",
        attempt_id="a-1",
    ),
    line(1, "refused", request_id="r-2", reason="overloaded"),
    line(2, "cancelled", attempt_id="a-2", backend_server="decode-1"),
]


def test_lines_about_attempts_belong_to_their_request(case):
    """Guards against omitting cancels, whose lines have no request id."""
    matching = lines_about("r-1", LINES)
    case.assertEqual([each["event"] for each in matching], ["decision", "cancelled"])
    case.assertEqual(lines_about("r-3", LINES), [])


def test_sentences_tell_choice_and_reason(case):
    """Guards against sentences that omit the choice, the candidates or the reason."""
    sentences = [describe_line(each) for each in lines_about("r-1", LINES)]
    expected = "placement chose prefill-1, decode-1 of 4: least loaded"
    case.assertIn(expected, sentences[0])
    case.assertIn("cancelled (attempt_id a-1, backend_server decode-1)", sentences[1])
    (refused,) = lines_about("r-2", LINES)
    case.assertTrue(describe_line(refused).endswith("refused: overloaded"))


def test_unreadable_log_lines_are_skipped(case):
    """Guards against a log that is unusable because of one truncated line."""
    text = msgspec.json.encode(LINES[1]).decode()
    stream = io.StringIO(f"plain text\n{text}\n{text[:20]}\n[1]\n{{}}\n")
    case.assertEqual(list(read_lines(None, stream)), [LINES[1]])


load_tests = collect(globals())
